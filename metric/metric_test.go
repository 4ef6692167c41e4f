package metric

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/call"
	"hawthornway/outcome"
)

func TestObservedCallsAreExposed(t *testing.T) {
	metrics := New()
	received := time.Now()
	c := &call.Call{Team: "escorts", Received: received}
	c.Trace = call.Trace{Cold: true, FirstToken: received.Add(2 * time.Second), GeneratedTokens: 7, Attempts: 3}
	metrics.Observe(c, outcome.Served{})
	metrics.Observe(&call.Call{Team: "escorts"}, outcome.NotRun{Reason: outcome.ReasonRate})
	must.NoError(t, metrics.Close()) // the last report is made on closing

	recorder := httptest.NewRecorder()
	metrics.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	text := recorder.Body.String()
	for _, line := range []string{
		`hawthornway_calls{outcome="served",reason="none",team="escorts"} 1`,
		`hawthornway_calls{outcome="not-run",reason="rate",team="escorts"} 1`,
		`hawthornway_retries 2`,
		`hawthornway_tokens{start="cold"} 7`,
		`hawthornway_first_token_bucket{start="cold",le="2.5"} 1`,
		`hawthornway_first_token_bucket{start="cold",le="1.7"} 0`,
	} {
		must.StrContains(t, text, line)
	}
}
