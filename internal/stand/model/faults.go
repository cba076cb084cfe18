package model

import (
	"errors"

	"github.com/fireflycleat/fireflycleat/internal/stand"
)

type (
	// Faults is the fault document of an engine.
	Faults struct {
		// Slow multiplies the duration of prefill and token steps; zero means 1.
		Slow float64 `json:"slow,omitempty"`
		// Hang blocks all responses, tokens and status reports until it is cleared, like a paused process.
		Hang    bool `json:"hang,omitempty"`
		Refuse  bool `json:"refuse,omitempty"`  // whether to reject new requests
		Leaving bool `json:"leaving,omitempty"` // whether to reject new requests and loads, and to report leaving in the status
		// DelayMillis delays every call; StatusDelayMillis also delays status calls.
		DelayMillis       int64 `json:"delayMillis,omitempty"`
		StatusDelayMillis int64 `json:"statusDelayMillis,omitempty"`
		// DropAfterTokens closes the connection of a stream after that many tokens; zero means never.
		DropAfterTokens int `json:"dropAfterTokens,omitempty"`
		// DropStreams limits DropAfterTokens to the next DropStreams streams; zero means all.
		DropStreams     int                `json:"dropStreams,omitempty"`
		LoadFails       stand.FaultTrigger `json:"loadFails"`   // makes loads fail halfway
		CrashDuringLoad stand.FaultTrigger `json:"dieInLoad"`   // restarts the engine halfway through a load
		LostAnswers     stand.FaultTrigger `json:"lostAnswers"` // applies orders and closes the connection without a response
	}
)

func (f Faults) validate() error {
	if f.Slow < 0 || f.DelayMillis < 0 || f.StatusDelayMillis < 0 || f.DropAfterTokens < 0 || f.DropStreams < 0 {
		return errors.New("fault values must not be negative")
	}
	return errors.Join(f.LoadFails.Validate(), f.CrashDuringLoad.Validate(), f.LostAnswers.Validate())
}

func (f Faults) slowFactor() float64 {
	if f.Slow == 0 {
		return 1
	}
	return f.Slow
}

// takeDropLimit returns the number of tokens after which a new stream is dropped, zero for never, and counts the stream.
func (e *Engine) takeDropLimit() int {
	n := 0
	e.faults.Update(func(f *Faults) bool {
		n = f.DropAfterTokens
		if f.DropStreams > 0 {
			f.DropStreams--
			if f.DropStreams == 0 {
				f.DropAfterTokens = 0
			}
		}
		return true
	})
	return n
}
