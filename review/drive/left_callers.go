package main

import (
	"time"

	"hawthornway/platform/platformtest"
)

const (
	// programEnd lets a program of callers end after others have tried in vain for some seconds.
	comeTimeLeft = 72 * time.Second
	programEnd   = 70 * time.Second
	// leaveBound is the time after which requests of callers that have left must reach no engine, and
	// few the number of those that may.
	leaveBound = 500 * time.Millisecond
	few        = 10
)

// playLeftCallers is like playKeptConnections, but a program ends that has a part of the connections.
// Callers that got no connection have given up by then.
func playLeftCallers(c *stage) (broken bool, err error) {
	open := func(route map[string]any) { route["anonymous"] = true }
	cr, err := c.gather(comeTimeLeft, programEnd, platformtest.Config{Version: 3, Keys: []string{crowdKey}, AllKinds: true}, open)
	if err != nil {
		return false, err
	}
	defer cr.service.Close()
	time.Sleep(5 * time.Second)
	return cr.ranForNobody(), nil
}

// ranForNobody reports whether more than a few requests reached the service after their callers had left.
func (cr *crowd) ranForNobody() bool {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	left := map[string]time.Time{}
	for _, t := range cr.tries {
		if !t.taken {
			left[t.id] = t.left
		}
	}
	late, ran, longest := 0, 0, time.Duration(0)
	for _, a := range cr.service.Arrived() {
		at, ok := left[a.ID]
		if !ok || a.At.Sub(at) <= leaveBound {
			continue
		}
		late++
		longest = max(longest, a.At.Sub(at))
		if a.Ran {
			ran++
		}
	}
	cr.stage.note("%d callers gave up and closed their connections; %d of their requests reached the service over %s later, the last %s later; it ran %d",
		len(left), late, leaveBound, longest.Round(time.Millisecond), ran)
	return late > few
}
