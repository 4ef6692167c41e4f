package roster_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/boottime"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/roster"
)

// inDomain returns a target of a domain.
func inDomain(domain fleet.DomainID) roster.Target {
	t := registered("t", 1, false)
	t.Domain = domain
	return t
}

// Guards against a message from before an evacuation, or from before its end, that arrives after
// newer ones: a domain would be used that is to be empty, or stay empty for good.
func TestEvacuationsAreOrderedByRevision(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		states := make([]roster.Evacuations, 8)
		for i := range states {
			var domains []fleet.DomainID
			for _, domain := range []fleet.DomainID{"a", "b", "c"} {
				if random.IntN(2) == 0 {
					domains = append(domains, domain)
				}
			}
			states[i] = roster.NewEvacuations(domains, keyvalue.Revision(10+i))
		}
		r := roster.New(boottime.NewFakeClock(1))
		newest := keyvalue.Revision(0)
		for range 20 {
			s := states[random.IntN(len(states))]
			r.SetEvacuations(s, 0)
			newest = max(newest, s.At)
			must.Eq(t, states[newest-10], r.Evacuations(), must.Sprintf("seed %d", seed))
		}
	}
}

// Guards against a target of an evacuated domain that stays in use, by the cached lists, by its
// registration, or by a pause that ends.
func TestTargetsOfAnEvacuatedDomainAreNotReady(t *testing.T) {
	clock := boottime.NewFakeClock(boottime.Instant(time.Hour))
	r := roster.New(clock)
	a := inDomain("a")
	r.Put(a)
	must.SliceLen(t, 1, r.Ready("p"))
	begun, _ := r.SetEvacuations(roster.NewEvacuations([]fleet.DomainID{"a"}, 5), 300*time.Millisecond)
	must.Eq(t, []fleet.DomainID{"a"}, begun)
	must.SliceLen(t, 1, r.Ready("p"), must.Sprint("for some time yet"))
	clock.Advance(300 * time.Millisecond)
	must.SliceEmpty(t, r.Ready("p"))
	must.False(t, r.ReadyAt(a.Address))
	must.SliceLen(t, 1, r.All(), must.Sprint("it is still registered"))
	a.Revision = 7
	r.Put(a)
	r.Pause(a.ID, a.Start, 100*time.Millisecond)
	must.SliceEmpty(t, r.Paused("p"))
	clock.Advance(time.Second)
	must.SliceEmpty(t, r.Ready("p"))
	changed := r.Changed()
	_, ended := r.SetEvacuations(roster.NewEvacuations(nil, 9), 0)
	must.Eq(t, []fleet.DomainID{"a"}, ended)
	<-changed
	must.SliceLen(t, 1, r.Ready("p"))
}
