package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"hawthornway/platform"
	"hawthornway/platform/platformtest"
)

// The ranges from which pauses between faults and durations of faults are drawn.
const (
	minPause         = 100 * time.Millisecond
	maxPause         = 1500 * time.Millisecond
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 3 * time.Second
)

// fault is a kind of fault injection. begin injects the fault and returns the
// function that ends it, or nil if there is nothing to end. Faults can overlap.
type fault struct {
	name  string
	begin func(s *soak) (end func())
	// duration is the time from begin to end; if it is zero, a random duration
	// is used.
	duration time.Duration
}

// plannedFaults are the regular actions of operators and the platform.
var plannedFaults = []fault{
	{"stop and start", func(s *soak) func() {
		h := s.randomHost()
		s.recordFault("SIGTERM to %s", h)
		return func() {
			h.stop(syscall.SIGTERM)
			s.restart(h)
		}
	}, 0},
	{"stop and start in series", func(s *soak) func() {
		n := 1 + s.random.IntN(len(s.hosts))
		s.recordFault("SIGTERM to %d hosts in series", n)
		return func() {
			for _, h := range s.hosts[:n] {
				h.stop(syscall.SIGTERM)
				s.restart(h)
			}
		}
	}, time.Millisecond},
	{"reload", func(s *soak) func() {
		h := s.randomHost()
		s.recordFault("SIGHUP to %s", h)
		h.signal(syscall.SIGHUP)
		return nil
	}, 0},
	{"configuration", func(s *soak) func() {
		s.applyConfig()
		s.recordFault("configuration %d", s.configVersion)
		return nil
	}, 0},
	{"engine states a limit", func(s *soak) func() {
		e := s.engines[s.random.IntN(len(s.engines))]
		rate := limitRates[s.random.IntN(len(limitRates))]
		if !s.beginLimit(e.ID) {
			return nil // the end of one statement would be taken for that of the other
		}
		s.recordFault("engine %s states a limit of %g a second", e.ID, rate)
		e.StateLimit(fmt.Sprint(rate))
		from := time.Now()
		return func() {
			e.StateLimit("")
			s.recordLimit(statedLimit{e, rate, from, time.Now()})
		}
	}, limitDuration},
	{"domain is evacuated", func(s *soak) func() {
		zone := fmt.Sprintf("zone-%d", s.random.IntN(zoneCount))
		if !s.beginEvacuation(zone) {
			return nil
		}
		s.recordFault("%s is evacuated", zone)
		platformtest.Evacuate(s.store, zone)
		from := time.Now()
		return func() {
			s.endEvacuation(evacuation{zone, span{from, time.Now()}})
			platformtest.TakeBack(s.store, zone)
			s.recordFault("%s is taken back", zone)
		}
	}, evacuationDuration},
	{"engines of a domain turn cold", func(s *soak) func() {
		zone := fmt.Sprintf("zone-%d", s.random.IntN(zoneCount))
		s.recordFault("engines of %s turn cold", zone)
		for _, e := range s.engines {
			if e.Zone() == zone {
				e.TurnCold(coldDuration)
				s.coldSpans = append(s.coldSpans, coldSpan{e, span{time.Now(), time.Now().Add(coldDuration)}})
			}
		}
		return nil
	}, 0},
	{"engine drains", func(s *soak) func() {
		if len(s.engines) < engineCount {
			return nil
		}
		e := s.engines[0]
		s.engines, s.removedEngines = s.engines[1:], append(s.removedEngines, e)
		s.replaceEngine()
		s.recordFault("engine %s drains", e.ID)
		e.Drain()
		s.drainStarts[e.ID] = time.Now()
		return s.unregister(e)
	}, 0},
}

// limitRates are the limits that engines state, in requests per second, and limitDuration is
// for how long they do.
var limitRates = []float64{0.5, 1, 3, 10}

const limitDuration = 8 * time.Second

