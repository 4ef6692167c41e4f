// Package quarantine finds what crashes targets, by what the requests under which targets
// crashed have in common, and keeps such requests from targets.
//
// Requests of many callers run at a target together, so that a crash also interrupts
// requests that have nothing to do with it. A suspect is quarantined if several targets
// crashed, one after the other, as they began to run different requests with it. Requests that
// targets survive count against that, by their number and only if they were sent after the
// crashes began. What a quarantined suspect explains isn't held against other suspects.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"hawthornway/roster"
	"hawthornway/target"
)

// The parameters of a Detector.
const (
	// crashTTL is how long a crash counts.
	crashTTL = 5 * time.Minute
	// Duration is how long parts and requests are quarantined. After that it takes as many
	// crashes as before to quarantine one again.
	Duration = 10 * time.Minute
	// doubtDuration is for how long suspects are quarantined that targets have survived before. The next
	// crash quarantines them again.
	doubtDuration = time.Minute
	// soundTTL is for how long a suspect is at least known to be sound after a complete
	// response.
	soundTTL = 10 * time.Minute
	// maxSound limits the suspects known to be sound, and maxSuspects those under which
	// engines have crashed, each with the last maxCrashesPerSuspect.
	maxSound    = 20_000
	maxSuspects = 2000

	maxCrashesPerSuspect = 16
	// maxEnds limits the ends of targets that are known.
	maxEnds = 512
	// minRivalRequests and minRivalEnds are the numbers of requests and ends of targets from which on
	// a part may be a likelier cause than another suspect.
	minRivalRequests = 2
	minRivalEnds     = 2
	// furtherEnds is how many more targets must have ended under a suspect that targets have survived.
	furtherEnds = 2
	// maxHistory limits the requests and ends that count of a suspect's history, and allWeight is the
	// number of its requests that the share of all suspects stands for.
	maxHistory = 1000
	allWeight  = 40.0
	// recentSpan is for how long hosts are told which targets a suspect has ended. Until then all
	// have seen what else was interrupted.
	recentSpan = 15 * time.Second
)

// Crash is the end of a target as it began to run a request.
type Crash struct {
	Target target.ID
	Start  roster.StartID
	// Request identifies the request.
	Request string
	// Suspects are what the crash may follow: the request and its caller, then the parts of its
	// prompt, of which a later one is in fewer requests.
	Suspects []Suspect
	At       time.Time
	// Took is the time from the sending of the request to the crash.
	Took time.Duration
	// Unanswered is set if the target had not begun to respond.
	Unanswered bool
}

func (c Crash) end() End { return End{c.Target, c.Start} }

// request returns what identifies the request when its caller sends it again.
func (c Crash) request() string {
	if i := slices.IndexFunc(c.Suspects, Suspect.isRequest); i >= 0 {
		return string(c.Suspects[i])
	}
	return c.Request
}

func (c Crash) sentAt() time.Time { return c.At.Add(-c.Took) }

// same reports whether two records are of the same crash and request.
func (c Crash) same(other Crash) bool {
	return c.end() == other.end() && c.Request == other.Request
}

// Survival is a request that its target survived.
type Survival struct {
	Suspect Suspect
	// Sent is when the request was sent.
	Sent time.Time
	// Complete is set if the response to it was completed. Otherwise its target has got beyond the
	// beginning of the response.
	Complete bool
	// Count is the number of requests that targets survived since the survival that was recorded
	// before. It is zero if that was of the same request.
	Count int
	// Earlier is the number of those beside Count that were sent before the suspect was suspected.
	Earlier int
}

// Quarantine is a suspect that crashes targets.
type Quarantine struct {
	Suspect Suspect
	Until   time.Time
	// Since is the last crash under the suspect, or the zero time if it isn't known.
	Since time.Time
	// Ended are the targets that have lately crashed under the suspect.
	Ended []End
}

// End is the end of one start of a target.
type End struct {
	Target target.ID
	Start  roster.StartID
}

