package pace

import "time"

// Candidate is a target with a limit that could run a request.
type Candidate struct {
	Key
	Rate Rate
}

// Grant is the answer to a request for a place in the line of a target.
type Grant struct {
	// Key is the target, and Wait the time until the request may be sent to it. If Refused
	// is set, no target has a place in time, and Wait is the time until one has.
	Key     Key
	Wait    time.Duration
	Refused bool
}

// Schedule gives out the places in the lines of targets with a limit, in the order of
// asking. It is not safe for concurrent use.
type Schedule struct {
	from         time.Time
	initialLevel func() float64
	lines        map[Key]*line
}

// line is the line of one target: a bucket that holds one request at most. Its level is
// below zero while places are taken in advance.
type line struct {
	level     float64
	updatedAt time.Time
}

// MaxWait is how far ahead a Schedule gives out places at most. Places further ahead would
// outlive their requests.
const MaxWait = 2 * time.Second

// NewSchedule returns a Schedule whose places begin at from: before that, those of a former
// one are used, which end after MaxWait. InitialLevel returns the part of a request, from
// zero to one, that a target may be sent at once when it is first asked for; nil means none,
// since the target may have got requests just before.
func NewSchedule(from time.Time, initialLevel func() float64) *Schedule {
	if initialLevel == nil {
		initialLevel = func() float64 { return 0 }
	}
	return &Schedule{from: from, initialLevel: initialLevel, lines: map[Key]*line{}}
}

// Reserve takes the first place in the lines of the candidates, unless that is later than
// limit. There must be a candidate.
func (s *Schedule) Reserve(now time.Time, candidates []Candidate, limit time.Duration) Grant {
	var best Grant
	var bestLine *line
	for _, c := range candidates {
		l, wait := s.line(now, c)
		if bestLine == nil || wait < best.Wait {
			best, bestLine = Grant{Key: c.Key, Wait: wait}, l
		}
	}
	if best.Wait > min(limit, MaxWait) {
		best.Refused = true
		return best
	}
	bestLine.level--
	return best
}

// line returns the line of a target, and the time until its next place.
func (s *Schedule) line(now time.Time, c Candidate) (*line, time.Duration) {
	rate := float64(c.Rate)
	l, ok := s.lines[c.Key]
	if !ok {
		s.expire(now)
		l = &line{level: s.initialLevel() - rate*max(0, s.from.Sub(now).Seconds()), updatedAt: now}
		s.lines[c.Key] = l
	}
	l.level = min(1, l.level+rate*now.Sub(l.updatedAt).Seconds())
	l.updatedAt = now
	return l, max(0, time.Duration(min((1-l.level)/rate, longestWait.Seconds())*float64(time.Second)))
}

// longestWait limits the time until a place that hosts are told.
const longestWait = time.Hour

// lineTTL is how long the line of a target that nobody asks for is remembered.
const lineTTL = time.Minute

func (s *Schedule) expire(now time.Time) {
	for key, l := range s.lines {
		if now.Sub(l.updatedAt) > lineTTL {
			delete(s.lines, key)
		}
	}
}
