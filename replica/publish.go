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
	// kindDigest sends a group's replicas and its targets' load to hosts.
	kindDigest peer.Kind = "replica-digest"
	// kindUse sends a host's use of the group's replicas to the owner.
	kindUse peer.Kind = "replica-use"

	// digestResendInterval is the time after which listings are sent again to a
	// host that has not acknowledged them.
	digestResendInterval = 2 * time.Second
	// publicationsPerFullLoadUpdate is the number of publications after which
	// the load of targets is sent although it is unchanged.
	publicationsPerFullLoadUpdate = 10
	// activeUseInterval is the time between use messages of a host with
	// requests.
	activeUseInterval = time.Second
	// idleUseInterval is the time between use messages of a host without
	// requests to an owner in its own domain, remoteIdleUseInterval to an owner
	// in another domain.
	idleUseInterval       = time.Second
	remoteIdleUseInterval = 10 * time.Second
)

type digestWire struct {
	Domain fleet.DomainID `cbor:"domain"`
	Pool   target.Pool    `cbor:"pool"`
	Index  int            `cbor:"index"`
	Parts  int            `cbor:"parts"`
	Fence  target.Fence   `cbor:"fence"`
	Number uint64         `cbor:"number"`
	// Complete is set if Listings holds all replicas. Without it the message
	// carries only loads.
	Complete bool             `cbor:"whole"`
	Listings []listingWire    `cbor:"listings,omitempty"`
	Loads    []targetLoadWire `cbor:"loads,omitempty"`
}

type listingWire struct {
	Target  target.ID     `cbor:"target"`
	Model   model.Name    `cbor:"model"`
	Version model.Version `cbor:"version"`
	Base    model.Name    `cbor:"base,omitempty"`
}