// zoneCount is the number of zones, and evacuationTime the time within which an evacuated one has
// to be empty. Evacuations last for evacuationDuration, and engines stay cold for coldDuration, in
// which they bear coldRate requests per second.
const (
	zoneCount          = 3
	evacuationTime     = 3 * time.Second
	evacuationDuration = 7 * time.Second
	coldDuration       = 4 * time.Second
	coldRate           = 5
)

// evacuation is a time in which a zone was to get no requests.
type evacuation struct {
	zone string
	span
}

// coldSpan is a time in which an engine was cold.
type coldSpan struct {
	engine *platformtest.Engine
	span
}

// beginEvacuation reports whether a zone may be evacuated: none is.
func (s *soak) beginEvacuation(zone string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evacuating != "" {
		return false
	}
	s.evacuating = zone
	return true
}

// endEvacuation records an evacuation that ends.
func (s *soak) endEvacuation(e evacuation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuating = ""
	s.evacuations = append(s.evacuations, e)
}

// statedLimit is a limit that an engine stated for some time.
type statedLimit struct {
	engine   *platformtest.Engine
	rate     float64
	from, to time.Time
}

// beginLimit reports whether an engine may begin to state a limit: it states none.
func (s *soak) beginLimit(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stating[id] {
		return false
	}
	s.stating[id] = true
	return true
}

// recordLimit records a limit that an engine has stated until now.
func (s *soak) recordLimit(l statedLimit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.stating, l.engine.ID)
	s.limits = append(s.limits, l)
}

// restart starts a stopped host.
func (s *soak) restart(h *host) {
	if err := h.start(false); err != nil {
		s.recordFault("%s was not started: %v", h, err)
	}
}

// unregister returns a function that removes an engine's registration.
func (s *soak) unregister(e *platformtest.Engine) func() {
	return func() {
		e.Unregister()
		s.mu.Lock()
		s.departures[e.ID] = time.Now()
		s.mu.Unlock()
		s.recordFault("engine %s is unregistered", e.ID)
	}
}

// replaceEngine starts a new engine to replace a removed one.
func (s *soak) replaceEngine() {
	if err := s.startEngine(); err != nil {
		s.recordFault("no engine was started: %v", err)
	}
}

// randomMode returns a random proxy mode other than modePass.
func (s *soak) randomMode() mode { return mode(1 + s.random.IntN(int(modeOneWay))) }

