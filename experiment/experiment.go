package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/cluster"
	"hawthornway/fleet"
	"hawthornway/loadgen"
	"hawthornway/measure"
	"hawthornway/standin"
	"hawthornway/target"
	"hawthornway/workload"
)

// System names the system under test.
type System string

// The systems that can be tested.
const (
	SystemHawthornway System = "hawthornway"
	SystemBaseline    System = "baseline"
)

// Settings configures an experiment.
type Settings struct {
	Deployment cluster.Deployment
	Case       Case
	System     System
	Workload   workload.Settings
	// WarmUp is the duration of traffic before the measured run.
	WarmUp time.Duration
	// Deadline is how long callers wait for the first token.
	Deadline time.Duration
	// Binary is the path of the hawthornway program, and LogDir the directory of
	// its logs.
	Binary string
	LogDir string
	// ProbePairs is the number of requests that are sent, before the plan, both
	// through a host and directly to the engine. Zero sends none.
	ProbePairs int
	// Progress, if set, is called each second with the number of ended and
	// planned requests.
	Progress func(at time.Duration, ended, planned int)
}

// Experiment is one run of a case.
type Experiment struct {
	settings Settings
	standins *standin.Set
	hosts    cluster.Hosts
	links    *cluster.Relays
	balancer *balancer
	plan     []workload.Arrival

	mu            sync.Mutex
	endedRequests int
	samples       []measure.Sample
	// startCounts holds the counts at the start of the warm-up, and from its end
	// on those at the start of the measured run.
	startCounts snapshot
}

// Run runs one experiment and returns its recorded data.
func Run(ctx context.Context, settings Settings) (measure.Run, error) {
	settings.Workload.Hosts = len(settings.Deployment.Hosts)
	e := &Experiment{settings: settings, balancer: newBalancer(settings.Deployment)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := e.startLinks(ctx); err != nil {
		return measure.Run{}, trace.Wrap(err)
	}
	var err error
	if e.standins, err = standin.Start(ctx, e.settings.Deployment.Standins); err != nil {
		return measure.Run{}, trace.Wrap(err)
	}
	defer e.standins.Close()
	e.hosts = e.newHosts()
	defer e.hosts.Close()
	if err := e.hosts.Start(ctx); err != nil {
		return measure.Run{}, trace.Wrap(err)
	}
	return e.run(ctx)
}

// startLinks routes the deployment's connections through links that can be cut,
// if the case cuts off a domain.
func (e *Experiment) startLinks(ctx context.Context) error {
	if e.settings.Case != CaseDomainCut {
		return nil
	}
	if e.settings.System == SystemBaseline {
		return trace.NotImplemented("baseline hosts share one process, so none of their domains can be cut off")
	}
	var err error
	e.settings.Deployment, e.links, err = cluster.WithLinks(e.settings.Deployment, e.settings.LogDir)
	if err != nil {
		return err
	}
	return e.links.Start(ctx)
}

func (e *Experiment) newHosts() cluster.Hosts {
	if e.settings.System == SystemBaseline {
		return cluster.NewBaselines(e.settings.Deployment)
	}
	onStart := func(int, fleet.DomainID) {}
	if e.links != nil {
		onStart = e.links.AddProcess
	}
	return cluster.NewProcesses(e.settings.Binary, e.settings.LogDir, e.settings.Deployment, e.standins, onStart)
}

func (e *Experiment) run(ctx context.Context) (measure.Run, error) {
	run := e.newRun()
	if err := e.probe(ctx, &run); err != nil {
		return run, trace.Wrap(err)
	}
	traffic := e.settings.Workload
	traffic.Duration += e.settings.WarmUp
	e.plan = workload.NewPlan(e.settings.Deployment.Config, traffic)
	runner := loadgen.NewRunner(e.loadSettings())
	defer runner.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.startCounts = e.takeSnapshot()
	stopSampling := e.startSampling(ctx)
	stopTimers := e.startTimers()
	run.Results = runner.Run(ctx, e.plan)
	stopTimers()
	stopSampling()
	e.collect(&run)
	run.Start = runner.Start().Add(e.settings.WarmUp)
	for i := range run.Results {
		run.Results[i].Arrival.At -= e.settings.WarmUp
	}
	return run, ctx.Err()
}

func (e *Experiment) newRun() measure.Run {
	d := e.settings.Deployment
	return measure.Run{
		Deployment:   d.Name,
		Case:         string(e.settings.Case),
		System:       string(e.settings.System),
		Seed:         e.settings.Workload.Seed,
		Duration:     e.settings.Workload.Duration,
		Config:       d.Config,
		Weights:      d.Standins.Weights.Figures,
		Engine:       d.Standins.EngineDefaults,
		Engines:      make(map[target.ID]measure.EngineRecord),
		Executions:   make(map[string]int),
		FaultedHosts: e.faultedHosts(),
		KilledHosts:  e.killedHosts(),
	}
}

func (e *Experiment) loadSettings() loadgen.Settings {
	return loadgen.Settings{
		Address:    e.balancer.address,
		Keys:       e.hosts.Keys(),
		Deadline:   e.settings.Deadline,
		MeanAnswer: e.settings.Deployment.Standins.EngineDefaults.MeanAnswer,
		Progress: func(ended int) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.endedRequests = ended
		},
	}
}

// startTimers schedules the start of the measured run at the end of the warm-up,
// the start of the fault after one third of the run and its end after two thirds.
func (e *Experiment) startTimers() (stop func()) {
	warmUp := e.settings.WarmUp
	third := e.settings.Workload.Duration / 3
	timers := []*time.Timer{time.AfterFunc(warmUp, e.startMeasurement)}
	if e.settings.Case != CaseSteady {
		timers = append(timers, time.AfterFunc(warmUp+third, e.mustStartFault), time.AfterFunc(warmUp+2*third, e.stopFault))
	}
	return func() {
		for _, timer := range timers {
			timer.Stop()
		}
	}
}

func (e *Experiment) mustStartFault() {
	if err := e.startFault(); err != nil {
		panic("start fault: " + err.Error())
	}
}

// startMeasurement records the counts at the start of the measured run and
// discards the samples of the warm-up.
func (e *Experiment) startMeasurement() {
	now := e.takeSnapshot()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startCounts = now
	e.samples = nil
}

// startSampling takes a sample each second until stop is called.
func (e *Experiment) startSampling(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	start := time.Now().Add(e.settings.WarmUp)
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				e.sample(time.Since(start))
			case <-ctx.Done():
				return
			}
		}
	})
	return func() {
		cancel()
		group.Wait()
	}
}

func (e *Experiment) sample(at time.Duration) {
	now := e.takeSnapshot()
	e.mu.Lock()
	s := measure.Sample{At: at, PlatformCalls: subtractCounts(now.platform, e.startCounts.platform)}
	for name, counts := range now.engines {
		last := e.startCounts.engines[name]
		s.Idle += counts.Idle - last.Idle
		s.Held += counts.Idle + counts.Busy + counts.Loading - last.Idle - last.Busy - last.Loading
	}
	e.samples = append(e.samples, s)
	ended := e.endedRequests
	e.mu.Unlock()
	if e.settings.Progress != nil {
		e.settings.Progress(at, ended, len(e.plan))
	}
}
