package fleet

import "time"

type (
	// Held is a model that an upstream has loaded, with its loaded adapters.
	Held struct {
		Model    string
		Version  int
		Adapters []string
	}

	// Upstream is an upstream's registration, as published by itself.
	Upstream struct {
		ID         string // ID identifies the upstream; it may survive a restart.
		Born       int64  // Born is the start of the process in Unix milliseconds; it distinguishes incarnations with the same ID.
		Beat       int64  // Beat is the heartbeat number; it increases within one incarnation.
		Service    string
		Address    string
		DataCentre string
		Slots      int
		Leaving    bool
		TimeLeft   time.Duration // TimeLeft is the time until a leaving upstream stops; zero means unknown.
		ColdLeft   time.Duration // ColdLeft is the remaining warm-up time, during which the upstream is slow.
		Held       []Held
		InMemory   []string // InMemory lists the models whose weights are cached in host memory.
		OnDisk     []string // OnDisk lists the models whose weights are cached on disk.
	}
)

// Newer reports whether the entry is at least as new as another one of the same upstream.
func (u Upstream) Newer(o Upstream) bool {
	if u.Born != o.Born {
		return u.Born > o.Born
	}
	return u.Beat >= o.Beat
}
