package peer

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/fleet"
)

// The intervals, timeouts and limits of links.
const (
	heartbeatInterval     = time.Second
	silenceTimeout        = 3 * time.Second
	dialTimeout           = 3 * time.Second
	defaultCallTimeout    = 10 * time.Second
	idleTimeout           = 30 * time.Second
	maxRedialDelay        = 4 * time.Second
	maxQueuedFrames       = 1024
	maxQueuedNotices      = 1024
	maxConcurrentRequests = 256
	linksPerDomain        = 2
)

// Option configures a Links.
type Option func(*Links)

// WithSelf sets this host as a member.
func WithSelf(self fleet.Member) Option {
	return func(l *Links) { l.self = self }
}

// WithSecret sets the secret shared by all hosts of the cluster.
func WithSecret(secret []byte) Option {
	return func(l *Links) { l.secret = secret }
}

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option {
	return func(l *Links) { l.clock = clock }
}

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option {
	return func(l *Links) { l.log = log }
}

// WithHTTPClient sets the HTTP client used to dial other hosts.
func WithHTTPClient(client *http.Client) Option {
	return func(l *Links) { l.client = client }
}
