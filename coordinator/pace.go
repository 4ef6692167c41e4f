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
}

func newWireLimits(statements []pace.Statement, now boottime.Instant) []wireLimit {
	var wire []wireLimit
	for _, s := range statements {
		wire = append(wire, wireLimit{Target: s.Target, Start: s.Start, Rate: float64(s.Rate), Room: s.Room, Ended: s.Ended, Ago: now.Sub(s.At).Milliseconds()})
	}
	return wire
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
		candidates = append(candidates, pace.Candidate{Key: key, Rate: limit.Rate * share, Room: limit.Room})
	}
	maxWait := time.Duration(request.MaxWait) * time.Millisecond
	hold := time.Duration(request.Hold) * time.Millisecond
	grant := c.lines.Reserve(c.clock.Now(), candidates, maxWait, hold)
	return wirePlace{
		Target: grant.Key.Target, Start: grant.Key.Start, Wait: grant.Wait.Milliseconds(),
		Refused: grant.Refused, Full: grant.Full, Held: grant.Held,
	}, nil
}

// recordLimits records what a host has heard of the limits of targets.
func (c *Coordinator) recordLimits(host fleet.HostID, wire []wireLimit) {
	now := c.boot.Now()
	for _, w := range wire {
		if c.limits.Record(w.statement(now)) {
			c.log.Info("coordinator: limit of a target has changed", "target", w.Target, "start", w.Start, "requests-per-second", w.Rate, "ended", w.Ended, "host", host)
			c.wake()
		}
	}
}

// addLimits adds the limits of targets to the answer to a report, if the host knows others.
func (c *Coordinator) addLimits(report wireReport, view *wireView) {
	if report.LimitDigest != view.LimitDigest {
		view.Limits = newWireLimits(c.limits.List(), c.boot.Now())
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
		report.Limits = newWireLimits(limits.List(), c.boot.Now())
	}
}

// adoptLimits records the limits of targets in a view.
func (c *Client) adoptLimits(view wireView) {
	now := c.boot.Now()
	for _, w := range view.Limits {
		if c.local.limits.Record(w.statement(now)) {
			c.log.Info("coordinator: learned the limit of a target", "target", w.Target, "start", w.Start, "requests-per-second", w.Rate, "ended", w.Ended)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleetLimits = view.LimitDigest
}
