package caller

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"hawthornway/call"
	"hawthornway/outcome"
	"hawthornway/outdated"
)

// Guards against calls that are handled by a configuration that the host knows to be superseded.
func TestConfigurationFilter(t *testing.T) {
	unknown, full := outcome.NotRun{Reason: outcome.ReasonUnknownModel}, outcome.NotRun{Reason: outcome.ReasonQueueFull}
	cases := []struct {
		name         string
		state        outdated.State
		result, want outcome.Outcome
	}{
		{"newest", outdated.Newest, outcome.Served{}, outcome.Served{}},
		{"newest, unknown model", outdated.Newest, unknown, unknown},
		{"pending", outdated.Pending, outcome.Served{}, outcome.Served{}},
		{"pending, unknown model", outdated.Pending, unknown, staleConfiguration},
		{"pending, full queue", outdated.Pending, full, full},
		{"overdue", outdated.Overdue, nil, staleConfiguration},
	}
	for _, tc := range cases {
		handler := ConfigurationFilter(func() outdated.State { return tc.state })(func(context.Context, *call.Call) outcome.Outcome {
			must.NotNil(t, tc.result, must.Sprintf("%s: the call goes on", tc.name))
			return tc.result
		})
		must.Eq(t, tc.want, handler(t.Context(), newCall(&call.Generation{})), must.Sprint(tc.name))
	}
}
