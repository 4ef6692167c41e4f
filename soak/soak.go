// Package soak runs hosts as separate processes on a simulated platform, injects
// random faults, and checks what callers and targets observe.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"hawthornway/platform/platformtest"
)

// Options configure a run.
type Options struct {
	// Binary is the path of the host program.
	Binary string
	// Folder is the folder for settings files and logs.
	Folder string
	Seed   uint64
	// Shape is the deployment. It is the first of Shapes if it is empty.
	Shape Shape
	// Hosts is the number of hosts. It is that of the shape if it is zero.
	Hosts int
	// Duration is the time during which faults are injected.
	Duration time.Duration
	// PlannedOnly limits the faults to planned actions: restarts, reloads, new
	// configurations and draining engines. They come one after another, as in a roll-out,
	// unless Overlap is set.
	PlannedOnly, Overlap bool
	// Faults lists the names of the faults that are injected. If it is empty, all are.
	Faults []string
}

// Report is the result of a run.
type Report struct {
	Requests     int
	Served       int
	Faults       []string
	Violations   []string
	RecoveryTime time.Duration
	// Figures are what was counted of what is allowed in some number only.
	Figures Figures
}

// String formats the report as text.
func (r Report) String() string {
	return fmt.Sprintf("%d requests, %d served, %d faults, recovered in %v, %d promises broken; %v\n%s\n%s",
		r.Requests, r.Served, len(r.Faults), r.RecoveryTime.Round(time.Millisecond), len(r.Violations), r.Figures,
		strings.Join(r.Faults, "\n"), strings.Join(r.Violations, "\n"))
}

// Size and time limits of the platform.
const (
	engineCount     = 4
	modelCount      = 14
	modelsPerEngine = 2
	eventCount      = 20 // events of each streamed response
	defaultEventGap = 10 * time.Millisecond
	// recoveryTimeout is the platform's limit for the time to recover.
	recoveryTimeout = 12 * time.Second
	// crashBody is the beginning of the bodies under which engines crash.
	crashBody = "crash"
	// settleDelay lets requests in progress end before the checks.
	settleDelay = 500 * time.Millisecond
	// startTimeout limits the time until all hosts serve for the first time.
	startTimeout = 15 * time.Second
)

type soak struct {
	Options
	random         *rand.Rand
	store          *platformtest.Store
	engines        []*platformtest.Engine
	removedEngines []*platformtest.Engine
	plainTargets   []*platformtest.Engine
	// engineProxies are the proxies in front of the engines; drainStarts are the
	// times at which engines began to drain. Both are indexed by engine ID.
	engineProxies map[string]*proxy
	drainStarts   map[string]time.Time
	// limits are the times in which engines stated limits, and crashingRequests counts the
	// requests that crash engines, each sent several times.
	limits           []statedLimit
	crashingRequests int
	// taints are the parts of prompts that engines crash under, or did.
	taints []*taint
	// evacuating is the zone that is evacuated, or empty, and evacuations are those that have
	// ended. ColdSpans are the times in which engines were cold.
	evacuating  string
	evacuations []evacuation
	coldSpans   []coldSpan
	hosts       []*host
	callers     *callers
	// unplanned are the times of unplanned faults, besideTaints those of faults that aren't tainted parts
	// of prompts, and storeDisruptions those of the store.
	unplanned, besideTaints, storeDisruptions disruptions

	mu             sync.Mutex
	states         map[string]*targetState // by target
	departures     map[string]time.Time    // by target, when its registration was removed
	stating        map[string]bool         // by engine, whether it states a limit
	startedAt      time.Time
	faults         []string
	configVersion  int
	keyNumber      int
	enginesStarted int
}

// Run runs one soak. It stops only processes that it started itself.
func Run(ctx context.Context, o Options) (Report, error) {
	if o.Shape.Name == "" {
		o.Shape = Shapes[0]
	}
	o.Hosts = cmp.Or(o.Hosts, o.Shape.Hosts)
	faults, err := o.chooseFaults()
	if err != nil {
		return Report{}, err
	}
	s := &soak{
		Options: o, random: rand.New(rand.NewPCG(o.Seed, o.Seed)), store: platformtest.NewStore(), startedAt: time.Now(),
		engineProxies: map[string]*proxy{}, drainStarts: map[string]time.Time{}, states: map[string]*targetState{}, departures: map[string]time.Time{}, stating: map[string]bool{},
	}
	defer s.store.Close()
	s.applyConfig()
	defer s.closeEngineProxies()
	for range engineCount {
		if err := s.startEngine(); err != nil {
			return Report{}, err
		}
	}
	for i := range o.Shape.PlainTargets {
		t := platformtest.NewEngine(s.store, fmt.Sprintf("i-plain-%d", i), platformtest.EngineSpec{
			Service: platformtest.PlainService, Zone: fmt.Sprintf("zone-%d", i%3), Slots: o.Shape.Slots, Work: o.Shape.Work,
		})
		defer t.Close()
		s.plainTargets = append(s.plainTargets, t)
		if err := s.addProxy(t); err != nil {
			return Report{}, err
		}
	}
	defer s.stopHostsAndEngines()
	if err := s.startHosts(); err != nil {
		return Report{}, err
	}
	s.callers = newCallers(s)
	if !s.callers.waitServed(ctx, startTimeout) {
		return Report{}, fmt.Errorf("no host served within %v; logs are in %s", startTimeout, o.Folder)
	}
	callersCtx, stopCallers := context.WithCancel(ctx)
	var running sync.WaitGroup
	s.callers.run(callersCtx, &running)
	s.injectFaults(ctx, faults)
	s.clearFaults()
	faultsCleared := time.Now()
	recovered := s.callers.waitServed(ctx, recoveryTimeout)
	report := Report{RecoveryTime: time.Since(faultsCleared)}
	time.Sleep(settleDelay)
	stopCallers()
	running.Wait()
	report.Requests, report.Served = s.callers.counts()
	report.Violations, report.Figures = s.check()
	if !recovered {
		report.Violations = append(report.Violations, fmt.Sprintf("not every host served within %v after the last fault", recoveryTimeout))
	}
	report.Faults = s.faults
	return report, nil
}

