package fleet

import "time"

type (
	// Held is a model that an upstream has loaded.
	Held struct {
		Model    string
		Version  int
		Adapters []string
	}

	// Upstream is what an upstream says of itself.
	Upstream struct {
		ID         string // ID names the upstream; a restarted one may keep it.
		Born       int64  // Born is the start of the process in Unix milliseconds; it tells two lives with one ID apart.
		Beat       int64  // Beat grows with each message of one life.
		Service    string
		Address    string
		DataCentre string
		Slots      int
		Leaving    bool
		TimeLeft   time.Duration // TimeLeft is the time until a leaving upstream ends; zero means unknown.
		ColdLeft   time.Duration // ColdLeft is how long the upstream stays slow after its start.
		Held       []Held
		InMemory   []string // InMemory lists the models whose weights the upstream keeps in host memory.
		OnDisk     []string // OnDisk lists the models whose weights the upstream keeps on disk.
	}
)

// Newer reports whether the message was written after the other one about the same upstream.
func (u Upstream) Newer(than Upstream) bool {
	if u.Born != than.Born {
		return u.Born > than.Born
	}
	return u.Beat >= than.Beat
}
