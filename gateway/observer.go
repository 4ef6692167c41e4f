package gateway

import (
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"hawthornway/outcome"
	"hawthornway/relay"
)

// durationBuckets are the histogram buckets of request times.
var durationBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond,
	time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
}

// observer logs and counts the end of each request.
type observer struct {
	log   *slog.Logger
	scope tally.Scope
}

// Observe implements relay.Observer. It writes one log line per request.
func (o *observer) Observe(summary relay.RequestSummary) {
	o.recordMetrics(summary)
	attributes := []any{
		"request", summary.ID, "route", summary.Route, "team", summary.Team, "version", summary.Version, "outcome", summary.Outcome.Header(),
		"status", summary.Status, "targets", summary.Targets, "queued", summary.Queued.Round(time.Millisecond),
		"first-byte", summary.FirstByte.Round(time.Millisecond), "total", summary.Total.Round(time.Millisecond),
	}
	if summary.Resumed > 0 {
		attributes = append(attributes, "resumed", summary.Resumed)
	}
	if summary.LastEventID > 0 {
		attributes = append(attributes, "resumes", summary.Resumes, "after", summary.LastEventID)
	}
	if summary.Resumed > 0 || summary.LastEventID > 0 {
		attributes = append(attributes, "target-versions", summary.Versions)
	}
	switch result := summary.Outcome.(type) {
	case outcome.NotRun:
		attributes = append(attributes, "reason", result.Reason, "detail", result.Detail, "retry-after", result.RetryAfter)
	case outcome.Unknown:
		attributes = append(attributes, "reason", result.Reason, "detail", result.Detail)
	}
	o.log.Info("gateway: request ended", attributes...)
}

// recordMetrics counts the request by pool, outcome and reason, and records its
// times.
func (o *observer) recordMetrics(summary relay.RequestSummary) {
	tags := map[string]string{"pool": string(summary.Pool), "outcome": summary.Outcome.Header(), "reason": string(reasonOf(summary.Outcome))}
	scope := o.scope.Tagged(tags)
	scope.Counter("requests").Inc(1)
	scope.Histogram("request_time", durationBuckets).RecordDuration(summary.Total)
	if summary.FirstByte > 0 {
		scope.Histogram("first_byte", durationBuckets).RecordDuration(summary.FirstByte)
	}
	if summary.Queued > 0 {
		scope.Histogram("queued", durationBuckets).RecordDuration(summary.Queued)
	}
	if len(summary.Targets) > 1 {
		o.scope.Counter("sent_again").Inc(int64(len(summary.Targets) - 1))
	}
	o.scope.Counter("resumed").Inc(int64(summary.Resumed))
}

func reasonOf(result outcome.Outcome) outcome.Reason {
	switch o := result.(type) {
	case outcome.NotRun:
		return o.Reason
	case outcome.Unknown:
		return o.Reason
	default:
		return "none"
	}
}
