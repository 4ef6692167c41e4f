package member

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/fleet"
	"hawthornway/peer"
	"hawthornway/peer/peertest"
)

var largeFleet = flag.Bool("large-fleet", false, "measure 12 and 38 hosts in each of 10 domains as well")

// steadyStateCost is the cost of membership in a steady state: messages and bytes
// per second and host, reads per second and domain, and the number of writes.
type steadyStateCost struct {
	messages float64
	bytes    float64
	reads    float64
	writes   int64
}

func TestCostInSteadyState(t *testing.T) {
	cases := []struct {
		hosts, domains int
		large          bool
	}{
		{3, 1, false},
		{12, 1, false},
		{38, 1, false},
		{3, 3, false},
		{3, 10, false},
		{12, 10, true},
		{38, 10, true},
	}
	for _, tc := range cases {
		if tc.large && !*largeFleet {
			continue
		}
		t.Run(fmt.Sprintf("%d hosts in %d domains", tc.hosts, tc.domains), func(t *testing.T) {
			requireNoViolations(t, 1, func(c *cluster) {
				got := c.measure(tc.hosts, tc.domains)
				t.Logf("a host sends %.1f messages/s, %.0f bytes/s; a domain makes %.3f service reads/s, %d writes",
					got.messages, got.bytes, got.reads, got.writes)
				must.Eq(c.t, 0, got.writes)
				must.Less(c.t, float64(tc.hosts), got.messages)
				must.Less(c.t, 0.12, got.reads)
			})
		})
	}
}

// measure starts domains and measures the cost of a minute in a steady state.
func (c *cluster) measure(hosts, domains int) steadyStateCost {
	const window = time.Minute
	c.skipChecks = true
	for d := range domains {
		c.domain = fleet.DomainID('a' + rune(d))
		c.addMany(hosts)
	}
	c.run(90 * time.Second)
	before, sent := c.store.Counts(), totalTraffic(c.network.Counts())
	c.run(window)
	after, sentAfter := c.store.Counts(), totalTraffic(c.network.Counts())
	all := float64(hosts*domains) * window.Seconds()
	for _, h := range c.all() {
		must.Len(c.t, hosts, h.controller.Members(h.member.Domain))
		must.Len(c.t, domains, h.controller.Domains())
	}
	return steadyStateCost{
		messages: float64(sentAfter.Messages-sent.Messages) / all,
		bytes:    float64(sentAfter.Bytes-sent.Bytes) / all,
		reads:    float64(after.Reads()-before.Reads()) / float64(domains) / window.Seconds(),
		writes:   after.Writes() - before.Writes(),
	}
}

// totalTraffic adds up the traffic of all message kinds.
func totalTraffic(counts map[peer.Kind]peertest.Count) peertest.Count {
	var all peertest.Count
	for _, c := range counts {
		all.Messages += c.Messages
		all.Bytes += c.Bytes
	}
	return all
}
