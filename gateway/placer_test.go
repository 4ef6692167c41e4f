package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Callers that wait for two to four seconds ask for models that can't be loaded
// in that time, because a new coordinator may not give orders yet or the
// weights come from the weight store. They are refused at once and learn when
// the model can be available.
func TestRefusedAtOnceIfModelLoadsTooLate(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	cases := []struct {
		name               string
		timeout, loadDelay time.Duration
		refused            bool
	}{
		{"unknown load time", 2 * time.Second, 0, false},
		{"in time", 4 * time.Second, 3 * time.Second, false},
		{"too late", 2400 * time.Millisecond, 3500 * time.Millisecond, true},
		{"no time to run", 3 * time.Second, 2990 * time.Millisecond, true},
		{"long timeout", 16 * time.Second, 7 * time.Second, false},
	}
	for _, tc := range cases {
		refusal := refuseIfTooLate(now, now.Add(tc.timeout), tc.loadDelay)
		must.Eq(t, tc.refused, refusal != nil, must.Sprint(tc.name))
		if refusal != nil {
			must.Eq(t, tc.loadDelay, refusal.RetryAfter)
		}
	}
}
