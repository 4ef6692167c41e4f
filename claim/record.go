package claim

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/fleet"
)

// maxStoredBodyBytes is the size of the largest body that a claim stores for
// repeats.
const maxStoredBodyBytes = 64 << 10

// The states of a claim.
const (
	stateRunning   = "running"
	stateDone      = "done"
	stateUnknown   = "unknown"
	stateAbandoned = "abandoned"
)

// record is a claim as stored in the key-value service.
type record struct {
	State string `json:"state"`
	// Token identifies the claimant.
	Token   string       `json:"token"`
	Attempt string       `json:"attempt"`
	Host    fleet.HostID `json:"host"`
	Digest  string       `json:"digest"`
	// EndedAt is zero while the call runs.
	EndedAt  time.Time `json:"ended-at,omitzero"`
	Response *Response `json:"answer,omitempty"`
	// TooLarge is set if the response was too large to be stored.
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

// isClaimable reports whether the call may be claimed.
func (r record) isClaimable() bool {
	return r.State == "" || r.State == stateAbandoned
}

// ended returns the record for a call that has ended.
func (r record) ended(at time.Time, state string, response *Response) record {
	r.State, r.EndedAt = state, at.UTC().Round(time.Millisecond)
	if response == nil {
		return r
	}
	if len(response.Body) > maxStoredBodyBytes {
		r.TooLarge = true
		return r
	}
	r.Response = response
	return r
}

// decideRepeat returns the decision for a repeat of the call, or nil while the call
// runs.
func (r record) decideRepeat(digest string) Decision {
	switch {
	case r.Digest != digest:
		return refuseMismatch()
	case r.State == stateUnknown:
		return refuseUnknownEnd()
	case r.State == stateRunning:
		return nil
	case r.Response == nil:
		return refuseResponseTooLarge()
	}
	return Replay{Response: *r.Response}
}
