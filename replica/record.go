package replica

import (
	"encoding/json"

	"github.com/gravitational/trace"

	"hawthornway/engine"
	"hawthornway/model"
	"hawthornway/target"
	"hawthornway/team"
)

// recordPrefix is the start of the keys of records.
const recordPrefix = "replica/"

// WriteID identifies one write of a record.
type WriteID string

// Record holds what was decided about one engine's memory. It is kept in the
// key-value service under "replica/<target>".
type Record struct {
	// Write identifies the write, to settle a lost answer.
	Write WriteID
	// Group names the group that the engine belongs to, as GroupKey's String
	// gives it.
	Group string
	Fence target.Fence
	// Released says that the owner gives no order any more, and that Decisions
	// lists every order that may still take effect.
	Released  bool
	Decisions []Decision
}

// Decision is a load that was decided and is not proved gone.
type Decision struct {
	ID    engine.OrderID
	Ref   model.Ref
	Bytes model.Bytes
	Team  team.ID
	State DecisionState
}

// DecisionState is how far a decision is known to have come.
type DecisionState string

// The states of a decision.
const (
	// DecisionDecided says that the order may reach the engine at any time.
	DecisionDecided DecisionState = "decided"
	// DecisionAccepted says that the engine took the order.
	DecisionAccepted DecisionState = "accepted"
	// DecisionReady says that the engine reported the load as done.
	DecisionReady DecisionState = "ready"
	// DecisionUnloading says that an unload order may reach the engine at any
	// time.
	DecisionUnloading DecisionState = "unloading"
)

type recordWire struct {
	Write     WriteID        `json:"write"`
	Group     string         `json:"group"`
	Fence     target.Fence   `json:"fence"`
	Released  bool           `json:"released,omitempty"`
	Decisions []decisionWire `json:"decisions"`
}

type decisionWire struct {
	ID      engine.OrderID `json:"decision"`
	Model   model.Name     `json:"model"`
	Version model.Version  `json:"version"`
	Base    model.Name     `json:"base,omitempty"`
	Bytes   model.Bytes    `json:"bytes"`
	Team    team.ID        `json:"team,omitempty"`
	State   DecisionState  `json:"state"`
}

// encodeRecord returns the value that the service holds for a record.
func encodeRecord(r Record) ([]byte, error) {
	w := recordWire{Write: r.Write, Group: r.Group, Fence: r.Fence, Released: r.Released}
	for _, d := range r.Decisions {
		w.Decisions = append(w.Decisions, decisionWire{
			ID: d.ID, Model: d.Ref.Name, Version: d.Ref.Version, Base: d.Ref.Base,
			Bytes: d.Bytes, Team: d.Team, State: d.State,
		})
	}
	value, err := json.Marshal(w)
	return value, trace.Wrap(err)
}

// decodeRecord reads the value that the service holds for a record.
func decodeRecord(value []byte) (*Record, error) {
	var w recordWire
	if err := json.Unmarshal(value, &w); err != nil {
		return nil, trace.Wrap(err)
	}
	r := &Record{Write: w.Write, Group: w.Group, Fence: w.Fence, Released: w.Released}
	for _, d := range w.Decisions {
		r.Decisions = append(r.Decisions, Decision{
			ID: d.ID, Ref: model.Ref{Name: d.Model, Version: d.Version, Base: d.Base},
			Bytes: d.Bytes, Team: d.Team, State: d.State,
		})
	}
	return r, nil
}
