package member

import (
	"fmt"
	"testing"
	"time"
)

var domainSizes = []int{3, 12, 38}

// settled returns the machines of a settled domain.
func settled(hosts int) *sim {
	s := newSim(1, checks{})
	for range hosts {
		s.add()
	}
	s.run(time.Minute)
	return s
}

func benchmarkSizes(b *testing.B, run func(b *testing.B, s *sim)) {
	for _, hosts := range domainSizes {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			s := settled(hosts)
			b.ReportAllocs()
			b.ResetTimer()
			run(b, s)
		})
	}
}

func BenchmarkHold(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *sim) {
		p := s.procs[0]
		shard := s.record.owned(processOf(p.member))
		for b.Loop() {
			for _, owned := range shard {
				p.machine.holding(p.instant(), owned, false)
			}
		}
	})
}

func BenchmarkHear(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *sim) {
		p, from := s.procs[0], s.procs[1]
		hb := p.machine.peers[processOf(from.member)].last
		for b.Loop() {
			hb.Sequence++
			p.machine.step(p.instant(), heartbeatHeard{from: from.member, heartbeat: hb})
		}
	})
}

func BenchmarkTick(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, s *sim) {
		p := s.procs[0]
		var in tick
		for _, other := range s.procs[1:] {
			in.linked = append(in.linked, other.member)
		}
		for b.Loop() {
			p.machine.step(p.instant(), in)
		}
	})
}
