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
	// maxSoundPerReport limits the sound suspects in one report, beside those of its crashes.
	maxSoundPerReport = 256
	// soundReportInterval is how often a suspect is reported as sound. It leaves enough
	// reports within soundTTL that some may be lost.
	soundReportInterval = 2 * time.Minute
)

// Evidence is what a host reports to the coordinator.
type Evidence struct {
	Crashes []Crash
	// Survived lists suspects of requests that targets survived, and Survivals counts those of all
	// such requests.
	Survived  []Survival
	Survivals int
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
	// fleet holds the quarantined suspects according to the coordinator.
	fleet map[Suspect]Quarantine
	// crashes are the recent crashes, of which the first sent ones were reported to the
	// coordinator with the given fence.
	crashes []Crash
	sent    int
	fence   target.Fence
	// unreported counts the survivals of suspects for the next report, and reported holds what was
	// reported of suspects. survivals counts those of all suspects.
	unreported map[Suspect]int
	reported   map[Suspect]reportedSurvival
	survivals  int
}

// reportedSurvival is when the survival of a suspect was reported, and of how many requests until then.
type reportedSurvival struct {
	at       time.Time
	requests int
}

// NewScreen returns a Screen without evidence.
func NewScreen(clock clockwork.Clock, log *slog.Logger) *Screen {
	return &Screen{
		clock: clock, log: log, crashed: make(chan struct{}, 1), own: NewDetector(0),
		fleet: map[Suspect]Quarantine{}, unreported: map[Suspect]int{}, reported: map[Suspect]reportedSurvival{},
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
		if s.fleet[suspect].Until.After(now) || s.own.Quarantined(now, suspect) {
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
	return max(0, s.fleet[suspect].Until.Sub(now), s.own.quarantined[suspect].Until.Sub(now))
}

// RecordCrash records that a target crashed as it began to run a request. Its At is set.
func (s *Screen) RecordCrash(crash Crash) {
	if len(crash.Suspects) == 0 {
		return
	}
	s.mu.Lock()
	crash.At = s.clock.Now()
	if s.own.late(crash) {
		s.mu.Unlock()
		return
	}
	quarantined := s.own.RecordCrash(crash.At, crash)
	s.crashes = append(s.crashes, crash)
	if excess := len(s.crashes) - maxCrashes; excess > 0 {
		s.crashes = slices.Delete(s.crashes, 0, excess)
		s.sent = max(0, s.sent-excess)
	}
	for _, suspect := range quarantined {
		ends, survivals := s.own.Weighed(suspect)
		s.log.Warn("quarantine: targets crash under this suspect; refusing requests with it", "suspect", suspect,
			"target", crash.Target, "request", crash.Request, "ended", ends, "survived", survivals)
	}
	s.mu.Unlock()
	select {
	case s.crashed <- struct{}{}:
	default: // one is pending
	}
}

// RecordSurvival records that a target survived a request with these suspects, sent at a time. Its
// response was completed, or has got beyond its beginning. Again is set if the survival of the
// same request was recorded before.
func (s *Screen) RecordSurvival(suspects []Suspect, sent time.Time, complete, again bool) {
	count := 1
	if again {
		count = 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.survivals += count * len(suspects)
	for _, suspect := range suspects {
		// Nearly each request is new; a sound one is reported once it is suspected.
		due := complete && suspect.shared() && now.Sub(s.reported[suspect].at) >= soundReportInterval
		if suspected := s.own.Suspected(suspect) || s.fleet[suspect].Until.After(now); (due || suspected) && len(s.unreported) < maxSound {
			s.unreported[suspect] += count
		}
		s.own.RecordSurvival(now, Survival{Suspect: suspect, Sent: sent, Complete: complete, Count: count})
	}
}

// Take returns the evidence that the coordinator with the given fence doesn't have yet. A
// new coordinator is given all that is recent.
func (s *Screen) Take(fence target.Fence) Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	e := Evidence{Survivals: s.survivals}
	s.survivals = 0
	if fence != s.fence {
		s.fence = fence
		s.resend(now)
		e.Quarantined = s.own.List(now)
		for _, q := range s.fleet {
			e.Quarantined = append(e.Quarantined, q)
		}
	}
	expired := 0
	for expired < len(s.crashes) && now.Sub(s.crashes[expired].At) > crashTTL {
		expired++
	}
	s.crashes, s.sent = slices.Delete(s.crashes, 0, expired), max(0, s.sent-expired)
	for _, crash := range s.crashes[s.sent:] {
		crash.Suspects = slices.DeleteFunc(slices.Clone(crash.Suspects), func(suspect Suspect) bool { return s.own.survivedSince(now, suspect, crash.At) })
		if len(crash.Suspects) == 0 {
			continue
		}
		e.Crashes = append(e.Crashes, crash)
		// The coordinator may not have been told yet what targets have survived.
		for _, suspect := range crash.Suspects {
			if _, reported := s.reported[suspect]; !reported {
				s.takeSurvival(now, suspect, &e)
			}
		}
	}
	s.sent = len(s.crashes)
	for suspect := range s.unreported {
		if len(e.Survived) >= maxSoundPerReport {
			break
		}
		s.takeSurvival(now, suspect, &e)
	}
	if len(s.reported) > maxSound {
		clear(s.reported)
	}
	return e
}

// takeSurvival adds the survival of a suspect to the evidence for the coordinator, if one is known.
func (s *Screen) takeSurvival(now time.Time, suspect Suspect, e *Evidence) {
	survival, ok := s.own.LastSurvival(now, suspect)
	if ok {
		requests := s.own.survived(now, suspect)
		survival.Count = s.unreported[suspect]
		survival.Earlier = max(0, requests-s.reported[suspect].requests-survival.Count)
		e.Survived = append(e.Survived, survival)
		s.reported[suspect] = reportedSurvival{now, requests}
	}
	delete(s.unreported, suspect)
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
	for suspect, r := range s.reported {
		if now.Sub(r.at) < soundTTL {
			s.unreported[suspect] += 0
		}
	}
	clear(s.reported)
}

// Adopt applies the quarantined suspects according to the coordinator with the given fence,
// and what the coordinator knows targets to have survived of this host's crashes. If the list is
// complete, and that coordinator has this host's evidence, suspects that it lacks are
// released, also those that this host has quarantined itself.
func (s *Screen) Adopt(fence target.Fence, list []Quarantine, complete bool, survived []Survival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, survival := range survived {
		s.own.RecordSurvival(now, survival)
	}
	for _, q := range list {
		if s.own.survivedSince(now, q.Suspect, q.Since) {
			s.unreported[q.Suspect]++ // the coordinator doesn't know it
		}
	}
	known := complete && fence == s.fence
	before := s.fleet
	if known {
		s.fleet = make(map[Suspect]Quarantine, len(list))
	}
	for _, q := range list {
		s.fleet[q.Suspect] = q
		s.own.Explain(now, q)
	}
	for suspect := range before {
		if _, ok := s.fleet[suspect]; !ok {
			s.own.Release(now, suspect)
		}
	}
	if !known || s.sent < len(s.crashes) {
		return
	}
	// The coordinator knows more than this host, whose evidence it has.
	for _, q := range s.own.List(now) {
		if _, ok := s.fleet[q.Suspect]; !ok {
			s.own.Release(now, q.Suspect)
		}
	}
}
