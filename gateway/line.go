package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/outcome"
	"hawthornway/pace"
	"hawthornway/relay"
	"hawthornway/roster"
)

// minLineWait is how long a request may wait in the line of a target with a limit even if it
// is late then, which smooths short bursts.
const minLineWait = 200 * time.Millisecond

// fullRetryAfter is sent as Retry-After if the targets have no room. Requests that run end in
// about that time.
const fullRetryAfter = 300 * time.Millisecond

// lineWait is the wait of one request for a target with a limit.
type lineWait struct {
	pacer *pace.Pacer
	// place is the request's place in a line, or nil.
	place *pace.Reservation
	// untilFree is the time until a line has a place, if none had one in time.
	untilFree time.Duration
	// full is set if no target had room when the request last asked.
	full bool
	// taken is the place that the request has been given.
	taken pace.Reservation
}

// take returns the place that the request uses, or the zero Reservation if its target has no
// limit.
func (l *lineWait) take() pace.Reservation { return l.taken }

// ask returns a target with a limit that is to be asked now and then, even if other targets
// could run the request.
func (l *lineWait) ask(ctx context.Context, now time.Time, c candidates, request relay.PlacementRequest) (roster.Target, bool) {
	if len(c.limited) == 0 || len(c.eligible) == 0 || l.place != nil {
		return roster.Target{}, false
	}
	place, ok := l.pacer.ReserveToAsk(ctx, keysOf(c.limited), request.Deadline.Sub(now))
	if !ok {
		return roster.Target{}, false
	}
	l.taken = place
	return targetOf(place.Key, c.limited)
}

// askCold returns a cold target that can take the request at once, since the warm ones that could
// run it are full.
func (l *lineWait) askCold(ctx context.Context, now time.Time, cold []roster.Target, request relay.PlacementRequest) (roster.Target, bool) {
	if len(cold) == 0 || l.place != nil {
		return roster.Target{}, false
	}
	place, _, ok := l.pacer.Reserve(ctx, keysOf(cold), 0, request.Deadline.Sub(now))
	if !ok {
		return roster.Target{}, false
	}
	l.taken = place
	return targetOf(place.Key, cold)
}

// wait returns the target at which it is the request's turn, if any. It gets a place in the
// line of one of the targets unless the request has one.
func (l *lineWait) wait(ctx context.Context, clock clockwork.Clock, limited []roster.Target, request relay.PlacementRequest) (roster.Target, bool) {
	l.untilFree, l.full = 0, false
	if l.place != nil {
		if _, ok := targetOf(l.place.Key, limited); !ok {
			l.leave() // the target can't run the request any more
		} else if !clock.Now().Before(l.place.At) && !l.pacer.Valid(*l.place) {
			l.pacer.Release(*l.place, false)
			l.place = nil
		}
	}
	if l.place == nil && len(limited) > 0 {
		place, untilFree, ok := l.pacer.Reserve(ctx, keysOf(limited), lineWaitLimit(clock.Now(), request), request.Deadline.Sub(clock.Now()))
		if !ok {
			l.untilFree, l.full = untilFree, untilFree == 0
			return roster.Target{}, false
		}
		l.place = &place
	}
	if l.place == nil || clock.Now().Before(l.place.At) {
		return roster.Target{}, false
	}
	t, ok := targetOf(l.place.Key, limited)
	l.taken, l.place = *l.place, nil
	return t, ok
}

func keysOf(targets []roster.Target) []pace.Key {
	keys := make([]pace.Key, 0, len(targets))
	for _, t := range targets {
		keys = append(keys, pace.KeyOf(t))
	}
	return keys
}

// targetOf returns the target with a key.
func targetOf(key pace.Key, targets []roster.Target) (roster.Target, bool) {
	i := slices.IndexFunc(targets, func(t roster.Target) bool { return pace.KeyOf(t) == key })
	if i < 0 {
		return roster.Target{}, false
	}
	return targets[i], true
}

// lineWaitLimit returns how long a request may wait in a line: as long as it is on time, so
// that requests that can't be make room for those that can.
func lineWaitLimit(now time.Time, request relay.PlacementRequest) time.Duration {
	onTime := min(pace.MaxWait, max(minLineWait, request.Due.Sub(now)))
	return max(0, min(onTime, request.Deadline.Sub(now)-minRunTime))
}

// leave gives the request's place to another one of this host.
func (l *lineWait) leave() {
	if l.place != nil {
		l.pacer.GiveBack(*l.place)
		l.place = nil
	}
}

// recheckDelay returns the time after which the request looks for a target again.
func (l *lineWait) recheckDelay(now time.Time) time.Duration {
	if l.full {
		return l.pacer.FullRest()
	}
	if l.place == nil {
		return recheckInterval
	}
	return max(0, min(recheckInterval, l.place.At.Sub(now)))
}

// refuseIfLimited returns a refusal if only targets with a limit could run the request, and
// none has a place in its line in time.
func (p *placer) refuseIfLimited(ready []roster.Target, c candidates, request relay.PlacementRequest, line lineWait) *outcome.NotRun {
	tooLate := line.full && p.gateway.clock.Now().After(request.Due.Add(minLineWait))
	if line.untilFree == 0 && !tooLate || len(c.eligible) > 0 {
		return nil
	}
	if request.Model != "" {
		for _, t := range ready {
			if _, limited := p.gateway.limits.Limit(pace.KeyOf(t)); !limited {
				return nil // the model can be loaded there
			}
		}
	}
	if tooLate {
		return &outcome.NotRun{Reason: outcome.ReasonNoTarget, RetryAfter: fullRetryAfter, Detail: "the targets had no room while the response could be on time"}
	}
	return &outcome.NotRun{Reason: outcome.ReasonNoTarget, RetryAfter: line.untilFree, Detail: "the limits of the targets allow no further request in time"}
}
