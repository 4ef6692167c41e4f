package engine

import (
	"net/http"
	"time"

	"hawthornway/engine"
	"hawthornway/model"
	"hawthornway/standin/wire"
	"hawthornway/target"
)

// maxOrders limits the number of order IDs that an engine remembers.
const maxOrders = 20000

// orderLog remembers the accepted orders, oldest first, so that a repeated order
// is not executed twice.
type orderLog struct {
	sequences map[engine.OrderID]engine.Sequence
	ids       []engine.OrderID
}

func newOrderLog() orderLog {
	return orderLog{sequences: make(map[engine.OrderID]engine.Sequence)}
}

func (l *orderLog) add(id engine.OrderID, sequence engine.Sequence) {
	l.sequences[id] = sequence
	l.ids = append(l.ids, id)
	if len(l.ids) > maxOrders {
		delete(l.sequences, l.ids[0])
		l.ids = l.ids[1:]
	}
}

type wireOrder struct {
	Order   engine.OrderID   `json:"order"`
	Kind    engine.OrderKind `json:"kind"`
	Fence   target.Fence     `json:"fence"`
	Model   model.Name       `json:"model"`
	Version model.Version    `json:"version"`
	Base    model.Name       `json:"base"`
	Bytes   model.Bytes      `json:"bytes"`
	Role    engine.Role      `json:"role"`
}

type wireAccepted struct {
	Accepted bool            `json:"accepted"`
	Sequence engine.Sequence `json:"sequence"`
}

// wireRefusal is the response to a refused order.
type wireRefusal struct {
	Reason string       `json:"reason"`
	Fence  target.Fence `json:"fence"`
	status int
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	e.awaitResume(r.Context())
	var order wireOrder
	if e.refuseKey(w, r) || !wire.ReadJSON(w, r, &order) {
		return
	}
	e.delayOrder()
	accepted, refused := e.acceptOrder(order)
	if refused != nil {
		wire.WriteJSON(w, refused.status, refused)
		return
	}
	wire.WriteJSON(w, http.StatusOK, accepted)
}

// delayOrder waits for the delay of the OrderDelayMS fault, even if the sender
// disconnects.
func (e *Engine) delayOrder() {
	e.mu.Lock()
	delay := time.Duration(e.faults.OrderDelayMS) * time.Millisecond
	runContext := e.runContext
	e.mu.Unlock()
	if delay > 0 && !e.sleep(runContext, delay) {
		panic(http.ErrAbortHandler)
	}
}

// acceptOrder executes an order, once for each order ID.
func (e *Engine) acceptOrder(order wireOrder) (wireAccepted, *wireRefusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		panic(http.ErrAbortHandler)
	}
	if e.faults.RefuseOrders {
		return wireAccepted{}, &wireRefusal{Reason: "refused", status: http.StatusServiceUnavailable}
	}
	if refused := e.checkFence(order.Fence); refused != nil {
		return wireAccepted{}, refused
	}
	if sequence, done := e.orders.sequences[order.Order]; done {
		return wireAccepted{Accepted: true, Sequence: sequence}, nil
	}
	if refused := e.execute(order); refused != nil {
		return wireAccepted{}, refused
	}
	e.stateSequence++
	e.orders.add(order.Order, e.stateSequence)
	return wireAccepted{Accepted: true, Sequence: e.stateSequence}, nil
}

func (e *Engine) checkFence(fence target.Fence) *wireRefusal {
	if !e.settings.ChecksFence {
		return nil
	}
	if fence < e.fence {
		e.counts.FencedOrders++
		return &wireRefusal{Reason: "fence", Fence: e.fence, status: http.StatusConflict}
	}
	e.fence = fence
	return nil
}

func (e *Engine) execute(order wireOrder) *wireRefusal {
	switch order.Kind {
	case engine.OrderLoad, engine.OrderLoadAdapter:
		return e.load(order)
	case engine.OrderUnload, engine.OrderUnloadAdapter:
		if r := e.replicas[weightKey{name: order.Model, version: order.Version}]; r != nil {
			e.unload(r)
		}
		return nil
	case engine.OrderRole:
		e.role = order.Role
		return nil
	case engine.OrderFence:
		return nil
	default:
		return &wireRefusal{Reason: "unknown-kind", status: http.StatusBadRequest}
	}
}

func (e *Engine) load(order wireOrder) *wireRefusal {
	r := &replica{
		ref:   model.Ref{Name: order.Model, Version: order.Version, Base: order.Base},
		bytes: order.Bytes,
		order: order.Order,
	}
	if old := e.replicas[r.key()]; old != nil && old.usesMemory() {
		if old.state == engine.ReplicaUnloading {
			return &wireRefusal{Reason: "unloading", status: http.StatusServiceUnavailable}
		}
		return nil
	}
	if r.ref.IsAdapter() {
		r.base = e.readyReplica(order.Base)
		if r.base == nil {
			return &wireRefusal{Reason: "base-not-loaded", status: http.StatusServiceUnavailable}
		}
	}
	if e.usedMemory()+r.bytes > e.settings.Memory {
		e.counts.OvercommitOrders++
		return &wireRefusal{Reason: "memory", status: http.StatusInsufficientStorage}
	}
	e.beginLoad(r)
	return nil
}
