package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"hawthornway/platform/platformtest"
)

// check returns the violations of the guarantees to callers and engines.
func (s *soak) check() (violations []string, figures Figures) {
	report := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	runs := map[string]int{}
	engines := append(append([]*platformtest.Engine(nil), s.engines...), s.removedEngines...)
	for _, e := range engines {
		s.checkOrders(e, report)
		if drainStart, ok := s.drainStarts[e.ID]; ok && s.PlannedOnly && e.LastRun().After(drainStart.Add(drainTimeout)) {
			report("engine %s ran a request %v after it said that it leaves", e.ID, e.LastRun().Sub(drainStart).Round(time.Millisecond))
		}
	}
	s.checkLimits(report)
	s.checkEvacuations(engines, report)
	s.checkCold(report)
	s.checkHomes(engines, report)
	s.checkCrashes(engines, report)
	s.checkTaints(engines, report)
	arrivals := map[string]history{platformtest.ModelService: arrivalsAt(engines), platformtest.PlainService: arrivalsAt(s.plainTargets)}
	for _, e := range append(engines, s.plainTargets...) {
		for id, n := range e.Runs() {
			runs[id] += n
		}
	}
	s.callers.mu.Lock()
	defer s.callers.mu.Unlock()
	for service, h := range arrivals {
		h.sent = s.callers.sentTo(service)
		v, used := checkRepeats(h, float64(cmp.Or(s.Shape.RetrySlack, defaultRetrySlack)))
		if v != "" {
			report("%s: %s", service, v)
		}
		figures.Repeats = max(figures.Repeats, used)
	}
	e := s.evidence(arrivals)
	var over, unanswered, tooLong []string
	for _, result := range s.callers.calls {
		at := fmt.Sprintf("%.3f s  %s %s at %s", result.sentAt.Sub(s.startedAt).Seconds(), result.kind.name, result.id, result.host)
		if e.overAttempts(result) {
			over = append(over, at)
		}
		late, overtimed := e.timeLeft(result)
		figures.LateRepeats, figures.Overtimed = figures.LateRepeats+late, figures.Overtimed+overtimed
		if overtimed > 0 {
			tooLong = append(tooLong, at+e.describeArrivals(result))
		}
		if e.unanswered(result) {
			unanswered = append(unanswered, fmt.Sprintf("%s after %v: %v", at, result.endedAt.Sub(result.sentAt).Round(time.Millisecond), result.err))
		}
		if result.status == 0 && !result.left {
			figures.Resets++
		}
		breaks := checkCall(result, runs[result.id])
		if withdrawnAt, ok := s.callers.withdrawnAt[result.key]; ok && result.sentAt.After(withdrawnAt.Add(withdrawalTimeout)) && runs[result.id] > 0 {
			breaks = append(breaks, fmt.Sprintf("ran with %s, which was withdrawn %v before", result.key, result.sentAt.Sub(withdrawnAt)))
		}
		excused := slices.ContainsFunc(s.hosts, func(h *host) bool { return h.Name == result.host && h.excusesCut(result) })
		if !excused && e.lost(result) {
			breaks = append(breaks, fmt.Sprintf("ended without a whole answer after %v although all faults were planned: status %d, %v",
				result.endedAt.Sub(result.sentAt).Round(time.Millisecond), result.status, result.err))
		}
		for _, v := range breaks {
			report("%s %s", at, v)
		}
	}
	for id, left := range s.departures {
		if n := afterDeparture(left, s.engineProxies[id].accepted(), s.inTouch); n > 0 {
			report("engine %s got %d connections after its departure %.3f s", id, n, left.Sub(s.startedAt).Seconds())
		}
	}
	for _, h := range s.hosts {
		h.mu.Lock()
		figures.PeakMemory = max(figures.PeakMemory, h.peakMemory)
		if h.ends > 0 {
			report("%s ended %d times by itself", h.Name, h.ends)
		}
		if allowed := int64(cmp.Or(h.MemoryMB, platformtest.DefaultMemoryMB)); h.peakMemory > allowed*1e6 {
			report("%s held %d MB; allowed %d MB", h.Name, h.peakMemory/1e6, allowed)
		}
		h.mu.Unlock()
	}
	figures.OverAttempts, figures.Unanswered = len(over), len(unanswered)
	if len(over) > maxOverAttempts {
		report("%d calls ran on more targets than their routes allow:\n  %s", len(over), strings.Join(over, "\n  "))
	}
	if len(unanswered) > maxUnanswered {
		report("%d calls on kept connections reached a sound target and got no answer:\n  %s", len(unanswered), strings.Join(unanswered, "\n  "))
	}
	if overtimed := figures.Overtimed; overtimed > maxOvertimed && float64(overtimed) > overtimedShare*float64(max(figures.LateRepeats, overtimed)) {
		report("%d requests told targets more time than was left; %d were sent once more late:\n  %s", overtimed, figures.LateRepeats, strings.Join(tooLong, "\n  "))
	}
	return violations, figures
}

