// Package quarantine finds the parts of prompts that crash engines, by what the requests
// under which engines crashed have in common, and keeps requests with such a part from
// engines.
//
// Requests of many callers run at an engine together, so that a crash also interrupts
// requests that have nothing to do with it. A part is quarantined if several engines
// crashed as they began to respond to different requests with it, and none has ever
// completed a response to such a request.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"hawthornway/roster"
	"hawthornway/target"
)

// Part identifies a part of a prompt that requests of several sessions may share, such as
// a system prompt or a document.
type Part string

// The parameters of a Detector.
const (
	// A part is quarantined after the crashes of minEngines engines under minRequests
	// requests. One request may be sent to several engines.
	minEngines  = 3
	minRequests = 2
	// crashTTL is how long a crash counts.
	crashTTL = 5 * time.Minute
	// Duration is how long a part is quarantined. After that it takes as many crashes as
	// before to quarantine it again.
	Duration = 10 * time.Minute
	// soundTTL is for how long a part is at least known to be sound after a complete
	// response.
	soundTTL = 10 * time.Minute
	// maxSound limits the parts known to be sound, and maxSuspects those under which
	// engines have crashed, each with the last maxCrashesPerPart.
	maxSound    = 20_000
	maxSuspects = 2000

	maxCrashesPerPart = 16
)

// Crash is the end of an engine as it began to respond to a request.
type Crash struct {
	Target target.ID
	Start  roster.StartID
	// Request identifies the request.
	Request string
	// Parts are the parts of the request's prompt.
	Parts []Part
	At    time.Time
}

// engineStart is one start of an engine.
type engineStart struct {
	target target.ID
	start  roster.StartID
}

func (c Crash) engine() engineStart { return engineStart{c.Target, c.Start} }

func (c Crash) request() string { return c.Request }

// same reports whether two records are of the same crash and request.
func (c Crash) same(other Crash) bool {
	return c.engine() == other.engine() && c.Request == other.Request
}

// countDistinct counts the different keys of crashes.
func countDistinct[K comparable](crashes []Crash, key func(Crash) K) int {
	keys := map[K]bool{}
	for _, c := range crashes {
		keys[key(c)] = true
	}
	return len(keys)
}

// Quarantine is a part that crashes engines.
type Quarantine struct {
	Part  Part
	Until time.Time
}

// Detector decides which parts are quarantined. It is not safe for concurrent use.
type Detector struct {
	sound soundParts
	// suspects holds the crashes under each part that isn't known to be sound.
	suspects    map[Part][]Crash
	quarantined map[Part]time.Time
}

// NewDetector returns a Detector without evidence.
func NewDetector() *Detector {
	return &Detector{suspects: map[Part][]Crash{}, quarantined: map[Part]time.Time{}}
}

// RecordCrash records a crash. It returns the parts that are quarantined because of it.
func (d *Detector) RecordCrash(now time.Time, crash Crash) (quarantined []Part) {
	for _, part := range crash.Parts {
		if d.sound.has(now, part) {
			continue
		}
		crashes := slices.DeleteFunc(d.suspects[part], func(c Crash) bool { return now.Sub(c.At) > crashTTL })
		if !slices.ContainsFunc(crashes, crash.same) {
			crashes = append(crashes, crash)
		}
		if countDistinct(crashes, Crash.engine) < minEngines || countDistinct(crashes, Crash.request) < minRequests {
			d.makeRoom(now, part)
			d.suspects[part] = crashes[max(0, len(crashes)-maxCrashesPerPart):]
			continue
		}
		delete(d.suspects, part)
		if !d.Quarantined(now, part) {
			quarantined = append(quarantined, part)
		}
		d.quarantined[part] = now.Add(Duration)
	}
	return quarantined
}

// makeRoom makes room for a suspect.
func (d *Detector) makeRoom(now time.Time, part Part) {
	if _, ok := d.suspects[part]; ok || len(d.suspects) < maxSuspects {
		return
	}
	var oldest Part
	oldestAt := now
	for suspect, crashes := range d.suspects {
		if at := crashes[len(crashes)-1].At; !at.After(oldestAt) {
			oldest, oldestAt = suspect, at
		}
	}
	delete(d.suspects, oldest)
}

// RecordSound records that a response to a request with a part was completed. It reports
// whether the part was quarantined until now.
func (d *Detector) RecordSound(now time.Time, part Part) (released bool) {
	d.sound.add(now, part)
	delete(d.suspects, part)
	released = d.Quarantined(now, part)
	delete(d.quarantined, part)
	return released
}

// Sound reports whether a part is known to be sound.
func (d *Detector) Sound(now time.Time, part Part) bool { return d.sound.has(now, part) }

// Adopt quarantines a part that another Detector has quarantined, unless it is known to
// be sound.
func (d *Detector) Adopt(now time.Time, q Quarantine) {
	if !d.sound.has(now, q.Part) && q.Until.After(d.quarantined[q.Part]) {
		d.quarantined[q.Part] = q.Until
	}
}

// Quarantined reports whether a part is quarantined.
func (d *Detector) Quarantined(now time.Time, part Part) bool { return d.quarantined[part].After(now) }

// List returns the quarantined parts, in order.
func (d *Detector) List(now time.Time) []Quarantine {
	var list []Quarantine
	for part, until := range d.quarantined {
		if !until.After(now) {
			delete(d.quarantined, part)
			continue
		}
		list = append(list, Quarantine{part, until})
	}
	slices.SortFunc(list, func(a, b Quarantine) int { return cmp.Compare(a.Part, b.Part) })
	return list
}

// soundParts holds the parts that are known to be sound, in two generations.
type soundParts struct {
	recent, previous map[Part]bool
	// since is the beginning of the recent generation.
	since time.Time
}

func (s *soundParts) add(now time.Time, part Part) {
	s.expire(now)
	if len(s.recent) >= maxSound/2 {
		s.rotate(now)
	}
	s.recent[part] = true
}

func (s *soundParts) has(now time.Time, part Part) bool {
	s.expire(now)
	return s.recent[part] || s.previous[part]
}

// expire begins a new generation if the recent one is old.
func (s *soundParts) expire(now time.Time) {
	switch age := now.Sub(s.since); {
	case s.recent == nil || age > 2*soundTTL:
		s.recent, s.previous, s.since = map[Part]bool{}, nil, now
	case age > soundTTL:
		s.rotate(now)
	}
}

func (s *soundParts) rotate(now time.Time) {
	s.recent, s.previous, s.since = map[Part]bool{}, s.recent, now
}
