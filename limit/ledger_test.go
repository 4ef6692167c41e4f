package limit

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"hawthornway/member"
	"hawthornway/target"
	"hawthornway/team"
)

// heldGrant is a grant at a host, which may spend it until it expires.
type heldGrant struct {
	grant       Grant
	epoch       target.Fence
	requestedAt time.Time
}

// successionRun draws a history in which ledgers replace each other without handing over
// their state, while hosts spend and report at random. It returns what was spent.
func successionRun(t *rapid.T, limit Limit, wait time.Duration) []admission {
	now := testStart
	epoch := target.Fence(1)
	l := NewLedger(now, epoch, WholeLimit, limit)
	l.Fill()
	var grants []heldGrant
	var log []admission
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 1200).Draw(t, "pause")) * time.Millisecond)
		pick := rapid.IntRange(0, 20).Draw(t, "pick")
		switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
		case step == 0:
			epoch++
			l = NewLedger(now.Add(wait), epoch, WholeLimit, limit)
		case step <= 3:
			need := toMicroTokens(team.Tokens(rapid.IntRange(1, int(limit.Burst)).Draw(t, "need")))
			if grant := l.Lend(now, TokenRequest{Domain: "d0", Need: need}); grant.Tokens > 0 {
				grants = append(grants, heldGrant{grant: grant, epoch: epoch, requestedAt: now})
			}
		case len(grants) > 0:
			g := &grants[pick%len(grants)]
			if g.grant.Tokens == 0 || now.Sub(g.requestedAt) >= grantTTL {
				continue
			}
			spent := Grant{ID: g.grant.ID, Tokens: g.grant.Tokens}
			g.grant.Tokens = 0
			if step <= 5 && g.epoch == epoch {
				l.ApplyReport(now, "d0", Report{Returned: []Grant{spent}})
				continue
			}
			log = append(log, admission{at: now, team: "a", tokens: team.Tokens(spent.Tokens)})
			if step <= 8 && g.epoch == epoch {
				l.ApplyReport(now, "d0", Report{Spent: []Grant{spent}})
			}
		}
	}
	return log
}

func TestLedgersInSuccessionKeepBound(t *testing.T) {
	limit := Limit{Rate: 5, Burst: 10}
	rapid.Check(t, func(t *rapid.T) {
		log := successionRun(t, limit, ledgerGrantTTL)
		must.LessEq(t, 10, overrun(log, "a", toMicroLimit(limit)))
	})
}

// TestMutationGrantWait shows that TestLedgersInSuccessionKeepBound would detect a ledger
// that does not wait for the grants of its predecessor to expire.
func TestMutationGrantWait(t *testing.T) {
	limit := Limit{Rate: 5, Burst: 10}
	broken := 0
	for seed := range 3000 {
		log := rapid.Custom(func(t *rapid.T) []admission { return successionRun(t, limit, 0) }).Example(seed)
		if overrun(log, "a", toMicroLimit(limit)) > 10 {
			broken++
		}
	}
	t.Logf("%d of 3000 histories exceed the bound", broken)
	must.Positive(t, broken)
}

// TestTakeoverWaits checks that a new ledger waits for old grants to expire, unless its
// predecessor hands over its state.
func TestTakeoverWaits(t *testing.T) {
	cases := []struct {
		name   string
		cut    bool
		waits  bool
		filled bool
	}{
		{"state handed over", false, false, true},
		{"state lost", true, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 1, 1, 3, map[team.ID]Limit{"a": {Rate: 1, Burst: 300}}, testMutations{})
				defer f.stop()
				hosts := f.hostsOf("d0")
				f.giveShard(hosts[0])
				time.Sleep(3 * time.Second)
				if c.cut {
					f.net.Cut(hosts[0].self.Host, hosts[1].self.Host)
				}
				f.giveShard(hosts[1])
				since := time.Now()
				time.Sleep(2 * time.Second)
				managed := hosts[1].controller.(*controller).ledgers.ledgerFor("a")
				must.Eq(t, c.waits, managed.readyAt.Equal(since.Add(ledgerGrantTTL)))
				must.Eq(t, c.filled, managed.ledger.Level(time.Now()) == toMicroTokens(300))
				_, leased := hosts[0].Lease(member.ShardOf("a"), false)
				must.False(t, leased)
			})
		})
	}
}
