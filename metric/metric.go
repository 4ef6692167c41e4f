// Package metric keeps hawthornway's metrics with tally and exposes them for
// scraping.
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

// reportEvery is the time between two reports of the scope to the exposition.
const reportEvery = time.Second

// Metrics counts and times what a host does.
type Metrics interface {
	// Observe takes the end of a call.
	Observe(c *call.Call, ended outcome.Outcome)
	// Scope returns the scope for further metrics.
	Scope() tally.Scope
	// Handler serves all metrics for scraping.
	Handler() http.Handler
	// Close ends the reports.
	Close() error
}

type metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// firstTokenBuckets are the bounds of the time to the first token.
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
	}, reportEvery)
	return &metrics{scope: scope, closer: closer, reporter: reporter}
}

// sanitizer keeps hyphens in the values of tags, as in our own names.
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

// Handler serves all metrics for scraping.
func (m *metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close ends the reports.
func (m *metrics) Close() error { return m.closer.Close() }

// Observe counts a call by team, outcome and reason, and times its first token.
func (m *metrics) Observe(c *call.Call, ended outcome.Outcome) {
	tags := map[string]string{
		"team":    string(c.Team),
		"outcome": ended.Header(),
		"reason":  reasonOf(ended),
	}
	m.scope.Tagged(tags).Counter("calls").Inc(1)
	if c.Trace.Attempts > 1 {
		m.scope.Counter("retries").Inc(int64(c.Trace.Attempts) - 1)
	}
	if c.Trace.FirstToken.IsZero() {
		return
	}
	start := map[string]string{"start": "warm"}
	if c.Trace.Cold {
		start["start"] = "cold"
	}
	timed := m.scope.Tagged(start)
	timed.Histogram("first_token", firstTokenBuckets).RecordDuration(c.Trace.FirstToken.Sub(c.Received))
	timed.Counter("tokens").Inc(int64(c.Trace.GeneratedTokens))
}

func reasonOf(ended outcome.Outcome) string {
	switch o := ended.(type) {
	case outcome.NotRun:
		return string(o.Reason)
	case outcome.Unknown:
		return string(o.Reason)
	default:
		return "none"
	}
}