// checkEvacuations checks that nothing ran in an evacuated zone once all hosts, in touch with a sound
// store, had time to learn of it.
func (s *soak) checkEvacuations(engines []*platformtest.Engine, report func(string, ...any)) {
	for _, evacuated := range s.evacuations {
		for _, e := range append(slices.Clone(engines), s.plainTargets...) {
			if e.Zone() != evacuated.zone {
				continue
			}
			for _, a := range e.Arrived() {
				if a.Ran && a.At.After(evacuated.from.Add(evacuationTime)) && a.At.Before(evacuated.to) && s.inTouch(evacuated.from, a.At) {
					report("engine %s ran %s %v after the evacuation of %s", e.ID, a.ID, a.At.Sub(evacuated.from).Round(time.Millisecond), evacuated.zone)
					break
				}
			}
		}
	}
}

// The platform's limit for requests to a cold engine within a second, over all hosts, from coldDelay
// after the engine has said that it is cold.
const (
	coldOvershoot = 1.5
	coldSlack     = 5
	coldDelay     = 1500 * time.Millisecond
)

// checkCold checks that engines got as many requests as they bore while they were cold.
func (s *soak) checkCold(report func(string, ...any)) {
	for _, cold := range s.coldSpans {
		var ran []time.Time
		for _, a := range cold.engine.Arrived() {
			if a.Ran && a.At.After(cold.from.Add(coldDelay)) && a.At.Before(cold.to) && s.inTouch(cold.from, a.At) {
				ran = append(ran, a.At)
			}
		}
		for _, at := range ran {
			if n := countBetween(ran, at.Add(-time.Second), at); float64(n) > coldRate*coldOvershoot+coldSlack {
				report("engine %s ran %d requests in a second, %v after it had turned cold", cold.engine.ID, n, at.Sub(cold.from).Round(time.Millisecond))
				break
			}
		}
	}
}

// checkHomes checks that nothing ran outside of the home regions.
func (s *soak) checkHomes(engines []*platformtest.Engine, report func(string, ...any)) {
	for _, e := range append(slices.Clone(engines), s.plainTargets...) {
		if len(s.Shape.Homes) > 0 && !slices.Contains(s.Shape.Homes, regions[e.Zone()]) && len(e.Runs()) > 0 {
			report("engine %s ran %d requests outside of their home regions", e.ID, len(e.Runs()))
		}
	}
}

// inTouch reports whether the store and all hosts were in touch in a whole span.
func (s *soak) inTouch(from, to time.Time) bool {
	disrupted := func(h *host) bool { return !h.disruptions.calm(from, to) }
	return s.storeDisruptions.calm(from, to) && !slices.ContainsFunc(s.hosts, disrupted)
}

// evidence returns what the checks of single calls know of the run.
func (s *soak) evidence(arrivals map[string]history) evidence {
	e := evidence{
		arrivals: map[string][]platformtest.Arrival{},
		ended:    func(target string, from, to time.Time) bool { return s.state(target).ended.within(from, to) },
		faulty:   func(target string, from, to time.Time) bool { return s.state(target).faulty.within(from, to) },
		store:    s.storeDisruptions.calm,
		calm:     s.unplanned.calm,
		inTouch: func(name string, from, to time.Time) bool {
			i := slices.IndexFunc(s.hosts, func(h *host) bool { return h.Name == name })
			return i >= 0 && s.hosts[i].disruptions.calm(from, to)
		},
	}
	for _, h := range arrivals {
		for _, a := range h.arrivals {
			e.arrivals[a.ID] = append(e.arrivals[a.ID], a)
		}
	}
	return e
}

