// Package relay forwards callers' requests to targets. It resolves the route,
// authenticates the key, charges the team, asks the placer for a target, sends
// the request, and writes the response.
package relay

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/catalog"
	"hawthornway/exchange"
	"hawthornway/fleet"
	"hawthornway/lineage"
	"hawthornway/memory"
	"hawthornway/outcome"
	"hawthornway/outdated"
	"hawthornway/quarantine"
	"hawthornway/retry"
	"hawthornway/roster"
	"hawthornway/target"
	"hawthornway/team"
)

// Relay is an http.Handler that serves callers' requests.
type Relay struct {
	options
	startedAt time.Time
	budgets   *poolBudgets
	durations durations
	steps     []step
}

type options struct {
	dialect        Dialect
	currentCatalog func() *catalog.Catalog
	catalogKnown   <-chan struct{}
	keysConfirmed  func() bool
	configState    func() outdated.State
	memory         *memory.Budget
	limiter        Limiter
	placer         Placer
	prober         Prober
	client         exchange.Client
	observer       Observer
	clock          clockwork.Clock
	log            *slog.Logger
	random         func() float64
	draining       func() bool
	stopTime       func() time.Time
	quarantine     Quarantine
	newBudget      func(clockwork.Clock) retry.Budget
	lineage        Lineage
}

// Limiter enforces the teams' limits across all hosts.
type Limiter interface {
	// Charge takes a request's tokens from its team's limit. A refusal tells
	// the caller how long to wait. The returned refund function gives the
	// tokens back if the request was not run. The request may wait for tokens
	// for maxWait, if that is longer than requests usually do.
	Charge(ctx context.Context, t catalog.Team, tokens team.Tokens, maxWait time.Duration) (refund func(), refusal *outcome.NotRun)
}

// Placer chooses targets.
type Placer interface {
	// Place waits for a target that can run the request. It returns a refusal
	// if there is none.
	Place(ctx context.Context, request PlacementRequest) (Placement, *outcome.NotRun)
}

// Prober checks whether a silent target is alive.
type Prober interface {
	Probe(ctx context.Context, t roster.Target) Liveness
}

// Quarantine knows what crashes targets.
type Quarantine interface {
	// Quarantined returns the first of the suspects that crashes targets, if any.
	Quarantined(suspects []quarantine.Suspect) (quarantine.Suspect, bool)
	// Rest returns the time until a suspect's quarantine ends, or zero.
	Rest(suspect quarantine.Suspect) time.Duration
	// RecordCrash records that a target broke off as it began to respond to a request.
	RecordCrash(crash quarantine.Crash)
	// RecordSurvival records that a target survived a request with these suspects, sent at a time:
	// its response was completed, or has got beyond its beginning. Again is set if the survival of
	// the same request was recorded before.
	RecordSurvival(suspects []quarantine.Suspect, sent time.Time, complete, again bool)
}

// Lineage knows at which builds streams began.
type Lineage interface {
	// Began records that a stream has begun at a target of a build.
	Began(id lineage.StreamID, build lineage.Build)
	// Origin returns the build at which a stream began, which the given pool would take up.
	Origin(ctx context.Context, pool target.Pool, id lineage.StreamID) lineage.Origin
}

// Liveness is the result of a probe: Dead, Unresponsive, Idle, Busy or Detoured.
type Liveness interface{ liveness() }

// Dead means that the target does not respond.
type Dead struct{}

// Unresponsive means that the target takes connections and doesn't respond on them. It may be
// dead, or go on after a moment.
type Unresponsive struct{}

// Idle means that the target has no requests waiting, so a request that was
// sent to it should be running.
type Idle struct{}

// Busy means that the target has requests waiting or does not report its load.
type Busy struct{}

// Detoured means that the target is only reached through another host, by which it is Idle or
// Busy. Connections from before are dead unless they lead through another host.
type Detoured struct{ Liveness Liveness }

func (Dead) liveness()         {}
func (Unresponsive) liveness() {}
func (Idle) liveness()         {}
func (Busy) liveness()         {}
func (Detoured) liveness()     {}

// Observer is notified when a request ends.
type Observer interface {
	Observe(summary RequestSummary)
}

