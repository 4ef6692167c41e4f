package kvstore

import "time"

// Faults are the faults that a test can inject.
type Faults struct {
	// Outage fails all calls, including waiting watches.
	Outage bool
	// Delay is the duration of each call. The call takes effect halfway.
	Delay time.Duration
	// LoseResponses is the number of following writes whose responses are lost.
	LoseResponses int
	// Seed seeds the random choice, for each lost response, of whether the write
	// takes effect. With zero, every write does.
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
		Outage:        w.Outage,
		Delay:         time.Duration(w.DelayMS) * time.Millisecond,
		LoseResponses: w.LoseAnswers,
		Seed:          w.Seed,
	}
}
