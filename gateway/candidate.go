package gateway

import (
	"context"
	"time"
)

const (
	// resignDelay is how long a coordinator waits for a cut from the engines to end before it
	// resigns. A change of the coordinator pauses loads for about six seconds.
	resignDelay = time.Second
	// standAsideTime is how long it then lets others be elected.
	standAsideTime = 3 * time.Second
	// cutCheckInterval is the interval at which the coordinator looks for a cut.
	cutCheckInterval = 250 * time.Millisecond
)

// standForElection takes part in the election until the context ends. A coordinator that is
// cut off from the engines resigns if another host reaches them, since orders take no detours.
func (g *gateway) standForElection(ctx context.Context) error {
	for ctx.Err() == nil {
		term, resign := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() { ended <- g.election.Run(term) }()
		if g.waitUntilCutOff(ctx) {
			g.log.Warn("gateway: resigning as the coordinator, since no engine is reached directly")
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
	for {
		select {
		case <-ctx.Done():
			return false
		case <-g.clock.After(cutCheckInterval):
		}
		since, cut := g.paths.CutOff()
		if cut && since >= resignDelay && g.coordinator.NameStrongSuccessor() {
			return true
		}
	}
}