// Detector decides which suspects are quarantined. It is not safe for concurrent use.
type Detector struct {
	// tolerance is by how much the times of crashes may be off.
	tolerance time.Duration
	// soundShared holds the suspects that requests share. They are kept apart from
	// soundRequests, since nearly each request is new.
	soundShared, soundRequests soundSuspects
	// runs holds the evidence on each suspect that targets crashed under.
	runs map[Suspect]*run
	// survivals counts the suspects of all requests that targets survived.
	survivals   survivals
	quarantined map[Suspect]Quarantine
	// ended holds the ends of targets, and explained the quarantined suspects of them.
	ended     map[End]ended
	explained map[End]explanation
}

// ended is the end of a target.
type ended struct {
	at time.Time
	// interrupted is the number of suspects of the requests that it interrupted.
	interrupted int
}

// explanation is what ended a target.
type explanation struct {
	suspects []Suspect
	at       time.Time
}

// NewDetector returns a Detector without evidence. The times of crashes from different hosts may be off
// by a tolerance.
func NewDetector(tolerance time.Duration) *Detector {
	return &Detector{tolerance: tolerance, runs: map[Suspect]*run{}, quarantined: map[Suspect]Quarantine{}, ended: map[End]ended{}, explained: map[End]explanation{}}
}

// soundOf returns where a suspect is recorded as sound.
func (d *Detector) soundOf(suspect Suspect) *soundSuspects {
	if suspect.shared() {
		return &d.soundShared
	}
	return &d.soundRequests
}

// RecordCrash records a crash. It returns the suspects that are quarantined because of it.
func (d *Detector) RecordCrash(now time.Time, crash Crash) (quarantined []Suspect) {
	if d.late(crash) {
		return nil
	}
	d.recordEnd(now, crash)
	for _, suspect := range crash.Suspects {
		r := d.runs[suspect]
		if r == nil {
			d.makeRoom(now)
			r = &run{}
			d.runs[suspect] = r
		}
		if r.add(now, crash) {
			if e, ok := d.ended[crash.end()]; ok {
				e.interrupted++
				d.ended[crash.end()] = e
			}
		}
	}
	// A suspect of fewer requests comes first: what it explains isn't held against those that more
	// requests share.
	for _, suspect := range slices.Backward(crash.Suspects) {
		r, held := d.runs[suspect], d.Quarantined(now, suspect)
		if r == nil || !held && !d.condemns(now, suspect) { // no room was left for an old crash
			continue
		}
		if !held {
			quarantined = append(quarantined, suspect)
		}
		duration := suspect.threshold().duration
		if d.Sound(now, suspect) {
			duration = min(duration, doubtDuration)
		}
		q := Quarantine{Suspect: suspect, Until: now.Add(duration), Since: r.last().At}
		if before := d.quarantined[suspect]; held && before.Until.After(q.Until) {
			q.Until = before.Until
		}
		d.quarantined[suspect] = q
		d.explain(now, suspect, r.ended(time.Time{}))
	}
	return quarantined
}

// late reports whether the request of a crash was sent after its target had ended, so that it can't be
// the cause.
func (d *Detector) late(crash Crash) bool {
	e, known := d.ended[crash.end()]
	return known && crash.sentAt().After(e.at.Add(d.tolerance))
}

// recordEnd records when the target of a crash ended.
func (d *Detector) recordEnd(now time.Time, crash Crash) {
	if e, known := d.ended[crash.end()]; !known || crash.At.Before(e.at) {
		e.at = crash.At
		d.ended[crash.end()] = e
	}
	for end, e := range d.ended {
		if now.Sub(e.at) > crashTTL {
			delete(d.ended, end)
		}
	}
	for len(d.ended) > maxEnds {
		delete(d.ended, oldestKey(d.ended, func(e ended) time.Time { return e.at }))
	}
}

