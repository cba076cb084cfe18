package model

import (
	"errors"

	"github.com/fireflycleat/fireflycleat/internal/stand"
)

type (
	// Faults are the faults of an engine.
	Faults struct {
		// Slow multiplies the time of prefill and tokens; zero means 1.
		Slow float64 `json:"slow,omitempty"`
		// Hang stops all answers, tokens and status reports until it is lifted, like a paused process.
		Hang    bool `json:"hang,omitempty"`
		Refuse  bool `json:"refuse,omitempty"`  // Refuse refuses new requests.
		Leaving bool `json:"leaving,omitempty"` // Leaving refuses new requests and loads, and shows in the status.
		// DelayMillis delays every call, StatusDelayMillis those for the status.
		DelayMillis       int64 `json:"delayMillis,omitempty"`
		StatusDelayMillis int64 `json:"statusDelayMillis,omitempty"`
		// DropAfterTokens closes the connection of a stream after the tokens; zero means never.
		DropAfterTokens int `json:"dropAfterTokens,omitempty"`
		// DropStreams limits DropAfterTokens to the next streams; zero means all.
		DropStreams int        `json:"dropStreams,omitempty"`
		LoadFails   stand.Loss `json:"loadFails"`   // LoadFails ends loads half-way as failed.
		DieInLoad   stand.Loss `json:"dieInLoad"`   // DieInLoad restarts the engine half-way through a load.
		LostAnswers stand.Loss `json:"lostAnswers"` // LostAnswers applies orders and closes the connection.
	}
)

func (f Faults) check() error {
	if f.Slow < 0 || f.DelayMillis < 0 || f.StatusDelayMillis < 0 || f.DropAfterTokens < 0 || f.DropStreams < 0 {
		return errors.New("a fault has a negative value")
	}
	return errors.Join(f.LoadFails.Check(), f.DieInLoad.Check(), f.LostAnswers.Check())
}

func (f Faults) slow() float64 {
	if f.Slow == 0 {
		return 1
	}
	return f.Slow
}

// dropAfter takes the number of tokens after which the stream that starts now is dropped; zero means never.
func (e *Engine) dropAfter() int {
	n := 0
	e.faults.Spend(func(f *Faults) bool {
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
