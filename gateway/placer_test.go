package gateway

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Pattern: callers that leave after two to four seconds of silence ask for models
// that can't be loaded in that time, since the next coordinator may not give orders
// yet or the weights come from the weight store. Each is refused at once, and told
// when the model can be there.
func TestRefusedAtOnceIfModelLoadsTooLate(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	cases := []struct {
		name          string
		leaves, ready time.Duration
		refused       bool
	}{
		{"nothing is known", 2 * time.Second, 0, false},
		{"in time", 4 * time.Second, 3 * time.Second, false},
		{"too late", 2400 * time.Millisecond, 3500 * time.Millisecond, true},
		{"no time to run", 3 * time.Second, 2990 * time.Millisecond, true},
		{"patient", 16 * time.Second, 7 * time.Second, false},
	}
	for _, tc := range cases {
		refusal := refuseIfTooLate(now, now.Add(tc.leaves), tc.ready)
		must.Eq(t, tc.refused, refusal != nil, must.Sprint(tc.name))
		if refusal != nil {
			must.Eq(t, tc.ready, refusal.RetryAfter)
		}
	}
}
