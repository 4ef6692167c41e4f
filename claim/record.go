package claim

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/fleet"
)

// maxStoredBody is the largest body, in bytes, that a claim keeps for repeats.
const maxStoredBody = 64 << 10

// The states of a claim.
const (
	stateRunning   = "running"
	stateDone      = "done"
	stateUnknown   = "unknown"
	stateAbandoned = "abandoned"
)

// record is the claim as the key-value service keeps it.
type record struct {
	State string `json:"state"`
	// Token tells the claimant from all others.
	Token   string       `json:"token"`
	Attempt string       `json:"attempt"`
	Host    fleet.HostID `json:"host"`
	Digest  string       `json:"digest"`
	// EndedAt is zero while the call runs.
	EndedAt time.Time `json:"ended-at,omitzero"`
	Answer  *Answer   `json:"answer,omitempty"`
	// TooLarge says that the answer was too large to be kept.
	TooLarge bool `json:"too-large,omitempty"`
}

func decodeRecord(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, trace.BadParameter("claim record: %v", err)
	}
	switch r.State {
	case stateRunning, stateDone, stateUnknown, stateAbandoned:
		return r, nil
	}
	return record{}, trace.BadParameter("claim record has state %q", r.State)
}

func (r record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(trace.Wrap(err, "claim record"))
	}
	return value
}

// free reports whether the call may be claimed.
func (r record) free() bool {
	return r.State == "" || r.State == stateAbandoned
}

// ended returns the record of the call's end at a time.
func (r record) ended(at time.Time, state string, answer *Answer) record {
	r.State, r.EndedAt = state, at.UTC().Round(time.Millisecond)
	if answer == nil {
		return r
	}
	if len(answer.Body) > maxStoredBody {
		r.TooLarge = true
		return r
	}
	r.Answer = answer
	return r
}

// answerRepeat returns what a repeat of the call gets, or nil while it runs.
func (r record) answerRepeat(digest string) Decision {
	switch {
	case r.Digest != digest:
		return refuseOther()
	case r.State == stateUnknown:
		return refuseRunning()
	case r.State == stateRunning:
		return nil
	case r.Answer == nil:
		return refuseUnstored()
	}
	return Replay{Answer: *r.Answer}
}
