package relay

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/catalog"
	"hawthornway/roster"
)

// errTargetSilent is the cancellation cause of an attempt whose target was
// silent for too long.
var errTargetSilent = errors.New("target is silent")

// Timing of the probes of silent targets.
const (
	// minSilence is the shortest time after which a target counts as silent. A
	// few queued requests delay a response by less.
	minSilence = 300 * time.Millisecond
	// ProbeTimeout limits one probe.
	ProbeTimeout = 300 * time.Millisecond
	// A stream counts as silent after silenceGapFactor times its longest
	// allowed gap between events.
	silenceGapFactor = 3
	// maxSilentPeriods is the number of silent periods after which a target
	// that is alive and has no requests waiting counts as having lost the
	// request.
	maxSilentPeriods = 3
	// maxUnresponsive is how long a target may be silent that takes connections and doesn't
	// respond to probes. Sound ones fall silent for about a second.
	maxUnresponsive = 1500 * time.Millisecond
	// unresponsiveRecheck is the interval of its probes.
	unresponsiveRecheck = 200 * time.Millisecond
)

// watchdog cancels an attempt whose target has gone silent, if the request may
// be repeated. It does not watch other requests: from silence alone, nobody can
// tell whether they ran.
type watchdog struct {
	mu            sync.Mutex
	timer         clockwork.Timer
	period        time.Duration
	silentPeriods int
	// lastActivity is when the target last sent something, or when the attempt began.
	lastActivity time.Time
	clock        clockwork.Clock
	stopped      bool
	cancel       context.CancelCauseFunc
	prober       Prober
	target       roster.Target
	ctx          context.Context
	enabled      bool
	// detour is set if the attempt's connection leads through another host.
	detour atomic.Bool
}

// startWatchdog starts watching an attempt. The last attempt is not watched,
// since the request can't be sent again after it.
func (d *dispatcher) startWatchdog(ctx context.Context, cancel context.CancelCauseFunc, t roster.Target) *watchdog {
	w := &watchdog{cancel: cancel, prober: d.relay.prober, target: t, ctx: ctx, clock: d.relay.clock, lastActivity: d.relay.clock.Now()}
	if !d.inflight.route.Repeatable() || len(d.inflight.targets) >= maxAttempts {
		return w
	}
	w.period = max(minSilence, d.inflight.route.Objective)
	if stream, ok := d.inflight.route.Delivery.(catalog.Stream); ok && d.inflight.responseStarted {
		w.period = max(minSilence, silenceGapFactor*stream.MaxGap)
	}
	w.enabled = true
	w.mu.Lock() // the timer may fire before it is assigned
	defer w.mu.Unlock()
	w.timer = d.relay.clock.AfterFunc(w.period, w.probeTarget)
	return w
}

// recordActivity restarts the silent period after the target has sent
// something.
func (w *watchdog) recordActivity() {
	if !w.enabled {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.silentPeriods, w.lastActivity = 0, w.clock.Now()
	w.timer.Reset(w.period)
}

func (w *watchdog) stop() {
	if !w.enabled {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// probeTarget probes the target after a silent period.
func (w *watchdog) probeTarget() {
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return
	}
	w.silentPeriods++
	silentPeriods, silence := w.silentPeriods, w.clock.Since(w.lastActivity)
	w.mu.Unlock()
	next := w.period
	ctx, cancel := context.WithTimeout(w.ctx, ProbeTimeout)
	defer cancel()
	switch w.pathLiveness(w.prober.Probe(ctx, w.target)).(type) {
	case Dead:
		if w.ctx.Err() == nil {
			w.cancel(errTargetSilent)
		}
		return
	case Unresponsive:
		if silence >= maxUnresponsive {
			w.cancel(errTargetSilent)
			return
		}
		next = min(next, unresponsiveRecheck)
	case Idle:
		if silentPeriods >= maxSilentPeriods {
			w.cancel(errTargetSilent)
			return
		}
	case Busy:
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(next)
	}
}

// pathLiveness returns the liveness of the target as the attempt's connection sees it.
func (w *watchdog) pathLiveness(l Liveness) Liveness {
	detoured, ok := l.(Detoured)
	switch {
	case !ok:
		return l
	case w.detour.Load():
		return detoured.Liveness
	default:
		return Dead{}
	}
}

// silent reports whether the attempt's context ended because of the target's silence.
func (w *watchdog) silent(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), errTargetSilent)
}

// abandoned reports whether the attempt's context ended for a reason other than
// the target's silence.
func (w *watchdog) abandoned(ctx context.Context) bool {
	return ctx.Err() != nil && !w.silent(ctx)
}
