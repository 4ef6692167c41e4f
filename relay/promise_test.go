package relay_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"hawthornway/catalog"
	"hawthornway/outcome"
	"hawthornway/relay"
)

// Guards against callers being told that a request has not run (REFUSED) because its target
// answered with a status that promises so, without saying that it has not run the request.
func TestStatusOfTargetIsNoPromise(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, delivery := range []catalog.Delivery{catalog.AtMostOnce{}, catalog.Idempotent{}, catalog.Stream{}, catalog.Stream{Resumable: true}} {
			t.Run(fmt.Sprintf("%d, %T %v", status, delivery, delivery), func(t *testing.T) {
				env := newTestEnv(t, delivery, relay.Busy{}, signed(status, "busy"), signed(status, "busy"))
				got := env.call()
				must.NoError(t, got.err)
				must.Eq(t, http.StatusBadGateway, got.status)
				must.Eq(t, "", got.header.Get("Seal"))
				env.server.Close() // waits for the handler
				must.Eq(t, outcome.Unknown{}.Header(), env.summaries[0].Outcome.Header())
				attempts := 1
				if (catalog.Route{Delivery: delivery}).Repeatable() {
					attempts = 2
				}
				must.Len(t, attempts, env.summaries[0].Targets)
			})
		}
	}
}
