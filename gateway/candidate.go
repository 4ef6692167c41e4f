package gateway

import (
	"context"
	"time"

	"hawthornway/target"
)

const (
	// maxDetouredShare is the share of a pool's engines that a coordinator may reach through
	// other hosts only.
	maxDetouredShare = 0.5
	// resignDelay is how long a coordinator waits for a cut from the engines to end before it
	// resigns. A change of the coordinator pauses loads for about six seconds.
	resignDelay = time.Second
	// standAsideTime is how long it then lets others be elected.
	standAsideTime = 3 * time.Second
	// cutCheckInterval is the interval at which the coordinator looks for a cut.
	cutCheckInterval = 250 * time.Millisecond
)

// cutFromEngines reports whether more than maxDetouredShare of a pool's engines are reached
// through other hosts only.
func (g *gateway) cutFromEngines() bool {
	engines := map[target.Pool][]string{}
	for _, t := range g.roster.All() {
		if len(t.Holdings.Models) > 0 {
			engines[t.Pool] = append(engines[t.Pool], t.Address)
		}
	}
	for _, addresses := range engines {
		if float64(g.paths.Detoured(addresses)) > maxDetouredShare*float64(len(addresses)) {
			return true
		}
	}
	return false
}

// standForElection takes part in the election until the context ends. A coordinator that is
// cut off from the engines resigns if another host reaches them, since orders take no detours.
func (g *gateway) standForElection(ctx context.Context) error {
	for ctx.Err() == nil {
		term, resign := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() { ended <- g.election.Run(term) }()
		if g.waitUntilCutOff(ctx) {
			g.log.Warn("gateway: resigning as the coordinator, since most engines are reached through other hosts only")
		}
		resign()
		if err := <-ended; err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-g.clock.After(standAsideTime):
		}
	}
	return nil
}

// waitUntilCutOff reports whether this host, as the coordinator, was cut off from the engines
// for resignDelay and has named a successor, before the context ended.
func (g *gateway) waitUntilCutOff(ctx context.Context) bool {
	var since time.Time
	for {
		select {
		case <-ctx.Done():
			return false
		case <-g.clock.After(cutCheckInterval):
		}
		_, _, leads := g.election.Term()
		switch {
		case !leads || !g.cutFromEngines():
			since = time.Time{}
		case since.IsZero():
			since = g.clock.Now()
		case g.clock.Since(since) >= resignDelay && g.coordinator.NameStrongSuccessor():
			return true
		}
	}
}
