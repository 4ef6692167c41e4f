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

// cost is what membership costs in a steady state.
type cost struct {
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
	for _, f := range cases {
		if f.large && !*largeFleet {
			continue
		}
		t.Run(fmt.Sprintf("%d hosts in %d domains", f.hosts, f.domains), func(t *testing.T) {
			mustHold(t, 1, func(c *cluster) {
				got := c.measure(f.hosts, f.domains)
				t.Logf("a host sends %.1f messages/s, %.0f bytes/s; a domain makes %.3f service reads/s, %d writes",
					got.messages, got.bytes, got.reads, got.writes)
				must.Eq(c.t, 0, got.writes)
				must.Less(c.t, float64(f.hosts), got.messages)
				must.Less(c.t, 0.12, got.reads)
			})
		})
	}
}

// measure starts domains and measures a minute of their steady state.
func (c *cluster) measure(hosts, domains int) cost {
	const window = time.Minute
	c.unchecked = true
	for d := range domains {
		c.domain = fleet.DomainID('a' + rune(d))
		c.addMany(hosts)
	}
	c.run(90 * time.Second)
	before, sent := c.store.Counts(), sum(c.network.Counts())
	c.run(window)
	after, sentAfter := c.store.Counts(), sum(c.network.Counts())
	all := float64(hosts*domains) * window.Seconds()
	for _, h := range c.all() {
		must.Len(c.t, hosts, h.controller.Members(h.member.Domain))
		must.Len(c.t, domains, h.controller.Domains())
	}
	return cost{
		messages: float64(sentAfter.Messages-sent.Messages) / all,
		bytes:    float64(sentAfter.Bytes-sent.Bytes) / all,
		reads:    float64(after.Reads()-before.Reads()) / float64(domains) / window.Seconds(),
		writes:   after.Writes() - before.Writes(),
	}
}

// sum adds up the traffic of all kinds.
func sum(counts map[peer.Kind]peertest.Count) peertest.Count {
	var all peertest.Count
	for _, c := range counts {
		all.Messages += c.Messages
		all.Bytes += c.Bytes
	}
	return all
}
