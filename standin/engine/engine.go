// Package engine is a stand-in for a model engine: a small model of its time
// and memory behind the engines' HTTP protocol.
package engine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/engine"
	"hawthornway/standin/weights"
	"hawthornway/target"
)

// Loader loads weights that no near tier holds.
type Loader interface {
	// Load returns when the load is done.
	Load(ctx context.Context, load weights.Load) error
}

// Engine is a model engine. Run must run while it serves.
type Engine struct {
	settings Settings
	clock    clockwork.Clock
	loader   Loader
	wake     chan struct{}

	mu       sync.Mutex
	boot     engine.Boot
	sequence engine.Sequence
	fence    target.Fence
	role     engine.Role
	// life ends when the engine dies.
	life         context.Context
	kill         context.CancelFunc
	down         bool
	leavingSince time.Time
	faults       Faults
	thawed       chan struct{}

	replicas map[weightKey]*replica
	orders   orderLog
	queue    queue
	running  []*sequence
	arrivals uint64
	speed    float64
	last     identity

	host     *lru[weightKey]
	disk     *lru[weightKey]
	prefixes *lru[engine.Prefix]
	events   eventLog
	draw     *rand.Rand
	reported report

	counts     Counts
	accounted  time.Time
	executions map[string]int
	loads      []LoadRecord
}

// New returns a new Engine without replicas.
func New(settings Settings, clock clockwork.Clock, loader Loader) *Engine {
	e := &Engine{
		settings:   settings,
		clock:      clock,
		loader:     loader,
		wake:       make(chan struct{}, 1),
		thawed:     make(chan struct{}),
		host:       newLRU[weightKey](int64(settings.HostMemory)),
		disk:       newLRU[weightKey](int64(settings.Disk)),
		draw:       rand.New(rand.NewPCG(settings.Seed, 0)),
		accounted:  clock.Now(),
		executions: make(map[string]int),
		counts:     Counts{Memory: settings.Memory},
	}
	close(e.thawed)
	e.start()
	return e
}

// start begins a new run of the engine, with empty memory.
func (e *Engine) start() {
	e.boot = max(e.boot+1, engine.Boot(e.clock.Now().UnixMilli()))
	e.sequence = 1
	e.fence = 0
	e.role = engine.RoleMixed
	e.life, e.kill = context.WithCancel(context.Background())
	e.down = false
	e.replicas = make(map[weightKey]*replica)
	e.orders = newOrderLog()
	e.queue = nil
	e.running = nil
	e.prefixes = newLRU[engine.Prefix](int64(e.settings.PrefixBlocks))
	e.reported = e.report()
}

// Kill ends the engine's run: its replicas and requests are lost. It starts
// again after a time.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.die()
}

func (e *Engine) die() {
	if e.down {
		return
	}
	e.account()
	e.counts.Deaths++
	e.down = true
	e.kill()
	e.replicas = make(map[weightKey]*replica)
	e.queue = nil
	e.running = nil
	e.host = newLRU[weightKey](int64(e.settings.HostMemory))
	e.clock.AfterFunc(e.settings.RestartAfter, e.restart)
}

func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.account()
	e.start()
	e.wakeLoop()
}

// Run runs the batch and the reports until the context ends.
func (e *Engine) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { e.runBatch(ctx) })
	group.Go(func() { e.runReports(ctx) })
	group.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kill()
}

// Handler returns the engine's HTTP handler.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("GET /report", e.serveReport)
	mux.HandleFunc("GET /events", e.serveEvents)
	mux.HandleFunc("PUT /faults", e.serveFaults)
	mux.HandleFunc("GET /counts", e.serveCounts)
	mux.HandleFunc("GET /executions", e.serveExecutions)
	mux.HandleFunc("GET /loads", e.serveLoads)
	return mux
}

// awaitThaw waits while the engine is frozen. It ends the connection when the
// caller or the engine has gone.
func (e *Engine) awaitThaw(ctx context.Context) {
	e.mu.Lock()
	thawed, life, down := e.thawed, e.life, e.down
	e.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-thawed:
	case <-life.Done():
		panic(http.ErrAbortHandler)
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// sleep waits and reports whether the context is still alive.
func (e *Engine) sleep(ctx context.Context, d time.Duration) bool {
	timer := e.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}
