package pace_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/boottime"
	"hawthornway/pace"
)

// Statements of one target reach a host from several sides and out of order. The newest one
// counts, and only a new start of the target ends it otherwise.
func TestNewestStatementCounts(t *testing.T) {
	key := pace.Key{Target: "a", Start: 1}
	stated := func(r pace.Rate, at time.Duration) pace.Statement {
		return pace.Statement{Key: key, Rate: r, At: boottime.Instant(at)}
	}
	ended := func(at time.Duration) pace.Statement {
		return pace.Statement{Key: key, Ended: true, At: boottime.Instant(at)}
	}
	cases := []struct {
		name        string
		statements  []pace.Statement
		wantChanged []bool
		want        pace.Rate
		limited     bool
	}{
		{"none", nil, nil, 0, false},
		{"never limited", []pace.Statement{ended(5)}, []bool{false}, 0, false},
		{"stated", []pace.Statement{stated(2, 5)}, []bool{true}, 2, true},
		{"repeated", []pace.Statement{stated(2, 5), stated(2, 6)}, []bool{true, false}, 2, true},
		{"moved", []pace.Statement{stated(2, 5), stated(3, 6)}, []bool{true, true}, 3, true},
		{"older one arrives late", []pace.Statement{stated(2, 5), stated(3, 4)}, []bool{true, false}, 2, true},
		{"ended", []pace.Statement{stated(2, 5), ended(6)}, []bool{true, true}, 0, false},
		{"older one arrives after the end", []pace.Statement{stated(2, 5), ended(6), stated(2, 5)}, []bool{true, true, false}, 0, false},
		{"end arrives after a newer statement", []pace.Statement{stated(2, 7), ended(6)}, []bool{true, false}, 2, true},
		{"stated again", []pace.Statement{stated(2, 5), ended(6), stated(1, 7)}, []bool{true, true, true}, 1, true},
		{"zero is asked now and then", []pace.Statement{stated(0, 5)}, []bool{true}, 0.1, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			limits := pace.NewLimits(boottime.NewFakeClock(10))
			for i, s := range tc.statements {
				must.Eq(t, tc.wantChanged[i], limits.Record(s))
			}
			got, limited := limits.Limit(key)
			must.Eq(t, tc.limited, limited)
			must.Eq(t, tc.want, got.Rate)
			_, limited = limits.Limit(pace.Key{Target: "a", Start: 2})
			must.False(t, limited)
		})
	}
}
