package member

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/fleet"
	"hawthornway/standin/kvstore"
)

// failoverBound limits the time until the shards of a dead or isolated owner are
// leased again.
const failoverBound = 9 * time.Second

// startCluster starts hosts and waits until the domain has converged.
func startCluster(c *cluster, n int) []*host {
	hosts := c.addMany(n)
	c.awaitConverged(30 * time.Second)
	c.run(10 * time.Second)
	return hosts
}

// shards returns the shards that the host owns.
func (h *host) shards() []Shard {
	h.controller.mu.Lock()
	defer h.controller.mu.Unlock()
	return h.controller.machine.record.owned(processOf(h.member))
}

func TestHostsJoinAndShareShards(t *testing.T) {
	cases := []int{1, 2, 3, 5, 12}
	for _, n := range cases {
		requireNoViolations(t, 1, func(c *cluster) {
			hosts := startCluster(c, n)
			c.run(20 * time.Second)
			for _, h := range hosts {
				must.Between(c.t, Shards/n, len(h.shards()), (Shards+n-1)/n)
			}
		})
	}
}

func TestShardsAreLeasedAgainAfter(t *testing.T) {
	cases := []struct {
		name  string
		fault func(*cluster, []*host)
		bound time.Duration
	}{
		{"kill", func(_ *cluster, h []*host) { h[0].kill() }, failoverBound},
		{"two killed of three", func(_ *cluster, h []*host) { h[0].kill(); h[1].kill() }, failoverBound + minorityRemovalDelay + removalRankDelay},
		{"kill and start at same address", func(c *cluster, h []*host) {
			h[0].kill()
			c.start(h[0].member.Host, h[0].member.PeerAddress)
		}, failoverBound},
		{"kill and start at new address", func(c *cluster, h []*host) {
			h[0].kill()
			c.start(h[0].member.Host, "10.0.9.9:7000")
		}, failoverBound},
		{"freeze", func(_ *cluster, h []*host) { h[0].freeze(false) }, failoverBound},
		{"suspend", func(_ *cluster, h []*host) { h[0].freeze(true) }, failoverBound},
		{"cut", func(c *cluster, h []*host) { c.isolate(h[0], h[1:]) }, failoverBound},
		{"one host cut off from the others and the service", func(c *cluster, h []*host) {
			c.isolate(h[0], h[1:])
			h[0].store.setReachable(false)
		}, failoverBound},
		{"one-way cut from", func(c *cluster, h []*host) {
			c.network.CutOneWay(h[0].member.Host, h[1].member.Host)
			c.network.CutOneWay(h[0].member.Host, h[2].member.Host)
		}, failoverBound},
		{"one-way cut to", func(c *cluster, h []*host) {
			c.network.CutOneWay(h[1].member.Host, h[0].member.Host)
			c.network.CutOneWay(h[2].member.Host, h[0].member.Host)
		}, failoverBound},
		{"one pair cut", func(c *cluster, h []*host) {
			c.network.Cut(h[0].member.Host, h[1].member.Host)
		}, failoverBound},
		{"silent links", func(c *cluster, h []*host) {
			c.network.Silence(h[0].member.Host, h[1].member.Host)
			c.network.Silence(h[0].member.Host, h[2].member.Host)
		}, failoverBound},
		{"wall clock set ahead", func(_ *cluster, h []*host) { h[0].stepWallClock(time.Hour) }, 3 * time.Second},
		{"wall clock set back", func(_ *cluster, h []*host) { h[0].stepWallClock(-time.Hour) }, 3 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			requireNoViolations(t, 1, func(c *cluster) {
				c.listLag = 20 * time.Second
				hosts := startCluster(c, 3)
				tc.fault(c, hosts)
				unleased, last := c.measureUnleased(time.Minute)
				t.Logf("a shard was not leased for %v, last %v after the fault", unleased, last)
				must.LessEq(c.t, tc.bound, last)
				c.restore()
				c.awaitConverged(30 * time.Second)
			})
		})
	}
}

// isolate cuts the links between a host and others.
func (c *cluster) isolate(h *host, others []*host) {
	for _, other := range others {
		c.network.Cut(h.member.Host, other.member.Host)
	}
}