// crashShare returns the share of all suspects that were interrupted by ends of targets that no
// quarantined suspect explains, beside the records of a run.
func (d *Detector) crashShare(now time.Time, r *run) float64 {
	survivals, since := d.survivals.count(now)
	interrupted := 0
	for end, e := range d.ended {
		if len(d.explained[end].suspects) == 0 && !e.at.Before(since) {
			interrupted += e.interrupted
		}
	}
	interrupted = max(0, interrupted-r.records())
	return float64(interrupted+1) / float64(interrupted+survivals+2)
}

// ownShare returns the share of a suspect's requests that were interrupted before its present run: that of
// all suspects, corrected by what is known of its own. More of them are interrupted now than before, also
// those that have nothing to do with it.
func (d *Detector) ownShare(now time.Time, suspect Suspect, r *run) float64 {
	known, _ := d.soundOf(suspect).get(now, suspect)
	before := max(0, known.requests-r.survivals)
	all := d.crashShare(now, r)
	own := (float64(known.ends) + allWeight*all) / (float64(known.ends+before) + allWeight)
	return max(own, all/2)
}

// condemns reports whether the evidence on a suspect suffices to quarantine it.
func (d *Detector) condemns(now time.Time, suspect Suspect) bool {
	r, t := d.runs[suspect], suspect.threshold()
	if r == nil || countDistinct(r.crashes, Crash.request) < t.requests {
		return false
	}
	ends, needed := r.ends(), t.targets
	if r.unanswered() {
		needed += t.unanswered
	}
	if len(ends) < needed {
		return false
	}
	unexplained := slices.DeleteFunc(slices.Clone(ends), func(c Crash) bool {
		return d.explains(suspect, c) || d.outrivalled(suspect, c.end())
	})
	switch {
	case r.survivals > 0 || d.Sound(now, suspect):
		base := d.ownShare(now, suspect, r)
		return len(unexplained) >= t.targets+furtherEnds && outweighs(len(unexplained), r.survivals, base)
	case t.unexplained:
		return len(unexplained) >= needed
	default:
		return len(unexplained) > 0
	}
}

// outrivalled reports whether a part of prompts is more likely than a suspect to have ended a target:
// it has ended several, and a greater share of its requests have, or the same share of fewer requests.
func (d *Detector) outrivalled(suspect Suspect, end End) bool {
	r := d.runs[suspect]
	for other, rival := range d.runs {
		switch {
		case other == suspect || !other.isPart() || !rival.covers(end):
		case countDistinct(rival.crashes, Crash.request) < minRivalRequests || len(rival.ends()) < minRivalEnds:
		case rival.share() > r.share():
			return true
		case rival.share() == r.share() && rival.within(suspect, other) && !r.outdoes(rival):
			return true
		}
	}
	return false
}

// explains reports whether a quarantined suspect other than the given one explains a crash. A request
// or a caller may be quarantined because of a part of its prompts, and doesn't explain what is
// held against that; nor does a part of few requests because of one that has ended more targets.
func (d *Detector) explains(suspect Suspect, crash Crash) bool {
	return slices.ContainsFunc(d.explained[crash.end()].suspects, func(cause Suspect) bool {
		beside := !slices.Contains(crash.Suspects, cause)
		rival := d.runs[cause]
		return cause != suspect && (beside || cause.isPart() && (rival == nil || !d.runs[suspect].outdoes(rival)))
	})
}

// explain records that a quarantined suspect explains the ends of targets.
func (d *Detector) explain(now time.Time, suspect Suspect, ends []End) {
	for _, end := range ends {
		e := d.explained[end]
		if !slices.Contains(e.suspects, suspect) {
			d.explained[end] = explanation{append(e.suspects, suspect), now}
		}
	}
	for end, e := range d.explained {
		if now.Sub(e.at) > crashTTL {
			delete(d.explained, end)
		}
	}
	for len(d.explained) > maxEnds {
		delete(d.explained, oldestKey(d.explained, func(e explanation) time.Time { return e.at }))
	}
}

// Explain records that a suspect that another Detector has quarantined explains the ends of targets.
func (d *Detector) Explain(now time.Time, q Quarantine) { d.explain(now, q.Suspect, q.Ended) }

