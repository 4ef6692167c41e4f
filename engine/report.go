package engine

import (
	"time"

	"hawthornway/model"
	"hawthornway/target"
)

// Sequence orders the states of one run of an engine.
type Sequence uint64

// BootID identifies one run of an engine. Later runs have higher numbers.
type BootID uint64

// ReplicaState is the state of a replica on an engine.
type ReplicaState string

// The states of a replica.
const (
	ReplicaLoading   ReplicaState = "loading"
	ReplicaReady     ReplicaState = "ready"
	ReplicaUnloading ReplicaState = "unloading"
	ReplicaFailed    ReplicaState = "failed"
)

// Tier is a cache tier for weights on the engine's machine.
type Tier string

// The tiers of cached weights.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
)

// Report is an engine's state at one point in time.
type Report struct {
	Target   target.ID
	BootID   BootID
	Sequence Sequence
	// TakenAt is the time of the report by the engine's clock.
	TakenAt time.Time
	// Fence is the highest fence seen, or zero if the engine ignores fences.
	Fence    target.Fence
	Role     Role
	Memory   model.Bytes
	Used     model.Bytes
	Replicas []Replica
	Cached   []Cached
	Running  int
	Queued   int
	Slots    int
	// TokensPerSecond is the rate over the last second.
	TokensPerSecond float64
	Draining        bool
}

// Replica is a model or adapter on an engine.
type Replica struct {
	Ref   model.Ref
	Bytes model.Bytes
	State ReplicaState
	// Order is the order that loaded the replica.
	Order OrderID
}

// Cached is a model whose weights the engine has in a local cache tier.
type Cached struct {
	Name    model.Name
	Version model.Version
	Tier    Tier
}

type wireReport struct {
	Target          target.ID     `json:"target"`
	Boot            BootID        `json:"boot"`
	Sequence        Sequence      `json:"sequence"`
	TakenAtMS       int64         `json:"taken-at-ms"`
	Fence           target.Fence  `json:"fence"`
	Role            Role          `json:"role"`
	Memory          model.Bytes   `json:"memory"`
	Used            model.Bytes   `json:"used"`
	Replicas        []wireReplica `json:"replicas"`
	Cached          []wireCached  `json:"cached"`
	Running         int           `json:"running"`
	Queued          int           `json:"queued"`
	Slots           int           `json:"slots"`
	TokensPerSecond float64       `json:"tokens-per-second"`
	Draining        bool          `json:"leaving"`
}

type wireReplica struct {
	Model   model.Name    `json:"model"`
	Version model.Version `json:"version"`
	Base    model.Name    `json:"base"`
	Bytes   model.Bytes   `json:"bytes"`
	State   ReplicaState  `json:"state"`
	Order   OrderID       `json:"order"`
}

type wireCached struct {
	Model   model.Name    `json:"model"`
	Version model.Version `json:"version"`
	Tier    Tier          `json:"tier"`
}

func (w wireReport) report() Report {
	r := Report{
		Target:          w.Target,
		BootID:          w.Boot,
		Sequence:        w.Sequence,
		TakenAt:         time.UnixMilli(w.TakenAtMS),
		Fence:           w.Fence,
		Role:            w.Role,
		Memory:          w.Memory,
		Used:            w.Used,
		Running:         w.Running,
		Queued:          w.Queued,
		Slots:           w.Slots,
		TokensPerSecond: w.TokensPerSecond,
		Draining:        w.Draining,
	}
	for _, replica := range w.Replicas {
		r.Replicas = append(r.Replicas, replica.replica())
	}
	for _, cached := range w.Cached {
		r.Cached = append(r.Cached, Cached{Name: cached.Model, Version: cached.Version, Tier: cached.Tier})
	}
	return r
}

func (w wireReplica) replica() Replica {
	return Replica{
		Ref:   model.Ref{Name: w.Model, Version: w.Version, Base: w.Base},
		Bytes: w.Bytes,
		State: w.State,
		Order: w.Order,
	}
}
