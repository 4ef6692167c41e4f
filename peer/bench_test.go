package peer

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var benchmarkBodyBytes = []int{16, 1 << 10, 64 << 10}

func benchmarkBodySizes(b *testing.B, run func(b *testing.B, m request)) {
	for _, size := range benchmarkBodyBytes {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			body, err := Encode(make([]byte, size))
			must.NoError(b, err)
			b.SetBytes(int64(size))
			b.ReportAllocs()
			run(b, request{7, "member-heartbeat", 5 * time.Second, body})
		})
	}
}

func BenchmarkEncodeFrame(b *testing.B) {
	benchmarkBodySizes(b, func(b *testing.B, m request) {
		for b.Loop() {
			_, _ = encodeFrame(m)
		}
	})
}

func BenchmarkDecodeFrame(b *testing.B) {
	benchmarkBodySizes(b, func(b *testing.B, m request) {
		frame, err := encodeFrame(m)
		must.NoError(b, err)
		for b.Loop() {
			_, _ = decodeFrame(frame)
		}
	})
}
