package key

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/config"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/outcome"
	"hawthornway/peer"
	"hawthornway/peer/peertest"
	"hawthornway/standin/kvstore"
	"hawthornway/team"
)

// bench is a few hosts' rings before one service. It is their directory.
type bench struct {
	t       *testing.T
	kv      *kvstore.Store
	network *peertest.Network
	domains []fleet.DomainID
	hosts   []fleet.HostID
	rings   []*Store
	stores  []*silentStore
	stops   map[fleet.HostID]func()
}

func (b *bench) Domains() []fleet.DomainID { return b.domains }
func (b *bench) Hosts() []fleet.HostID     { return b.hosts }

func (b *bench) WhenCutOff(id team.ID) config.CutOffPolicy {
	if id == "serves" {
		return config.CutOffServe
	}
	return config.CutOffRefuse
}

// newBench starts two hosts in each of three domains: a1, a2, b1 and so on.
func newBench(t *testing.T) *bench {
	useOneProcessor(t)
	b := &bench{
		t:       t,
		kv:      kvstore.New(kvstore.WithWatchWait(time.Second)),
		network: peertest.NewNetwork(1),
		domains: []fleet.DomainID{"a", "b", "c"},
		stops:   map[fleet.HostID]func(){},
	}
	for _, domain := range b.domains {
		b.start(domain, fleet.HostID(domain+"1"))
		b.start(domain, fleet.HostID(domain+"2"))
	}
	wait(2 * time.Second)
	return b
}

// useOneProcessor makes the replay of a seed alike. It also keeps clear of a
// crash of the race detector (Go 1.26), which seems to run timers of one bubble
// on several threads at once.
func useOneProcessor(t *testing.T) {
	before := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
}

func (b *bench) start(domain fleet.DomainID, host fleet.HostID) *Store {
	mesh := b.network.Join(fleet.Member{Host: host, Domain: domain, Incarnation: 1})
	store := &silentStore{Store: b.kv}
	b.stores = append(b.stores, store)
	r := NewStore(store, mesh, b, WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil))))
	b.hosts = append(b.hosts, host)
	b.rings = append(b.rings, r)
	ctx, cancel := context.WithCancel(b.t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = r.Run(ctx) })
	b.stops[host] = func() {
		cancel()
		running.Wait()
	}
	b.t.Cleanup(b.stops[host])
	return r
}

// grant gives a team a key and returns it.
func (b *bench) grant(id ID, owner team.ID) Text {
	text := Generate()
	must.NoError(b.t, b.rings[0].Grant(b.t.Context(), []Grant{{text.Hash(), id, owner}}))
	wait(2 * time.Second)
	return text
}

// cut separates the hosts of a domain from all others.
func (b *bench) cut(domain string) {
	for _, inside := range b.hosts {
		for _, outside := range b.hosts {
			if string(inside[:1]) == domain && string(outside[:1]) != domain {
				b.network.Cut(inside, outside)
			}
		}
	}
}

func (b *bench) reasons(text Text) []outcome.Reason {
	var all []outcome.Reason
	for _, r := range b.rings {
		_, _, refused := r.Check(text.Reveal())
		if refused == nil {
			all = append(all, "")
			continue
		}
		all = append(all, refused.Reason)
	}
	return all
}

// wait lets the hosts run for a while in the bubble's time.
func wait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func repeat(reason outcome.Reason, n int) []outcome.Reason {
	return slices.Repeat([]outcome.Reason{reason}, n)
}

