package replica

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/peer"
	"hawthornway/target"
)

const (
	// kindDigest tells hosts of a group's replicas and of its targets' load.
	kindDigest peer.Kind = "replica-digest"
	// kindUse tells an owner what a host does with the group's replicas.
	kindUse peer.Kind = "replica-use"

	// tellAgain is the time after which listings are sent again to a host that
	// has not said that it has them.
	tellAgain = 2 * time.Second
	// allLoadsEvery is the number of polls after which unchanged loads are sent
	// too.
	allLoadsEvery = 10
	// useEvery is the time between notices of a host with requests.
	useEvery = time.Second
	// restEvery is the time between notices of a host without requests to an
	// owner in its domain, and farRestEvery to one in another domain.
	restEvery    = time.Second
	farRestEvery = 10 * time.Second
)

type digestWire struct {
	Domain fleet.DomainID `cbor:"domain"`
	Pool   target.Pool    `cbor:"pool"`
	Index  int            `cbor:"index"`
	Parts  int            `cbor:"parts"`
	Fence  target.Fence   `cbor:"fence"`
	Number uint64         `cbor:"number"`
	// Whole says that Listings holds all replicas.
	Whole    bool          `cbor:"whole"`
	Listings []listingWire `cbor:"listings,omitempty"`
	Loads    []loadWire    `cbor:"loads,omitempty"`
}

type listingWire struct {
	Target  target.ID     `cbor:"target"`
	Model   model.Name    `cbor:"model"`
	Version model.Version `cbor:"version"`
	Base    model.Name    `cbor:"base,omitempty"`
}

type loadWire struct {
	Target  target.ID `cbor:"target"`
	Running int       `cbor:"running"`
	Queued  int       `cbor:"queued"`
	Slots   int       `cbor:"slots"`
	Tokens  float64   `cbor:"tokens-per-second"`
	Leaving bool      `cbor:"leaving,omitempty"`
	AgeMS   int64     `cbor:"age-ms"`
}

type useWire struct {
	Domain fleet.DomainID   `cbor:"domain"`
	Pool   target.Pool      `cbor:"pool"`
	Index  int              `cbor:"index"`
	Parts  int              `cbor:"parts"`
	Fence  target.Fence     `cbor:"fence"`
	Number uint64           `cbor:"number"`
	Uses   []replicaUseWire `cbor:"uses,omitempty"`
}

type replicaUseWire struct {
	Target  target.ID  `cbor:"target"`
	Model   model.Name `cbor:"model"`
	Started int        `cbor:"started"`
	Running int        `cbor:"running"`
}

// publish tells hosts what has changed: all hosts the replicas, those of the
// domain the loads too.
func (r *runner) publish() {
	r.mu.Lock()
	r.publishing = false
	d, ok := r.group.Digest()
	if !ok {
		r.mu.Unlock()
		return
	}
	r.polls++
	loads := r.takeLoads()
	now := r.c.clock.Now()
	messages := make(map[fleet.HostID]digestWire)
	for _, host := range r.hosts {
		if host == r.c.self.Host {
			continue
		}
		if m, due := r.message(host, d, loads, now); due {
			messages[host] = m
		}
	}
	hosts := r.hosts
	r.told[r.c.self.Host] = told{d.Sequence, now}
	r.mu.Unlock()
	r.c.takeDigest(r.key, d, loads)
	for _, host := range hosts {
		if m, due := messages[host]; due {
			// A host that isn't reached is told again.
			_ = r.c.mesh.Notify(host, kindDigest, m)
		}
	}
}

// message returns what a host is to be told now.
func (r *runner) message(host fleet.HostID, d Digest, loads map[target.ID]Load, now time.Time) (digestWire, bool) {
	m := digestWire{
		Domain: r.key.Domain, Pool: r.key.Pool, Index: r.key.Index, Parts: r.key.Parts,
		Fence: d.Sequence.Fence, Number: d.Sequence.Number,
	}
	last := r.told[host]
	if r.seen[host].before(d.Sequence) && (last.sequence != d.Sequence || now.Sub(last.at) >= tellAgain) {
		m.Whole = true
		r.told[host] = told{d.Sequence, now}
		for _, l := range d.Listings {
			m.Listings = append(m.Listings, listingWire{l.Target, l.Ref.Name, l.Ref.Version, l.Ref.Base})
		}
	}
	if r.near[host] {
		for id, l := range loads {
			m.Loads = append(m.Loads, loadWire{
				id, l.Running, l.Queued, l.Slots, l.TokensPerSecond, l.Draining, now.Sub(l.TakenAt).Milliseconds(),
			})
		}
	}
	return m, m.Whole || len(m.Loads) > 0
}