func (s *soak) applyConfig() {
	s.configVersion += 1 + s.random.IntN(3)
	c := platformtest.Config{
		Version: s.configVersion, Keys: []string{s.currentKey()}, Resumable: true, AllKinds: true,
		ColdPerSecond: coldRate, ColdTime: coldDuration, RouteHomes: s.Shape.Homes,
	}
	for i := range modelCount {
		c.Models = append(c.Models, fmt.Sprintf("m%d", i))
	}
	c.Apply(s.store)
}

func (s *soak) currentKey() string { return fmt.Sprintf("key-%d", s.keyNumber) }

func (s *soak) startEngine() error {
	n := s.enginesStarted
	s.enginesStarted++
	spec := platformtest.EngineSpec{
		Service: platformtest.ModelService, Zone: fmt.Sprintf("zone-%d", n%3), Capacity: 3,
		LoadTime: 200 * time.Millisecond, Events: eventCount, Gap: cmp.Or(s.Shape.EventGap, defaultEventGap),
		CrashBody: crashBody, RestartTime: 300 * time.Millisecond,
	}
	for i := range modelsPerEngine {
		spec.Models = append(spec.Models, fmt.Sprintf("m%d", (n*modelsPerEngine+i)%modelCount))
	}
	id := fmt.Sprintf("i-%d", n)
	var front *proxy
	spec.Refuse = func(refuse bool) {
		if err := front.refuse(refuse); err != nil {
			s.recordFault("engine %s can't be reached any more: %v", id, err)
		}
	}
	e := platformtest.NewEngine(s.store, id, spec)
	s.engines = append(s.engines, e)
	if err := s.addProxy(e); err != nil {
		return err
	}
	front = s.engineProxies[id]
	return nil
}

// addProxy puts a proxy in front of a target.
func (s *soak) addProxy(e *platformtest.Engine) error {
	proxy, err := newProxy(e.Address())
	if err != nil {
		return err
	}
	e.RegisterAt(proxy.address)
	s.engineProxies[e.ID] = proxy
	return nil
}

func (s *soak) closeEngineProxies() {
	for _, proxy := range s.engineProxies {
		proxy.close()
	}
}

func (s *soak) startHosts() error {
	for i := range s.Hosts {
		storeProxy, err := newProxy(s.store.Address())
		if err != nil {
			return err
		}
		callerProxy, err := newProxy("")
		if err != nil {
			return err
		}
		h := &host{
			Host:   platformtest.NewHost(fmt.Sprintf("host-%d", i), fmt.Sprintf("zone-%d", i%3)),
			binary: s.Binary, folder: s.Folder, storeProxy: storeProxy, callerProxy: callerProxy,
		}
		h.Grace, h.RetrySlack, h.MemoryMB = s.Shape.Grace, s.Shape.RetrySlack, s.Shape.MemoryMB
		h.Regions, h.EvacuationTime = regions, evacuationTime
		callerProxy.upstream = h.Callers
		s.hosts = append(s.hosts, h)
		if err := h.start(true); err != nil {
			return err
		}
	}
	return nil
}

// stopHostsAndEngines kills the hosts, and closes their proxies and the engines.
func (s *soak) stopHostsAndEngines() {
	var stopping sync.WaitGroup
	for _, h := range s.hosts {
		stopping.Go(func() {
			h.signal(syscall.SIGCONT)
			h.stop(syscall.SIGKILL)
			h.storeProxy.close()
			h.callerProxy.close()
		})
	}
	stopping.Wait()
	for _, e := range append(s.engines, s.removedEngines...) {
		e.Close()
	}
}

// recordFault adds a message to the report's list of faults.
func (s *soak) recordFault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf("%7.3f s  %s", time.Since(s.startedAt).Seconds(), fmt.Sprintf(format, args...)))
}

// clearFaults ends all faults and starts stopped hosts.
func (s *soak) clearFaults() {
	s.store.SetDown(false)
	for _, h := range s.hosts {
		h.storeProxy.setMode(modePass)
		h.callerProxy.setMode(modePass)
		h.signal(syscall.SIGCONT)
		if err := h.start(false); err != nil {
			s.recordFault("%s was not started: %v", h, err)
		}
	}
	for _, proxy := range s.engineProxies {
		proxy.setMode(modePass)
	}
	s.recordFault("all faults end")
}

// TempDir creates a temporary folder for logs.
func TempDir() (string, error) { return os.MkdirTemp("", "hawthornway-soak-") }
