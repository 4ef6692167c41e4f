package caller

import (
	"context"
	"log/slog"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"hawthornway/call"
	"hawthornway/claim"
	"hawthornway/config"
	"hawthornway/outcome"
)

// fakeClaims lets every call run, and records how its claim was ended.
type fakeClaims struct{ end string }

func (c *fakeClaims) Begin(context.Context, claim.Request) (claim.Decision, error) {
	return claim.Run{Claim: c}, nil
}
func (c *fakeClaims) Run(context.Context) error { return nil }
func (c *fakeClaims) Pending() int              { return 0 }

func (c *fakeClaims) Finish(context.Context, claim.Response) error {
	c.end = "finished"
	return nil
}

func (c *fakeClaims) Abandon(context.Context) error {
	c.end = "abandoned"
	return nil
}

func (c *fakeClaims) Unknown(context.Context) error {
	c.end = "unknown"
	return nil
}

// A long response is passed on as it arrives. If it breaks off, its status is known,
// but not whether the call has done its work.
func TestClaimOfResponseThatBrokeOffIsUnknown(t *testing.T) {
	cases := []struct {
		name     string
		response call.Response
		result   outcome.Outcome
		want     string
	}{
		{"short response", call.Response{Status: http.StatusCreated, Complete: true}, outcome.Served{}, "finished"},
		{"long response", call.Response{Status: http.StatusCreated}, outcome.Served{}, "finished"},
		{"long response that broke off", call.Response{Status: http.StatusCreated}, outcome.Unknown{Reason: outcome.ReasonIncompleteResponse}, "unknown"},
		{"response known, caller gone", call.Response{Status: http.StatusCreated, Complete: true}, outcome.Unknown{Reason: outcome.ReasonCallerLeft}, "finished"},
		{"no response", call.Response{}, outcome.Unknown{Reason: outcome.ReasonTargetFailed}, "unknown"},
		{"refused", call.Response{}, outcome.NotRun{Reason: outcome.ReasonNoTarget}, "abandoned"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			claims := &fakeClaims{}
			handler := ClaimFilter(claims, slog.New(slog.DiscardHandler))(func(_ context.Context, c *call.Call) outcome.Outcome {
				c.Response = tc.response
				return tc.result
			})
			handler(t.Context(), newCall(&call.Service{Route: config.Route{Name: "bookings"}, IdempotencyKey: "k"}))
			must.Eq(t, tc.want, claims.end)
		})
	}
}