// RequestSummary describes a request that has ended.
type RequestSummary struct {
	ID      RequestID
	Route   catalog.RouteName
	Team    team.ID
	Pool    target.Pool
	Version catalog.Version
	Outcome outcome.Outcome
	Status  int
	// Targets lists the targets that the request was sent to, in order, and Versions the
	// versions of their software.
	Targets  []target.ID
	Versions []target.Version
	// Queued is the time from receipt to the first send, FirstByte to the first
	// byte of the response, and Total to the end.
	Queued, FirstByte, Total time.Duration
	// Resumed counts how often a stream was continued at another target.
	Resumed int
	// Resumes is the request whose stream this one continues, after the event LastEventID.
	Resumes     RequestID
	LastEventID EventID
}

// Option sets an option of a Relay.
type Option func(*options)

// WithDialect sets the translation of headers. Required.
func WithDialect(d Dialect) Option { return func(o *options) { o.dialect = d } }

// WithCatalog sets the source of the current configuration. Required.
func WithCatalog(current func() *catalog.Catalog) Option {
	return func(o *options) { o.currentCatalog = current }
}

// WithCatalogKnown sets the channel that is closed when there is a first
// configuration.
func WithCatalogKnown(known <-chan struct{}) Option {
	return func(o *options) { o.catalogKnown = known }
}

// WithKeysConfirmed sets the function that reports whether the configuration
// was confirmed recently enough that none of its keys can have been withdrawn
// since.
func WithKeysConfirmed(confirmed func() bool) Option {
	return func(o *options) { o.keysConfirmed = confirmed }
}

// WithConfigState sets the function that returns the state of the configuration. Without
// it, the configuration counts as the newest.
func WithConfigState(state func() outdated.State) Option {
	return func(o *options) { o.configState = state }
}

// WithMemory sets the memory that all requests in progress may hold. Without it, there is no
// limit.
func WithMemory(budget *memory.Budget) Option { return func(o *options) { o.memory = budget } }

// WithLimiter sets the limiter. Required.
func WithLimiter(l Limiter) Option { return func(o *options) { o.limiter = l } }

// WithPlacer sets the placer. Required.
func WithPlacer(p Placer) Option { return func(o *options) { o.placer = p } }

// WithProber sets the prober. Required.
func WithProber(p Prober) Option { return func(o *options) { o.prober = p } }

// WithClient sets the client that sends requests to targets.
func WithClient(c exchange.Client) Option { return func(o *options) { o.client = c } }

// WithObserver sets the observer.
func WithObserver(ob Observer) Option { return func(o *options) { o.observer = ob } }

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(o *options) { o.clock = clock } }

// WithLogger sets the logger.
func WithLogger(log *slog.Logger) Option { return func(o *options) { o.log = log } }

// WithRandom sets the source of random numbers, which are at least 0 and below
// 1.
func WithRandom(random func() float64) Option { return func(o *options) { o.random = random } }

// WithDraining sets the function that reports whether the host is shutting
// down. Responses then ask callers to close their connections.
func WithDraining(draining func() bool) Option { return func(o *options) { o.draining = draining } }

// WithStopTime sets the function that returns when the requests in progress are aborted because
// the host stops, or the zero time while it doesn't.
func WithStopTime(at func() time.Time) Option { return func(o *options) { o.stopTime = at } }

// WithRetryBudget sets the constructor of the retry budget of a pool.
func WithRetryBudget(newBudget func(clockwork.Clock) retry.Budget) Option {
	return func(o *options) { o.newBudget = newBudget }
}

// WithQuarantine sets what is kept from targets.
func WithQuarantine(q Quarantine) Option { return func(o *options) { o.quarantine = q } }

// WithLineage sets where the builds of streams are recorded and found. Without it, streams
// go on at any version.
func WithLineage(l Lineage) Option { return func(o *options) { o.lineage = l } }

type noLineage struct{}

func (noLineage) Began(lineage.StreamID, lineage.Build) {}
func (noLineage) Origin(_ context.Context, pool target.Pool, _ lineage.StreamID) lineage.Origin {
	return lineage.Known{Build: lineage.Build{Pool: pool}}
}

type noQuarantine struct{}

func (noQuarantine) Quarantined([]quarantine.Suspect) (quarantine.Suspect, bool) { return "", false }
func (noQuarantine) Rest(quarantine.Suspect) time.Duration                       { return 0 }
func (noQuarantine) RecordCrash(quarantine.Crash)                                {}
func (noQuarantine) RecordSurvival([]quarantine.Suspect, time.Time, bool, bool)  {}

