package fleet

import "time"

type (
	// Held is a model that an upstream has loaded, with its loaded adapters.
	Held struct {
		Model    string
		Version  int
		Adapters []string
	}

	// Upstream is an upstream's registration, as the upstream publishes it.
	Upstream struct {
		ID         string // may survive a restart of the upstream
		Born       int64  // start of the process in Unix milliseconds; distinguishes incarnations with the same ID
		Beat       int64  // heartbeat number; increases within one incarnation
		Service    string
		Address    string
		DataCentre string
		Slots      int
		Leaving    bool
		TimeLeft   time.Duration // time until a leaving upstream stops; zero means unknown
		ColdLeft   time.Duration // remaining warm-up time, during which the upstream is slow
		Held       []Held
		InMemory   []string // models whose weights are cached in host memory
		OnDisk     []string // models whose weights are cached on disk
	}
)

// Newer reports whether the entry is at least as new as another one of the same upstream.
func (u Upstream) Newer(o Upstream) bool {
	if u.Born != o.Born {
		return u.Born > o.Born
	}
	return u.Beat >= o.Beat
}
