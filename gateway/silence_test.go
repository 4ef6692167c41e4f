package gateway_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against streams that are given up and run again elsewhere because their sound engine
// fell silent for a second or so.
func TestStreamsOutlastASilentEngine(t *testing.T) {
	const streams = 8
	t.Parallel()
	f, engines := newVersionedFleet(t, 1)
	runs := func() (n int) {
		for _, e := range engines {
			for _, count := range e.Runs() {
				n += count
			}
		}
		return n
	}
	before := runs()
	for i := range streams {
		var s stream
		s.read(f, f.hosts[0], 0, func(s *stream) {
			if s.lastEvent == 5 {
				for _, e := range engines {
					e.FallSilent([]time.Duration{300 * time.Millisecond, 1350 * time.Millisecond}[i%2])
				}
			}
		})
		must.True(t, s.complete)
		must.Eq(t, 40, s.lastEvent)
	}
	must.Eq(t, streams, runs()-before)
}
