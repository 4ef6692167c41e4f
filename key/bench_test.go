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
			s := NewStore(kvstore.New(), mesh, &fixture{domains: []fleet.DomainID{"a"}})
			secrets := fillStore(b, s, size)
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					if _, _, refused := s.Check(secrets[i%size]); refused != nil {
						b.Error(refused.Reason)
					}
				}
			})
		})
	}
}

// fillStore installs a number of keys as if they were loaded from the key-value
// service.
func fillStore(b *testing.B, s *Store, size int) []string {
	records := make([][]Entry, bucketCount)
	secrets := make([]string, size)
	for i := range secrets {
		secret := Generate()
		secrets[i] = secret.Reveal()
		at := secret.Hash().bucket()
		records[at] = append(records[at], Entry{Hash: secret.Hash(), ID: NewID(secret.Hash()), Team: "rafiq"})
	}
	for bucket, entries := range records {
		value, err := json.Marshal(entries)
		must.NoError(b, err)
		must.NoError(b, s.applyRecord(bucket, 1, value))
	}
	s.syncTimes.keyValueSynced(s.clock.Now().AddDate(1, 0, 0))
	s.updateFreshness()
	s.setLoaded()
	return secrets
}
