package key

import (
	"encoding/binary"
	"sync"
	"time"

	"hawthornway/fleet"
)

// withdrawal is one key's end, as hosts tell it to each other.
type withdrawal struct {
	Hash Hash `cbor:"hash"`
	// AtMS is the time of the withdrawal in milliseconds since 1970.
	AtMS   int64        `cbor:"at-ms"`
	Origin fleet.HostID `cbor:"origin"`
}

func (w withdrawal) at() time.Time { return time.UnixMilli(w.AtMS).UTC() }

// pending holds the withdrawals that are not yet known to be in the service.
type pending struct {
	mu    sync.Mutex
	items map[Hash]pendingItem
	sum   uint64
}

type pendingItem struct {
	withdrawal
	since time.Time
}

// add takes withdrawals in and returns those that are new.
func (p *pending) add(all []withdrawal, now time.Time) []withdrawal {
	p.mu.Lock()
	defer p.mu.Unlock()
	var fresh []withdrawal
	for _, w := range all {
		if _, known := p.items[w.Hash]; known {
			continue
		}
		p.items[w.Hash] = pendingItem{w, now}
		p.sum ^= digestOf(w.Hash)
		fresh = append(fresh, w)
	}
	return fresh
}

// written drops the withdrawals that a record holds.
func (p *pending) written(entries []Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range entries {
		if _, waits := p.items[e.Hash]; waits && e.Withdrawn() {
			delete(p.items, e.Hash)
			p.sum ^= digestOf(e.Hash)
		}
	}
}

func (p *pending) find(h Hash) (withdrawal, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	item, ok := p.items[h]
	return item.withdrawal, ok
}

// list returns the withdrawals that came in up to a time, and all of one host.
func (p *pending) list(until time.Time, origin fleet.HostID) []withdrawal {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []withdrawal
	for _, item := range p.items {
		if item.Origin == origin || !item.since.After(until) {
			all = append(all, item.withdrawal)
		}
	}
	return all
}

// digest tells one set of withdrawals from another.
func (p *pending) digest() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sum
}

func digestOf(h Hash) uint64 { return binary.BigEndian.Uint64(h[:]) }