// unplannedFaults are failures of processes, networks and the store.
var unplannedFaults = []fault{
	{"kill", func(s *soak) func() {
		h := s.randomHost()
		s.recordFault("SIGKILL to %s", h)
		h.stop(syscall.SIGKILL)
		return func() { s.restart(h) }
	}, 0},
	{"freeze", func(s *soak) func() {
		h := s.randomHost()
		s.recordFault("SIGSTOP to %s", h)
		return h.freeze()
	}, 0},
	{"store is down", func(s *soak) func() {
		s.recordFault("store is down")
		end := s.storeDisruptions.begin()
		s.store.SetDown(true)
		return func() {
			s.store.SetDown(false)
			end()
		}
	}, 0},
	{"store loses answers", func(s *soak) func() {
		s.recordFault("store loses answers")
		s.storeDisruptions.strike()
		s.store.LoseResponses(2)
		return nil
	}, 0},
	{"store forgets its history", func(s *soak) func() {
		s.recordFault("store forgets its history")
		s.storeDisruptions.strike()
		s.store.Compact()
		return nil
	}, 0},
	{"store returns older", func(s *soak) func() {
		older := s.store.Copy()
		s.recordFault("copy of the store")
		return func() {
			s.recordFault("store returns from the copy")
			s.storeDisruptions.strike()
			present := s.store.Copy()
			s.store.Restore(older)
			s.store.Rewrite(present)
		}
	}, 0},
	{"path to the store", func(s *soak) func() {
		h := s.randomHost()
		m := s.randomMode()
		s.recordFault("path of %s to the store: %v", h, m)
		return h.harm(h.storeProxy, m)
	}, 0},
	{"path to an engine", func(s *soak) func() {
		targets := s.targets()
		e := targets[s.random.IntN(len(targets))]
		m := s.randomMode()
		s.recordFault("path to engine %s: %v", e.ID, m)
		proxy := s.engineProxies[e.ID]
		end := s.state(e.ID).ended.begin()
		proxy.setMode(m)
		return func() {
			proxy.setMode(modePass)
			end()
		}
	}, 0},
	{"path of callers", func(s *soak) func() {
		h := s.randomHost()
		m := s.randomMode()
		s.recordFault("path of callers to %s: %v", h, m)
		return h.harm(h.callerProxy, m)
	}, 0},
	{"engine crashes", func(s *soak) func() {
		i := s.random.IntN(len(s.engines))
		e := s.engines[i]
		s.engines = append(s.engines[:i:i], s.engines[i+1:]...)
		s.removedEngines = append(s.removedEngines, e)
		s.recordFault("engine %s crashes", e.ID)
		s.state(e.ID).ended.begin()
		e.Crash()
		s.replaceEngine()
		return s.unregister(e)
	}, 0},
	{"engine says that it leaves", func(s *soak) func() {
		if len(s.engines) < engineCount {
			return nil
		}
		e := s.engines[0]
		s.engines, s.removedEngines = s.engines[1:], append(s.removedEngines, e)
		s.replaceEngine()
		s.recordFault("engine %s says that it leaves", e.ID)
		s.state(e.ID).faulty.begin()
		e.Leave()
		return s.unregister(e)
	}, 0},
	{"engine asks for a pause", func(s *soak) func() {
		e := s.engines[s.random.IntN(len(s.engines))]
		s.recordFault("engine %s asks for a pause", e.ID)
		e.TurnAway("0.8")
		return func() { e.TurnAway("") }
	}, 0},
	{"request crashes engines", func(s *soak) func() {
		s.crashingRequests++
		body := fmt.Sprintf("%s %d", crashBody, s.crashingRequests)
		s.recordFault("request that crashes engines")
		var hosts []*host
		for range crashingSends {
			hosts = append(hosts, s.randomHost())
		}
		ends := s.beginFaulty(s.engines)
		return func() {
			s.callers.sendCrashing(hosts, s.currentKey(), body)
			ends()
		}
	}, 0},
	{"engine turns requests away", func(s *soak) func() { return s.misbehave(platformtest.TurnsAway, 0.5) }, engineFaultDuration},
	{"engine turns requests away and repeats answers", func(s *soak) func() {
		end, ends := s.misbehave(platformtest.TurnsAway, 0.5), s.beginFaulty(s.targets())
		for _, e := range s.targets() {
			e.Misbehave(platformtest.RepeatsAnswers, 0.3)
		}
		return func() {
			end()
			ends()
			for _, e := range s.targets() {
				e.Misbehave(platformtest.RepeatsAnswers, 0)
			}
		}
	}, engineFaultDuration},
	{"service is full", func(s *soak) func() {
		targets := s.plainTargets
		if s.random.IntN(2) == 0 {
			targets = s.engines
		}
		targets = slices.Clone(targets)
		s.recordFault("all targets like %s turn all requests away", targets[0].ID)
		for _, e := range targets {
			e.Misbehave(platformtest.TurnsAway, 1)
		}
		return func() {
			for _, e := range targets {
				e.Misbehave(platformtest.TurnsAway, 0)
			}
		}
	}, fullDuration},
	{"engine loses answers", func(s *soak) func() { return s.misbehave(platformtest.LosesAnswers, 0.4) }, engineFaultDuration},
	{"engine fails runs", func(s *soak) func() { return s.misbehave(platformtest.FailsRuns, 0.4) }, engineFaultDuration},
	{"engine answers busy after runs", func(s *soak) func() { return s.misbehave(platformtest.AnswersBusy, 0.3) }, engineFaultDuration},
	{"engine cuts heads", func(s *soak) func() { return s.misbehave(platformtest.CutsHeads, 0.3) }, engineFaultDuration},
	{"engine floods heads", func(s *soak) func() { return s.misbehave(platformtest.FloodsHeads, 0.8) }, engineFaultDuration},
	{"engine malforms heads", func(s *soak) func() { return s.misbehave(platformtest.MalformsHeads, 0.4) }, engineFaultDuration},
	{"engine resets uploads", func(s *soak) func() { return s.misbehave(platformtest.ResetsUploads, 0.5) }, engineFaultDuration},
	{"engine floods bodies", func(s *soak) func() { return s.misbehave(platformtest.FloodsBodies, 0.8) }, engineFaultDuration},
	{"engine breaks off and fails resumptions", func(s *soak) func() { return s.breakStreams(platformtest.FailsResumptions) }, engineFaultDuration},
	{"engine breaks off and empties resumptions", func(s *soak) func() { return s.breakStreams(platformtest.EmptiesResumptions) }, engineFaultDuration},
	{"callers repeat at once", func(s *soak) func() {
		s.recordFault("one caller in three repeats at once")
		s.callers.mu.Lock()
		defer s.callers.mu.Unlock()
		s.callers.hastyUntil = time.Now().Add(callerFaultDuration)
		return nil
	}, 0},
	{"callers leave", func(s *soak) func() {
		s.recordFault("one caller in four leaves early")
		s.callers.mu.Lock()
		defer s.callers.mu.Unlock()
		s.callers.leavingUntil = time.Now().Add(callerFaultDuration)
		return nil
	}, 0},
	{"kill half", func(s *soak) func() {
		half := s.hosts[:len(s.hosts)/2]
		if s.random.IntN(2) == 0 {
			half = s.hosts[len(s.hosts)/2:]
		}
		s.recordFault("SIGKILL to %d hosts", len(half))
		for _, h := range half {
			h.stop(syscall.SIGKILL)
		}
		return func() {
			for _, h := range half {
				s.restart(h)
			}
		}
	}, 0},
	{"coordinator loses the store", func(s *soak) func() {
		h := s.coordinator()
		s.recordFault("path of the coordinator, %s, to the store: %v", h, modeSilent)
		return h.harm(h.storeProxy, modeSilent)
	}, coordinatorFaultDuration},
	{"key is withdrawn", func(s *soak) func() {
		s.withdrawKey()
		return nil
	}, 0},
	{"key is withdrawn during a freeze", func(s *soak) func() {
		h := s.randomHost()
		s.recordFault("SIGSTOP to %s", h)
		thaw := h.freeze()
		s.withdrawKey()
		return thaw
	}, withdrawalTimeout + time.Second},
}

