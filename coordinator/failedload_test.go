package coordinator_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/model"
	"hawthornway/roster"
	"hawthornway/target"
)

// Guards against a broken model that ends one engine after the other, since each plan orders
// it on the next one. Other models on the engines that ended are loaded again meanwhile.
func TestModelWhoseLoadEndsEnginesIsHeldBack(t *testing.T) {
	loaded := map[target.ID][]model.Name{"e1": {"m0", "m1"}, "e2": {"m2"}, "e3": {"m3"}, "e4": {"m1"}, "e5": {"m0"}, "e6": {"m2"}}
	runFixture(t, loaded, func(f *fixture) {
		ended := 0
		f.engines.mu.Lock()
		f.engines.broken = "m4"
		f.engines.ended = func(t roster.Target) {
			ended++
			f.roster.Drop(t.ID)
			time.AfterFunc(restartTime, func() {
				t.Start++
				f.roster.Put(t)
			})
		}
		f.engines.mu.Unlock()
		for range 100 { // ten seconds
			f.requestLoad("m4")
			time.Sleep(100 * time.Millisecond)
		}
		must.Eq(t, 3, ended)
		must.LessEq(t, 3*time.Second, f.requestUntilLoaded("e1", "m3", "", 3*time.Second))
		for range 600 { // beyond the first time of holding it back
			f.requestLoad("m4")
			time.Sleep(100 * time.Millisecond)
		}
		must.Eq(t, 4, ended)
		f.engines.mu.Lock()
		f.engines.broken = ""
		f.engines.mu.Unlock()
		for range 1300 { // beyond the second one
			f.requestLoad("m4")
			time.Sleep(100 * time.Millisecond)
		}
		must.True(t, f.loadedAnywhere("m4"))
		must.Eq(t, 4, ended)
	})
}
