package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/fleet"
)

// TestEachMechanismIsNeeded disables one mechanism at a time. A shard must then
// have two lease holders at some time, and never with the mechanism enabled.
func TestEachMechanismIsNeeded(t *testing.T) {
	cases := []struct {
		name     string
		disabled disabledMechanisms
		scenario func(*cluster)
	}{
		{"promise check", disabledMechanisms{promiseCheck: true}, cutOwnerOff},
		{"removal wait", disabledMechanisms{removalWait: true}, cutOwnerOff},
		{"wall clock", disabledMechanisms{wallClock: true}, suspendOwner},
		{"revision in heartbeats", disabledMechanisms{revisionCheck: true}, healWithoutRecords},
		{"join wait", disabledMechanisms{joinWait: true}, joinAndCutOwnerOff},
		{"check of unresolved takeover", disabledMechanisms{unresolvedCheck: true}, delayedTakeover},
		{"announcement of possible members", disabledMechanisms{unresolvedCheck: true}, lostJoin},
		{"prior owners", disabledMechanisms{priorOwnerCheck: true}, fencedTakeoverUnderPromise},
		{"provisional members", disabledMechanisms{provisionalState: true}, joinAlone},
	}
	const maxSeeds = 5
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			// Goroutines that are due at the same time run in any order, and not each
			// order shows the lack of a mechanism.
			var disabled []string
			for seed := uint64(1); seed <= maxSeeds && len(disabled) == 0; seed++ {
				enabled := runCluster(t, seed, disabledMechanisms{}, tc.scenario)
				must.SliceEmpty(t, enabled, must.Sprint("mechanism enabled"))
				disabled = runCluster(t, seed, tc.disabled, tc.scenario)
			}
			must.SliceNotEmpty(t, disabled, must.Sprint("mechanism disabled"))
			t.Logf("mechanism disabled: %s", disabled[0])
		})
	}
}

// cutOwnerOff cuts an owner off from the others and the service.
func cutOwnerOff(c *cluster) {
	hosts := startCluster(c, 3)
	c.isolate(hosts[0], hosts[1:])
	hosts[0].store.setReachable(false)
	c.run(20 * time.Second)
}

// suspendOwner suspends an owner until the promises to it have expired.
func suspendOwner(c *cluster) {
	hosts := startCluster(c, 3)
	hosts[0].freeze(true)
	c.run(20 * time.Second)
	hosts[0].resume()
	c.run(10 * time.Second)
}

// healWithoutRecords lets a member remove another one, which later receives
// heartbeats again, but no record.
func healWithoutRecords(c *cluster) {
	hosts := startCluster(c, 2)
	c.network.Lose(kindRecord, kindRecords)
	hosts[1].store.setReachable(false)
	c.isolate(hosts[1], hosts[:1])
	c.run(20 * time.Second)
	c.network.HealAll()
	c.run(20 * time.Second)
}

// joinAndCutOwnerOff adds a host that never receives a heartbeat from the owner, and
// then isolates the owner. Rendezvous hashing selects the new member to remove the
// owner first.
func joinAndCutOwnerOff(c *cluster) {
	hosts := startCluster(c, 2)
	owner, sponsor := hosts[0], hosts[1]
	joiner := c.start(firstToRemove(owner, sponsor), "10.0.8.1:7000")
	c.isolate(owner, []*host{joiner})
	c.run(10 * time.Second)
	owner.store.setReachable(false)
	c.isolate(owner, []*host{sponsor})
	c.run(20 * time.Second)
}

// firstToRemove returns the ID of a host that removes a lost member before another
// given host does.
func firstToRemove(lost, before *host) fleet.HostID {
	for i := 0; ; i++ {
		id := fleet.HostID(fmt.Sprintf("j%02d", i))
		ranked := rank(string(lost.member.Host), []process{processOf(before.member), {Host: id}})
		if ranked[0].Host == id {
			return id
		}
	}
}

// delayedTakeover lets the write of a takeover take effect long after its writer
// has received an unknown result, and after the owner is reachable again.
func delayedTakeover(c *cluster) {
	hosts := startCluster(c, 3)
	owner, taker := hosts[0], hosts[1]
	owner.store.setReachable(false)
	c.network.Cut(owner.member.Host, taker.member.Host)
	taker.store.delayWrites(1, 15*time.Second)
	c.await(20*time.Second, "takeover with unknown result", taker.hasUnresolved)
	taker.store.setReachable(false)
	c.network.HealAll()
	c.run(30 * time.Second)
}

// lostJoin keeps a sponsor from learning that it added a member. The new member
// then takes over from an owner that receives no heartbeat from it.
func lostJoin(c *cluster) {
	hosts := startCluster(c, 2)
	owner, sponsor := hosts[0], hosts[1]
	c.network.Lose(kindRecord, kindRecords)
	owner.store.setReachable(false)
	sponsor.store.delayWrites(1, 50*time.Millisecond)
	joiner := c.add()
	c.await(20*time.Second, "join with unknown result", sponsor.hasUnresolved)
	sponsor.store.setReachable(false)
	c.run(time.Second)
	c.network.Cut(owner.member.Host, joiner.member.Host)
	c.run(30 * time.Second)
}

// fencedTakeoverUnderPromise lets a provisional member take over shards while it can
// still rely on a promise of their owner, which goes on acting.
func fencedTakeoverUnderPromise(c *cluster) {
	owner := startCluster(c, 1)[0]
	owner.store.setReachable(false)
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

// joinAlone starts a host that reaches the key-value service but not the running
// owner.
func joinAlone(c *cluster) {
	owner := startCluster(c, 1)[0]
	owner.store.setReachable(false)
	c.isolate(owner, []*host{c.add()})
	c.run(40 * time.Second)
}

// hasUnresolved reports whether a write of the host has an unknown result.
func (h *host) hasUnresolved() bool {
	h.controller.mu.Lock()
	defer h.controller.mu.Unlock()
	return len(h.controller.machine.unresolvedWrites) > 0
}
