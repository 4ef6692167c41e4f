package member

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/fleet"
	"hawthornway/standin/kvstore"
)

// failover bounds the time until a dead or cut owner's shards are held again.
const failover = 9 * time.Second

// started starts hosts and waits until the domain is whole.
func started(c *cluster, n int) []*host {
	hosts := c.addMany(n)
	c.awaitWhole(30 * time.Second)
	c.run(10 * time.Second)
	return hosts
}

// shards returns the shards that a host owns.
func (h *host) shards() []Shard {
	h.controller.mu.Lock()
	defer h.controller.mu.Unlock()
	return h.controller.machine.record.owned(processOf(h.member))
}

func TestHostsJoinAndShareShards(t *testing.T) {
	cases := []int{1, 2, 3, 5, 12}
	for _, n := range cases {
		mustHold(t, 1, func(c *cluster) {
			hosts := started(c, n)
			c.run(20 * time.Second)
			for _, h := range hosts {
				must.Between(c.t, Shards/n, len(h.shards()), (Shards+n-1)/n)
			}
		})
	}
}

func TestShardsAreHeldAgainAfter(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*cluster, []*host)
		bound time.Duration
	}{
		{"kill", func(_ *cluster, h []*host) { h[0].kill() }, failover},
		{"two killed of three", func(_ *cluster, h []*host) { h[0].kill(); h[1].kill() }, failover + minorityWait + rankWait},
		{"kill and start at same address", func(c *cluster, h []*host) {
			h[0].kill()
			c.start(h[0].member.Host, h[0].member.PeerAddress)
		}, failover},
		{"kill and start at new address", func(c *cluster, h []*host) {
			h[0].kill()
			c.start(h[0].member.Host, "10.0.9.9:7000")
		}, failover},
		{"freeze", func(_ *cluster, h []*host) { h[0].freeze(false) }, failover},
		{"suspend", func(_ *cluster, h []*host) { h[0].freeze(true) }, failover},
		{"cut", func(c *cluster, h []*host) { c.isolate(h[0], h[1:]) }, failover},
		{"one host neither hears nor reaches the service", func(c *cluster, h []*host) {
			c.isolate(h[0], h[1:])
			h[0].store.reach(false)
		}, failover},
		{"one-way cut from", func(c *cluster, h []*host) {
			c.network.CutOneWay(h[0].member.Host, h[1].member.Host)
			c.network.CutOneWay(h[0].member.Host, h[2].member.Host)
		}, failover},
		{"one-way cut to", func(c *cluster, h []*host) {
			c.network.CutOneWay(h[1].member.Host, h[0].member.Host)
			c.network.CutOneWay(h[2].member.Host, h[0].member.Host)
		}, failover},
		{"one pair cut", func(c *cluster, h []*host) {
			c.network.Cut(h[0].member.Host, h[1].member.Host)
		}, failover},
		{"silent links", func(c *cluster, h []*host) {
			c.network.Silence(h[0].member.Host, h[1].member.Host)
			c.network.Silence(h[0].member.Host, h[2].member.Host)
		}, failover},
		{"wall clock set ahead", func(_ *cluster, h []*host) { h[0].stepWallClock(time.Hour) }, 3 * time.Second},
		{"wall clock set back", func(_ *cluster, h []*host) { h[0].stepWallClock(-time.Hour) }, 3 * time.Second},
	}
	for _, f := range cases {
		t.Run(f.name, func(t *testing.T) {
			mustHold(t, 1, func(c *cluster) {
				c.listLag = 20 * time.Second
				hosts := started(c, 3)
				f.fault(c, hosts)
				unheld, last := c.unheld(time.Minute)
				t.Logf("a shard unheld for %v, last %v after the fault", unheld, last)
				must.LessEq(c.t, f.bound, last)
				c.restore()
				c.awaitWhole(30 * time.Second)
			})
		})
	}
}

// isolate cuts a host off from others.
func (c *cluster) isolate(h *host, others []*host) {
	for _, other := range others {
		c.network.Cut(h.member.Host, other.member.Host)
	}
}

// unheld lets time pass and returns how long some shard had no holder, and when
// that was last.
func (c *cluster) unheld(window time.Duration) (sum, last time.Duration) {
	const step = 20 * time.Millisecond
	for passed := step; passed <= window; passed += step {
		c.run(step)
		if c.holders(false) < Shards {
			sum += step
			last = passed
		}
	}
	return sum, last
}

// restore ends all faults.
func (c *cluster) restore() {
	c.network.HealAll()
	c.network.SetDelay(time.Millisecond, 3*time.Millisecond)
	c.store.SetFaults(kvstore.Faults{Delay: 4 * time.Millisecond})
	for _, h := range c.all() {
		h.thaw()
		h.store.reach(true)
		h.store.late(0, 0)
	}
}

