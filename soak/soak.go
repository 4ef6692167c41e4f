// Package soak runs hosts as real processes on a platform of stand-ins, harms
// them from outside, and checks what callers and targets see.
package soak

import (
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

// Options say what is run.
type Options struct {
	// Binary is the program that hosts run.
	Binary string
	// Folder takes settings and logs.
	Folder string
	Seed   uint64
	Hosts  int
	// Duration is the time for which faults come.
	Duration time.Duration
	// PlannedOnly leaves out all but planned stops, reloads and configurations.
	PlannedOnly bool
}

// Report is what a run saw.
type Report struct {
	Requests     int
	Served       int
	Faults       []string
	Violations   []string
	RecoveryTime time.Duration
}

// String returns the report as text.
func (r Report) String() string {
	return fmt.Sprintf("%d requests, %d served, %d faults, recovered in %v, %d promises broken\n%s\n%s",
		r.Requests, r.Served, len(r.Faults), r.RecoveryTime.Round(time.Millisecond), len(r.Violations),
		strings.Join(r.Faults, "\n"), strings.Join(r.Violations, "\n"))
}

// The size of the platform.
const (
	engineCount = 4
	modelCount  = 14
	modelsHeld  = 2
	eventCount  = 20
	// recoverTime is the platform's bound on the time to serve again.
	recoverTime = 12 * time.Second
	// settleTime is left at the end for what is still under way.
	settleTime = 500 * time.Millisecond
	// startTime bounds the first start of all hosts.
	startTime = 15 * time.Second
)

type soak struct {
	Options
	draw    *rand.Rand
	store   *platformtest.Store
	engines []*platformtest.Engine
	gone    []*platformtest.Engine
	plain   *platformtest.Engine
	// paths are the proxies before the engines, and drained when engines said that
	// they leave.
	paths   map[string]*proxy
	drained map[string]time.Time
	hosts   []*host
	callers *callers

	mu      sync.Mutex
	began   time.Time
	faults  []string
	version int
	key     int
	started int
}

// Run runs one soak. It ends only processes that it started.
func Run(ctx context.Context, o Options) (Report, error) {
	s := &soak{
		Options: o, draw: rand.New(rand.NewPCG(o.Seed, o.Seed)), store: platformtest.NewStore(), began: time.Now(),
		paths: map[string]*proxy{}, drained: map[string]time.Time{},
	}
	defer s.store.Close()
	s.configure()
	defer s.closePaths()
	for range engineCount {
		if err := s.startEngine(); err != nil {
			return Report{}, err
		}
	}
	s.plain = platformtest.NewEngine(s.store, "i-plain", platformtest.EngineSpec{Service: platformtest.PlainService, Zone: "zone-0"})
	defer s.plain.Close()
	defer s.end()
	if err := s.startHosts(); err != nil {
		return Report{}, err
	}
	s.callers = newCallers(s)
	if !s.callers.waitServed(ctx, startTime) {
		return Report{}, fmt.Errorf("no host served within %v; logs are in %s", startTime, o.Folder)
	}
	calling, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	s.callers.run(calling, &running)
	s.harm(ctx)
	s.heal()
	healed := time.Now()
	recovered := s.callers.waitServed(ctx, recoverTime)
	report := Report{RecoveryTime: time.Since(healed)}
	time.Sleep(settleTime)
	stop()
	running.Wait()
	report.Requests, report.Served = s.callers.counts()
	report.Violations = s.check()
	if !recovered {
		report.Violations = append(report.Violations, fmt.Sprintf("not every host served within %v after the last fault", recoverTime))
	}
	report.Faults = s.faults
	return report, nil
}

func (s *soak) configure() {
	s.version += 1 + s.draw.IntN(3)
	c := platformtest.Config{Version: s.version, Keys: []string{s.currentKey()}, Resumable: true}
	for i := range modelCount {
		c.Models = append(c.Models, fmt.Sprintf("m%d", i))
	}
	c.Apply(s.store)
}

func (s *soak) currentKey() string { return fmt.Sprintf("key-%d", s.key) }

func (s *soak) startEngine() error {
	n := s.started
	s.started++
	spec := platformtest.EngineSpec{
		Service: platformtest.ModelService, Zone: fmt.Sprintf("zone-%d", n%3), Capacity: 3,
		LoadTime: 200 * time.Millisecond, Events: eventCount, Gap: 10 * time.Millisecond,
	}
	for i := range modelsHeld {
		spec.Models = append(spec.Models, fmt.Sprintf("m%d", (n*modelsHeld+i)%modelCount))
	}
	e := platformtest.NewEngine(s.store, fmt.Sprintf("i-%d", n), spec)
	s.engines = append(s.engines, e)
	path, err := newProxy(e.Address())
	if err != nil {
		return err
	}
	e.RegisterAt(path.address())
	s.paths[e.ID] = path
	return nil
}

func (s *soak) closePaths() {
	for _, path := range s.paths {
		path.close()
	}
}

func (s *soak) startHosts() error {
	for i := range s.Hosts {
		p, err := newProxy(s.store.Address())
		if err != nil {
			return err
		}
		callers, err := newProxy("")
		if err != nil {
			return err
		}
		h := &host{
			Host:   platformtest.NewHost(fmt.Sprintf("host-%d", i), fmt.Sprintf("zone-%d", i%3)),
			binary: s.Binary, folder: s.Folder, store: p, callers: callers,
		}
		callers.to = h.Callers
		s.hosts = append(s.hosts, h)
		if err := h.start(true); err != nil {
			return err
		}
	}
	return nil
}

func (s *soak) end() {
	var ending sync.WaitGroup
	for _, h := range s.hosts {
		ending.Go(func() {
			h.signal(syscall.SIGCONT)
			h.stop(syscall.SIGKILL)
			h.store.close()
			h.callers.close()
		})
	}
	ending.Wait()
	for _, e := range append(s.engines, s.gone...) {
		e.Close()
	}
}

// note records a fault.
func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf("%7.3f s  %s", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...)))
}

// heal ends all faults.
func (s *soak) heal() {
	s.store.SetDown(false)
	for _, h := range s.hosts {
		h.store.set(modePass)
		h.callers.set(modePass)
		h.signal(syscall.SIGCONT)
		if err := h.start(false); err != nil {
			s.note("%s was not started: %v", h, err)
		}
	}
	for _, path := range s.paths {
		path.set(modePass)
	}
	s.note("all faults end")
}

// TempDir returns a new folder for logs.
func TempDir() (string, error) { return os.MkdirTemp("", "hawthornway-soak-") }
