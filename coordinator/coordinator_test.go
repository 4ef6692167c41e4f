package coordinator_test

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/boottime"
	"hawthornway/catalog"
	"hawthornway/coordinator"
	"hawthornway/election"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/model"
	"hawthornway/peer"
	"hawthornway/platform"
	"hawthornway/quota"
	"hawthornway/roster"
	"hawthornway/target"
)

const size = model.Bytes(70e9)

// engines are engines in memory that take orders as the platform's do.
type engines struct {
	mu     sync.Mutex
	states map[target.ID]*state
}

type state struct {
	sequence roster.Sequence
	held     []model.Name
	adapters map[model.Name][]model.Name
	busy     bool
	orders   []platform.Order
	// lose has the next orders carried out without an answer, late if set.
	lose int
	late time.Duration
	// overloaded counts loads beyond three models, or eight adapters.
	overloaded int
	// before is called before the next order for a model is taken.
	before func()
	// reports are what the engine said of itself, from when on.
	reports []timed
}

type timed struct {
	at     time.Time
	report platform.Report
}

// reportLag is how old the reports of engines are.
const reportLag = 100 * time.Millisecond

var errLost = errors.New("answer lost")

func (e *engines) Order(_ context.Context, t roster.Target, order platform.Order) (platform.Accepted, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.states[t.ID]
	if before := s.before; before != nil && order.Adapter == "" {
		s.before = nil
		before()
	}
	if s.lose > 0 {
		s.lose--
		time.AfterFunc(s.late, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			_ = e.take(s, order) // nobody hears whether it was taken
		})
		return platform.Accepted{}, errLost
	}
	return platform.Accepted{}, e.take(s, order)
}

func (e *engines) take(s *state, order platform.Order) error {
	if order.Expected != s.sequence || (s.busy && order.Adapter == "") {
		return platform.ErrEngineBusy
	}
	s.sequence++
	s.orders = append(s.orders, order)
	defer s.record()
	switch {
	case order.Adapter != "" && order.Unload:
		s.adapters[order.Model] = slices.DeleteFunc(s.adapters[order.Model], func(n model.Name) bool { return n == order.Adapter })
	case order.Adapter != "":
		s.adapters[order.Model] = append(s.adapters[order.Model], order.Adapter)
		count := 0
		for _, list := range s.adapters {
			count += len(list)
		}
		if count > 8 {
			s.overloaded++
		}
	case order.Unload:
		s.held = slices.DeleteFunc(s.held, func(n model.Name) bool { return n == order.Model })
		delete(s.adapters, order.Model)
	default:
		if len(s.held) >= 3 {
			s.overloaded++
		}
		s.busy = true
		time.AfterFunc(time.Second, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			s.busy = false
			s.held = append(s.held, order.Model)
			s.record()
		})
	}
	return nil
}

// record keeps what the engine says of itself from now on.
func (s *state) record() {
	report := platform.Report{Busy: s.busy, Sequence: s.sequence}
	for _, name := range s.held {
		report.Holdings.Models = append(report.Holdings.Models, roster.Resident{Model: name, Adapters: slices.Clone(s.adapters[name])})
	}
	report.Holdings.OnDisk = []model.Name{"m0", "m1", "m2", "m3", "m4"}
	s.reports = append(s.reports, timed{time.Now(), report})
}

func (e *engines) Report(_ context.Context, t roster.Target) (platform.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.states[t.ID]
	said := s.reports[0].report
	for _, r := range s.reports {
		if time.Since(r.at) >= reportLag {
			said = r.report
		}
	}
	return said, nil
}

// mesh has no other hosts.
type mesh struct{}

func (mesh) Self() fleet.Member                                            { return fleet.Member{Host: "h"} }
func (mesh) Handle(peer.Kind, peer.Handler)                                {}
func (mesh) Call(context.Context, fleet.HostID, peer.Kind, any, any) error { return peer.ErrNotSent }

func (mesh) Notify(fleet.HostID, peer.Kind, any) error { return peer.ErrNotSent }
func (mesh) Peers() []peer.Peer                        { return nil }
func (mesh) SetPeers([]fleet.Member)                   {}
func (mesh) Leader() (election.Leader, bool)           { return election.Leader{Host: "h", Fence: 1}, true }

