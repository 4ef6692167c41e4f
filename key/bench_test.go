package key

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"hawthornway/fleet"
	"hawthornway/peer/peertest"
	"hawthornway/standin/kvstore"
)

func BenchmarkCheck(b *testing.B) {
	for _, size := range []int{100, 10_000, 100_000} {
		b.Run(fmt.Sprint(size, " keys"), func(b *testing.B) {
			mesh := peertest.NewNetwork(1).Join(fleet.Member{Host: "a1", Domain: "a"})
			r := NewStore(kvstore.New(), mesh, &bench{domains: []fleet.DomainID{"a"}})
			texts := fill(b, r, size)
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					if _, _, refused := r.Check(texts[i%size]); refused != nil {
						b.Error(refused.Reason)
					}
				}
			})
		})
	}
}

// fill gives a ring as many keys, as if the service held them.
func fill(b *testing.B, r *Store, size int) []string {
	records := make([][]Entry, buckets)
	texts := make([]string, size)
	for i := range texts {
		text := Generate()
		texts[i] = text.Reveal()
		at := text.Hash().bucket()
		records[at] = append(records[at], Entry{Hash: text.Hash(), ID: NewID(text.Hash()), Team: "rafiq"})
	}
	for bucket, entries := range records {
		value, err := json.Marshal(entries)
		must.NoError(b, err)
		must.NoError(b, r.take(bucket, 1, value))
	}
	r.touch.reached(r.clock.Now().AddDate(1, 0, 0))
	r.updateTouch()
	r.setLoaded()
	return texts
}
