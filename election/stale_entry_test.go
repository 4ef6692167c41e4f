package election_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/election"
	"hawthornway/fleet"
)

// Guards against a candidate that repeats an election on condition of an entry that is gone,
// until it reads the store's changes again: without a coordinator, nothing is loaded.
func TestCandidateReadsEntryAfterLostElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		go s.expireAndNotify(t.Context())
		hosts := start(t.Context(), s, []fleet.HostID{"a"}, election.WithFirstStart())
		time.Sleep(2 * time.Second)
		must.SliceLen(t, 1, leaders(hosts))
		hosts[0].store.setBlind(true)
		hosts[0].store.setCut(true)
		time.Sleep(5 * time.Second) // the lease ends, and the entry with it
		must.SliceEmpty(t, leaders(hosts))
		hosts[0].store.setCut(false)
		time.Sleep(time.Second)
		must.SliceLen(t, 1, leaders(hosts))
	})
}
