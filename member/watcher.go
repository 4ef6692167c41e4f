package member

import (
	"context"
	"sync"
	"time"

	"hawthornway/fleet"
	"hawthornway/keyvalue"
)

// The timeouts and limits of watching.
const (
	// callTimeout is the timeout of a call to the key-value service or to a peer.
	callTimeout = 5 * time.Second
	// watchersPerDomain is the number of members of a domain that watch the records.
	watchersPerDomain = 2
	// watchRetryDelay is the delay after a failed watch.
	watchRetryDelay = 5 * time.Second
	// maxWatchAge is how long after its last success a watch counts as working.
	maxWatchAge = 45 * time.Second
	// watcherTimeout is the time without a heartbeat from a watching peer after
	// which a host reads the records itself.
	watcherTimeout = 10 * time.Second
	// minFetchInterval is the shortest time between fetches of newer records from
	// peers.
	minFetchInterval = time.Second
)

// watcher follows the records of all domains. Two members of each domain watch
// the key-value service and broadcast changes to the others. A host that receives
// no heartbeat from a watching peer reads the records itself.
type watcher struct {
	controller *Controller

	mu sync.Mutex
	// lastWatchAt is when this host's own watch last succeeded.
	lastWatchAt time.Time
	// watcherSeenAt is when a heartbeat from a watching peer was last received, or
	// when this host last read the records itself because there was none.
	watcherSeenAt  time.Time
	lastFetchAt    time.Time
	lastHostListAt time.Time
}

func newWatcher(c *Controller) *watcher {
	return &watcher{controller: c, watcherSeenAt: c.clock.Now()}
}

// run follows the records until the controller stops.
func (w *watcher) run() {
	ticker := w.controller.clock.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		switch {
		case w.isSelected():
			w.watch()
		case w.isWatcherMissing():
			w.controller.readRecords()
			w.markWatcherSeen()
		}
		w.refreshHostList()
		select {
		case <-w.controller.ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// isSelected reports whether this host is one of the members that watch.
func (w *watcher) isSelected() bool {
	w.controller.mu.Lock()
	defer w.controller.mu.Unlock()
	return w.controller.machine.shouldWatch()
}

// isWatcherMissing reports whether no watching peer has been seen recently.
func (w *watcher) isWatcherMissing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.controller.clock.Since(w.watcherSeenAt) > watcherTimeout
}

func (w *watcher) markWatcherSeen() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watcherSeenAt = w.controller.clock.Now()
}

// isWatching reports whether this host's own watch is working.
func (w *watcher) isWatching() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.lastWatchAt.IsZero() && w.controller.clock.Since(w.lastWatchAt) < maxWatchAge
}

func (w *watcher) markWatchSucceeded() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastWatchAt = w.controller.clock.Now()
}

func (w *watcher) markWatchFailed() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastWatchAt = time.Time{}
}

// handleHeartbeat records that a peer watches, and fetches records if the peer
// knows newer ones.
func (w *watcher) handleHeartbeat(from fleet.HostID, hb heartbeat) {
	if hb.Watching {
		w.markWatcherSeen()
	}
	w.controller.mu.Lock()
	behind := hb.NewestRevision > w.controller.view.newestRevision
	w.controller.mu.Unlock()
	if behind && w.startFetchIfDue() {
		w.controller.background(func() { w.controller.fetchRecords(from) })
	}
}

// startFetchIfDue reports whether a fetch is due. If it is, its time is recorded.
func (w *watcher) startFetchIfDue() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.controller.clock.Since(w.lastFetchAt) < minFetchInterval {
		return false
	}
	w.lastFetchAt = w.controller.clock.Now()
	return true
}

// watch follows the key-value service until a call fails or this host is no
// longer selected to watch.
func (w *watcher) watch() {
	after, err := w.controller.listRecords()
	for err == nil && w.isSelected() {
		w.markWatchSucceeded()
		w.refreshHostList()
		var events []keyvalue.Event
		events, after, err = w.waitForEvents(after)
		for _, e := range events {
			w.handleEvent(e)
		}
	}
	if err == nil || w.controller.ctx.Err() != nil {
		return
	}
	w.markWatchFailed()
	w.controller.log.Warn("member: records can't be watched", "error", err)
	select {
	case <-w.controller.ctx.Done():
	case <-w.controller.clock.After(watchRetryDelay):
	}
}

// waitForEvents waits for changes, but at most maxWatchAge, which is as long as a
// watch counts as working.
func (w *watcher) waitForEvents(after keyvalue.Revision) ([]keyvalue.Event, keyvalue.Revision, error) {
	ctx, cancel := context.WithTimeout(w.controller.ctx, maxWatchAge)
	defer cancel()
	return w.controller.store.Watch(ctx, keyPrefix, after)
}

func (w *watcher) handleEvent(e keyvalue.Event) {
	if e.Deleted {
		w.controller.removeRecord(domainOf(e.Key), e.Revision)
		return
	}
	w.controller.learnEntry(e.Entry)
	w.controller.broadcastRecord(domainOf(e.Key))
}

// refreshHostList reads the platform's host list if hostListInterval has passed
// since the last read.
func (w *watcher) refreshHostList() {
	if w.controller.hosts == nil || !w.startHostListIfDue() {
		return
	}
	ctx, cancel := context.WithTimeout(w.controller.ctx, callTimeout)
	defer cancel()
	listed, err := w.controller.hosts.Hosts(ctx)
	if err != nil {
		w.controller.log.Info("member: host list can't be read", "error", err)
		return
	}
	w.controller.handleHostList(listed)
}

// startHostListIfDue reports whether a read of the host list is due. If it is, its time
// is recorded.
func (w *watcher) startHostListIfDue() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.lastHostListAt.IsZero() && w.controller.clock.Since(w.lastHostListAt) < hostListInterval {
		return false
	}
	w.lastHostListAt = w.controller.clock.Now()
	return true
}