func TestWithdrawalStopsKeysEverywhere(t *testing.T) {
	outage := kvstore.Faults{Outage: true}
	cases := []struct {
		name    string
		faults  kvstore.Faults
		written bool
	}{
		{"healthy", kvstore.Faults{}, true},
		{"answers lost after effect", kvstore.Faults{LoseAnswers: 3}, true},
		{"answers lost before or after effect", kvstore.Faults{LoseAnswers: 6, Seed: 3}, true},
		{"outage", outage, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				text := b.grant("k1", "rafiq")
				owner, gone, refused := b.rings[5].Check(text.Reveal())
				must.Nil(t, refused)
				must.EqOp(t, "rafiq", owner)
				b.kv.SetFaults(tc.faults)
				began := time.Now()
				got, err := b.rings[1].Withdraw(t.Context(), []ID{"k1"})
				must.NoError(t, err)
				<-gone
				must.Less(t, 4*time.Second, time.Since(began))
				must.Eq(t, Confirmation{Written: tc.written, Confirmed: b.hosts}, got)
				must.Eq(t, repeat(outcome.ReasonKeyWithdrawn, 6), b.reasons(text))

				// A host that starts during the outage learns it from its peers.
				fresh := b.start("a", "a3")
				wait(3 * time.Second)
				_, _, refused = fresh.Check(text.Reveal())
				must.EqOp(t, outcome.ReasonKeyWithdrawn, refused.Reason)

				b.kv.SetFaults(kvstore.Faults{})
				wait(5 * time.Second)
				entry, err := b.kv.Get(t.Context(), bucketKey(text.Hash().bucket()))
				must.NoError(t, err)
				entries, err := parseEntries(entry.Value)
				must.NoError(t, err)
				must.True(t, entries[0].Withdrawn())
				for _, r := range b.rings {
					must.SliceEmpty(t, r.pending.list(time.Now(), ""))
				}
			})
		})
	}
}

func TestOriginDiesDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		text := b.grant("k1", "rafiq")
		b.kv.SetFaults(kvstore.Faults{Outage: true})
		_, err := b.rings[0].Withdraw(t.Context(), []ID{"k1"})
		must.NoError(t, err)
		b.network.Kill("a1")
		b.stops["a1"]()
		wait(time.Minute)
		b.kv.SetFaults(kvstore.Faults{})
		wait(5 * time.Second)
		entry, err := b.kv.Get(t.Context(), bucketKey(text.Hash().bucket()))
		must.NoError(t, err)
		must.StrContains(t, string(entry.Value), "withdrawn-at")
	})
}

func TestOutageAloneRefusesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		text := b.grant("k1", "rafiq")
		b.kv.SetFaults(kvstore.Faults{Outage: true})
		for range 600 {
			wait(100 * time.Millisecond)
			must.Eq(t, repeat("", 6), b.reasons(text))
		}
	})
}

func TestCutOffDomain(t *testing.T) {
	cut := outcome.ReasonCutOff
	cases := []struct {
		name   string
		team   team.ID
		outage bool
		want   []outcome.Reason
	}{
		{"cut, platform reached", "rafiq", false, repeat("", 6)},
		// A domain that is cut off can't be told from one that does not hear
		// one that is: all sides refuse.
		{"cut and outage, refuse", "rafiq", true, repeat(cut, 6)},
		{"cut and outage, serve", "serves", true, repeat("", 6)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				text := b.grant("k1", tc.team)
				b.cut("c")
				b.kv.SetFaults(kvstore.Faults{Outage: tc.outage})
				wait(touchBound + 3*time.Second)
				must.Eq(t, tc.want, b.reasons(text))
				b.network.HealAll()
				wait(5 * time.Second)
				must.Eq(t, repeat("", 6), b.reasons(text))
			})
		})
	}
}

func TestWithdrawnWhileCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		text := b.grant("k1", "rafiq")
		b.kv.SetFaults(kvstore.Faults{Outage: true})
		b.cut("c")
		got, err := b.rings[0].Withdraw(t.Context(), []ID{"k1"})
		must.NoError(t, err)
		must.False(t, got.Written)
		must.Eq(t, []fleet.HostID{"c1", "c2"}, got.Unconfirmed)
		wait(touchBound)
		for _, reason := range b.reasons(text) {
			must.NotEq(t, "", reason)
		}
		b.network.HealAll()
		wait(5 * time.Second)
		must.Eq(t, repeat(outcome.ReasonKeyWithdrawn, 6), b.reasons(text))
	})
}