func TestWholeDomainGoesOnDuringOutage(t *testing.T) {
	cases := []time.Duration{10 * time.Second, time.Hour}
	for _, outage := range cases {
		t.Run(outage.String(), func(t *testing.T) {
			mustHold(t, 1, func(c *cluster) {
				started(c, 3)
				c.store.SetFaults(kvstore.Faults{Outage: true})
				for end := time.Now().Add(outage); time.Now().Before(end); c.run(outage / 100) {
					must.Eq(c.t, Shards, c.holders(false))
				}
				c.restore()
				c.run(time.Minute)
				must.Eq(c.t, Shards, c.holders(false))
			})
		})
	}
}

func TestOutageWithDeadMemberLeavesFencedHolds(t *testing.T) {
	mustHold(t, 1, func(c *cluster) {
		hosts := started(c, 3)
		lost := len(hosts[0].shards())
		c.store.SetFaults(kvstore.Faults{Outage: true})
		hosts[0].kill()
		c.run(30 * time.Second)
		must.Eq(c.t, 0, c.holders(false))
		must.Eq(c.t, Shards-lost, c.holders(true))
		c.restore()
		t.Logf("held after the outage's end after %v", c.awaitHeld(15*time.Second))
	})
}

func TestSlowServiceStopsNoOwner(t *testing.T) {
	mustHold(t, 1, func(c *cluster) {
		started(c, 3)
		c.store.SetFaults(kvstore.Faults{Delay: 4 * time.Second})
		for range 60 {
			must.Eq(c.t, Shards, c.holders(false))
			c.run(time.Second)
		}
	})
}

func TestLostAnswerIsSettled(t *testing.T) {
	cases := []uint64{0, 1, 2, 3}
	for _, seed := range cases {
		mustHold(t, 1, func(c *cluster) {
			hosts := started(c, 3)
			c.store.SetFaults(kvstore.Faults{LoseAnswers: 3, Seed: seed})
			hosts[0].kill()
			c.add()
			c.awaitHeld(failover + 10*time.Second)
			c.awaitWhole(30 * time.Second)
		})
	}
}

func TestLeaveHandsShardsOver(t *testing.T) {
	mustHold(t, 1, func(c *cluster) {
		hosts := started(c, 3)
		given := hosts[0].shards()
		before := time.Now()
		must.NoError(c.t, hosts[0].leave(time.Minute))
		t.Logf("left after %v", time.Since(before))
		t.Logf("held after %v more", c.awaitHeld(2*time.Second))
		for _, shard := range given {
			for _, h := range hosts[1:] {
				if hold, ok := h.controller.Lease(shard, false); ok {
					must.True(c.t, hold.HandedOver)
				}
			}
		}
	})
}

func TestRollingReplacementKeepsShardsHeld(t *testing.T) {
	mustHold(t, 1, func(c *cluster) {
		hosts := started(c, 4)
		var gap time.Duration
		for _, h := range hosts {
			c.add()
			c.awaitWhole(10 * time.Second)
			must.NoError(c.t, h.leave(time.Minute))
			gap = max(gap, c.awaitHeld(3*time.Second))
		}
		t.Logf("longest time with a shard unheld %v", gap)
		c.awaitWhole(10 * time.Second)
	})
}

func TestLastHostLeavesAndNextTakesAll(t *testing.T) {
	mustHold(t, 1, func(c *cluster) {
		hosts := started(c, 1)
		must.NoError(c.t, hosts[0].leave(time.Minute))
		c.add()
		c.awaitHeld(3 * time.Second)
	})
}

func TestWholeDomainReplacedAtOnce(t *testing.T) {
	cases := []struct {
		name  string
		start func(*cluster, []*host)
		bound time.Duration
	}{
		{"at the same addresses", func(c *cluster, old []*host) {
			for _, h := range old {
				c.start(h.member.Host, h.member.PeerAddress)
			}
		}, 30 * time.Second},
		{"at new addresses", func(c *cluster, old []*host) { c.addMany(len(old)) }, 80 * time.Second},
	}
	for _, r := range cases {
		t.Run(r.name, func(t *testing.T) {
			mustHold(t, 1, func(c *cluster) {
				c.listLag = 20 * time.Second
				hosts := started(c, 3)
				for _, h := range hosts {
					h.kill()
				}
				r.start(c, hosts)
				t.Logf("fenced holds after %v", c.await(30*time.Second, "fenced holds", func() bool { return c.holders(true) == Shards }))
				t.Logf("held after %v more", c.awaitHeld(r.bound))
			})
		})
	}
}

