package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against hosts with a short time to stop that are killed before they have ended the
// requests in progress (LOST).
func TestStopFitsIntoItsTime(t *testing.T) {
	for timeout := time.Duration(0); timeout <= 30*time.Second; timeout += 50 * time.Millisecond {
		unready, abort := stopPhases(timeout)
		must.LessEq(t, abort, unready)
		must.LessEq(t, timeout, abort)
		if timeout > 0 {
			must.Less(t, abort, unready)
			must.Less(t, timeout, abort)
		}
		if timeout >= 4*time.Second {
			must.Eq(t, unreadyDelay, unready)
			must.Eq(t, timeout-stopMargin, abort)
		}
	}
}
