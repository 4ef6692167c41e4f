package coordinator_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/boottime"
	"hawthornway/model"
	"hawthornway/pace"
	"hawthornway/target"
)

// The coordinator gives out the places in the line of a target one after the other, also
// when the host knows of the limit before it.
func TestReservePlaces(t *testing.T) {
	runFixture(t, map[target.ID][]model.Name{"e1": {"m1"}, "e2": {"m2"}}, func(f *fixture) {
		time.Sleep(pace.MaxWait) // the places of a former coordinator
		now := boottime.SystemClock{}.Now()
		limit := func(id target.ID, rate pace.Rate) pace.Statement {
			return pace.Statement{Key: pace.Key{Target: id}, Rate: rate, At: now}
		}
		reserve := func(maxWait time.Duration, statements ...pace.Statement) pace.Grant {
			grant, err := f.client.Reserve(context.Background(), statements, maxWait, 0)
			must.NoError(t, err)
			return grant
		}
		must.Eq(t, pace.Grant{Key: pace.Key{Target: "e1"}, Wait: 500 * time.Millisecond}, reserve(time.Second, limit("e1", 2)))
		must.Eq(t, pace.Grant{Key: pace.Key{Target: "e1"}, Wait: time.Second}, reserve(time.Second, limit("e1", 2)))
		must.Eq(t, pace.Grant{Key: pace.Key{Target: "e1"}, Wait: 1500 * time.Millisecond, Refused: true}, reserve(time.Second, limit("e1", 2)))
		must.Eq(t, pace.Grant{Key: pace.Key{Target: "e2"}, Wait: 100 * time.Millisecond}, reserve(time.Second, limit("e1", 2), limit("e2", 10)))
		_, err := f.client.Reserve(context.Background(), nil, time.Second, 0)
		must.Error(t, err)
	})
}

// Requests wait for a model although an engine with a limit holds it, since its limit allows
// no further ones. Another engine must load it.
func TestModelOnLimitedEngineIsLoadedElsewhere(t *testing.T) {
	runFixture(t, map[target.ID][]model.Name{"e1": {"m1"}, "e2": {"m2"}}, func(f *fixture) {
		must.False(t, f.holds("e2", "m1", ""))
		f.limits.Record(pace.Statement{Key: pace.Key{Target: "e1"}, Rate: 1, At: boottime.SystemClock{}.Now()})
		f.requestUntilLoaded("e2", "m1", "", 5*time.Second)
		must.True(t, f.holds("e2", "m1", ""))
		must.True(t, f.holds("e1", "m1", ""))
	})
}