func (mesh) Learn(election.Leader)                                                    {}
func (mesh) OrderDelay() time.Duration                                                { return 0 }
func (mesh) Term() (target.Fence, bool, bool)                                         { return 1, true, true }
func (mesh) UpdateTargets([]roster.Target, []target.ID, []target.ID, []roster.Bucket) {}
func (mesh) ConfirmCurrent(catalog.Version, keyvalue.Revision, boottime.Instant)      {}
func (mesh) Digests() roster.Digests                                                  { return roster.Digests{} }
func (mesh) SetModels(target.ID, roster.Start, []roster.Resident)                     {}

// world is a coordinator and its own host's client.
type world struct {
	engines *engines
	roster  *roster.Roster
	client  *coordinator.Client
	mu      sync.Mutex
	usage   coordinator.Usage
}

func newWorld(ctx context.Context, running *sync.WaitGroup, held map[target.ID][]model.Name) *world {
	w := &world{engines: &engines{states: map[target.ID]*state{}}, roster: roster.New(boottime.SystemClock{})}
	models := map[model.Name]catalog.Model{}
	for _, name := range []model.Name{"m0", "m1", "m2", "m3", "m4"} {
		models[name] = catalog.Model{Name: name, Size: size, AdapterSize: 1e8, StoreLoadTime: 6 * time.Second, DiskLoadTime: time.Second}
	}
	c := catalog.New(catalog.Content{Version: 1, Pools: []catalog.Pool{{Name: "p", Engines: &catalog.Engines{
		Slots: 16, Memory: 3*size + 1e9, AdapterSlots: 8, LoadsPerSecond: 4, Models: models,
	}}}})
	for id, names := range held {
		w.engines.states[id] = &state{held: names, adapters: map[model.Name][]model.Name{}}
		w.engines.states[id].record()
		w.roster.Put(roster.Target{ID: id, Pool: "p", Address: "10.0.0.1:" + string(id), Domain: "d", Slots: 16})
	}
	log := slog.New(slog.DiscardHandler)
	local := coordinator.New(
		coordinator.WithSelf(fleet.Member{Host: "h"}), coordinator.WithTerms(mesh{}), coordinator.WithMesh(mesh{}),
		coordinator.WithRoster(w.roster), coordinator.WithCatalogs(func() *catalog.Catalog { return c }),
		coordinator.WithEngines(w.engines), coordinator.WithBounds(platform.Bounds{LoadWindow: 5 * time.Second, LoadOvershoot: 1.1}),
		coordinator.WithLogger(log),
	)
	w.client = coordinator.NewClient(mesh{}, mesh{}, local, mesh{}, func() coordinator.Usage {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.usage
	}, func(target.ID, int) {}, clockwork.NewRealClock(), boottime.SystemClock{}, log)
	running.Go(func() { _ = local.Run(ctx) })
	running.Go(func() { _ = w.client.Run(ctx) })
	return w
}

// run runs a test in virtual time.
func run(t *testing.T, held map[target.ID][]model.Name, test func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		w := newWorld(ctx, &running, held)
		time.Sleep(1200 * time.Millisecond) // the first reports
		test(w)
		cancel()
		running.Wait()
	})
}

func (w *world) holds(id target.ID, name, adapter model.Name) bool {
	t, _ := w.roster.Get(id)
	return w.client.Holdings(t).Has(name, adapter)
}

// want asks for a model until it is held, and returns how long that took.
func (w *world) want(id target.ID, name, adapter model.Name, within time.Duration) time.Duration {
	began := time.Now()
	for !w.holds(id, name, adapter) && time.Since(began) < within {
		w.client.RequestLoad("p", name, adapter, coordinator.Waiting{Total: 1, OnTime: 1}, 0)
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

func one() map[target.ID][]model.Name {
	return map[target.ID][]model.Name{"e1": {"m0", "m1", "m2"}}
}

// Pattern: a rare model takes the place of another one. It costs two orders, and
// no host is told of the model that has made way.
func TestSwap(t *testing.T) {
	run(t, one(), func(w *world) {
		took := w.want("e1", "m3", "", 5*time.Second)
		must.Less(t, 1500*time.Millisecond, took)
		s := w.engines.states["e1"]
		must.SliceLen(t, 2, s.orders)
		must.True(t, s.orders[0].Unload)
		must.False(t, w.holds("e1", s.orders[0].Model, ""))
		time.Sleep(2 * time.Second)
		must.False(t, w.holds("e1", s.orders[0].Model, ""))
		must.True(t, w.holds("e1", "m3", ""))
	})
}

// Pattern: answers to orders are lost, and the orders are carried out late. The
// engine is never ordered to hold too much, and the model comes in the end.
func TestLostAndLateOrders(t *testing.T) {
	cases := []struct {
		name string
		late time.Duration
		lose int
	}{
		{"carried out at once", 0, 1},
		{"carried out late", 2 * time.Second, 1},
		{"two lost, carried out late", 3 * time.Second, 2},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			run(t, one(), func(w *world) {
				s := w.engines.states["e1"]
				s.lose, s.late = tc.lose, tc.late
				must.Less(t, 15*time.Second, w.want("e1", "m3", "", 20*time.Second))
				time.Sleep(10 * time.Second)
				must.Eq(t, 0, s.overloaded)
			})
		})
	}
}

