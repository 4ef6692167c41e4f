package key

import (
	"encoding/binary"
	"sync"
	"time"

	"hawthornway/fleet"
)

// withdrawal is the withdrawal of one key, as hosts send it to each other.
type withdrawal struct {
	Hash Hash `cbor:"hash"`
	// AtMS is the time of the withdrawal in Unix milliseconds.
	AtMS int64 `cbor:"at-ms"`
	// Origin is the host that received the withdrawal from an operator.
	Origin fleet.HostID `cbor:"origin"`
}

func (w withdrawal) at() time.Time { return time.UnixMilli(w.AtMS).UTC() }

// pending holds the withdrawals that are not yet known to be in the key-value
// service.
type pending struct {
	mu    sync.Mutex
	items map[Hash]pendingItem
	// xorDigest is the XOR of the digests of all items.
	xorDigest uint64
}

type pendingItem struct {
	withdrawal
	receivedAt time.Time
}

// add adds withdrawals and returns those that are new.
func (p *pending) add(withdrawals []withdrawal, now time.Time) []withdrawal {
	p.mu.Lock()
	defer p.mu.Unlock()
	var added []withdrawal
	for _, w := range withdrawals {
		if _, known := p.items[w.Hash]; known {
			continue
		}
		p.items[w.Hash] = pendingItem{w, now}
		p.xorDigest ^= digestOf(w.Hash)
		added = append(added, w)
	}
	return added
}

// removeWritten removes the withdrawals that a record of the key-value service
// has.
func (p *pending) removeWritten(entries []Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range entries {
		if _, isPending := p.items[e.Hash]; isPending && e.Withdrawn() {
			delete(p.items, e.Hash)
			p.xorDigest ^= digestOf(e.Hash)
		}
	}
}

func (p *pending) find(h Hash) (withdrawal, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	item, ok := p.items[h]
	return item.withdrawal, ok
}

// list returns the withdrawals that were received up to a time, and all of one
// origin.
func (p *pending) list(until time.Time, origin fleet.HostID) []withdrawal {
	p.mu.Lock()
	defer p.mu.Unlock()
	var withdrawals []withdrawal
	for _, item := range p.items {
		if item.Origin == origin || !item.receivedAt.After(until) {
			withdrawals = append(withdrawals, item.withdrawal)
		}
	}
	return withdrawals
}

// digest identifies the set of pending withdrawals.
func (p *pending) digest() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.xorDigest
}

// digestOf returns the first 64 bits of a hash.
func digestOf(h Hash) uint64 { return binary.BigEndian.Uint64(h[:]) }
