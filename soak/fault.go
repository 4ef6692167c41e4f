package soak

import (
	"context"
	"encoding/json"
	"sync"
	"syscall"
	"time"

	"hawthornway/platform"
)

// The times between faults, and of faults.
const (
	leastPause = 100 * time.Millisecond
	mostPause  = 1500 * time.Millisecond
	leastFault = 300 * time.Millisecond
	mostFault  = 3 * time.Second
)

// fault is one way to harm the system. Its end, if it has one, comes a while
// later, while other faults go on.
type fault struct {
	name  string
	begin func(s *soak) (end func())
	// length is the time to its end; zero has it drawn.
	length time.Duration
}

// planned are what operators and the platform do on a calm day.
var planned = []fault{
	{"stop and start", func(s *soak) func() {
		h := s.anyHost()
		s.note("SIGTERM to %s", h)
		return func() {
			h.stop(syscall.SIGTERM)
			s.startAgain(h)
		}
	}, 0},
	{"reload", func(s *soak) func() {
		h := s.anyHost()
		s.note("SIGHUP to %s", h)
		h.signal(syscall.SIGHUP)
		return nil
	}, 0},
	{"configuration", func(s *soak) func() {
		s.configure()
		s.note("configuration %d", s.version)
		return nil
	}, 0},
	{"engine drains", func(s *soak) func() {
		if len(s.engines) < engineCount {
			return nil
		}
		e := s.engines[0]
		s.engines, s.gone = s.engines[1:], append(s.gone, e)
		s.replaceEngine()
		s.note("engine %s drains", e.ID)
		e.Drain()
		s.drained[e.ID] = time.Now()
		return e.Unregister
	}, 0},
}

// startAgain starts a host that was stopped.
func (s *soak) startAgain(h *host) {
	if err := h.start(false); err != nil {
		s.note("%s was not started: %v", h, err)
	}
}

// replaceEngine starts another engine in place of one that is gone.
func (s *soak) replaceEngine() {
	if err := s.startEngine(); err != nil {
		s.note("no engine was started: %v", err)
	}
}

// anyMode draws a way to harm connections.
func (s *soak) anyMode() mode { return mode(1 + s.draw.IntN(int(modeOneWay))) }

// unplanned are what breaks.
var unplanned = []fault{
	{"kill", func(s *soak) func() {
		h := s.anyHost()
		s.note("SIGKILL to %s", h)
		h.stop(syscall.SIGKILL)
		return func() { s.startAgain(h) }
	}, 0},
	{"freeze", func(s *soak) func() {
		h := s.anyHost()
		s.note("SIGSTOP to %s", h)
		h.signal(syscall.SIGSTOP)
		return func() { h.signal(syscall.SIGCONT) }
	}, 0},
	{"store is down", func(s *soak) func() {
		s.note("store is down")
		s.store.SetDown(true)
		return func() { s.store.SetDown(false) }
	}, 0},
	{"store loses answers", func(s *soak) func() {
		s.note("store loses answers")
		s.store.LoseAnswers(2)
		return nil
	}, 0},
	{"store forgets its history", func(s *soak) func() {
		s.note("store forgets its history")
		s.store.Compact()
		return nil
	}, 0},
	{"path to the store", func(s *soak) func() {
		h := s.anyHost()
		m := s.anyMode()
		s.note("path of %s to the store: %v", h, m)
		h.store.set(m)
		return func() { h.store.set(modePass) }
	}, 0},
	{"path to an engine", func(s *soak) func() {
		e := s.engines[s.draw.IntN(len(s.engines))]
		m := s.anyMode()
		s.note("path to engine %s: %v", e.ID, m)
		path := s.paths[e.ID]
		path.set(m)
		return func() { path.set(modePass) }
	}, 0},
	{"path of callers", func(s *soak) func() {
		h := s.anyHost()
		m := s.anyMode()
		s.note("path of callers to %s: %v", h, m)
		h.callers.set(m)
		return func() { h.callers.set(modePass) }
	}, 0},
	{"engine crashes", func(s *soak) func() {
		i := s.draw.IntN(len(s.engines))
		e := s.engines[i]
		s.engines = append(s.engines[:i:i], s.engines[i+1:]...)
		s.gone = append(s.gone, e)
		s.note("engine %s crashes", e.ID)
		e.Crash()
		s.replaceEngine()
		return e.Unregister
	}, 0},
	{"coordinator loses the store", func(s *soak) func() {
		h := s.coordinator()
		s.note("path of the coordinator, %s, to the store: %v", h, modeSilent)
		h.store.set(modeSilent)
		return func() { h.store.set(modePass) }
	}, takeoverTime},
	{"key is withdrawn", func(s *soak) func() {
		s.withdraw()
		return nil
	}, 0},
	{"key is withdrawn during a freeze", func(s *soak) func() {
		h := s.anyHost()
		s.note("SIGSTOP to %s", h)
		h.signal(syscall.SIGSTOP)
		s.withdraw()
		return func() { h.signal(syscall.SIGCONT) }
	}, revokeBound + time.Second},
}

// takeoverTime is longer than a coordinator's lease and the time until the next
// one orders.
const takeoverTime = 4 * time.Second

// withdraw takes the callers' key away and gives them another.
func (s *soak) withdraw() {
	old := s.currentKey()
	s.key++
	s.configure()
	s.callers.withdrawn(old)
	s.note("%s is withdrawn", old)
}

// coordinator returns the host that is the coordinator by the store's word, or any
// host if there is none.
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
	return s.anyHost()
}

func (s *soak) anyHost() *host { return s.hosts[s.draw.IntN(len(s.hosts))] }

// harm brings faults one after another, which overlap.
func (s *soak) harm(ctx context.Context) {
	kinds := planned
	if !s.PlannedOnly {
		kinds = append(append([]fault(nil), planned...), unplanned...)
	}
	var ends sync.WaitGroup
	until := time.Now().Add(s.Duration)
	for time.Now().Before(until) && ctx.Err() == nil {
		kind := kinds[s.draw.IntN(len(kinds))]
		end := kind.begin(s)
		if end != nil {
			wait := leastFault + time.Duration(s.draw.Int64N(int64(mostFault-leastFault)))
			if kind.length > 0 {
				wait = kind.length
			}
			ends.Go(func() {
				time.Sleep(wait)
				end()
			})
			if s.PlannedOnly {
				// One piece of planned work at a time, as a roll-out makes them.
				ends.Wait()
			}
		}
		time.Sleep(leastPause + time.Duration(s.draw.Int64N(int64(mostPause-leastPause))))
	}
	ends.Wait()
}
