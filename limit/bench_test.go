package limit

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"hawthornway/fleet"
	"hawthornway/member"
	"hawthornway/peer/peertest"
	"hawthornway/standin/kvstore"
	"hawthornway/team"
)

// benchOwnership has the host own all shards of its domain, and other hosts
// those of other domains.
type benchOwnership struct {
	self  fleet.Member
	hosts int
}

func (o benchOwnership) Self() fleet.Member { return o.self }

func (o benchOwnership) Lease(shard member.Shard, _ bool) (member.Lease, bool) {
	return member.Lease{Shard: shard, Fence: 1}, true
}

func (o benchOwnership) Owner(domain fleet.DomainID, shard member.Shard) (fleet.Member, bool) {
	if domain == o.self.Domain {
		return o.self, true
	}
	host := fleet.HostID(fmt.Sprintf("%s-%d", domain, int(shard)%o.hosts))
	return fleet.Member{Host: host, Domain: domain}, true
}

func (o benchOwnership) Reachable(domain fleet.DomainID) bool { return domain == o.self.Domain }

func benchDomains(n int) []fleet.DomainID {
	var domains []fleet.DomainID
	for i := range n {
		domains = append(domains, fleet.DomainID(fmt.Sprintf("d%d", i)))
	}
	return domains
}

// BenchmarkReserve is the whole decision of one request with its settlement, at
// a host that keeps the ledgers of its domain itself.
func BenchmarkReserve(b *testing.B) {
	cases := []struct{ domains, hosts, teams int }{{1, 9, 5}, {3, 30, 50}, {10, 380, 200}}
	for _, c := range cases {
		b.Run(fmt.Sprintf("domains=%d/hosts=%d/teams=%d", c.domains, c.hosts, c.teams), func(b *testing.B) {
			domains := benchDomains(c.domains)
			own := benchOwnership{self: fleet.Member{Host: "d0-0", Domain: "d0"}, hosts: c.hosts / c.domains}
			mesh := peertest.NewNetwork(1).Join(own.self)
			limits := func(team.ID) (Limit, bool) { return Limit{Rate: 1e9, Burst: 1e10}, true }
			l := New(own, mesh, kvstore.New(), limits,
				WithDomains(func() []fleet.DomainID { return domains }), WithLogger(slog.New(slog.DiscardHandler)))
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() { _ = l.Run(ctx) }()
			ids := make([]team.ID, c.teams)
			for i := range ids {
				ids[i] = team.ID(fmt.Sprintf("team-%d", i))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				charge, refusal := l.Reserve(ctx, ids[i%len(ids)], 1000)
				if refusal != nil {
					b.Fatal(refusal.Detail)
				}
				charge.Settle(500)
			}
		})
	}
}

// BenchmarkLedger is one grant with its report, at several numbers of grants
// under way.
func BenchmarkLedger(b *testing.B) {
	for _, hosts := range []int{1, 38, 380} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			l := NewLedger(testStart, 1, WholeLimit, Limit{Rate: 1e9, Burst: 1e9})
			l.Fill()
			grants := make([]Grant, hosts)
			now := testStart
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				at := i % hosts
				l.Take(now, "d0", Report{Spent: grants[at : at+1]})
				grants[at] = l.Lend(now, Ask{Domain: "d0", Need: 1000})
			}
		})
	}
}

// BenchmarkRefund is one spending and its refund, while many are under way.
func BenchmarkRefund(b *testing.B) {
	for _, open := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("open=%d", open), func(b *testing.B) {
			bucket := NewBucket(testStart, Part{Rate: 1e6, Capacity: 1e12})
			bucket.Fill()
			marks := make([]Mark, open)
			now := testStart
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				at := i % open
				bucket.Refund(now, marks[at], 500)
				bucket.Lend(now, 1000)
				marks[at] = bucket.Spend(now, 1000)
			}
		})
	}
}

// BenchmarkGive is the share arithmetic of one team.
func BenchmarkGive(b *testing.B) {
	for _, n := range []int{3, 10, 30} {
		b.Run(fmt.Sprintf("domains=%d", n), func(b *testing.B) {
			domains := benchDomains(n)
			shares := EqualShares(domains)
			demand := Demand{"d0": 1, "d1": 100, "d2": 10}
			limit := Limit{Rate: 300, Burst: 1000}
			for b.Loop() {
				shares.Give("d0", domains, demand, limit)
			}
		})
	}
}
