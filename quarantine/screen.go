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
	maxCrashes = 256
	// maxSoundPerReport limits the sound suspects in one report.
	maxSoundPerReport = 256
	// soundReportInterval is how often a suspect is reported as sound. It leaves enough
	// reports within soundTTL that some may be lost.
	soundReportInterval = 2 * time.Minute
)

// Evidence is what a host reports to the coordinator.
type Evidence struct {
	Crashes []Crash
	// Sound lists suspects of requests whose responses were completed.
	Sound []Suspect
	// Quarantined lists the suspects that the host knows to be quarantined.
	Quarantined []Quarantine
}

// Screen holds the quarantined suspects that a host knows, from the coordinator and by its
// own evidence, and the evidence for the coordinator. It is safe for concurrent use.
type Screen struct {
	clock clockwork.Clock
	log   *slog.Logger
	// crashed is signalled after a crash was recorded.
	crashed chan struct{}

	mu  sync.Mutex
	own *Detector
	// fleet holds until when suspects are quarantined according to the coordinator.
	fleet map[Suspect]time.Time
	// crashes are the recent crashes, of which the first sent ones were reported to the
	// coordinator with the given fence.
	crashes []Crash
	sent    int
	fence   target.Fence
	// unreported holds sound suspects for the next report, and reportedAt when suspects were
	// reported.
	unreported map[Suspect]bool
	reportedAt map[Suspect]time.Time
}

// NewScreen returns a Screen without evidence.
func NewScreen(clock clockwork.Clock, log *slog.Logger) *Screen {
	return &Screen{
		clock: clock, log: log, crashed: make(chan struct{}, 1), own: NewDetector(),
		fleet: map[Suspect]time.Time{}, unreported: map[Suspect]bool{}, reportedAt: map[Suspect]time.Time{},
	}
}

// Crashed returns a channel that receives a value after crashes were recorded.
func (s *Screen) Crashed() <-chan struct{} { return s.crashed }

// Quarantined returns the first of the suspects that is quarantined, if any.
func (s *Screen) Quarantined(suspects []Suspect) (Suspect, bool) {
	if len(suspects) == 0 {
		return "", false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, suspect := range suspects {
		if s.fleet[suspect].After(now) || s.own.Quarantined(now, suspect) {
			return suspect, true
		}
	}
	return "", false
}

// Rest returns the time until the quarantine of a suspect ends, or zero.
func (s *Screen) Rest(suspect Suspect) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	return max(0, s.fleet[suspect].Sub(now), s.own.quarantined[suspect].Sub(now))
}

// RecordCrash records that an engine crashed as it began to respond to a request. Its At
// is set.
func (s *Screen) RecordCrash(crash Crash) {
	if len(crash.Suspects) == 0 {
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
	for _, suspect := range quarantined {
		s.log.Warn("quarantine: targets crash under this suspect; refusing requests with it", "suspect", suspect, "target", crash.Target, "request", crash.Request)
	}
	select {
	case s.crashed <- struct{}{}:
	default: // one is pending
	}
}

// RecordSound records that a response to a request with these suspects was completed.
func (s *Screen) RecordSound(suspects []Suspect) {
	if len(suspects) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, suspect := range suspects {
		s.own.RecordSound(now, suspect)
		// Nearly each request is new; a sound one is reported once others suspect it.
		if !suspect.isRequest() && now.Sub(s.reportedAt[suspect]) >= soundReportInterval && len(s.unreported) < maxSound {
			s.unreported[suspect] = true
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
		e.Quarantined = s.own.List(now)
		for suspect, until := range s.fleet {
			e.Quarantined = append(e.Quarantined, Quarantine{suspect, until})
		}
	}
	expired := 0
	for expired < len(s.crashes) && now.Sub(s.crashes[expired].At) > crashTTL {
		expired++
	}
	s.crashes, s.sent = slices.Delete(s.crashes, 0, expired), max(0, s.sent-expired)
	for _, crash := range s.crashes[s.sent:] {
		// The coordinator may not have been told yet that a suspect is sound.
		crash.Suspects = slices.DeleteFunc(slices.Clone(crash.Suspects), func(suspect Suspect) bool { return s.own.Sound(now, suspect) })
		if len(crash.Suspects) > 0 {
			e.Crashes = append(e.Crashes, crash)
		}
	}
	s.sent = len(s.crashes)
	for suspect := range s.unreported {
		if len(e.Sound) == maxSoundPerReport {
			break
		}
		e.Sound = append(e.Sound, suspect)
		delete(s.unreported, suspect)
		s.reportedAt[suspect] = now
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
	for suspect, at := range s.reportedAt {
		if now.Sub(at) < soundTTL {
			s.unreported[suspect] = true
		}
	}
	clear(s.reportedAt)
}

// Adopt applies the quarantined suspects according to the coordinator with the given fence,
// and suspects of this host's crashes that the coordinator knows to be sound. If the list is
// complete, and that coordinator has this host's evidence, suspects that it lacks are
// released.
func (s *Screen) Adopt(fence target.Fence, list []Quarantine, complete bool, sound []Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, suspect := range sound {
		s.own.RecordSound(now, suspect)
	}
	for _, q := range list {
		if s.own.Sound(now, q.Suspect) {
			s.unreported[q.Suspect] = true // the coordinator doesn't know it
		}
	}
	if complete && fence == s.fence {
		clear(s.fleet)
	}
	for _, q := range list {
		s.fleet[q.Suspect] = q.Until
	}
}
