package kvstore

import "time"

// Faults are the faults that a test switches on.
type Faults struct {
	// Outage refuses all calls and ends the waiting watches.
	Outage bool
	// Delay is the time that each call takes, half of it before it has effect.
	Delay time.Duration
	// LoseAnswers is the number of writes whose answers are still to be lost.
	LoseAnswers int
	// Seed draws for each lost answer whether its write has effect. With zero
	// every one has.
	Seed uint64
}

type wireFaults struct {
	Outage      bool   `json:"outage"`
	DelayMS     int64  `json:"delay-ms"`
	LoseAnswers int    `json:"lose-answers"`
	Seed        uint64 `json:"seed"`
}

func (w wireFaults) faults() Faults {
	return Faults{
		Outage:      w.Outage,
		Delay:       time.Duration(w.DelayMS) * time.Millisecond,
		LoseAnswers: w.LoseAnswers,
		Seed:        w.Seed,
	}
}
