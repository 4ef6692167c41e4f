package limit

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/team"
)

// TestMessagesOfTeamOverItsRate counts the messages between hosts while one team sends
// several times its rate to every host.
func TestMessagesOfTeamOverItsRate(t *testing.T) {
	const length = 20 * time.Second
	synctest.Test(t, func(t *testing.T) {
		limits := map[team.ID]Limit{"a": {Rate: 500, Burst: 600}}
		f := newTestFleet(t, 1, 3, 3, limits, testMutations{})
		time.Sleep(5 * time.Second)
		before := f.net.Counts()
		f.saturate(f.hosts, "a", 7, 20*time.Millisecond, length)
		messages, size := 0, 0
		for kind, count := range f.net.Counts() {
			messages += count.Messages - before[kind].Messages
			size += count.Bytes - before[kind].Bytes
		}
		hosts := length.Seconds() * float64(len(f.hosts))
		fmt.Printf("limit: one team over its rate: %.0f messages and %.0f bytes a second and host; %d of %d admitted\n",
			float64(messages)/hosts, float64(size)/hosts, len(f.log), f.requests)
		must.LessEq(t, 22_000, float64(size)/hosts)
		f.stop()
		f.mustKeepBound(limits)
	})
}
