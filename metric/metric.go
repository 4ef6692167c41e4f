// Package metric collects hawthornway's metrics with tally and exposes them to
// Prometheus.
package metric

import (
	"io"
	"net/http"
	"time"

	promclient "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"hawthornway/call"
	"hawthornway/outcome"
)

// reportInterval is the interval at which tally reports to Prometheus.
const reportInterval = time.Second

// Metrics collects the metrics of a host.
type Metrics interface {
	// Observe records the outcome of a call.
	Observe(c *call.Call, result outcome.Outcome)
	// Scope returns the scope for further metrics.
	Scope() tally.Scope
	// Handler returns the HTTP handler that serves all metrics.
	Handler() http.Handler
	// Close makes a last report and stops reporting.
	Close() error
}

type metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// firstTokenBuckets are the histogram buckets of the time to the first token.
var firstTokenBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 25 * time.Millisecond,
	50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond,
	500 * time.Millisecond, time.Second, 1700 * time.Millisecond,
	2500 * time.Millisecond, 5 * time.Second, 10 * time.Second,
	30 * time.Second, time.Minute,
}

// New returns new Metrics under the prefix "hawthornway".
func New() Metrics {
	registry := promclient.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:       registry,
		Gatherer:         registry,
		DefaultTimerType: prometheus.HistogramTimerType,
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "hawthornway",
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: sanitizer(),
	}, reportInterval)
	return &metrics{scope: scope, closer: closer, reporter: reporter}
}

// sanitizer keeps the hyphens, dots and slashes in tag values, such as the names
// of teams and reasons.
func sanitizer() *tally.SanitizeOptions {
	options := prometheus.DefaultSanitizerOpts
	options.ValueCharacters = tally.ValidCharacters{
		Ranges:     tally.AlphanumericRange,
		Characters: []rune{'-', '_', '.', '/'},
	}
	return &options
}

// Scope returns the scope for further metrics.
func (m *metrics) Scope() tally.Scope { return m.scope }

// Handler returns the HTTP handler that serves all metrics.
func (m *metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close makes a last report and stops reporting.
func (m *metrics) Close() error { return m.closer.Close() }

// Observe counts a call by team, outcome and reason, and times its first token.
func (m *metrics) Observe(c *call.Call, result outcome.Outcome) {
	tags := map[string]string{
		"team":    string(c.Team),
		"outcome": result.Header(),
		"reason":  reasonOf(result),
	}
	m.scope.Tagged(tags).Counter("calls").Inc(1)
	if c.Trace.Attempts > 1 {
		m.scope.Counter("retries").Inc(int64(c.Trace.Attempts) - 1)
	}
	if c.Trace.FirstToken.IsZero() {
		return
	}
	startTags := map[string]string{"start": "warm"}
	if c.Trace.Cold {
		startTags["start"] = "cold"
	}
	scope := m.scope.Tagged(startTags)
	scope.Histogram("first_token", firstTokenBuckets).RecordDuration(c.Trace.FirstToken.Sub(c.Received))
	scope.Counter("tokens").Inc(int64(c.Trace.GeneratedTokens))
}

func reasonOf(result outcome.Outcome) string {
	switch o := result.(type) {
	case outcome.NotRun:
		return string(o.Reason)
	case outcome.Unknown:
		return string(o.Reason)
	default:
		return "none"
	}
}
