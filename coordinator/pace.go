package coordinator

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/boottime"
	"hawthornway/fleet"
	"hawthornway/pace"
	"hawthornway/peer"
	"hawthornway/roster"
	"hawthornway/target"
)

// wireLimit is what a target said about its limit.
type wireLimit struct {
	Target target.ID      `cbor:"1,keyasint"`
	Start  roster.StartID `cbor:"2,keyasint"`
	// Rate is in requests per second. Ended is set if the target stated no limit.
	Rate  float64 `cbor:"3,keyasint"`
	Ended bool    `cbor:"4,keyasint,omitempty"`
	// Ago is the time since then in milliseconds.
	Ago int64 `cbor:"5,keyasint"`
	// Room is the number of requests that the target may have at a time, or zero.
	Room int `cbor:"6,keyasint,omitempty"`
	// ColdRate is the number of requests per second that the target bears while it is cold, and
	// ColdLeft the time in milliseconds until it is warm, which is negative if it has passed.
	// Period identifies the span, and is zero if there is none. Older builds don't send these.
	ColdRate float64     `cbor:"7,keyasint,omitempty"`
	ColdLeft int64       `cbor:"8,keyasint,omitempty"`
	Period   pace.Period `cbor:"9,keyasint,omitempty"`
	// Assumed is set if the target hasn't said itself that it is cold.
	Assumed bool `cbor:"10,keyasint,omitempty"`
}

func newWireLimits(statements []pace.Statement, now boottime.Instant) []wireLimit {
	var wire []wireLimit
	for _, s := range statements {
		w := wireLimit{Target: s.Target, Start: s.Start, Rate: float64(s.Rate), Room: s.Room, Ended: s.Ended, Ago: now.Sub(s.At).Milliseconds()}
		if s.Cold.Period != 0 {
			w.Rate, w.Ended = float64(s.StatedRate), s.StatedRate == 0 && s.Room == 0
			w.addWarming(s.Cold, now)
		}
		wire = append(wire, w)
	}
	return wire
}

// addWarming adds a span in which the target is cold.
func (w *wireLimit) addWarming(cold pace.Warming, now boottime.Instant) {
	w.ColdRate, w.ColdLeft, w.Period, w.Assumed = float64(cold.Rate), cold.Until.Sub(now).Milliseconds(), cold.Period, cold.Assumed
}

// wireLimitsOf returns all that a host knows of the limits of targets. Older builds take an entry
// of a cold target for one that states no limit.
func wireLimitsOf(limits *pace.Limits, now boottime.Instant) []wireLimit {
	wire := newWireLimits(limits.List(), now)
	for _, cold := range limits.WarmingList() {
		w := wireLimit{Target: cold.Target, Start: cold.Start, Ended: true, Ago: time.Duration(now).Milliseconds()}
		w.addWarming(cold, now)
		wire = append(wire, w)
	}
	return wire
}

// warming returns the span in which the target is cold, and false if the entry has none.
func (w wireLimit) warming(now boottime.Instant) (pace.Warming, bool) {
	return pace.Warming{
		Key: pace.Key{Target: w.Target, Start: w.Start}, Period: w.Period, Rate: pace.Rate(w.ColdRate),
		Until: now.Add(time.Duration(w.ColdLeft) * time.Millisecond), Assumed: w.Assumed,
	}, w.Period != 0 && w.ColdRate > 0
}

// recordLimit records what another host knows of the limit of a target, and reports whether that
// is news.
func recordLimit(limits *pace.Limits, w wireLimit, now boottime.Instant) bool {
	changed := limits.Record(w.statement(now))
	if cold, ok := w.warming(now); ok {
		changed = limits.RecordWarming(cold) || changed
	}
	return changed
}

func (w wireLimit) statement(now boottime.Instant) pace.Statement {
	return pace.Statement{
		Key: pace.Key{Target: w.Target, Start: w.Start}, Rate: pace.Rate(w.Rate), Room: w.Room, Ended: w.Ended,
		At: now.Add(-time.Duration(w.Ago) * time.Millisecond),
	}
}

// wireReserve asks for a place in the line of one of several targets.
type wireReserve struct {
	Limits []wireLimit `cbor:"limits"`
	// MaxWait is in milliseconds.
	MaxWait int64 `cbor:"max-wait-ms"`
	// Hold is in milliseconds.
	Hold int64 `cbor:"hold-ms,omitempty"`
}

// wirePlace is the answer to a wireReserve.
type wirePlace struct {
	Target target.ID      `cbor:"target"`
	Start  roster.StartID `cbor:"start"`
	// Wait is the time in milliseconds until the request may be sent, or until there is a
	// place if Refused is set.
	Wait    int64 `cbor:"wait-ms"`
	Refused bool  `cbor:"refused,omitempty"`
	Full    bool  `cbor:"full,omitempty"`
	Held    bool  `cbor:"held,omitempty"`
	// Warm is set if the place begins when the target is warm.
	Warm bool `cbor:"warm,omitempty"`
}

// wireRelease gives back room at a target.
type wireRelease struct {
	Target     target.ID      `cbor:"target"`
	Start      roster.StartID `cbor:"start"`
	TurnedAway bool           `cbor:"turned-away,omitempty"`
}