// Pattern: more adapters are asked for than there are places. They take turns,
// and none is ordered beyond the places.
func TestAdaptersTakeTurns(t *testing.T) {
	run(t, one(), func(w *world) {
		for i := range 12 {
			adapter := model.Name([]string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}[i])
			must.Less(t, time.Second, w.want("e1", "m0", adapter, 3*time.Second))
		}
		must.Eq(t, 0, w.engines.states["e1"].overloaded)
	})
}

// Pattern: many adapters are asked for at the same moment.
func TestAdaptersAtOnceKeepToThePlaces(t *testing.T) {
	run(t, one(), func(w *world) {
		for range 300 {
			for _, adapter := range []model.Name{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} {
				w.client.RequestLoad("p", "m0", adapter, coordinator.Waiting{Total: 1, OnTime: 1}, 0)
			}
			time.Sleep(10 * time.Millisecond)
		}
		must.Eq(t, 0, w.engines.states["e1"].overloaded)
	})
}

// Pattern: a coordinator takes over while an order of its predecessor is still
// carried out. It waits for the end of it.
func TestUnknownOrderIsWaitedFor(t *testing.T) {
	run(t, map[target.ID][]model.Name{"e1": {"m0", "m1"}}, func(w *world) {
		s := w.engines.states["e1"]
		w.engines.mu.Lock()
		must.NoError(t, w.engines.take(s, platform.Order{Model: "m2", Expected: s.sequence}))
		w.engines.mu.Unlock()
		must.Less(t, 6*time.Second, w.want("e1", "m3", "", 8*time.Second))
		must.Eq(t, 0, s.overloaded)
	})
}

// Pattern: an order of a former coordinator is carried out late, just before the
// first one of the next. The engine is not ordered to hold what that one loads
// besides.
func TestLateOrderOfAFormerCoordinator(t *testing.T) {
	run(t, map[target.ID][]model.Name{"e1": {"m0", "m1"}}, func(w *world) {
		s := w.engines.states["e1"]
		s.before = func() { _ = w.engines.take(s, platform.Order{Model: "m2", Expected: s.sequence}) }
		w.want("e1", "m3", "", 8*time.Second)
		must.Eq(t, 0, s.overloaded)
	})
}

// The same while adapters are ordered, which engines take beside a load.
func TestLateOrderBesideAdapters(t *testing.T) {
	run(t, map[target.ID][]model.Name{"e1": {"m0", "m1"}}, func(w *world) {
		s := w.engines.states["e1"]
		s.before = func() { _ = w.engines.take(s, platform.Order{Model: "m2", Expected: s.sequence}) }
		for i := range 400 {
			w.client.RequestLoad("p", "m3", "", coordinator.Waiting{Total: 1, OnTime: 1}, 0)
			w.client.RequestLoad("p", "m0", model.Name(string(rune('a'+i/40))), coordinator.Waiting{Total: 1, OnTime: 1}, 0)
			time.Sleep(10 * time.Millisecond)
		}
		must.Eq(t, 0, s.overloaded)
	})
}

// The ledger is kept by the coordinator, in its host's own process too.
func TestBorrow(t *testing.T) {
	run(t, one(), func(w *world) {
		lent, err := w.client.Borrow(context.Background(), "team", quota.BorrowRequest{Need: 5})
		must.NoError(t, err)
		must.Eq(t, 5, lent.Tokens)
		must.True(t, w.client.Reached())
		_, covered := w.client.RelayedStateAge()
		must.False(t, covered) // the coordinator's host follows the store
	})
}
