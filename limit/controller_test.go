package limit

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/team"
)

func TestWholeBurstIsAdmittedAtOneHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := map[team.ID]Limit{"a": {Rate: 10, Burst: 100}}
		f := newTestFleet(t, 1, 3, 2, limits, mutations{})
		defer f.stop()
		time.Sleep(30 * time.Second)
		f.request(f.hosts[0], "a", 101, 1, 0)
		must.Eq(t, 1, f.refused)
		f.request(f.hosts[0], "a", 100, 100, 0)
		must.SliceLen(t, 1, f.log)
		f.request(f.hosts[3], "a", 10, 10, 0)
		must.Eq(t, 2, f.refused)
		_, refusal := f.hosts[0].controller.Reserve(t.Context(), "a", 50)
		must.NotNil(t, refusal)
		must.Between(t, 4900*time.Millisecond, refusal.RetryAfter, 5100*time.Millisecond)
		time.Sleep(refusal.RetryAfter)
		f.request(f.hosts[0], "a", 50, 50, 0)
		must.SliceLen(t, 2, f.log)
		f.mustKeepBound(limits)
	})
}