// Explained reports whether a quarantined suspect explains the end of a target.
func (d *Detector) Explained(id target.ID, start roster.StartID) bool {
	return len(d.explained[End{id, start}].suspects) > 0
}

// Ended returns the ends of targets under a suspect.
func (d *Detector) Ended(suspect Suspect) []End {
	if r := d.runs[suspect]; r != nil {
		return r.ended(time.Time{})
	}
	return nil
}

// makeRoom makes room for the evidence on another suspect.
func (d *Detector) makeRoom(now time.Time) {
	if len(d.runs) < maxSuspects {
		return
	}
	for suspect, r := range d.runs {
		if now.Sub(r.last().At) > crashTTL {
			delete(d.runs, suspect)
		}
	}
	if len(d.runs) >= maxSuspects {
		delete(d.runs, oldestKey(d.runs, func(r *run) time.Time { return r.last().At }))
	}
}

// oldestKey returns the key of the entry with the earliest time.
func oldestKey[K comparable, V any](entries map[K]V, at func(V) time.Time) (oldest K) {
	var oldestAt time.Time
	for key, value := range entries {
		if t := at(value); oldestAt.IsZero() || t.Before(oldestAt) {
			oldest, oldestAt = key, t
		}
	}
	return oldest
}

// RecordSurvival records that a target survived a request with a suspect. It reports whether the
// suspect was quarantined until now.
func (d *Detector) RecordSurvival(now time.Time, s Survival) (released bool) {
	d.survivals.add(now, s.Count)
	d.soundOf(s.Suspect).add(now, s)
	r, held := d.runs[s.Suspect], d.Quarantined(now, s.Suspect)
	if r == nil {
		if !held || s.Sent.Before(d.quarantined[s.Suspect].Since) {
			return false
		}
		d.release(s.Suspect)
		return true
	}
	if !s.Sent.Before(r.crashes[0].At) {
		r.survivals += s.Count
	}
	cleared := r.cleared()
	if cleared {
		d.soundOf(s.Suspect).addEnds(now, s.Suspect, len(r.ends()))
		delete(d.runs, s.Suspect)
	}
	if held && (cleared || !d.condemns(now, s.Suspect)) {
		d.release(s.Suspect)
		return true
	}
	return false
}

// RecordSurvivals counts suspects of requests that targets survived at other hosts.
func (d *Detector) RecordSurvivals(now time.Time, n int) { d.survivals.add(now, max(0, n)) }

// Hold quarantines a suspect for some time, whatever is known of it.
func (d *Detector) Hold(now time.Time, suspect Suspect, duration time.Duration) {
	d.quarantined[suspect] = Quarantine{Suspect: suspect, Until: now.Add(duration)}
}

// Release ends a suspect's quarantine. It reports whether there was one.
func (d *Detector) Release(now time.Time, suspect Suspect) (released bool) {
	released = d.Quarantined(now, suspect)
	d.release(suspect)
	return released
}

// release ends a suspect's quarantine, which explains nothing any more.
func (d *Detector) release(suspect Suspect) {
	delete(d.quarantined, suspect)
	for end, e := range d.explained {
		e.suspects = slices.DeleteFunc(slices.Clone(e.suspects), func(s Suspect) bool { return s == suspect })
		if len(e.suspects) == 0 {
			delete(d.explained, end)
			continue
		}
		d.explained[end] = e
	}
}

// Sound reports whether a response to a request with a suspect was completed lately.
func (d *Detector) Sound(now time.Time, suspect Suspect) bool {
	known, _ := d.soundOf(suspect).get(now, suspect)
	return known.last.Complete
}

// LastSurvival returns the newest survival of a suspect that is known. Complete is set if any
// was.
func (d *Detector) LastSurvival(now time.Time, suspect Suspect) (Survival, bool) {
	known, ok := d.soundOf(suspect).get(now, suspect)
	return known.last, ok
}

// survived returns the number of requests with a suspect that targets are known to have survived.
func (d *Detector) survived(now time.Time, suspect Suspect) int {
	known, _ := d.soundOf(suspect).get(now, suspect)
	return known.requests
}

