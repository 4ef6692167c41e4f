package replica

import (
	"context"
	"errors"
	"sync"

	"hawthornway/config"
	"hawthornway/engine"
	"hawthornway/jsonhttp"
	"hawthornway/service"
	"hawthornway/target"
)

// Engines gives the clients of targets.
type Engines interface {
	// Engine returns the client of an engine.
	Engine(t config.Target) engine.Client
	// Service returns the client of a plain service.
	Service(t config.Target) service.Client
}

// NewEngines returns a new Engines whose clients speak HTTP. Clients are kept by
// address.
func NewEngines() Engines {
	return &engines{engines: make(map[string]engine.Client), services: make(map[string]service.Client)}
}

type engines struct {
	mu       sync.Mutex
	engines  map[string]engine.Client
	services map[string]service.Client
}

// Engine returns the client of an engine.
func (e *engines) Engine(t config.Target) engine.Client {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.engines[t.Address]
	if !ok {
		c = engine.NewClient(t.Address)
		e.engines[t.Address] = c
	}
	return c
}

// Service returns the client of a plain service.
func (e *engines) Service(t config.Target) service.Client {
	e.mu.Lock()
	defer e.mu.Unlock()
	c, ok := e.services[t.Address]
	if !ok {
		c = service.NewClient(t.Address)
		e.services[t.Address] = c
	}
	return c
}

// OrderResult is what came of giving an order. It is one of OrderAccepted,
// OrderFenced, OrderNoMemory, OrderRefused, OrderNotHeld and OrderUnknown.
type OrderResult interface {
	orderResult()
}

// OrderAccepted says that the engine took the order.
type OrderAccepted struct {
	// Sequence is the engine's state that first shows the order.
	Sequence engine.Sequence
}

// OrderFenced says that the engine has seen a higher fence.
type OrderFenced struct {
	Highest target.Fence
}

// OrderNoMemory says that the engine has no room for the order.
type OrderNoMemory struct{}

// OrderRefused says that the order had no effect.
type OrderRefused struct {
	Err error
}

// OrderNotHeld says that the order was not sent, since this host may not act for
// the engine now.
type OrderNotHeld struct{}

// OrderUnknown says that the order may take effect, now or later.
type OrderUnknown struct {
	Err error
}

func (OrderAccepted) orderResult() {}
func (OrderFenced) orderResult()   {}
func (OrderNoMemory) orderResult() {}
func (OrderRefused) orderResult()  {}
func (OrderNotHeld) orderResult()  {}
func (OrderUnknown) orderResult()  {}

// give sends an order and sorts its result.
func give(ctx context.Context, client engine.Client, order engine.Order) OrderResult {
	accepted, err := client.Order(ctx, order)
	var fenced *engine.FenceError
	var memory *engine.MemoryError
	var refused *engine.RefusedError
	switch {
	case err == nil:
		return OrderAccepted{Sequence: accepted.Sequence}
	case errors.As(err, &fenced):
		return OrderFenced{Highest: fenced.Highest}
	case errors.As(err, &memory):
		return OrderNoMemory{}
	case errors.As(err, &refused), errors.Is(err, jsonhttp.ErrNotSent):
		return OrderRefused{Err: err}
	default:
		return OrderUnknown{Err: err}
	}
}