func TestWithdrawalComesBeforeItsKey(t *testing.T) {
	hash := Generate().Hash()
	p := pending{items: map[Hash]pendingItem{}}
	p.add([]withdrawal{{Hash: hash, AtMS: 1}}, time.Now())
	var s shard
	must.True(t, s.replace(1, nil, []Entry{{Hash: hash, ID: "k"}}, &p))
	entry, gone, _ := s.find(hash)
	must.True(t, entry.Withdrawn())
	<-gone
	must.False(t, s.replace(1, nil, nil, &p))
	must.True(t, s.replace(2, nil, []Entry{{Hash: hash, ID: "k"}}, &pending{}))
	entry, _, _ = s.find(hash)
	must.True(t, entry.Withdrawn())
}

func TestBulkTakesFewWrites(t *testing.T) {
	const keys = 5000
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		var grants []Grant
		var ids []ID
		for i := range keys {
			grants = append(grants, Grant{Generate().Hash(), ID(fmt.Sprint("k", i)), "rafiq"})
			ids = append(ids, grants[i].ID)
		}
		must.NoError(t, b.rings[0].Grant(t.Context(), grants))
		must.NoError(t, b.rings[0].Grant(t.Context(), grants))
		wait(3 * time.Second)
		must.EqOp(t, buckets, b.kv.Counts().Swaps)
		_, err := b.rings[5].Withdraw(t.Context(), ids)
		must.NoError(t, err)
		must.EqOp(t, 2*buckets, b.kv.Counts().Swaps)
		wait(3 * time.Second)
		for _, r := range b.rings {
			must.Len(t, keys, r.List())
			for _, e := range r.List() {
				must.True(t, e.Withdrawn())
			}
		}
	})
}

func TestRefusedTexts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		text := b.grant("k1", "rafiq").Reveal()
		for _, presented := range []string{"", "hw_", text[1:], text + "x", "HW_" + text[3:], Generate().Reveal()} {
			_, _, refused := b.rings[0].Check(presented)
			must.EqOp(t, outcome.ReasonNoKey, refused.Reason)
		}
		fresh := NewStore(b.kv, b.network.Join(fleet.Member{Host: "x", Domain: "a"}), b)
		_, _, refused := fresh.Check(text)
		must.EqOp(t, outcome.ReasonStarting, refused.Reason)
		must.StrNotContains(t, fmt.Sprintf("%v %s %#v %q", Text(text), Text(text), Text(text), Text(text)), text[3:])
		_, err := b.rings[0].Withdraw(t.Context(), []ID{"unknown"})
		must.ErrorContains(t, err, `key "unknown" is not known`)
	})
}

func TestGrantWithoutService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.kv.SetFaults(kvstore.Faults{Outage: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := b.rings[0].Grant(ctx, []Grant{{Generate().Hash(), "k1", "rafiq"}})
		must.ErrorIs(t, err, keyvalue.ErrUnavailable)
	})
}

// TestChosenPeersSpreadNews follows one host's news through a large domain.
func TestChosenPeersSpreadNews(t *testing.T) {
	const size, rounds = 38, 6
	var members []fleet.Member
	for i := range size {
		members = append(members, fleet.Member{Host: fleet.HostID(fmt.Sprintf("h%02d", i)), Domain: "a"})
	}
	knows := map[fleet.HostID]bool{members[7].Host: true}
	for round := range rounds {
		next := map[fleet.HostID]bool{}
		for _, self := range members {
			next[self.Host] = knows[self.Host]
			var peers []peer.Peer
			for _, m := range members {
				if m != self {
					peers = append(peers, peer.Peer{Member: m})
				}
			}
			for _, p := range choosePeers(self, peers, round) {
				next[self.Host] = next[self.Host] || knows[p.Host]
			}
		}
		knows = next
	}
	for _, m := range members {
		must.True(t, knows[m.Host])
	}
}
