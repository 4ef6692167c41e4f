package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/fleet"
)

// TestEachMechanismIsNeeded switches one mechanism off at a time. Two holders of
// one shard must be seen then, and not with the mechanism on.
func TestEachMechanismIsNeeded(t *testing.T) {
	cases := []struct {
		name     string
		off      checks
		scenario func(*cluster)
	}{
		{"pledge check", checks{noPledgeCheck: true}, cutOwnerOff},
		{"removal wait", checks{noRemovalWait: true}, cutOwnerOff},
		{"freeze-proof clock", checks{noWallClock: true}, suspendOwner},
		{"revision in pledges", checks{noRevisionCheck: true}, healWithoutRecord},
		{"join wait", checks{noJoinWait: true}, joinAndCutOwnerOff},
		{"settling of lost takeover", checks{noUnresolvedCheck: true}, lateTakeover},
		{"naming of possible members", checks{noUnresolvedCheck: true}, lostJoin},
		{"unreleased owners", checks{noUnreleasedCheck: true}, softTakeUnderPledge},
		{"provisional members", checks{noProvisional: true}, joinAlone},
	}
	for _, m := range cases {
		t.Run(m.name, func(t *testing.T) {
			with := runCluster(t, 1, checks{}, m.scenario)
			must.SliceEmpty(t, with, must.Sprint("mechanism on"))
			without := runCluster(t, 1, m.off, m.scenario)
			must.SliceNotEmpty(t, without, must.Sprint("mechanism off"))
			t.Logf("off: %s", without[0])
		})
	}
}

// cutOwnerOff cuts an owner off from the others and the service.
func cutOwnerOff(c *cluster) {
	hosts := started(c, 3)
	c.isolate(hosts[0], hosts[1:])
	hosts[0].store.reach(false)
	c.run(20 * time.Second)
}

// suspendOwner suspends an owner past its pledges.
func suspendOwner(c *cluster) {
	hosts := started(c, 3)
	hosts[0].freeze(true)
	c.run(20 * time.Second)
	hosts[0].thaw()
	c.run(10 * time.Second)
}

// healWithoutRecord removes a member that later hears the others again, but
// gets no record.
func healWithoutRecord(c *cluster) {
	hosts := started(c, 2)
	c.network.Lose(kindRecord, kindRecords)
	hosts[1].store.reach(false)
	c.isolate(hosts[1], hosts[:1])
	c.run(20 * time.Second)
	c.network.HealAll()
	c.run(20 * time.Second)
}

// joinAndCutOwnerOff lets a host join that never heard an owner, as soon as its
// sponsor doesn't hear the owner any more. Rendezvous hashing chooses the new
// member to act first.
func joinAndCutOwnerOff(c *cluster) {
	hosts := started(c, 2)
	owner, sponsor := hosts[0], hosts[1]
	joiner := c.start(firstToRemove(owner, sponsor), "10.0.8.1:7000")
	c.isolate(owner, []*host{joiner})
	c.run(10 * time.Second)
	owner.store.reach(false)
	c.isolate(owner, []*host{sponsor})
	c.run(20 * time.Second)
}

// firstToRemove returns the name of a host that is to remove a lost member
// before another does.
func firstToRemove(lost, before *host) fleet.HostID {
	for i := 0; ; i++ {
		id := fleet.HostID(fmt.Sprintf("j%02d", i))
		ranked := rank(string(lost.member.Host), []process{processOf(before.member), {Host: id}})
		if ranked[0].Host == id {
			return id
		}
	}
}

// lateTakeover lets a takeover's write come long after its writer gave up, and
// after the owner came back.
func lateTakeover(c *cluster) {
	hosts := started(c, 3)
	owner, taker := hosts[0], hosts[1]
	owner.store.reach(false)
	c.network.Cut(owner.member.Host, taker.member.Host)
	taker.store.late(1, 15*time.Second)
	c.await(20*time.Second, "takeover without answer", taker.hasUnresolved)
	taker.store.reach(false)
	c.network.HealAll()
	c.run(30 * time.Second)
}

// lostJoin lets a sponsor not learn that it added a member, which then takes
// over from an owner that can't hear it.
func lostJoin(c *cluster) {
	hosts := started(c, 2)
	owner, sponsor := hosts[0], hosts[1]
	c.network.Lose(kindRecord, kindRecords)
	owner.store.reach(false)
	sponsor.store.late(1, 50*time.Millisecond)
	joiner := c.add()
	c.await(20*time.Second, "join without answer", sponsor.hasUnresolved)
	sponsor.store.reach(false)
	c.run(time.Second)
	c.network.Cut(owner.member.Host, joiner.member.Host)
	c.run(30 * time.Second)
}

// softTakeUnderPledge lets a provisional member take shards while it still has
// a pledge of their owner.
func softTakeUnderPledge(c *cluster) {
	owner := started(c, 1)[0]
	owner.store.reach(false)
	taker := c.add()
	c.isolate(owner, []*host{taker})
	c.await(20*time.Second, "provisional member", func() bool {
		return len(taker.controller.Members(c.domain)) == 2
	})
	c.network.HealAll()
	c.run(30 * time.Second)
	c.isolate(owner, []*host{taker})
	c.run(30 * time.Second)
}

// joinAlone starts a host that reaches the service but not the living owner.
func joinAlone(c *cluster) {
	owner := started(c, 1)[0]
	owner.store.reach(false)
	c.isolate(owner, []*host{c.add()})
	c.run(40 * time.Second)
}

// hasUnresolved reports whether a write of the host has no answer.
func (h *host) hasUnresolved() bool {
	h.controller.mu.Lock()
	defer h.controller.mu.Unlock()
	return len(h.controller.machine.unresolved) > 0
}