// checkCall returns how the answer to a call contradicts how often it ran.
func checkCall(c call, runs int) (violations []string) {
	report := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	if !c.kind.repeatable && runs > 1 {
		report("may run at most once but ran %d times", runs)
	}
	if !c.kind.repeatable && notRun(c.status) && runs > 0 {
		report("was answered %d but has run", c.status)
	}
	expected := expectedBody(c)
	if c.served() && c.body != expected {
		report("got a wrong response: %.80q", c.body)
	}
	if c.status == http.StatusOK && c.kind.stream && !strings.HasPrefix(expected, c.body) {
		report("got events that are not a prefix of the response: %.80q", c.body)
	}
	return violations
}

// notRun reports whether a status guarantees that the request was not executed.
func notRun(status int) bool {
	return slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
}

func expectedBody(result call) string {
	if !result.kind.stream {
		return "answer to " + result.id
	}
	var b strings.Builder
	for i := 1; i <= eventCount; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d of %s\n\n", i, i, result.id)
	}
	return b.String()
}

// history is what a service and its callers saw: the requests that were sent to it, and those
// that arrived, each in order of time.
type history struct {
	sent     []time.Time
	arrivals []platformtest.Arrival
}

func arrivalsAt(engines []*platformtest.Engine) history {
	var h history
	for _, e := range engines {
		h.arrivals = append(h.arrivals, e.Arrived()...)
	}
	slices.SortFunc(h.arrivals, func(a, b platformtest.Arrival) int { return a.At.Compare(b.At) })
	return h
}

// sentTo returns the times at which requests to a service were sent.
func (c *callers) sentTo(service string) []time.Time {
	var sent []time.Time
	if service == platformtest.ModelService {
		sent = append(sent, c.crashingSent...)
	}
	for _, result := range c.calls {
		if result.kind.service() == service {
			sent = append(sent, result.sentAt)
		}
	}
	slices.SortFunc(sent, time.Time.Compare)
	return sent
}

// The platform's limit for repeats: in each span of repeatWindow, over all hosts, a share of the
// requests and a slack that depends on the deployment. The requests are those of that span, the
// one before it or the one half a span before it, whichever has most.
const (
	repeatWindow      = 10 * time.Second
	repeatShare       = 0.2
	defaultRetrySlack = 56
)

// checkRepeats returns the span in which most requests too many arrived at a service that
// weren't the first of their call, or an empty string, and the largest part of the allowed ones.
func checkRepeats(h history, slack float64) (worst string, used float64) {
	seen := map[string]bool{}
	var repeats []time.Time
	for _, a := range h.arrivals {
		if seen[a.ID] {
			repeats = append(repeats, a.At)
		}
		seen[a.ID] = true
	}
	first, excess := 0, 0.0
	for last, at := range repeats {
		for at.Sub(repeats[first]) >= repeatWindow {
			first++
		}
		requests := 0
		for _, shift := range []time.Duration{0, repeatWindow / 2, repeatWindow} {
			requests = max(requests, countBetween(h.sent, at.Add(-shift-repeatWindow), at.Add(-shift)))
		}
		n, allowed := last-first+1, repeatShare*float64(requests)+slack
		used = max(used, float64(n)/max(1, allowed))
		if float64(n)-allowed > excess {
			excess = float64(n) - allowed
			worst = fmt.Sprintf("%d repeats arrived in the %v up to %s; allowed %.0f with %d requests", n, repeatWindow, at.Format("15:04:05.000"), allowed, requests)
		}
	}
	return worst, used
}

// countBetween counts the times after one instant and up to another.
func countBetween(times []time.Time, after, upTo time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(after) && !t.After(upTo) {
			n++
		}
	}
	return n
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
		for _, t := range s.taints {
			crashes -= len(e.TaintCrashes(t.part))
		}
	}
	if allowed := s.crashingRequests * crashesPerHost * s.Hosts; crashes > allowed {
		report("%d requests crashed %d engines; allowed %d", s.crashingRequests, crashes, allowed)
	}
}
