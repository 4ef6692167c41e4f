package main

import (
	"time"

	"hawthornway/platform/platformtest"
)

const (
	// comeTime is long enough for 2,000 connections at the sheet's rate and ten seconds more.
	comeTime = 75 * time.Second
	// minTries is the number of clients that have to try.
	minTries = 7
)

// playKeptConnections loses all hosts but one, and lets callers go on as before. Each opens a
// connection, sends a request and stays connected.
func playKeptConnections(c *stage) (broken bool, err error) {
	cr, err := c.gather(comeTime, 0, platformtest.Config{Version: 3, Keys: []string{crowdKey}, AllKinds: true}, unchanged)
	if err != nil {
		return false, err
	}
	defer cr.service.Close()
	return cr.refused(), nil
}

// refused reports whether there is a span of contactBound in which the host that is left has taken no
// try although enough clients tried, and in which it didn't say that it isn't ready.
func (cr *crowd) refused() bool {
	var tries []try
	for _, t := range cr.tries {
		if t.host == cr.watched {
			tries = append(tries, t)
		}
	}
	for _, first := range tries {
		from, to := first.at, first.at.Add(contactBound)
		tried, taken, later, spoke := 0, 0, false, false
		for _, t := range tries {
			inside := !t.at.Before(from) && t.at.Before(to)
			if inside {
				tried++
			}
			if inside && t.taken {
				taken++
			}
			later = later || t.at.After(to)
		}
		for _, at := range cr.unready {
			spoke = spoke || at.After(from.Add(-time.Second)) && at.Before(to.Add(time.Second))
		}
		if tried >= minTries && taken == 0 && later && !spoke {
			cr.stage.note("from %.3f s on, %d clients tried within %s, and no new connection was taken", from.Sub(cr.stage.began).Seconds(), tried, contactBound)
			return true
		}
	}
	return false
}
