package spread

import (
	"math"
	"time"
)

const (
	// minAge keeps the rates finite that are derived from a report that has just arrived.
	minAge = time.Millisecond
	// tolerance is the difference up to which two loads count as equal.
	tolerance = 1e-9
)

type (
	// Upstream is an upstream that can take a request, as the choosing host knows it.
	Upstream struct {
		Places float64       // requests that it runs at once
		Speed  float64       // relative to the mean of its service
		Own    float64       // requests in flight of the choosing host
		Others float64       // requests in flight of other hosts, as reported
		Age    time.Duration // of the report
		Stay   time.Duration // mean time that a request is in flight at the service; zero means unknown
		Cost   float64       // disadvantage for all hosts, as a share of the places
		Bias   float64       // disadvantage for this request only, as a share of the places; negative if it should get the request
	}

	filling struct {
		places float64
		load   float64 // share of the places in use without arrivals since the report, and the cost
		rate   float64 // at which each request ends
		gap    float64 // arrivals a second since the report that raise the load by one
		weight float64 // share in the draw
	}
)

// Draw returns the index of the upstream for the next request, and the expected share of its places in use. The argument random is
// uniform in [0, 1), and the list must not be empty.
//
// In a steady state as many requests arrive as end. The requests that have arrived since the reports fill the upstreams with the lowest
// loads up to a common level, so the next ones go to all upstreams below that level: to each as many as end there, and as many as raise
// it together with the others. As all hosts draw in this way, each knows how the others draw. With fresh reports the upstream with the
// lowest load is drawn.
func Draw(list []Upstream, random float64) (index int, load float64) {
	fillings, arriving := make([]filling, len(list)), 0.0
	for i, u := range list {
		fillings[i] = u.filling()
		arriving += u.Others * fillings[i].rate
	}
	level, rise := fill(fillings, arriving)
	lowest := math.Inf(1)
	for i, f := range fillings {
		lowest = min(lowest, max(f.load, level)+list[i].Bias)
	}
	sum := 0.0
	for i := range fillings {
		f := &fillings[i]
		switch {
		case max(f.load, level)+list[i].Bias > lowest+tolerance:
			f.weight = 0
		case f.load > level+tolerance:
			f.weight = f.places
		default:
			f.weight = f.places * (rise + f.rate*level + tolerance)
		}
		sum += f.weight
	}
	rest := random * sum
	for i, f := range fillings {
		if f.weight > 0 {
			index = i
		}
		if rest -= f.weight; rest < 0 {
			break
		}
	}
	return index, max(fillings[index].load, level) - list[index].Cost
}

func (u Upstream) filling() filling {
	places, age := max(u.Places, 1), max(u.Age, minAge).Seconds()
	f, kept := filling{places: places, gap: places / age}, 1.0
	if u.Stay > 0 && u.Speed > 0 {
		f.rate = u.Speed / u.Stay.Seconds()
		kept = math.Exp(-f.rate * age)
		f.gap = places * f.rate / (1 - kept)
	}
	f.load = (u.Own+u.Others*kept)/places + u.Cost
	return f
}

// fill returns the level to which the arrivals have raised the lowest loads, and the rate at which they raise it.
func fill(list []filling, arriving float64) (level, rise float64) {
	level = math.Inf(1)
	for filled, before := 0, len(list)+1; filled != before; {
		sum, gaps, ending, places, n := arriving, 0.0, 0.0, 0.0, 0
		for _, f := range list {
			// The lowest load stays in the sums if rounding puts the level below it.
			if f.load < level+tolerance {
				sum += f.gap * f.load
				gaps += f.gap
				ending += f.places * f.rate
				places += f.places
				n++
			}
		}
		filled, before = n, filled
		level = sum / gaps
		rise = max(arriving-ending*level, 0) / places
	}
	return level, rise
}
