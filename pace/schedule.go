package pace

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a target with a limit that could run a request. Rate and Room are zero if they
// aren't limited.
type Candidate struct {
	Key
	Rate Rate
	Room int
	// WarmIn is the time after which the rate is no longer limited, or zero if it stays so.
	WarmIn time.Duration
}

// Grant is the answer to a request for a place in the line of a target.
type Grant struct {
	// Key is the target, and Wait the time until the request may be sent to it. If Refused
	// is set, no target has a place in time, and Wait is the time until one has.
	Key     Key
	Wait    time.Duration
	Refused bool
	// Full is set instead if a target has no room. Nobody knows when it will have.
	Full bool
	// Held is set if the request takes some of the target's room until it is released.
	Held bool
	// Warm is set if the place begins when the target is warm, and takes none of what the target
	// bears while it is cold.
	Warm bool
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
	// held holds until when requests may take room at the target that aren't released, in
	// order. Room is what the target is believed to have, as of roomAt.
	held   []time.Time
	room   float64
	roomAt time.Time
}

const (
	// roomCut is the factor by which a target's room shrinks when it turns a request away
	// though it should have had room.
	roomCut = 0.7
	// roomGrowth is the share of the target's stated room by which it grows again in a second.
	roomGrowth = 0.1
)

// updateRoom brings the room of a target up to date.
func (l *line) updateRoom(now time.Time, stated int) {
	l.held = slices.DeleteFunc(l.held, func(until time.Time) bool { return !now.Before(until) })
	if l.roomAt.IsZero() {
		l.room = float64(stated)
	}
	grown := roomGrowth * float64(stated) * now.Sub(l.roomAt).Seconds()
	l.room, l.roomAt = min(float64(stated), l.room+grown), now
}

// occupancy returns the taken share of a target's room.
func (l *line) occupancy() float64 { return float64(len(l.held)) / max(1, l.room) }

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
// limit, and for as long as hold some of the target's room if that is limited. There must be
// a candidate.
func (s *Schedule) Reserve(now time.Time, candidates []Candidate, limit, hold time.Duration) Grant {
	type option struct {
		Candidate
		line *line
		wait time.Duration
		full bool
	}
	options := make([]option, 0, len(candidates))
	for _, c := range candidates {
		l, wait := s.line(now, c)
		full := c.Room > 0 && (float64(len(l.held)) >= max(1, l.room) || now.Before(s.from))
		options = append(options, option{c, l, wait, full})
	}
	best := slices.MinFunc(options, func(a, b option) int {
		return cmp.Or(compareBool(a.full, b.full), cmp.Compare(a.wait, b.wait), cmp.Compare(a.line.occupancy(), b.line.occupancy()))
	})
	grant := Grant{Key: best.Key, Wait: best.wait, Full: best.full, Held: best.Room > 0 && !best.full}
	switch {
	case best.full:
		return grant
	case best.wait > min(limit, MaxWait):
		grant.Refused, grant.Held = true, false
		return grant
	}
	if grant.Warm = best.WarmIn > 0 && best.wait >= best.WarmIn; !grant.Warm {
		best.line.level--
	}
	if grant.Held {
		best.line.held = append(best.line.held, now.Add(best.wait+hold))
		slices.SortFunc(best.line.held, time.Time.Compare)
	}
	return grant
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Release gives back the room that a request has taken at a target, which has turned the
// request away or not.
func (s *Schedule) Release(key Key, turnedAway bool) {
	l, ok := s.lines[key]
	if !ok || len(l.held) == 0 {
		return
	}
	if turnedAway {
		l.room = max(1, roomCut*min(l.room, float64(len(l.held))))
	}
	l.held = l.held[1:]
}

// line returns the line of a target, and the time until its next place.
func (s *Schedule) line(now time.Time, c Candidate) (*line, time.Duration) {
	rate := float64(c.Rate)
	if c.Rate == 0 {
		rate = unlimitedRate
	}
	l, ok := s.lines[c.Key]
	if !ok {
		s.expire(now)
		l = &line{level: s.initialLevel() - rate*max(0, s.from.Sub(now).Seconds()), updatedAt: now}
		s.lines[c.Key] = l
	}
	l.level = min(1, l.level+rate*now.Sub(l.updatedAt).Seconds())
	l.updatedAt = now
	if c.Room > 0 {
		l.updateRoom(now, c.Room)
	}
	wait := max(0, time.Duration(min((1-l.level)/rate, longestWait.Seconds())*float64(time.Second)))
	if c.WarmIn > 0 {
		wait = min(wait, c.WarmIn)
	}
	return l, wait
}

// unlimitedRate is the rate, in requests per second, of a target that limits its room only.
const unlimitedRate = 1e6

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
