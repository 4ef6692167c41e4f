package key

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/team"
)

const (
	bucketCount  = 64
	recordPrefix = "key/"
)

// Entry is one key as stored in the platform's key-value service, where each
// record holds the entries of one bucket.
type Entry struct {
	Hash Hash    `json:"hash"`
	ID   ID      `json:"id"`
	Team team.ID `json:"team"`
	Times
}

// Times are the times at which a key was granted and withdrawn.
type Times struct {
	GrantedAt time.Time `json:"granted-at"`
	// WithdrawnAt is zero while the key may be used.
	WithdrawnAt time.Time `json:"withdrawn-at,omitzero"`
}

// Withdrawn reports whether the key may no longer be used.
func (t Times) Withdrawn() bool { return !t.WithdrawnAt.IsZero() }

// recordKey returns the key under which the key-value service stores a bucket's
// record.
func recordKey(bucket int) string { return fmt.Sprintf("%s%02d", recordPrefix, bucket) }

func parseRecordKey(key string) (int, bool) {
	bucket, err := strconv.Atoi(strings.TrimPrefix(key, recordPrefix))
	return bucket, err == nil && bucket >= 0 && bucket < bucketCount
}

func parseEntries(value []byte) ([]Entry, error) {
	if len(value) == 0 {
		return nil, nil
	}
	var entries []Entry
	err := json.Unmarshal(value, &entries)
	return entries, trace.Wrap(err)
}