type noObserver struct{}

func (noObserver) Observe(RequestSummary) {}

// New returns a new Relay.
func New(opts ...Option) *Relay {
	o := options{
		keysConfirmed: func() bool { return true },
		configState:   func() outdated.State { return outdated.Newest },
		client:        exchange.New(),
		observer:      noObserver{},
		clock:         clockwork.NewRealClock(),
		log:           slog.Default(),
		random:        rand.Float64,
		draining:      func() bool { return false },
		stopTime:      func() time.Time { return time.Time{} },
		quarantine:    noQuarantine{},
		lineage:       noLineage{},
		newBudget:     func(c clockwork.Clock) retry.Budget { return retry.NewBudget(c) },
	}
	for _, opt := range opts {
		opt(&o)
	}
	if o.memory == nil {
		o.memory = memory.NewBudget(0, o.clock)
	}
	r := &Relay{options: o, startedAt: o.clock.Now()}
	r.budgets = newPoolBudgets(func() retry.Budget { return o.newBudget(o.clock) })
	r.steps = []step{r.readRequest, r.resolveRoute, r.authenticate, r.findHomes, r.admitWhileStopping, r.screen, r.findVersion, r.charge, r.dispatch}
	return r
}

// step is one stage of handling a request. It returns nil to continue with the
// next stage.
type step func(ctx context.Context, f *inflight) outcome.Outcome

// inflight is the state of one request in progress.
type inflight struct {
	req         Request
	httpRequest *http.Request
	w           http.ResponseWriter
	catalog     *catalog.Catalog
	route       catalog.Route
	team        catalog.Team
	pool        target.Pool
	priority    int
	received    time.Time
	deadline    time.Time
	refund      func()
	// loan is the memory that the request holds.
	loan *memory.Loan

	// requestSuspect identifies the request when its caller sends it again.
	requestSuspect quarantine.Suspect
	// callerSuspect identifies the caller on the route. It is empty without a key.
	callerSuspect quarantine.Suspect
	// targets lists the targets that the request was sent to, in order, versions those of
	// their software, and avoid holds those targets that have failed the request.
	targets         []target.ID
	versions        []target.Version
	avoid           map[target.ID]bool
	firstSent       time.Time
	firstByte       time.Time
	status          int
	responseStarted bool // a target's response headers have been set
	// version is the version of the targets that may run the request, or empty if all may.
	version target.Version
	// homes are the regions in which the request may run.
	homes   fleet.RegionSet
	resumed int
	// serverError is a target's 5xx response. It is passed on if no other
	// target responds.
	serverError *bufferedResponse
}

// ServeHTTP serves one request.
func (r *Relay) ServeHTTP(w http.ResponseWriter, httpRequest *http.Request) {
	f := &inflight{httpRequest: httpRequest, w: w, received: r.clock.Now(), avoid: map[target.ID]bool{}, refund: func() {}}
	ctx := httpRequest.Context()
	var result outcome.Outcome
	f.loan, _ = r.memory.Take(0)
	defer f.loan.Release()
	for _, s := range r.steps {
		if result = s(ctx, f); result != nil {
			break
		}
	}
	switch result.(type) {
	case outcome.NotRun:
		f.refund()
	case outcome.Served:
		r.durations.record(f.route.Name, r.clock.Since(f.firstSent))
	}
	incomplete := r.respond(f, result)
	r.observe(f, result)
	if incomplete {
		// Closes the connection, so that the partial response doesn't look complete.
		panic(http.ErrAbortHandler)
	}
}

func (r *Relay) observe(f *inflight, result outcome.Outcome) {
	now := r.clock.Now()
	summary := RequestSummary{
		ID:      f.req.ID,
		Route:   f.route.Name,
		Team:    f.team.ID,
		Pool:    f.pool,
		Outcome: result,
		Status:  f.status,
		Targets: f.targets,
		Total:   now.Sub(f.received),
		Resumed: f.resumed,

		Versions:    f.versions,
		Resumes:     f.req.Resumes,
		LastEventID: f.req.LastEventID,
	}
	if f.catalog != nil {
		summary.Version = f.catalog.Version
	}
	if !f.firstSent.IsZero() {
		summary.Queued = f.firstSent.Sub(f.received)
	}
	if !f.firstByte.IsZero() {
		summary.FirstByte = f.firstByte.Sub(f.received)
	}
	r.observer.Observe(summary)
}
