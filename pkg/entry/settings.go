package entry

import (
	"time"

	"github.com/fireflycleat/fireflycleat/pkg/route"
)

// Settings are the parameters of an Entry; see Defaults.
type Settings struct {
	// Cell is the cell of this host. It receives the demand for models without a known preferred cell.
	Cell       string
	DataCentre string
	// PreferredCell returns the preferred cell of a model, which receives the demand for it. If it is nil or returns "", demand
	// goes to a cell that lists the model, or else to Cell.
	PreferredCell func(model string) string
	// OneWay returns the one-way network delay to a data centre. If nil, 0 is assumed within DataCentre and 1.5 ms to others.
	OneWay func(dataCentre string) time.Duration
	// DemandInterval is the minimum time between two Demand actions for the same model and adapter.
	DemandInterval time.Duration
	// ForecastWait limits how long a queued request waits for the first forecast.
	ForecastWait time.Duration
	// MaxQueue limits the number of queued requests per model.
	MaxQueue int
	// MaxRetryAfter limits the retry time of a refusal.
	MaxRetryAfter time.Duration
	// HedgeShare is the maximum share of hedges in all sends.
	HedgeShare float64
	// RetryShare is the number of retries that each successful call adds to the retry budget.
	RetryShare float64
	// MaxAttempts limits the number of failed attempts of a request.
	MaxAttempts int
	// MaxPreemptions limits how often one bulk stream is preempted.
	MaxPreemptions int
	// Quantum is the minimum run time of a bulk stream before its first preemption; it grows with each preemption.
	Quantum time.Duration
	Route   route.Settings
}

// Defaults returns the default settings for a host in the given cell and data centre.
func Defaults(cell, dataCentre string) Settings {
	return Settings{
		Cell:           cell,
		DataCentre:     dataCentre,
		DemandInterval: 100 * time.Millisecond,
		ForecastWait:   5 * time.Second, // The take-over of a cell lease takes 3 s plus an append.
		MaxQueue:       10000,
		MaxRetryAfter:  10 * time.Minute,
		HedgeShare:     0.04, // The target is below 5%; the margin covers rounding in short runs.
		RetryShare:     0.1,
		MaxAttempts:    4,
		MaxPreemptions: 16,
		Quantum:        500 * time.Millisecond,
		Route:          route.Defaults(),
	}
}
