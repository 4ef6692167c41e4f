package key

import (
	"crypto/subtle"
	"sync"
	"time"

	"hawthornway/keyvalue"
)

// bucketState is a bucket's record in the key-value service and its keys.
type bucketState struct {
	mu       sync.RWMutex
	revision keyvalue.Revision
	// value is the record as stored in the key-value service.
	value []byte
	keys  map[Hash]*keyState
}

// keyState is one key of a bucket, protected by the bucketState's lock.
type keyState struct {
	Entry
	// withdrawn is closed when the key is withdrawn.
	withdrawn chan struct{}
}

// withdraw marks the key as withdrawn and closes its channel, once.
func (k *keyState) withdraw(at time.Time) {
	if k.Withdrawn() {
		return
	}
	k.WithdrawnAt = at
	close(k.withdrawn)
}

// find returns a key's entry and the channel that is closed when the key is
// withdrawn.
func (s *bucketState) find(h Hash) (Entry, <-chan struct{}, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	k, ok := s.keys[h]
	if !ok || subtle.ConstantTimeCompare(k.Hash[:], h[:]) != 1 {
		return Entry{}, nil, false
	}
	return k.Entry, k.withdrawn, true
}

func (s *bucketState) entries() []Entry {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make([]Entry, 0, len(s.keys))
	for _, k := range s.keys {
		all = append(all, k.Entry)
	}
	return all
}

// stored returns the revision and the value of the record.
func (s *bucketState) stored() (keyvalue.Revision, []byte) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.revision, s.value
}

// withdraw withdraws a key if the bucket has it.
func (s *bucketState) withdraw(w withdrawal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k, ok := s.keys[w.Hash]; ok {
		k.withdraw(w.at())
	}
}

// replace installs a record if it is newer, and reports whether it was. A
// withdrawn key stays withdrawn, and a key that the newer record no longer has
// is withdrawn. Pending withdrawals apply to the record's keys.
func (s *bucketState) replace(revision keyvalue.Revision, value []byte, entries []Entry, p *pending) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= s.revision {
		return false
	}
	s.revision, s.value = revision, value
	next := make(map[Hash]*keyState, len(entries))
	for _, e := range entries {
		k := s.keys[e.Hash]
		if k == nil {
			k = &keyState{Entry: e, withdrawn: make(chan struct{})}
			// withdraw sets the time and closes the channel.
			k.WithdrawnAt = time.Time{}
		}
		next[e.Hash] = k
		if e.Withdrawn() {
			k.withdraw(e.WithdrawnAt)
		} else if w, ok := p.find(e.Hash); ok {
			k.withdraw(w.at())
		}
	}
	for h, k := range s.keys {
		if next[h] == nil {
			// The time has no effect, since the entry is dropped. Only the closed
			// channel matters.
			k.withdraw(k.GrantedAt)
		}
	}
	s.keys = next
	return true
}
