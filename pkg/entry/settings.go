package entry

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/route"
)

// Settings are the parameters of the machine; Defaults returns usable values.
type Settings struct {
	Cell       string // Cell is the cell of this host, which gets the demand for models without a known home.
	DataCentre string
	// Home returns the cell that gets the demand for a model; nil selects a cell that lists the model, or Cell.
	Home func(model string) string
	// OneWay returns the one-way delay to a data centre; nil means zero to the own one and 1.5 ms to others.
	OneWay func(dataCentre string) time.Duration
	// DemandInterval is the least time between two Demand messages for the same model and adapter.
	DemandInterval time.Duration
	// ForecastWait is how long a queued request waits for the first forecast.
	ForecastWait time.Duration
	// MaxQueue limits the queued requests of each model and adapter.
	MaxQueue int
	// MaxRetryAfter limits the retry times of refusals.
	MaxRetryAfter time.Duration
	// HedgeShare is the largest share of all sends that may be hedges.
	HedgeShare float64
	// RetryShare is the number of retries earned by each success.
	RetryShare float64
	// MaxAttempts limits the failed attempts of a request.
	MaxAttempts int
	// MaxPreemptions limits how often a bulk stream is preempted.
	MaxPreemptions int
	// Quantum is the least run of a bulk stream before its first preemption; it grows with each preemption.
	Quantum time.Duration
	Route   route.Settings
}

// Defaults returns the default settings for a host in the cell and data centre.
func Defaults(cell, dataCentre string) Settings {
	return Settings{
		Cell:           cell,
		DataCentre:     dataCentre,
		DemandInterval: 100 * time.Millisecond,
		ForecastWait:   5 * time.Second, // The takeover of a cell takes 3 s and an append.
		MaxQueue:       10000,
		MaxRetryAfter:  10 * time.Minute,
		HedgeShare:     0.04, // The target is under 5%; the rest covers rounding over short runs.
		RetryShare:     0.1,
		MaxAttempts:    4,
		MaxPreemptions: 16,
		Quantum:        500 * time.Millisecond,
		Route:          route.Defaults(),
	}
}