// measureUnleased advances the time and returns how long some shard had no lease
// holder, and when that last was the case.
func (c *cluster) measureUnleased(window time.Duration) (sum, last time.Duration) {
	const step = 20 * time.Millisecond
	for elapsed := step; elapsed <= window; elapsed += step {
		c.run(step)
		if c.leasedShards(false) < Shards {
			sum += step
			last = elapsed
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
		h.resume()
		h.store.setReachable(true)
		h.store.delayWrites(0, 0)
	}
}

func TestCompleteDomainKeepsLeasesDuringOutage(t *testing.T) {
	cases := []time.Duration{10 * time.Second, time.Hour}
	for _, outage := range cases {
		t.Run(outage.String(), func(t *testing.T) {
			requireNoViolations(t, 1, func(c *cluster) {
				startCluster(c, 3)
				c.store.SetFaults(kvstore.Faults{Outage: true})
				for end := time.Now().Add(outage); time.Now().Before(end); c.run(outage / 100) {
					must.Eq(c.t, Shards, c.leasedShards(false))
				}
				c.restore()
				c.run(time.Minute)
				must.Eq(c.t, Shards, c.leasedShards(false))
			})
		})
	}
}

func TestOutageWithDeadMemberLeavesFencedLeases(t *testing.T) {
	requireNoViolations(t, 1, func(c *cluster) {
		hosts := startCluster(c, 3)
		killedShards := len(hosts[0].shards())
		c.store.SetFaults(kvstore.Faults{Outage: true})
		hosts[0].kill()
		c.run(30 * time.Second)
		must.Eq(c.t, 0, c.leasedShards(false))
		must.Eq(c.t, Shards-killedShards, c.leasedShards(true))
		c.restore()
		t.Logf("all shards leased %v after the end of the outage", c.awaitAllLeased(15*time.Second))
	})
}

func TestSlowServiceStopsNoOwner(t *testing.T) {
	requireNoViolations(t, 1, func(c *cluster) {
		startCluster(c, 3)
		c.store.SetFaults(kvstore.Faults{Delay: 4 * time.Second})
		for range 60 {
			must.Eq(c.t, Shards, c.leasedShards(false))
			c.run(time.Second)
		}
	})
}

func TestLostWriteAnswerIsResolved(t *testing.T) {
	cases := []uint64{0, 1, 2, 3}
	for _, seed := range cases {
		requireNoViolations(t, 1, func(c *cluster) {
			hosts := startCluster(c, 3)
			c.store.SetFaults(kvstore.Faults{LoseResponses: 3, Seed: seed})
			hosts[0].kill()
			c.add()
			c.awaitAllLeased(failoverBound + 10*time.Second)
			c.awaitConverged(30 * time.Second)
		})
	}
}

func TestLeaveHandsShardsOver(t *testing.T) {
	requireNoViolations(t, 1, func(c *cluster) {
		hosts := startCluster(c, 3)
		owned := hosts[0].shards()
		before := time.Now()
		must.NoError(c.t, hosts[0].leave(time.Minute))
		t.Logf("host left after %v", time.Since(before))
		t.Logf("all shards leased after another %v", c.awaitAllLeased(2*time.Second))
		for _, shard := range owned {
			for _, h := range hosts[1:] {
				if lease, ok := h.controller.Lease(shard, false); ok {
					must.True(c.t, lease.HandedOver)
				}
			}
		}
	})
}

func TestRollingReplacementKeepsShardsLeased(t *testing.T) {
	requireNoViolations(t, 1, func(c *cluster) {
		hosts := startCluster(c, 4)
		var gap time.Duration
		for _, h := range hosts {
			c.add()
			c.awaitConverged(10 * time.Second)
			must.NoError(c.t, h.leave(time.Minute))
			gap = max(gap, c.awaitAllLeased(3*time.Second))
		}
		t.Logf("longest time until all shards were leased: %v", gap)
		c.awaitConverged(10 * time.Second)
	})
}

func TestLastHostLeavesAndNextTakesAll(t *testing.T) {
	requireNoViolations(t, 1, func(c *cluster) {
		hosts := startCluster(c, 1)
		must.NoError(c.t, hosts[0].leave(time.Minute))
		c.add()
		c.awaitAllLeased(3 * time.Second)
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
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			requireNoViolations(t, 1, func(c *cluster) {
				c.listLag = 20 * time.Second
				hosts := startCluster(c, 3)
				for _, h := range hosts {
					h.kill()
				}
				tc.start(c, hosts)
				t.Logf("fenced leases after %v", c.await(30*time.Second, "fenced leases", func() bool { return c.leasedShards(true) == Shards }))
				t.Logf("all shards leased after another %v", c.awaitAllLeased(tc.bound))
			})
		})
	}
}

