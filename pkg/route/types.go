package route

import "time"

type (
	// Replica is one line of a cell's directory: a model at an upstream.
	Replica struct {
		Upstream   string
		DataCentre string
		Model      string
		Version    string
		Adapters   []string // loaded adapters
		Slots      int
		Ready      bool
		ReadyAt    time.Time // when a replica that is not ready is expected to be
	}

	// Hosts describes the live entry hosts.
	Hosts struct {
		Live  int // live entry hosts in all data centres
		Near  int // live entry hosts in this host's data centre, including it; zero means unknown
		Index int // position of this host among the near ones, in an order that all of them share
	}

	// Settings are the parameters of a Table; Defaults returns usable values.
	Settings struct {
		// UrgentReserve is the share of slots of each replica that bulk work may not use.
		UrgentReserve float64
		// SlowRatio is the ratio to the median of the other upstreams from which an upstream counts as slow.
		SlowRatio float64
		// EjectTime is how long an upstream is ejected before the first probe. The time doubles with each slow probe, up to eight
		// times EjectTime.
		EjectTime time.Duration
	}
)

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{UrgentReserve: 0.2, SlowRatio: 2, EjectTime: 2 * time.Second}
}
