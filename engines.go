package hawthornway

import (
	"context"
	"errors"
	"strconv"
	"sync"

	"hawthornway/config"
	"hawthornway/engine"
	"hawthornway/jsonhttp"
	"hawthornway/replica"
	"hawthornway/service"
	"hawthornway/target"
)

// engines speaks to targets for package replica. It keeps one client an
// address.
type engines struct {
	mu       sync.Mutex
	engines  map[string]engine.Client
	services map[string]service.Client
}

func newEngines() *engines {
	return &engines{
		engines:  make(map[string]engine.Client),
		services: make(map[string]service.Client),
	}
}

func (e *engines) engine(address string) engine.Client {
	e.mu.Lock()
	defer e.mu.Unlock()
	client, ok := e.engines[address]
	if !ok {
		client = engine.NewClient(address)
		e.engines[address] = client
	}
	return client
}

func (e *engines) service(address string) service.Client {
	e.mu.Lock()
	defer e.mu.Unlock()
	client, ok := e.services[address]
	if !ok {
		client = service.NewClient(address)
		e.services[address] = client
	}
	return client
}

// Order gives an order to an engine.
func (e *engines) Order(ctx context.Context, to config.Target, order replica.Order) replica.OrderResult {
	accepted, err := e.engine(to.Address).Order(ctx, engine.Order{
		ID:    engine.OrderID(order.ID),
		Kind:  engine.OrderKind(order.Kind),
		Fence: order.Fence,
		Ref:   order.Ref,
		Bytes: order.Bytes,
	})
	if err == nil {
		return replica.OrderAccepted{Sequence: uint64(accepted.Sequence)}
	}
	return orderResult(err)
}

// orderResult says what is known of an order that failed.
func orderResult(err error) replica.OrderResult {
	var fenced *engine.FenceError
	var memory *engine.MemoryError
	var refused *engine.RefusedError
	switch {
	case errors.As(err, &fenced):
		return replica.OrderFenced{Fence: fenced.Highest}
	case errors.As(err, &memory):
		return replica.OrderNoMemory{}
	case errors.As(err, &refused), errors.Is(err, jsonhttp.ErrNotSent):
		return replica.OrderRefused{Err: err}
	default:
		return replica.OrderUnknown{Err: err}
	}
}

// Report asks a target for its report.
func (e *engines) Report(ctx context.Context, of config.Target, fresh bool) (replica.Report, error) {
	if of.Kind == target.KindService {
		return e.serviceReport(ctx, of)
	}
	report, err := e.engine(of.Address).Report(ctx, engine.Freshness(fresh))
	if err != nil {
		return replica.Report{}, err
	}
	return engineReport(report), nil
}

func (e *engines) serviceReport(ctx context.Context, of config.Target) (replica.Report, error) {
	report, err := e.service(of.Address).Report(ctx)
	if err != nil {
		return replica.Report{}, err
	}
	return replica.Report{
		Target: of.Name,
		Load: replica.Load{
			Running: report.Running,
			Slots:   report.Slots,
			Leaving: report.Leaving,
		},
	}, nil
}

func engineReport(from engine.Report) replica.Report {
	report := replica.Report{
		Target:   from.Target,
		Boot:     replica.Boot(strconv.FormatUint(uint64(from.Boot), 10)),
		Sequence: uint64(from.Sequence),
		Fence:    from.Fence,
		Memory:   from.Memory,
		Used:     from.Used,
		Load: replica.Load{
			Running:         from.Running,
			Queued:          from.Queued,
			Slots:           from.Slots,
			TokensPerSecond: from.TokensPerSecond,
			Leaving:         from.Leaving,
		},
	}
	for _, loaded := range from.Replicas {
		report.Loaded = append(report.Loaded, replica.Loaded{
			Ref:   loaded.Ref,
			Bytes: loaded.Bytes,
			State: replica.LoadState(loaded.State),
			Order: replica.OrderID(loaded.Order),
		})
	}
	for _, cached := range from.Cached {
		report.Cached = append(report.Cached, replica.Cached{
			Name:    cached.Name,
			Version: cached.Version,
			Source:  replica.Source(cached.Tier),
		})
	}
	return report
}