func TestForgetProvesDeath(t *testing.T) {
	requireNoViolations(t, 1, func(c *cluster) {
		c.listLag = -1
		hosts := startCluster(c, 2)
		for _, h := range hosts {
			h.kill()
		}
		replacement := c.add()
		c.run(2 * time.Minute)
		must.Eq(c.t, 0, c.leasedShards(false))
		must.Eq(c.t, Shards, c.leasedShards(true))
		for _, h := range hosts {
			replacement.controller.Forget(h.member.Host)
		}
		c.awaitAllLeased(20 * time.Second)
	})
}

func TestIsolatedHostDoesNotDisturbOthers(t *testing.T) {
	requireNoViolations(t, 1, func(c *cluster) {
		hosts := startCluster(c, 3)
		isolated := c.add()
		c.isolate(isolated, hosts)
		unleased := 0
		for range 600 {
			if c.leasedShards(false) < Shards {
				unleased++
			}
			c.run(time.Second)
		}
		must.Eq(c.t, 0, unleased)
		c.network.HealAll()
		c.awaitConverged(30 * time.Second)
	})
}

func TestJoinRace(t *testing.T) {
	for seed := range uint64(5) {
		requireNoViolations(t, seed, func(c *cluster) {
			// The killed host can be the only full member so far. The others then
			// wait until it is proven dead.
			c.listLag = 15 * time.Second
			c.network.SetDelay(0, 200*time.Millisecond)
			hosts := c.addMany(6)
			c.run(time.Duration(seed) * 300 * time.Millisecond)
			hosts[seed].kill()
			c.add()
			c.awaitConverged(c.listLag + 40*time.Second)
		})
	}
}

func TestRemoteDomainsAreKnownByPeers(t *testing.T) {
	requireNoViolations(t, 1, func(c *cluster) {
		hosts := startCluster(c, 3)
		c.domain = "b"
		remote := c.add()
		c.domain = domainA
		c.await(30*time.Second, "remote domain known", func() bool {
			for _, h := range hosts {
				m, ok := h.controller.Owner("b", 3)
				if !ok || m.Host != remote.member.Host || !h.controller.Reachable("b") {
					return false
				}
			}
			return true
		})
		must.Eq(c.t, []fleet.DomainID{"a", "b"}, hosts[0].controller.Domains())
		remote.kill()
		c.await(10*time.Second, "remote domain unreachable", func() bool { return !hosts[0].controller.Reachable("b") })
	})
}

func TestSteadyStateWritesNothing(t *testing.T) {
	requireNoViolations(t, 1, func(c *cluster) {
		startCluster(c, 5)
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

func TestLeaseHasExpiryAndFence(t *testing.T) {
	requireNoViolations(t, 1, func(c *cluster) {
		hosts := startCluster(c, 2)
		shard := hosts[0].shards()[0]
		lease, ok := hosts[0].controller.Lease(shard, false)
		must.True(c.t, ok)
		must.Eq(c.t, shard, lease.Shard)
		must.Positive(c.t, lease.Fence)
		remaining := time.Until(lease.Until)
		must.Between(c.t, 2*time.Second, remaining, defaultPromiseTTL-defaultOrderMargin)
		must.GreaterEq(c.t, 10*time.Second, time.Since(lease.Since))
		fenced, ok := hosts[0].controller.Lease(shard, true)
		must.True(c.t, ok)
		must.True(c.t, fenced.Until.IsZero())
		_, ok = hosts[1].controller.Lease(shard, true)
		must.False(c.t, ok)
		_, ok = hosts[0].controller.Lease(Shards, true)
		must.False(c.t, ok)
	})
}

func TestHostsReadRecordsWhenNoWatcherReachesTheService(t *testing.T) {
	requireNoViolations(t, 1, func(c *cluster) {
		hosts := startCluster(c, 4)
		for _, h := range hosts {
			if h.controller.watcher.isSelected() {
				h.store.setReachable(false)
			}
		}
		c.run(time.Minute)
		c.domain = "b"
		c.add()
		took := c.await(40*time.Second, "remote domain known to all", func() bool {
			for _, h := range hosts {
				if len(h.controller.Domains()) != 2 {
					return false
				}
			}
			return true
		})
		t.Logf("remote domain known to all after %v", took)
	})
}