// engineFaultDuration is for how long engines misbehave, and callerFaultDuration for how long
// callers do.
const (
	engineFaultDuration = 6 * time.Second
	callerFaultDuration = 5 * time.Second
	// fullDuration is longer than the window of the retry budget.
	fullDuration = 12 * time.Second
)

// targets returns all engines and plain targets.
func (s *soak) targets() []*platformtest.Engine {
	return append(append([]*platformtest.Engine(nil), s.engines...), s.plainTargets...)
}

// beginFaulty records that targets answer wrongly until the returned function is called.
func (s *soak) beginFaulty(targets []*platformtest.Engine) (end func()) {
	var ends []func()
	for _, e := range targets {
		ends = append(ends, s.state(e.ID).faulty.begin())
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// planned reports whether a fault is a regular action.
func (f fault) planned() bool {
	return slices.ContainsFunc(plannedFaults, func(p fault) bool { return p.name == f.name })
}

// isTaint reports whether a fault is a part of prompts that crashes engines.
func (f fault) isTaint() bool {
	return slices.ContainsFunc(taintFaults(), func(t fault) bool { return t.name == f.name })
}

// misbehave makes half of the targets do something wrong with a share of their requests.
func (s *soak) misbehave(f platformtest.Fault, share float64) (end func()) {
	targets := s.targets()
	s.random.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	targets = targets[:(len(targets)+1)/2]
	ends := s.beginFaulty(targets)
	for _, e := range targets {
		s.recordFault("engine %s: fault %d, share %g", e.ID, f, share)
		e.Misbehave(f, share)
	}
	return func() {
		for _, e := range targets {
			e.Misbehave(f, 0)
		}
		ends()
	}
}

// breakStreams makes all targets break off streams, and answer resumptions wrongly.
func (s *soak) breakStreams(f platformtest.Fault) (end func()) {
	targets := s.targets()
	s.recordFault("engines break off streams, and fault %d", f)
	ends := s.beginFaulty(targets)
	for _, e := range targets {
		e.Misbehave(platformtest.BreaksOff, 0.02)
		e.Misbehave(f, 0.5)
	}
	return func() {
		for _, e := range targets {
			e.Misbehave(platformtest.BreaksOff, 0)
			e.Misbehave(f, 0)
		}
		ends()
	}
}

// crashingSends is how often a request is sent that crashes engines.
const crashingSends = 12

// coordinatorFaultDuration is longer than the lease of a coordinator plus the
// delay until the next coordinator sends orders.
const coordinatorFaultDuration = 4 * time.Second

// withdrawKey replaces the callers' key by a new one.
func (s *soak) withdrawKey() {
	old := s.currentKey()
	s.keyNumber++
	s.applyConfig()
	s.callers.recordRevocation(old)
	s.recordFault("%s is withdrawn", old)
}

// coordinator returns the host that the store names as the coordinator, or a
// random host if there is none.
func (s *soak) coordinator() *host {
	var entry struct {
		Host string `json:"host"`
	}
	if err := json.Unmarshal(s.store.Value(platform.KeyCoordinator), &entry); err == nil {
		for _, h := range s.hosts {
			if h.Name == entry.Host {
				return h
			}
		}
	}
	return s.randomHost()
}

func (s *soak) randomHost() *host { return s.hosts[s.random.IntN(len(s.hosts))] }

// chooseFaults returns the faults that the options allow. A name that isn't one of them is an error,
// since a run without the fault would pass for one that held.
func (o Options) chooseFaults() ([]fault, error) {
	faults := slices.Clone(plannedFaults)
	if !o.PlannedOnly {
		faults = append(faults, unplannedFaults...)
	}
	if !o.PlannedOnly && len(o.Faults) > 0 { // beside other faults, parts that crash engines are a known failure
		faults = append(faults, taintFaults()...)
	}
	for _, name := range o.Faults {
		if !slices.ContainsFunc(faults, func(f fault) bool { return f.name == name }) {
			return nil, fmt.Errorf("fault %q is unknown, or not planned in a run of planned ones", name)
		}
	}
	if len(o.Faults) > 0 {
		faults = slices.DeleteFunc(faults, func(f fault) bool { return !slices.Contains(o.Faults, f.name) })
	}
	return faults, nil
}

// beginUnplanned records an unplanned fault until the returned function is called.
func (s *soak) beginUnplanned(f fault) (end func()) {
	endUnplanned, endBeside := s.unplanned.begin(), func() {}
	if !f.isTaint() {
		endBeside = s.besideTaints.begin()
	}
	return func() {
		endUnplanned()
		endBeside()
	}
}

// injectFaults begins one random fault after another for the duration of the
// soak, and waits until all have ended.
func (s *soak) injectFaults(ctx context.Context, faults []fault) {
	var ends sync.WaitGroup
	deadline := time.Now().Add(s.Duration)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		f := faults[s.random.IntN(len(faults))]
		endUnplanned := func() {}
		if !f.planned() {
			endUnplanned = s.beginUnplanned(f)
		}
		end := f.begin(s)
		if end == nil {
			endUnplanned()
		}
		if end != nil {
			wait := minFaultDuration + time.Duration(s.random.Int64N(int64(maxFaultDuration-minFaultDuration)))
			if f.duration > 0 {
				wait = f.duration
			}
			ends.Go(func() {
				time.Sleep(wait)
				end()
				endUnplanned()
			})
			if s.PlannedOnly && !s.Overlap {
				ends.Wait()
			}
		}
		time.Sleep(minPause + time.Duration(s.random.Int64N(int64(maxPause-minPause))))
	}
	ends.Wait()
}
