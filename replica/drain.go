package replica

import (
	"slices"
	"time"

	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/target"
)

const (
	// drainPatience is the time that a host is given to say that it sends
	// nothing more to a replica. After it an engine without any request counts.
	drainPatience = 10 * time.Second
	// gonePatience is how long the requests of a removed host count.
	gonePatience = time.Minute
	// drainBound is the time after which a drain is called off.
	drainBound = time.Minute
)

// replicaKey names one replica.
type replicaKey struct {
	target target.ID
	name   model.Name
}

// hostUse is what a host said last of its requests.
type hostUse struct {
	seen    DigestSequence
	running map[replicaKey]int
	// goneAt is when the host was removed from its domain; zero if it wasn't.
	goneAt time.Time
}

// traffic is how a model is used.
type traffic struct {
	lastUse time.Time
	// gap is the mean time between uses.
	gap time.Duration
	// busySince is when all replicas became full; zero if they aren't.
	busySince time.Time
}

const defaultGap = time.Minute

// gap returns the mean time between the uses of a model.
func (g *Group) gap(name model.Name) time.Duration {
	if t := g.traffic[name]; t != nil && t.gap > 0 {
		return t.gap
	}
	return defaultGap
}

// used takes in what a host does with the replicas.
func (g *Group) used(in Used) {
	u := &hostUse{seen: in.Seen, running: make(map[replicaKey]int)}
	for _, use := range in.Uses {
		if use.Running > 0 {
			u.running[replicaKey{use.Target, use.Model}] = use.Running
		}
		if use.Started > 0 || use.Running > 0 {
			g.noteUse(use)
		}
	}
	if !slices.Contains(g.hosts, in.Host) {
		u.goneAt = g.now // a late word of a host that was removed
	}
	g.uses[in.Host] = u
}

// hostsChanged takes in the hosts. The requests of a host that was removed count
// for a while, since it may only be cut off.
func (g *Group) hostsChanged(hosts []fleet.HostID) {
	g.hosts = slices.Clone(hosts)
	for host, u := range g.uses {
		present := slices.Contains(hosts, host)
		switch {
		case present:
			u.goneAt = time.Time{}
		case u.goneAt.IsZero():
			u.goneAt = g.now
		}
	}
}

// dropGone forgets the hosts that were removed a while ago.
func (g *Group) dropGone() {
	for host, u := range g.uses {
		if !u.goneAt.IsZero() && g.now.Sub(u.goneAt) > gonePatience {
			delete(g.uses, host)
		}
	}
}

// noteUse counts a use of a replica, and of the model under an adapter.
func (g *Group) noteUse(use Use) {
	e := g.engine(use.Target)
	if e == nil {
		return
	}
	en := e.find(use.Model)
	if en == nil {
		return
	}
	en.lastUse = g.now
	en.usedOnce = true
	if base := e.find(en.ref.Base); base != nil {
		base.lastUse = g.now
	}
	t := g.traffic[use.Model]
	if t == nil {
		t = &traffic{}
		g.traffic[use.Model] = t
	}
	g.noteGap(t)
}

// noteGap takes the time since the last use into the mean. Uses less than a
// second apart are one.
func (g *Group) noteGap(t *traffic) {
	gap := g.now.Sub(t.lastUse)
	if !t.lastUse.IsZero() && gap > activeSpan {
		if t.gap == 0 {
			t.gap = gap
		}
		t.gap += time.Duration(speedGain * float64(gap-t.gap))
	}
	t.lastUse = g.now
}

// running counts the requests that hosts have at a replica.
func (g *Group) running(en *entry) int {
	key := replicaKey{en.engine.cfg.Name, en.ref.Name}
	n := 0
	for _, u := range g.uses {
		n += u.running[key]
	}
	return n
}

// idle reports whether a replica has had no request for a while.
func (g *Group) idle(en *entry, span time.Duration) bool {
	return g.now.Sub(en.lastUse) >= span && g.running(en) == 0
}

// drain stops new requests to a replica, to unload it once none is left.
func (g *Group) drain(en *entry) {
	if !en.serving() {
		return
	}
	g.stale = true
	for _, twin := range twins(en) {
		if !twin.serving() {
			continue
		}
		twin.state = entryDraining
		twin.drainAt = g.now
		twin.drainFrom = 0
	}
}

// twins returns the entries of a model on one engine. There are several when an
// earlier owner's order came late; an unload order is for all of them.
func twins(en *entry) []*entry {
	var all []*entry
	for _, o := range en.engine.entries {
		if o.ref.Name == en.ref.Name {
			all = append(all, o)
		}
	}
	return all
}

// callOffDrain lets a replica serve on, unless an unload order may be given
// already.
func (g *Group) callOffDrain(en *entry) {
	all := twins(en)
	if slices.ContainsFunc(all, func(o *entry) bool { return o.state == entryUnloading }) {
		return
	}
	g.stale = true
	for _, twin := range all {
		if twin.state == entryDraining {
			twin.state = entryReady
			twin.lastUse = g.now
		}
	}
	for _, w := range g.line.byName {
		if w.plan == en.engine.cfg.Name {
			w.plan = ""
		}
	}
}

// endDrains unloads the drained replicas that no host uses any more.
func (g *Group) endDrains() {
	for _, e := range g.engines {
		for _, en := range e.entries {
			if en.state != entryDraining {
				continue
			}
			switch {
			case !g.acting(e):
			case g.drained(en):
				en.endUse()
			case g.now.Sub(en.drainAt) > drainBound:
				g.callOffDrain(en)
			}
		}
	}
}

// drained reports whether all hosts have said that they send nothing more to a
// replica and have no request there. For hosts that have not been heard, an
// engine without any request counts.
func (g *Group) drained(en *entry) bool {
	if en.drainFrom == 0 || g.running(en) > 0 {
		return false
	}
	for _, host := range g.hosts {
		if !g.acknowledged(host, en) {
			return g.restsAfterPatience(en)
		}
	}
	return true
}

// acknowledged reports whether a host acts by a digest that told of the drain.
func (g *Group) acknowledged(host fleet.HostID, en *entry) bool {
	u := g.uses[host]
	return u != nil && u.seen.Fence == en.engine.fence && u.seen.Number >= en.drainFrom
}

// restsAfterPatience reports whether the engine had no request of any kind after
// the time that hosts are given.
func (g *Group) restsAfterPatience(en *entry) bool {
	e := en.engine
	if e.askedAt.Before(en.drainAt.Add(drainPatience)) {
		return false
	}
	return e.report.Running == 0 && e.report.Queued == 0
}
