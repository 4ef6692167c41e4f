package engine

import (
	"hawthornway/model"
	"hawthornway/target"
)

// OrderID identifies an order. An engine carries out each ID only once.
type OrderID string

// OrderKind is the operation of an order.
type OrderKind string

// The kinds of order.
const (
	OrderLoad          OrderKind = "load"
	OrderUnload        OrderKind = "unload"
	OrderLoadAdapter   OrderKind = "load-adapter"
	OrderUnloadAdapter OrderKind = "unload-adapter"
	// OrderRole sets the engine's role.
	OrderRole OrderKind = "role"
	// OrderFence raises the engine's fence and has no other effect.
	OrderFence OrderKind = "fence"
)

// Role selects the phases of a request that an engine runs.
type Role string

// The roles of engines.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Order is one order to an engine.
type Order struct {
	ID    OrderID
	Kind  OrderKind
	Fence target.Fence
	// Ref is the model or adapter to load or unload.
	Ref model.Ref
	// Bytes is the memory requirement of a load.
	Bytes model.Bytes
	// Role is set for OrderRole.
	Role Role
}

// Accepted is an engine's response to an order that it accepted.
type Accepted struct {
	// Sequence numbers the first state of the engine that includes the order.
	Sequence Sequence
}

// reasonFence is the refusal reason for an order with an outdated fence.
const reasonFence = "fence"

type wireOrder struct {
	Order   OrderID       `json:"order"`
	Kind    OrderKind     `json:"kind"`
	Fence   target.Fence  `json:"fence"`
	Model   model.Name    `json:"model,omitempty"`
	Version model.Version `json:"version,omitempty"`
	Base    model.Name    `json:"base,omitempty"`
	Bytes   model.Bytes   `json:"bytes,omitempty"`
	Role    Role          `json:"role,omitempty"`
}

func newWireOrder(o Order) wireOrder {
	return wireOrder{
		Order:   o.ID,
		Kind:    o.Kind,
		Fence:   o.Fence,
		Model:   o.Ref.Name,
		Version: o.Ref.Version,
		Base:    o.Ref.Base,
		Bytes:   o.Bytes,
		Role:    o.Role,
	}
}

type wireAccepted struct {
	Sequence Sequence `json:"sequence"`
}

type wireRefusal struct {
	Reason string       `json:"reason"`
	Fence  target.Fence `json:"fence"`
}
