package engine

import (
	"hawthornway/model"
	"hawthornway/target"
)

// OrderID names one order; an engine takes each once.
type OrderID string

// OrderKind says what an order asks for.
type OrderKind string

// The kinds of order.
const (
	OrderLoad          OrderKind = "load"
	OrderUnload        OrderKind = "unload"
	OrderLoadAdapter   OrderKind = "load-adapter"
	OrderUnloadAdapter OrderKind = "unload-adapter"
	OrderRole          OrderKind = "role"
	// OrderFence only raises the engine's fence.
	OrderFence OrderKind = "fence"
)

// Role says which part of a request's work an engine takes.
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
	// Ref is the model or adapter of a load or unload.
	Ref model.Ref
	// Bytes is the memory that the load takes.
	Bytes model.Bytes
	// Role is set for OrderRole.
	Role Role
}

// Accepted is an engine's answer to an order that it took.
type Accepted struct {
	// Sequence is the engine's state that first shows the order.
	Sequence Sequence
}

// reasonFence is the reason of a refusal for an old fence.
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