// Weighed returns the number of targets that ended under a suspect and of the requests that others
// survived since.
func (d *Detector) Weighed(suspect Suspect) (ends, survivals int) {
	if r := d.runs[suspect]; r != nil {
		return len(r.ends()), r.survivals
	}
	return 0, 0
}

// Suspected reports whether targets crashed under a suspect, and it hasn't been cleared.
func (d *Detector) Suspected(suspect Suspect) bool { return d.runs[suspect] != nil }

// survivedSince reports whether a target survived a request with a suspect that was sent at a time
// or later.
func (d *Detector) survivedSince(now time.Time, suspect Suspect, at time.Time) bool {
	known, ok := d.soundOf(suspect).get(now, suspect)
	return ok && !known.last.Sent.Before(at)
}

// Adopt quarantines a suspect that another Detector has quarantined, unless a target has survived it
// since.
func (d *Detector) Adopt(now time.Time, q Quarantine) {
	if !d.survivedSince(now, q.Suspect, q.Since) && q.Until.After(d.quarantined[q.Suspect].Until) {
		d.quarantined[q.Suspect] = q
	}
}

// Quarantined reports whether a suspect is quarantined.
func (d *Detector) Quarantined(now time.Time, suspect Suspect) bool {
	return d.quarantined[suspect].Until.After(now)
}

// List returns the quarantined suspects, in order.
func (d *Detector) List(now time.Time) []Quarantine {
	var list []Quarantine
	for suspect, q := range d.quarantined {
		if !q.Until.After(now) {
			d.release(suspect)
			continue
		}
		if r := d.runs[suspect]; r != nil {
			q.Ended = r.ended(now.Add(-recentSpan))
		}
		list = append(list, q)
	}
	slices.SortFunc(list, func(a, b Quarantine) int { return cmp.Compare(a.Suspect, b.Suspect) })
	return list
}

// history is what is known of a suspect that targets have survived.
type history struct {
	// last is the newest survival, which is complete if any was.
	last Survival
	// requests is the number of requests that targets survived, up to maxHistory, and ends that of
	// targets that ended under others.
	requests, ends int
}

// soundSuspects holds the history of each suspect that targets have survived, in two generations.
type soundSuspects struct {
	recent, previous map[Suspect]history
	// since is the beginning of the recent generation.
	since time.Time
}

func (s *soundSuspects) add(now time.Time, survival Survival) {
	known, ok := s.get(now, survival.Suspect)
	if len(s.recent) >= maxSound/2 {
		s.rotate(now)
	}
	if ok && known.last.Sent.After(survival.Sent) {
		survival.Sent = known.last.Sent
	}
	survival.Complete = survival.Complete || known.last.Complete
	known.requests = min(maxHistory, known.requests+survival.Count+survival.Earlier)
	known.last = survival
	s.recent[survival.Suspect] = known
}

// addEnds adds targets that ended under a suspect that was cleared since.
func (s *soundSuspects) addEnds(now time.Time, suspect Suspect, ends int) {
	known, ok := s.get(now, suspect)
	if !ok {
		return
	}
	known.ends = min(maxHistory, known.ends+ends)
	s.recent[suspect] = known
}

func (s *soundSuspects) get(now time.Time, suspect Suspect) (history, bool) {
	s.expire(now)
	known, ok := s.recent[suspect]
	if !ok {
		known, ok = s.previous[suspect]
	}
	return known, ok
}

// expire begins a new generation if the recent one is old.
func (s *soundSuspects) expire(now time.Time) {
	switch age := now.Sub(s.since); {
	case s.recent == nil || age > 2*soundTTL:
		s.recent, s.previous, s.since = map[Suspect]history{}, nil, now
	case age > soundTTL:
		s.rotate(now)
	}
}

func (s *soundSuspects) rotate(now time.Time) {
	s.recent, s.previous, s.since = map[Suspect]history{}, s.recent, now
}