func TestForgetProvesDeath(t *testing.T) {
	mustHold(t, 1, func(c *cluster) {
		c.listLag = -1
		hosts := started(c, 2)
		for _, h := range hosts {
			h.kill()
		}
		fresh := c.add()
		c.run(2 * time.Minute)
		must.Eq(c.t, 0, c.holders(false))
		must.Eq(c.t, Shards, c.holders(true))
		for _, h := range hosts {
			fresh.controller.Forget(h.member.Host)
		}
		c.awaitHeld(20 * time.Second)
	})
}

func TestHostThatReachesNobodyDisturbsNobody(t *testing.T) {
	mustHold(t, 1, func(c *cluster) {
		hosts := started(c, 3)
		stranger := c.add()
		c.isolate(stranger, hosts)
		unheld := 0
		for range 600 {
			if c.holders(false) < Shards {
				unheld++
			}
			c.run(time.Second)
		}
		must.Eq(c.t, 0, unheld)
		c.network.HealAll()
		c.awaitWhole(30 * time.Second)
	})
}

func TestJoinRace(t *testing.T) {
	for seed := range uint64(5) {
		mustHold(t, seed, func(c *cluster) {
			// The killed host can be the only full member so far: the others then
			// wait for a proof of its death.
			c.listLag = 15 * time.Second
			c.network.SetDelay(0, 200*time.Millisecond)
			hosts := c.addMany(6)
			c.run(time.Duration(seed) * 300 * time.Millisecond)
			hosts[seed].kill()
			c.add()
			c.awaitWhole(c.listLag + 40*time.Second)
		})
	}
}

func TestFarDomainsAreKnownByPeers(t *testing.T) {
	mustHold(t, 1, func(c *cluster) {
		hosts := started(c, 3)
		c.domain = "b"
		far := c.add()
		c.domain = domainA
		c.await(30*time.Second, "far domain known", func() bool {
			for _, h := range hosts {
				m, ok := h.controller.Owner("b", 3)
				if !ok || m.Host != far.member.Host || !h.controller.Reachable("b") {
					return false
				}
			}
			return true
		})
		must.Eq(c.t, []fleet.DomainID{"a", "b"}, hosts[0].controller.Domains())
		far.kill()
		c.await(10*time.Second, "far domain unreachable", func() bool { return !hosts[0].controller.Reachable("b") })
	})
}

func TestSteadyStateWritesNothing(t *testing.T) {
	mustHold(t, 1, func(c *cluster) {
		started(c, 5)
		c.run(30 * time.Second)
		before := c.store.Counts()
		c.run(10 * time.Minute)
		after := c.store.Counts()
		must.Eq(c.t, before.Writes(), after.Writes())
		t.Logf("in 10 min: %d watches, %d lists, %d gets", after.Watches-before.Watches, after.Lists-before.Lists, after.Gets-before.Gets)
		must.Eq(c.t, before.Lists, after.Lists)
		must.LessEq(c.t, 2*10*60/15, after.Watches-before.Watches)
	})
}

func TestHoldTellsItsEndAndFence(t *testing.T) {
	mustHold(t, 1, func(c *cluster) {
		hosts := started(c, 2)
		shard := hosts[0].shards()[0]
		hold, ok := hosts[0].controller.Lease(shard, false)
		must.True(c.t, ok)
		must.Eq(c.t, shard, hold.Shard)
		must.Positive(c.t, hold.Fence)
		left := time.Until(hold.Until)
		must.Between(c.t, 2*time.Second, left, defaultPledgeTime-defaultOrderMargin)
		must.GreaterEq(c.t, 10*time.Second, time.Since(hold.Since))
		fenced, ok := hosts[0].controller.Lease(shard, true)
		must.True(c.t, ok)
		must.True(c.t, fenced.Until.IsZero())
		_, ok = hosts[1].controller.Lease(shard, true)
		must.False(c.t, ok)
		_, ok = hosts[0].controller.Lease(Shards, true)
		must.False(c.t, ok)
	})
}

func TestHostsReadWhenNoWatcherReachesTheService(t *testing.T) {
	mustHold(t, 1, func(c *cluster) {
		hosts := started(c, 4)
		for _, h := range hosts {
			if h.controller.watcher.isChosen() {
				h.store.reach(false)
			}
		}
		c.run(time.Minute)
		c.domain = "b"
		c.add()
		took := c.await(40*time.Second, "far domain known to all", func() bool {
			for _, h := range hosts {
				if len(h.controller.Domains()) != 2 {
					return false
				}
			}
			return true
		})
		t.Logf("known to all after %v", took)
	})
}
