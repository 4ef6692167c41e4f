package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"hawthornway/platform/platformtest"
)

// check returns the violations of the guarantees to callers and engines.
func (s *soak) check() (violations []string) {
	report := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	serviceRuns, engineRuns := map[string]int{}, map[string]int{}
	for id, n := range s.plainService.Runs() {
		serviceRuns[id] += n
	}
	engines := append(append([]*platformtest.Engine(nil), s.engines...), s.removedEngines...)
	for _, e := range engines {
		for id, n := range e.Runs() {
			engineRuns[id] += n
		}
		s.checkOrders(e, report)
		if drainStart, ok := s.drainStarts[e.ID]; ok && s.PlannedOnly && e.LastRun().After(drainStart.Add(drainTimeout)) {
			report("engine %s ran a request %v after it said that it leaves", e.ID, e.LastRun().Sub(drainStart).Round(time.Millisecond))
		}
	}
	s.checkLimits(report)
	s.checkCrashes(engines, report)
	s.callers.mu.Lock()
	defer s.callers.mu.Unlock()
	for _, result := range s.callers.calls {
		ran := serviceRuns[result.id] + engineRuns[result.id]
		sentSeconds := result.sentAt.Sub(s.startedAt).Seconds()
		switch {
		case !result.stream && ran > 1:
			report("%.3f s  %s at %s may run at most once but ran %d times", sentSeconds, result.id, result.host, ran)
		case notRun(result.status) && ran > 0 && !result.stream:
			report("%.3f s  %s at %s was answered %d but has run", sentSeconds, result.id, result.host, result.status)
		}
		if result.status == http.StatusOK && result.complete && result.body != expectedBody(result) {
			report("%.3f s  %s at %s got a wrong response: %.80q", sentSeconds, result.id, result.host, result.body)
		}
		if result.status == http.StatusOK && result.stream && !strings.HasPrefix(expectedBody(result), result.body) {
			report("%.3f s  %s at %s got events that are not a prefix of the response: %.80q", sentSeconds, result.id, result.host, result.body)
		}
		if withdrawnAt, ok := s.callers.withdrawnAt[result.key]; ok && result.sentAt.After(withdrawnAt.Add(withdrawalTimeout)) && ran > 0 {
			report("%.3f s  %s at %s ran with %s, which was withdrawn %v before", sentSeconds, result.id, result.host, result.key, result.sentAt.Sub(withdrawnAt))
		}
		if s.PlannedOnly && result.status == http.StatusOK && !result.complete {
			report("%.3f s  %s at %s was cut off although all faults were planned: %v", sentSeconds, result.id, result.host, result.err)
		}
	}
	return violations
}

// notRun reports whether a status guarantees that the request was not executed.
func notRun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

func expectedBody(result call) string {
	if !result.stream {
		return "answer to " + result.id
	}
	var b strings.Builder
	for i := 1; i <= eventCount; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d of %s\n\n", i, i, result.id)
	}
	return b.String()
}

// minHandoverGap is the minimum time between the orders of two coordinators to
// the same engine. It follows from the hosts' settings.
const minHandoverGap = time.Second

// drainTimeout is the platform's limit for the time in which a draining engine
// still gets requests.
const drainTimeout = 2 * time.Second

// checkOrders checks that an engine was not ordered to load more than its
// capacity, and that its orders came from one host at a time with fences that
// never decrease.
func (s *soak) checkOrders(e *platformtest.Engine, report func(string, ...any)) {
	orders, overloaded := e.Orders()
	if overloaded > 0 {
		report("engine %s was ordered %d times to load more than its capacity", e.ID, overloaded)
	}
	for i := 1; i < len(orders); i++ {
		before, after := orders[i-1], orders[i]
		if after.Fence < before.Fence {
			report("engine %s got fence %d after %d", e.ID, after.Fence, before.Fence)
		}
		if gap := after.At.Sub(before.At); before.Holder != after.Holder && gap < minHandoverGap {
			report("engine %s got orders of %s and %s within %v", e.ID, before.Holder, after.Holder, gap)
		}
	}
}

// The platform's limit for requests to an engine that states a limit, in any window of
// limitWindow that begins limitDelay after the first statement, over all hosts.
const (
	limitWindow = 4 * time.Second
	limitDelay  = 3 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// checkLimits checks that engines got no more requests than the limits allow that they
// stated. Failures of processes and networks excuse hosts.
func (s *soak) checkLimits(report func(string, ...any)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.PlannedOnly {
		return
	}
	for _, l := range s.limits {
		allowed := int(limitFactor*l.rate*limitWindow.Seconds()) + limitSlack
		times, first := l.engine.Arrivals(), 0
		for last, at := range times {
			for at.Sub(times[first]) > limitWindow || times[first].Before(l.from.Add(limitDelay)) && first < last {
				first++
			}
			inside := !times[first].Before(l.from.Add(limitDelay)) && at.Before(l.to)
			if n := last - first + 1; inside && n > allowed {
				report("engine %s stated a limit of %g a second and got %d requests in %v; allowed %d", l.engine.ID, l.rate, n, limitWindow, allowed)
				break
			}
		}
	}
}

// checkCrashes checks that a request which crashes engines ends no more of them than each
// host may let it while it has no contact to others.
func (s *soak) checkCrashes(engines []*platformtest.Engine, report func(string, ...any)) {
	const crashesPerHost = 3
	crashes := 0
	for _, e := range engines {
		crashes += e.Crashes()
	}
	if allowed := s.crashingRequests * crashesPerHost * s.Hosts; crashes > allowed {
		report("%d requests crashed %d engines; allowed %d", s.crashingRequests, crashes, allowed)
	}
}