// takeLoads returns the loads that have changed since they were taken last, or
// all from time to time.
func (r *runner) takeLoads() map[target.ID]Load {
	loads := make(map[target.ID]Load)
	for id, l := range r.loads {
		if r.changed[id] || r.polls%allLoadsEvery == 1 {
			loads[id] = l
		}
	}
	clear(r.changed)
	return loads
}

// handleDigest takes in what an owner tells.
func (c *controller) handleDigest(_ context.Context, _ fleet.Member, body []byte) (any, error) {
	var m digestWire
	if err := peer.Decode(body, &m); err != nil {
		return nil, trace.Wrap(err)
	}
	loads := make(map[target.ID]Load, len(m.Loads))
	for _, l := range m.Loads {
		loads[l.Target] = Load{
			Running: l.Running, Queued: l.Queued, Slots: l.Slots, TokensPerSecond: l.Tokens, Draining: l.Leaving,
			TakenAt: c.clock.Now().Add(-time.Duration(l.AgeMS) * time.Millisecond),
		}
	}
	key := newGroupKey(m.Domain, m.Pool, m.Index, m.Parts)
	if !m.Whole {
		c.view.setLoads(loads)
		return nil, nil
	}
	d := Digest{Sequence: DigestSequence{Fence: m.Fence, Number: m.Number}}
	for _, l := range m.Listings {
		d.Listings = append(d.Listings, Listing{l.Target, model.Ref{Name: l.Model, Version: l.Version, Base: l.Base}})
	}
	c.takeDigest(key, d, loads)
	return nil, nil
}

// takeDigest takes in a digest and tells the owner that it is known.
func (c *controller) takeDigest(key GroupKey, d Digest, loads map[target.ID]Load) {
	c.view.setLoads(loads)
	if c.view.apply(key, d) {
		c.tellOwner(key)
	}
}

// tellOwners tells the owners of all groups what this host does with their
// replicas.
func (c *controller) tellOwners(context.Context) {
	now := c.clock.Now()
	for _, key := range c.currentLayout().groups {
		if c.view.due(key, now, key.Domain == c.self.Domain) {
			c.tellOwner(key)
		}
	}
}

// tellOwner tells a group's owner what this host does with its replicas.
func (c *controller) tellOwner(key GroupKey) {
	owner, ok := c.owners.Owner(key.Domain, key.Shard)
	if !ok {
		return
	}
	seen, uses := c.view.use(key)
	if owner.Host == c.self.Host {
		c.takeUse(key, Used{Host: c.self.Host, Seen: seen, Uses: uses})
		return
	}
	m := useWire{
		Domain: key.Domain, Pool: key.Pool, Index: key.Index, Parts: key.Parts,
		Fence: seen.Fence, Number: seen.Number,
	}
	for _, u := range uses {
		m.Uses = append(m.Uses, replicaUseWire(u))
	}
	// An owner that isn't reached is told again.
	_ = c.mesh.Notify(owner.Host, kindUse, m)
}

// handleUse takes in what a host tells this owner.
func (c *controller) handleUse(_ context.Context, from fleet.Member, body []byte) (any, error) {
	var m useWire
	if err := peer.Decode(body, &m); err != nil {
		return nil, trace.Wrap(err)
	}
	in := Used{Host: from.Host, Seen: DigestSequence{Fence: m.Fence, Number: m.Number}}
	for _, u := range m.Uses {
		in.Uses = append(in.Uses, Use(u))
	}
	c.takeUse(newGroupKey(m.Domain, m.Pool, m.Index, m.Parts), in)
	return nil, nil
}

func (c *controller) takeUse(key GroupKey, in Used) {
	r := c.runner(key)
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen[in.Host] = in.Seen
	r.stepLocked(context.Background(), in)
}
