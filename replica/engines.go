package replica

import (
	"context"

	"hawthornway/config"
	"hawthornway/model"
	"hawthornway/target"
)

// Engines speaks to engines and plain services.
type Engines interface {
	// Order gives an order to an engine.
	Order(ctx context.Context, to config.Target, order Order) OrderResult
	// Report asks a target for its report. A fresh one is made when it is asked
	// for; any other lags.
	Report(ctx context.Context, of config.Target, fresh bool) (Report, error)
}

// OrderID identifies an order. An engine takes an order once.
type OrderID string

// OrderKind says what an order does.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad          OrderKind = "load"
	OrderUnload        OrderKind = "unload"
	OrderLoadAdapter   OrderKind = "load-adapter"
	OrderUnloadAdapter OrderKind = "unload-adapter"
	OrderFence         OrderKind = "fence"
)

// Order tells an engine to load or unload a model or an adapter.
type Order struct {
	ID    OrderID
	Kind  OrderKind
	Fence target.Fence
	Ref   model.Ref
	Bytes model.Bytes
}

// OrderResult is what came of giving an order. It is one of OrderAccepted,
// OrderFenced, OrderNoMemory, OrderRefused and OrderUnknown.
type OrderResult interface {
	orderResult()
}

// OrderAccepted says that the engine took the order.
type OrderAccepted struct {
	// Sequence is the engine's state that includes the order.
	Sequence uint64
}

// OrderFenced says that the engine has seen a higher fence.
type OrderFenced struct {
	Fence target.Fence
}

// OrderNoMemory says that the engine has no room for the order.
type OrderNoMemory struct{}

// OrderRefused says that the order had no effect.
type OrderRefused struct {
	Err error
}

// OrderUnknown says that the order may take effect, now or later.
type OrderUnknown struct {
	Err error
}

func (OrderAccepted) orderResult() {}
func (OrderFenced) orderResult()   {}
func (OrderNoMemory) orderResult() {}
func (OrderRefused) orderResult()  {}
func (OrderUnknown) orderResult()  {}

// Boot identifies one start of an engine.
type Boot string

// Report is the state that an engine or a service gives of itself.
type Report struct {
	Target target.ID
	Boot   Boot
	// Sequence rises with each change of the engine's state.
	Sequence uint64
	Fence    target.Fence
	Memory   model.Bytes
	Used     model.Bytes
	Loaded   []Loaded
	Cached   []Cached
	Load     Load
}

// Loaded is a model or an adapter in an engine's memory.
type Loaded struct {
	Ref   model.Ref
	Bytes model.Bytes
	State LoadState
	// Order is the order that loaded it.
	Order OrderID
}

// LoadState is the state of a model in an engine's memory.
type LoadState string

// The states of a model in an engine's memory.
const (
	StateLoading   LoadState = "loading"
	StateReady     LoadState = "ready"
	StateUnloading LoadState = "unloading"
	StateFailed    LoadState = "failed"
)

// Cached is a set of weights that an engine loads faster than from the weight
// store.
type Cached struct {
	Name    model.Name
	Version model.Version
	Source  Source
}
