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

// fixture runs several hosts on one key-value service. It implements their
// Directory.
type fixture struct {
	t        *testing.T
	kv       *kvstore.Store
	network  *peertest.Network
	domains  []fleet.DomainID
	hosts    []fleet.HostID
	stores   []*Store
	kvStores []*silentStore
	stops    map[fleet.HostID]func()
}

func (f *fixture) Domains() []fleet.DomainID { return f.domains }
func (f *fixture) Hosts() []fleet.HostID     { return f.hosts }

func (f *fixture) WhenCutOff(id team.ID) config.CutOffPolicy {
	if id == "serves" {
		return config.CutOffServe
	}
	return config.CutOffRefuse
}

// newFixture starts two hosts in each of three domains: a1, a2, b1 and so on.
func newFixture(t *testing.T) *fixture {
	useOneProcessor(t)
	f := &fixture{
		t:       t,
		kv:      kvstore.New(kvstore.WithWatchWait(time.Second)),
		network: peertest.NewNetwork(1),
		domains: []fleet.DomainID{"a", "b", "c"},
		stops:   map[fleet.HostID]func(){},
	}
	for _, domain := range f.domains {
		f.start(domain, fleet.HostID(domain+"1"))
		f.start(domain, fleet.HostID(domain+"2"))
	}
	advance(2 * time.Second)
	return f
}

// useOneProcessor makes a seed reproducible. It also avoids a crash of the race
// detector in Go 1.26, which seems to run the timers of one synctest bubble on
// several threads at once.
func useOneProcessor(t *testing.T) {
	before := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
}

func (f *fixture) start(domain fleet.DomainID, host fleet.HostID) *Store {
	mesh := f.network.Join(fleet.Member{Host: host, Domain: domain, Incarnation: 1})
	store := &silentStore{Store: f.kv}
	f.kvStores = append(f.kvStores, store)
	s := NewStore(store, mesh, f, WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil))))
	f.hosts = append(f.hosts, host)
	f.stores = append(f.stores, s)
	ctx, cancel := context.WithCancel(f.t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = s.Run(ctx) })
	f.stops[host] = func() {
		cancel()
		running.Wait()
	}
	f.t.Cleanup(f.stops[host])
	return s
}

// grant grants a new key to a team and returns it.
func (f *fixture) grant(id ID, teamID team.ID) Secret {
	secret := Generate()
	must.NoError(f.t, f.stores[0].Grant(f.t.Context(), []Grant{{secret.Hash(), id, teamID}}))
	advance(2 * time.Second)
	return secret
}

// cut cuts the links between the hosts of a domain and all others.
func (f *fixture) cut(domain string) {
	for _, inside := range f.hosts {
		for _, outside := range f.hosts {
			if string(inside[:1]) == domain && string(outside[:1]) != domain {
				f.network.Cut(inside, outside)
			}
		}
	}
}

// reasons returns each host's reason for refusing a key, empty if it accepts
// the key.
func (f *fixture) reasons(secret Secret) []outcome.Reason {
	var all []outcome.Reason
	for _, s := range f.stores {
		_, _, refused := s.Check(secret.Reveal())
		if refused == nil {
			all = append(all, "")
			continue
		}
		all = append(all, refused.Reason)
	}
	return all
}

// advance lets the hosts run for a duration of the synctest bubble's time.
func advance(d time.Duration) {
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
		{"responses lost after effect", kvstore.Faults{LoseResponses: 3}, true},
		{"responses lost before or after effect", kvstore.Faults{LoseResponses: 6, Seed: 3}, true},
		{"outage", outage, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				secret := f.grant("k1", "rafiq")
				teamID, withdrawn, refused := f.stores[5].Check(secret.Reveal())
				must.Nil(t, refused)
				must.EqOp(t, "rafiq", teamID)
				f.kv.SetFaults(tc.faults)
				start := time.Now()
				got, err := f.stores[1].Withdraw(t.Context(), []ID{"k1"})
				must.NoError(t, err)
				<-withdrawn
				must.Less(t, 4*time.Second, time.Since(start))
				must.Eq(t, Confirmation{Written: tc.written, Confirmed: f.hosts}, got)
				must.Eq(t, repeat(outcome.ReasonKeyWithdrawn, 6), f.reasons(secret))

				// A host that starts during the outage gets the withdrawal from
				// its peers.
				fresh := f.start("a", "a3")
				advance(3 * time.Second)
				_, _, refused = fresh.Check(secret.Reveal())
				must.EqOp(t, outcome.ReasonKeyWithdrawn, refused.Reason)

				f.kv.SetFaults(kvstore.Faults{})
				advance(5 * time.Second)
				entry, err := f.kv.Get(t.Context(), recordKey(secret.Hash().bucket()))
				must.NoError(t, err)
				entries, err := parseEntries(entry.Value)
				must.NoError(t, err)
				must.True(t, entries[0].Withdrawn())
				for _, s := range f.stores {
					must.SliceEmpty(t, s.pending.list(time.Now(), ""))
				}
			})
		})
	}
}

func TestOriginStopsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		secret := f.grant("k1", "rafiq")
		f.kv.SetFaults(kvstore.Faults{Outage: true})
		_, err := f.stores[0].Withdraw(t.Context(), []ID{"k1"})
		must.NoError(t, err)
		f.network.Kill("a1")
		f.stops["a1"]()
		advance(time.Minute)
		f.kv.SetFaults(kvstore.Faults{})
		advance(5 * time.Second)
		entry, err := f.kv.Get(t.Context(), recordKey(secret.Hash().bucket()))
		must.NoError(t, err)
		must.StrContains(t, string(entry.Value), "withdrawn-at")
	})
}

func TestOutageAloneRefusesNoKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		secret := f.grant("k1", "rafiq")
		f.kv.SetFaults(kvstore.Faults{Outage: true})
		for range 600 {
			advance(100 * time.Millisecond)
			must.Eq(t, repeat("", 6), f.reasons(secret))
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
		// No side can tell whether it is cut off itself or another domain is,
		// so all of them refuse.
		{"cut and outage, refuse", "rafiq", true, repeat(cut, 6)},
		{"cut and outage, serve", "serves", true, repeat("", 6)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				secret := f.grant("k1", tc.team)
				f.cut("c")
				f.kv.SetFaults(kvstore.Faults{Outage: tc.outage})
				advance(maxStateAge + 3*time.Second)
				must.Eq(t, tc.want, f.reasons(secret))
				f.network.HealAll()
				advance(5 * time.Second)
				must.Eq(t, repeat("", 6), f.reasons(secret))
			})
		})
	}
}

func TestWithdrawnWhileCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		secret := f.grant("k1", "rafiq")
		f.kv.SetFaults(kvstore.Faults{Outage: true})
		f.cut("c")
		got, err := f.stores[0].Withdraw(t.Context(), []ID{"k1"})
		must.NoError(t, err)
		must.False(t, got.Written)
		must.Eq(t, []fleet.HostID{"c1", "c2"}, got.Unconfirmed)
		advance(maxStateAge)
		for _, reason := range f.reasons(secret) {
			must.NotEq(t, "", reason)
		}
		f.network.HealAll()
		advance(5 * time.Second)
		must.Eq(t, repeat(outcome.ReasonKeyWithdrawn, 6), f.reasons(secret))
	})
}

func TestWithdrawalBeforeGrant(t *testing.T) {
	hash := Generate().Hash()
	p := pending{items: map[Hash]pendingItem{}}
	p.add([]withdrawal{{Hash: hash, AtMS: 1}}, time.Now())
	var s bucketState
	must.True(t, s.replace(1, nil, []Entry{{Hash: hash, ID: "k"}}, &p))
	entry, withdrawn, _ := s.find(hash)
	must.True(t, entry.Withdrawn())
	<-withdrawn
	must.False(t, s.replace(1, nil, nil, &p))
	must.True(t, s.replace(2, nil, []Entry{{Hash: hash, ID: "k"}}, &pending{}))
	entry, _, _ = s.find(hash)
	must.True(t, entry.Withdrawn())
}

func TestBulkChangesNeedFewWrites(t *testing.T) {
	const keys = 5000
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		var grants []Grant
		var ids []ID
		for i := range keys {
			grants = append(grants, Grant{Generate().Hash(), ID(fmt.Sprint("k", i)), "rafiq"})
			ids = append(ids, grants[i].ID)
		}
		must.NoError(t, f.stores[0].Grant(t.Context(), grants))
		must.NoError(t, f.stores[0].Grant(t.Context(), grants))
		advance(3 * time.Second)
		must.EqOp(t, bucketCount, f.kv.Counts().Swaps)
		_, err := f.stores[5].Withdraw(t.Context(), ids)
		must.NoError(t, err)
		must.EqOp(t, 2*bucketCount, f.kv.Counts().Swaps)
		advance(3 * time.Second)
		for _, s := range f.stores {
			must.Len(t, keys, s.List())
			for _, e := range s.List() {
				must.True(t, e.Withdrawn())
			}
		}
	})
}

func TestRefusedKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		secret := f.grant("k1", "rafiq").Reveal()
		for _, presented := range []string{"", "hw_", secret[1:], secret + "x", "HW_" + secret[3:], Generate().Reveal()} {
			_, _, refused := f.stores[0].Check(presented)
			must.EqOp(t, outcome.ReasonNoKey, refused.Reason)
		}
		fresh := NewStore(f.kv, f.network.Join(fleet.Member{Host: "x", Domain: "a"}), f)
		_, _, refused := fresh.Check(secret)
		must.EqOp(t, outcome.ReasonStarting, refused.Reason)
		must.StrNotContains(t, fmt.Sprintf("%v %s %#v %q", Secret(secret), Secret(secret), Secret(secret), Secret(secret)), secret[3:])
		_, err := f.stores[0].Withdraw(t.Context(), []ID{"unknown"})
		must.ErrorContains(t, err, `key "unknown" is not known`)
	})
}

func TestGrantWithoutService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.kv.SetFaults(kvstore.Faults{Outage: true})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		err := f.stores[0].Grant(ctx, []Grant{{Generate().Hash(), "k1", "rafiq"}})
		must.ErrorIs(t, err, keyvalue.ErrUnavailable)
	})
}

// TestSelectedPeersSpreadUpdates checks that an update of one host reaches all
// hosts of a large domain in a logarithmic number of rounds.
func TestSelectedPeersSpreadUpdates(t *testing.T) {
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
			for _, p := range selectPeers(self, peers, round) {
				next[self.Host] = next[self.Host] || knows[p.Host]
			}
		}
		knows = next
	}
	for _, m := range members {
		must.True(t, knows[m.Host])
	}
}