type targetLoadWire struct {
	Target          target.ID `cbor:"target"`
	Running         int       `cbor:"running"`
	Queued          int       `cbor:"queued"`
	Slots           int       `cbor:"slots"`
	TokensPerSecond float64   `cbor:"tokens-per-second"`
	Draining        bool      `cbor:"leaving,omitempty"`
	AgeMS           int64     `cbor:"age-ms"`
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

// publish sends what has changed: the replicas to all hosts, the load of the
// targets to the hosts of this domain.
func (r *runner) publish() {
	r.mu.Lock()
	r.publishScheduled = false
	d, ok := r.group.Digest()
	if !ok {
		r.mu.Unlock()
		return
	}
	r.publishCount++
	loads := r.takeChangedTargetLoads()
	now := r.c.clock.Now()
	messages := make(map[fleet.HostID]digestWire)
	for _, host := range r.hosts {
		if host == r.c.self.Host {
			continue
		}
		if message, due := r.digestFor(host, d, loads, now); due {
			messages[host] = message
		}
	}
	hosts := r.hosts
	r.sentDigests[r.c.self.Host] = sentDigest{d.Sequence, now}
	r.mu.Unlock()
	r.c.applyDigest(r.key, d, loads)
	for _, host := range hosts {
		if message, due := messages[host]; due {
			// A message that doesn't reach the host is sent again.
			_ = r.c.mesh.Notify(host, kindDigest, message)
		}
	}
}

// digestFor returns the message that is due to a host, if any.
func (r *runner) digestFor(host fleet.HostID, d Digest, loads map[target.ID]TargetLoad, now time.Time) (digestWire, bool) {
	message := digestWire{
		Domain: r.key.Domain, Pool: r.key.Pool, Index: r.key.Index, Parts: r.key.Parts,
		Fence: d.Sequence.Fence, Number: d.Sequence.Number,
	}
	last := r.sentDigests[host]
	if r.seenDigests[host].before(d.Sequence) && (last.sequence != d.Sequence || now.Sub(last.sentAt) >= digestResendInterval) {
		message.Complete = true
		r.sentDigests[host] = sentDigest{d.Sequence, now}
		for _, l := range d.Listings {
			message.Listings = append(message.Listings, listingWire{l.Target, l.Ref.Name, l.Ref.Version, l.Ref.Base})
		}
	}
	if r.localHosts[host] {
		for id, l := range loads {
			message.Loads = append(message.Loads, targetLoadWire{
				id, l.Running, l.Queued, l.Slots, l.TokensPerSecond, l.Draining, now.Sub(l.TakenAt).Milliseconds(),
			})
		}
	}
	return message, message.Complete || len(message.Loads) > 0
}

// takeChangedTargetLoads returns the load of the targets for which it has
// changed since the last call, or of all targets once in
// publicationsPerFullLoadUpdate publications.
func (r *runner) takeChangedTargetLoads() map[target.ID]TargetLoad {
	loads := make(map[target.ID]TargetLoad)
	for id, l := range r.targetLoads {
		if r.changedTargetLoads[id] || r.publishCount%publicationsPerFullLoadUpdate == 1 {
			loads[id] = l
		}
	}
	clear(r.changedTargetLoads)
	return loads
}

// handleDigest handles a digest from an owner.
func (c *controller) handleDigest(_ context.Context, _ fleet.Member, body []byte) (any, error) {
	var message digestWire
	if err := peer.Decode(body, &message); err != nil {
		return nil, trace.Wrap(err)
	}
	loads := make(map[target.ID]TargetLoad, len(message.Loads))
	for _, l := range message.Loads {
		loads[l.Target] = TargetLoad{
			Running: l.Running, Queued: l.Queued, Slots: l.Slots, TokensPerSecond: l.TokensPerSecond, Draining: l.Draining,
			TakenAt: c.clock.Now().Add(-time.Duration(l.AgeMS) * time.Millisecond),
		}
	}
	key := newGroupKey(message.Domain, message.Pool, message.Index, message.Parts)
	if !message.Complete {
		c.view.setTargetLoads(loads)
		return nil, nil
	}
	d := Digest{Sequence: DigestSequence{Fence: message.Fence, Number: message.Number}}
	for _, l := range message.Listings {
		d.Listings = append(d.Listings, Listing{l.Target, model.Ref{Name: l.Model, Version: l.Version, Base: l.Base}})
	}
	c.applyDigest(key, d, loads)
	return nil, nil
}

// applyDigest applies a digest and acknowledges it to the owner.
func (c *controller) applyDigest(key GroupKey, d Digest, loads map[target.ID]TargetLoad) {
	c.view.setTargetLoads(loads)
	if c.view.applyDigest(key, d) {
		c.notifyOwner(key)
	}
}

// notifyOwners sends this host's use of replicas to the owners of all groups
// for which it is due.
func (c *controller) notifyOwners(context.Context) {
	now := c.clock.Now()
	for _, key := range c.currentLayout().groups {
		if c.view.notificationDue(key, now, key.Domain == c.self.Domain) {
			c.notifyOwner(key)
		}
	}
}

// notifyOwner sends this host's use of a group's replicas to the group's owner.
func (c *controller) notifyOwner(key GroupKey) {
	owner, ok := c.ownership.Owner(key.Domain, key.Shard)
	if !ok {
		return
	}
	seen, uses := c.view.takeUses(key)
	if owner.Host == c.self.Host {
		c.applyUse(key, UseReported{Host: c.self.Host, SeenDigest: seen, Uses: uses})
		return
	}
	message := useWire{
		Domain: key.Domain, Pool: key.Pool, Index: key.Index, Parts: key.Parts,
		Fence: seen.Fence, Number: seen.Number,
	}
	for _, u := range uses {
		message.Uses = append(message.Uses, replicaUseWire(u))
	}
	// A message that doesn't reach the owner is sent again.
	_ = c.mesh.Notify(owner.Host, kindUse, message)
}

// handleUse handles a host's use message to this owner.
func (c *controller) handleUse(_ context.Context, from fleet.Member, body []byte) (any, error) {
	var message useWire
	if err := peer.Decode(body, &message); err != nil {
		return nil, trace.Wrap(err)
	}
	in := UseReported{Host: from.Host, SeenDigest: DigestSequence{Fence: message.Fence, Number: message.Number}}
	for _, u := range message.Uses {
		in.Uses = append(in.Uses, RequestCounts(u))
	}
	c.applyUse(newGroupKey(message.Domain, message.Pool, message.Index, message.Parts), in)
	return nil, nil
}

func (c *controller) applyUse(key GroupKey, in UseReported) {
	r := c.runner(key)
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seenDigests[in.Host] = in.SeenDigest
	r.stepLocked(context.Background(), in)
}
