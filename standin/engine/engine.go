// Package engine is a stand-in for a model engine: it simulates an engine's
// timing and memory behind the engines' HTTP protocol.
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

// Loader loads weights that neither the host memory nor the disk holds.
type Loader interface {
	// Load returns when the weights are loaded.
	Load(ctx context.Context, load weights.Load) error
}

// Engine is a simulated model engine. Run must run while its handler serves.
type Engine struct {
	settings Settings
	clock    clockwork.Clock
	loader   Loader
	wake     chan struct{}

	mu       sync.Mutex
	boot     engine.BootID
	sequence engine.Sequence
	fence    target.Fence
	role     engine.Role
	// runContext ends when the engine crashes.
	runContext    context.Context
	endRun        context.CancelFunc
	crashed       bool
	drainingSince time.Time
	faults        Faults
	resumed       chan struct{}

	replicas        map[weightKey]*replica
	orders          orderLog
	queue           queue
	running         []*sequence
	arrivalCount    uint64
	tokensPerSecond float64
	lastIdentity    identity

	memoryTier *lru[weightKey]
	diskTier   *lru[weightKey]
	prefixes   *lru[engine.Prefix]
	events     eventLog
	random     *rand.Rand
	lastReport report

	counts      Counts
	accountedAt time.Time
	executions  map[string]int
	loads       []LoadRecord
}

// New returns an Engine without replicas.
func New(settings Settings, clock clockwork.Clock, loader Loader) *Engine {
	e := &Engine{
		settings:    settings,
		clock:       clock,
		loader:      loader,
		wake:        make(chan struct{}, 1),
		resumed:     make(chan struct{}),
		memoryTier:  newLRU[weightKey](int64(settings.HostMemory)),
		diskTier:    newLRU[weightKey](int64(settings.Disk)),
		random:      rand.New(rand.NewPCG(settings.Seed, 0)),
		accountedAt: clock.Now(),
		executions:  make(map[string]int),
		counts:      Counts{Memory: settings.Memory},
	}
	close(e.resumed)
	e.startRun()
	return e
}

// startRun starts the engine with empty memory and a new boot number.
func (e *Engine) startRun() {
	e.boot = max(e.boot+1, engine.BootID(e.clock.Now().UnixMilli()))
	e.sequence = 1
	e.fence = 0
	e.role = engine.RoleMixed
	e.runContext, e.endRun = context.WithCancel(context.Background())
	e.crashed = false
	e.replicas = make(map[weightKey]*replica)
	e.orders = newOrderLog()
	e.queue = nil
	e.running = nil
	e.prefixes = newLRU[engine.Prefix](int64(e.settings.PrefixBlocks))
	e.lastReport = e.report()
}

// Kill crashes the engine: its replicas and requests are lost. It restarts after
// Settings.RestartDelay.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	if e.crashed {
		return
	}
	e.accountMemory()
	e.counts.Crashes++
	e.crashed = true
	e.endRun()
	e.replicas = make(map[weightKey]*replica)
	e.queue = nil
	e.running = nil
	e.memoryTier = newLRU[weightKey](int64(e.settings.HostMemory))
	e.clock.AfterFunc(e.settings.RestartDelay, e.restart)
}

func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accountMemory()
	e.startRun()
	e.wakeBatch()
}

// Run runs the batch and the reports until the context ends.
func (e *Engine) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { e.runBatch(ctx) })
	group.Go(func() { e.runReports(ctx) })
	group.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endRun()
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

// awaitResume waits while the engine is frozen. It aborts the connection when
// the engine has crashed or the caller disconnects.
func (e *Engine) awaitResume(ctx context.Context) {
	e.mu.Lock()
	resumed, runContext, crashed := e.resumed, e.runContext, e.crashed
	e.mu.Unlock()
	if crashed {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-resumed:
	case <-runContext.Done():
		panic(http.ErrAbortHandler)
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) wakeBatch() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// sleep waits for d. It returns false if the context ends first.
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
