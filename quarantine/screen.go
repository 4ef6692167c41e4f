package quarantine

import (
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/target"
)

// The limits of the evidence that a Screen keeps.
const (
	// maxCrashes limits the crashes that are kept for the next coordinator.
	maxCrashes = 64
	// maxSoundPerReport limits the sound parts in one report.
	maxSoundPerReport = 256
	// soundReportInterval is how often a part is reported as sound. It leaves enough
	// reports within soundTTL that some may be lost.
	soundReportInterval = 2 * time.Minute
)

// Evidence is what a host reports to the coordinator.
type Evidence struct {
	Crashes []Crash
	// Sound lists parts of requests whose responses were completed.
	Sound []Part
	// Quarantined lists the parts that the host knows to be quarantined.
	Quarantined []Quarantine
}

// Screen holds the quarantined parts that a host knows, from the coordinator and by its
// own evidence, and the evidence for the coordinator. It is safe for concurrent use.
type Screen struct {
	clock clockwork.Clock
	log   *slog.Logger
	// crashed is signalled after a crash was recorded.
	crashed chan struct{}

	mu  sync.Mutex
	own *Detector
	// fleet holds the quarantined parts according to the coordinator.
	fleet []Quarantine
	// crashes are the recent crashes, of which the first sent ones were reported to the
	// coordinator with the given fence.
	crashes []Crash
	sent    int
	fence   target.Fence
	// unreported holds sound parts for the next report, and reportedAt when parts were
	// reported.
	unreported map[Part]bool
	reportedAt map[Part]time.Time
}

// NewScreen returns a Screen without evidence.
func NewScreen(clock clockwork.Clock, log *slog.Logger) *Screen {
	return &Screen{
		clock: clock, log: log, crashed: make(chan struct{}, 1), own: NewDetector(),
		unreported: map[Part]bool{}, reportedAt: map[Part]time.Time{},
	}
}

// Crashed returns a channel that receives a value after crashes were recorded.
func (s *Screen) Crashed() <-chan struct{} { return s.crashed }

// Quarantined returns the first of the parts that is quarantined, if any.
func (s *Screen) Quarantined(parts []Part) (Part, bool) {
	if len(parts) == 0 {
		return "", false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, part := range parts {
		inFleet := slices.ContainsFunc(s.fleet, func(q Quarantine) bool { return q.Part == part && q.Until.After(now) })
		if inFleet || s.own.Quarantined(now, part) {
			return part, true
		}
	}
	return "", false
}

// RecordCrash records that an engine crashed as it began to respond to a request. Its At
// is set.
func (s *Screen) RecordCrash(crash Crash) {
	if len(crash.Parts) == 0 {
		return
	}
	s.mu.Lock()
	crash.At = s.clock.Now()
	quarantined := s.own.RecordCrash(crash.At, crash)
	s.crashes = append(s.crashes, crash)
	if excess := len(s.crashes) - maxCrashes; excess > 0 {
		s.crashes = slices.Delete(s.crashes, 0, excess)
		s.sent = max(0, s.sent-excess)
	}
	s.mu.Unlock()
	for _, part := range quarantined {
		s.log.Warn("quarantine: a part of prompts crashes engines; refusing requests with it", "part", part, "target", crash.Target, "request", crash.Request)
	}
	select {
	case s.crashed <- struct{}{}:
	default: // one is pending
	}
}

// RecordSound records that a response to a request with these parts was completed.
func (s *Screen) RecordSound(parts []Part) {
	if len(parts) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, part := range parts {
		s.own.RecordSound(now, part)
		if now.Sub(s.reportedAt[part]) >= soundReportInterval && len(s.unreported) < maxSound {
			s.unreported[part] = true
		}
	}
}

// Take returns the evidence that the coordinator with the given fence doesn't have yet. A
// new coordinator is given all that is recent.
func (s *Screen) Take(fence target.Fence) Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	var e Evidence
	if fence != s.fence {
		s.fence = fence
		s.resend(now)
		e.Quarantined = append(s.own.List(now), s.fleet...)
	}
	expired := 0
	for expired < len(s.crashes) && now.Sub(s.crashes[expired].At) > crashTTL {
		expired++
	}
	s.crashes, s.sent = slices.Delete(s.crashes, 0, expired), max(0, s.sent-expired)
	for _, crash := range s.crashes[s.sent:] {
		// The coordinator may not have been told yet that a part is sound.
		crash.Parts = slices.DeleteFunc(slices.Clone(crash.Parts), func(part Part) bool { return s.own.Sound(now, part) })
		if len(crash.Parts) > 0 {
			e.Crashes = append(e.Crashes, crash)
		}
	}
	s.sent = len(s.crashes)
	for part := range s.unreported {
		if len(e.Sound) == maxSoundPerReport {
			break
		}
		e.Sound = append(e.Sound, part)
		delete(s.unreported, part)
		s.reportedAt[part] = now
	}
	if len(s.reportedAt) > maxSound {
		clear(s.reportedAt)
	}
	return e
}

// Lost makes the next Take return all evidence again, since a report was lost.
func (s *Screen) Lost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fence = 0
	s.resend(s.clock.Now())
}

// resend makes the next Take return all recent evidence.
func (s *Screen) resend(now time.Time) {
	s.sent = 0
	for part, at := range s.reportedAt {
		if now.Sub(at) < soundTTL {
			s.unreported[part] = true
		}
	}
	clear(s.reportedAt)
}

// Adopt applies the quarantined parts according to the coordinator with the given fence,
// and parts of this host's crashes that the coordinator knows to be sound. If the list is
// complete, and that coordinator has this host's evidence, parts that it lacks are
// released.
func (s *Screen) Adopt(fence target.Fence, list []Quarantine, complete bool, sound []Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, part := range sound {
		s.own.RecordSound(now, part)
	}
	for _, q := range list {
		if s.own.sound.has(now, q.Part) {
			s.unreported[q.Part] = true // the coordinator doesn't know it
		}
	}
	if complete && fence == s.fence {
		s.fleet = list
		return
	}
	for _, q := range list {
		s.fleet = slices.DeleteFunc(s.fleet, func(known Quarantine) bool { return known.Part == q.Part })
		s.fleet = append(s.fleet, q)
	}
}
