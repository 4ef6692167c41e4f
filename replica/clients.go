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

// Clients provides the clients of targets.
type Clients interface {
	// Engine returns the client of an engine.
	Engine(t config.Target) engine.Client
	// Service returns the client of a plain service.
	Service(t config.Target) service.Client
}

// NewClients returns Clients that use HTTP. They keep one client per address.
func NewClients() Clients {
	return &cachedClients{engines: make(map[string]engine.Client), services: make(map[string]service.Client)}
}

type cachedClients struct {
	mu       sync.Mutex
	engines  map[string]engine.Client
	services map[string]service.Client
}

// Engine returns the client of an engine.
func (cc *cachedClients) Engine(t config.Target) engine.Client {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	c, ok := cc.engines[t.Address]
	if !ok {
		c = engine.NewClient(t.Address)
		cc.engines[t.Address] = c
	}
	return c
}

// Service returns the client of a plain service.
func (cc *cachedClients) Service(t config.Target) service.Client {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	c, ok := cc.services[t.Address]
	if !ok {
		c = service.NewClient(t.Address)
		cc.services[t.Address] = c
	}
	return c
}

// OrderResult is the result of sending an order. It is one of OrderAccepted,
// OrderFenced, OrderNoMemory, OrderRefused, OrderNotLeased and OrderUnknown.
type OrderResult interface {
	orderResult()
}

// OrderAccepted means that the engine accepted the order.
type OrderAccepted struct {
	// Sequence is the first state of the engine that includes the order.
	Sequence engine.Sequence
}

// OrderFenced means that the engine has seen a higher fence.
type OrderFenced struct {
	Highest target.Fence
}

// OrderNoMemory means that the engine has no memory for the order.
type OrderNoMemory struct{}

// OrderRefused means that the order had no effect.
type OrderRefused struct {
	Err error
}

// OrderNotLeased means that the order was not sent because this host has no
// lease on the shard under the order's fence.
type OrderNotLeased struct{}

// OrderUnknown means that the order may take effect, now or later.
type OrderUnknown struct {
	Err error
}

func (OrderAccepted) orderResult()  {}
func (OrderFenced) orderResult()    {}
func (OrderNoMemory) orderResult()  {}
func (OrderRefused) orderResult()   {}
func (OrderNotLeased) orderResult() {}
func (OrderUnknown) orderResult()   {}

// sendOrder sends an order and classifies its result.
func sendOrder(ctx context.Context, client engine.Client, order engine.Order) OrderResult {
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
