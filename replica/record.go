package replica

import (
	"encoding/json"

	"github.com/gravitational/trace"

	"hawthornway/engine"
	"hawthornway/model"
	"hawthornway/target"
	"hawthornway/team"
)

// recordPrefix is the key prefix of records.
const recordPrefix = "replica/"

// WriteID identifies one write of a record.
type WriteID string

// Record holds the decisions about one engine's memory. It is stored in the
// key-value service under "replica/<target>".
type Record struct {
	// Write identifies the write, so that an owner can tell after a lost answer
	// whether its write took effect.
	Write WriteID
	// Group is the group that the engine belongs to, as returned by
	// GroupKey.String.
	Group string
	Fence target.Fence
	// Released is set if the owner sends no more orders and Decisions lists
	// every order that may still take effect.
	Released  bool
	Decisions []Decision
}

// Decision is a decided load that is not confirmed gone.
type Decision struct {
	ID    engine.OrderID
	Ref   model.Ref
	Bytes model.Bytes
	Team  team.ID
	State DecisionState
}

// DecisionState is the last known state of a decision.
type DecisionState string

// The states of a decision.
const (
	// DecisionDecided means that the load order may reach the engine at any
	// time.
	DecisionDecided DecisionState = "decided"
	// DecisionAccepted means that the engine accepted the load order.
	DecisionAccepted DecisionState = "accepted"
	// DecisionReady means that the engine reported the load as complete.
	DecisionReady DecisionState = "ready"
	// DecisionUnloading means that an unload order may reach the engine at any
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

// encodeRecord returns the stored form of a record.
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

// decodeRecord parses the stored form of a record.
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