// Reserve gets a place in the line of one of several targets from the coordinator. It fails
// if no coordinator is known, or if the known one can't be reached or has lost its term.
func (c *Client) Reserve(ctx context.Context, statements []pace.Statement, maxWait, hold time.Duration) (pace.Grant, error) {
	leader := c.knownLeader()
	if leader.Host == "" {
		return pace.Grant{}, trace.NotFound("no coordinator is known")
	}
	request := wireReserve{Limits: newWireLimits(statements, c.boot.Now()), MaxWait: maxWait.Milliseconds(), Hold: hold.Milliseconds()}
	var place wirePlace
	var err error
	if leader.Host == c.mesh.Self().Host {
		place, err = c.local.reserve(leader.Host, request)
	} else {
		err = c.mesh.Call(ctx, leader.Host, kindReserve, request, &place)
	}
	if err != nil {
		return pace.Grant{}, trace.Wrap(err)
	}
	return pace.Grant{
		Key:     pace.Key{Target: place.Target, Start: place.Start},
		Wait:    time.Duration(place.Wait) * time.Millisecond,
		Refused: place.Refused,
		Full:    place.Full,
		Held:    place.Held,
		Warm:    place.Warm,
	}, nil
}

// Release gives back room at a target to the coordinator. A message that is lost leaves the
// room taken until its time is over.
func (c *Client) Release(key pace.Key, turnedAway bool) {
	leader := c.knownLeader()
	release := wireRelease{Target: key.Target, Start: key.Start, TurnedAway: turnedAway}
	if leader.Host == c.mesh.Self().Host {
		c.local.release(release)
		return
	}
	if err := c.mesh.Notify(leader.Host, kindRelease, release); err != nil {
		c.log.Debug("coordinator: room not given back; it is free after its time", "target", key.Target, "error", err)
	}
}

func (c *Coordinator) handleRelease(_ context.Context, _ fleet.Member, body []byte) (any, error) {
	var release wireRelease
	if err := peer.Decode(body, &release); err != nil {
		return nil, trace.Wrap(err)
	}
	c.release(release)
	return nil, nil
}

// release gives back room at a target that a host has held.
func (c *Coordinator) release(release wireRelease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.leading {
		return
	}
	if release.TurnedAway {
		c.log.Info("coordinator: a target turned a request away that should have had room", "target", release.Target)
	}
	c.lines.Release(pace.Key{Target: release.Target, Start: release.Start}, release.TurnedAway)
}

func (c *Coordinator) handleReserve(_ context.Context, from fleet.Member, body []byte) (any, error) {
	var request wireReserve
	if err := peer.Decode(body, &request); err != nil {
		return nil, trace.Wrap(err)
	}
	return c.reserve(from.Host, request)
}

// reserve gives a host a place in the line of one of several targets. Hosts that can't reach
// this coordinator keep to their own parts of the limits, which it doesn't give out.
func (c *Coordinator) reserve(host fleet.HostID, request wireReserve) (wirePlace, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fence, _, leads := c.terms.Term(); !c.leading || !leads || fence != c.fence {
		return wirePlace{}, errNotLeading
	}
	if len(request.Limits) == 0 {
		return wirePlace{}, trace.BadParameter("a request for a place names no target")
	}
	c.recordLimits(host, request.Limits)
	share := pace.Rate(1 - c.ledger.SilentShare())
	var candidates []pace.Candidate
	for _, w := range request.Limits {
		key := pace.Key{Target: w.Target, Start: w.Start}
		limit, limited := c.limits.Limit(key)
		if !limited {
			return wirePlace{Target: w.Target, Start: w.Start}, nil // its limit has ended
		}
		candidates = append(candidates, pace.Candidate{Key: key, Rate: limit.Rate * share, Room: limit.Room, WarmIn: limit.WarmIn(c.boot.Now())})
	}
	maxWait := time.Duration(request.MaxWait) * time.Millisecond
	hold := time.Duration(request.Hold) * time.Millisecond
	grant := c.lines.Reserve(c.clock.Now(), candidates, maxWait, hold)
	return wirePlace{
		Target: grant.Key.Target, Start: grant.Key.Start, Wait: grant.Wait.Milliseconds(),
		Refused: grant.Refused, Full: grant.Full, Held: grant.Held, Warm: grant.Warm,
	}, nil
}

// recordLimits records what a host has heard of the limits of targets.
func (c *Coordinator) recordLimits(host fleet.HostID, wire []wireLimit) {
	now := c.boot.Now()
	for _, w := range wire {
		if recordLimit(c.limits, w, now) {
			c.log.Info("coordinator: limit of a target has changed", "target", w.Target, "start", w.Start, "requests-per-second", w.Rate, "ended", w.Ended, "cold-ms", w.ColdLeft, "host", host)
			c.wake()
		}
	}
}

// addLimits adds the limits of targets to the answer to a report, if the host knows others.
func (c *Coordinator) addLimits(report wireReport, view *wireView) {
	if report.LimitDigest != view.LimitDigest {
		view.Limits = wireLimitsOf(c.limits, c.boot.Now())
	}
}

// addLimits adds the limits of targets to a report, if the coordinator may know others.
func (c *Client) addLimits(report *wireReport) {
	limits := c.local.limits
	report.LimitDigest = limits.Digest()
	c.mu.Lock()
	same := report.LimitDigest == c.fleetLimits
	c.mu.Unlock()
	if !same {
		report.Limits = wireLimitsOf(limits, c.boot.Now())
	}
}

// adoptLimits records the limits of targets in a view.
func (c *Client) adoptLimits(view wireView) {
	now := c.boot.Now()
	cold := 0
	for _, w := range view.Limits {
		if !recordLimit(c.local.limits, w, now) {
			continue
		}
		if w.Period != 0 {
			cold++
			continue
		}
		c.log.Info("coordinator: learned the limit of a target", "target", w.Target, "start", w.Start, "requests-per-second", w.Rate, "ended", w.Ended)
	}
	if cold > 0 {
		c.log.Info("coordinator: learned that targets are cold", "targets", cold)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleetLimits = view.LimitDigest
}
