package member

import (
	"fmt"
	"testing"
	"time"
)

var domainSizes = []int{3, 12, 38}

// newSteadySim returns a simulated domain in a steady state.
func newSteadySim(hosts int) *sim {
	s := newSim(1, disabledMechanisms{})
	for range hosts {
		s.add()
	}
	s.run(time.Minute)
	return s
}

func benchmarkSizes(b *testing.B, run func(b *testing.B, s *sim)) {
	for _, hosts := range domainSizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			s := newSteadySim(hosts)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, s)
		})
	}
}

func BenchmarkLeaseRemaining(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *sim) {
		p := s.processes[0]
		shards := s.record.owned(processOf(p.member))
		for b.Loop() {
			for _, shard := range shards {
				p.machine.leaseRemaining(p.instant(), shard, false)
			}
		}
	})
}

func BenchmarkReceiveHeartbeat(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *sim) {
		p, from := s.processes[0], s.processes[1]
		hb := p.machine.peers[processOf(from.member)].lastHeartbeat
		for b.Loop() {
			hb.Sequence++
			p.machine.step(p.instant(), heartbeatReceived{from: from.member, heartbeat: hb})
		}
	})
}

func BenchmarkTick(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *sim) {
		p := s.processes[0]
		var in tick
		for _, other := range s.processes[1:] {
			in.linked = append(in.linked, other.member)
		}
		for b.Loop() {
			p.machine.step(p.instant(), in)
		}
	})
}
