package key

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/fleet"
	"hawthornway/peer"
)

// The bounds of one withdrawal's stages.
const (
	tellTimeout    = 2 * time.Second
	forwardTimeout = 1500 * time.Millisecond
	recordTimeout  = 2 * time.Second
)

// withdrawMessage tells of withdrawals.
type withdrawMessage struct {
	Withdrawals []withdrawal `cbor:"withdrawals"`
	// Within asks the receiver to tell the peers of its own domain.
	Within bool `cbor:"within,omitempty"`
	// Domains asks the receiver to tell hosts of these domains.
	Domains []fleet.DomainID `cbor:"domains,omitempty"`
}

// withdrawAnswer names the hosts that refuse the keys now.
type withdrawAnswer struct {
	Confirmed []fleet.HostID `cbor:"confirmed"`
}

// Withdraw stops keys on this host at once, tells every peer, and writes the
// withdrawals; those that can't be written now are written when the service is
// back. It returns which hosts have confirmed.
func (r *Store) Withdraw(ctx context.Context, ids []ID) (Confirmation, error) {
	hashes, err := r.resolve(ctx, ids)
	if err != nil {
		return Confirmation{}, trace.Wrap(err)
	}
	all := make([]withdrawal, len(hashes))
	for i, h := range hashes {
		all[i] = withdrawal{Hash: h, AtMS: r.clock.Now().UnixMilli(), Origin: r.mesh.Self().Host}
	}
	r.stop(all)
	r.log.Info("key: withdrawn", "keys", len(all))
	var written bool
	var working sync.WaitGroup
	working.Go(func() { written = r.record(ctx, all) })
	confirmed := r.tell(ctx, withdrawMessage{Withdrawals: all}, tellTimeout, r.plan())
	working.Wait()
	return r.confirmation(confirmed, written), nil
}

// resolve returns the hashes of keys. Ids that this host does not know are
// looked for in the service.
func (r *Store) resolve(ctx context.Context, ids []ID) ([]Hash, error) {
	hashes, missing := r.lookUp(ids)
	if len(missing) == 0 {
		return hashes, nil
	}
	if err := r.refresh(ctx); err != nil {
		r.log.Warn("key: service not reached", "error", err)
	}
	hashes, missing = r.lookUp(ids)
	if len(missing) > 0 {
		return nil, trace.NotFound("key %q is not known on this host", missing[0])
	}
	return hashes, nil
}

func (r *Store) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, _, err := r.store.List(ctx, keyPrefix)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, e := range entries {
		if err := r.takeEntry(e); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (r *Store) lookUp(ids []ID) (hashes []Hash, missing []ID) {
	byID := map[ID][]Hash{}
	for _, e := range r.List() {
		byID[e.ID] = append(byID[e.ID], e.Hash)
	}
	for _, id := range ids {
		found := byID[id]
		if len(found) == 0 {
			missing = append(missing, id)
		}
		hashes = append(hashes, found...)
	}
	return hashes, missing
}

// stop ends keys on this host.
func (r *Store) stop(all []withdrawal) {
	unwritten := slices.DeleteFunc(slices.Clone(all), func(w withdrawal) bool {
		return r.isWritten(w.Hash)
	})
	for _, w := range r.pending.add(unwritten, r.clock.Now()) {
		r.shards[w.Hash.bucket()].withdraw(w)
	}
}

// isWritten reports whether the service is known to hold a withdrawal.
func (r *Store) isWritten(h Hash) bool {
	if _, waits := r.pending.find(h); waits {
		return false
	}
	entry, _, ok := r.shards[h.bucket()].find(h)
	return ok && entry.Withdrawn()
}

// record tries to write withdrawals, and leaves what fails to the writer.
func (r *Store) record(ctx context.Context, all []withdrawal) bool {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if err := r.writeWithdrawals(ctx, all); err != nil {
		r.log.Warn("key: withdrawals not written yet", "error", err)
		select {
		case r.writing <- struct{}{}:
		default:
		}
		return false
	}
	return true
}

// telling is one peer to tell, and whom it is to tell.
type telling struct {
	host    fleet.HostID
	within  bool
	domains []fleet.DomainID
}

// plan returns how all hosts are told: own peers directly, other domains by a
// few of their hosts, and domains without a link by way of own peers.
func (r *Store) plan() []telling {
	self := r.mesh.Self()
	peers := r.mesh.Peers()
	linked := map[fleet.DomainID]int{self.Domain: 1}
	for _, p := range peers {
		linked[p.Domain]++
	}
	var unlinked []fleet.DomainID
	for _, domain := range r.directory.Domains() {
		if linked[domain] == 0 {
			unlinked = append(unlinked, domain)
		}
	}
	told := map[fleet.DomainID]int{}
	var all []telling
	for _, p := range peers {
		t := telling{host: p.Host}
		if p.Domain == self.Domain {
			t.domains = unlinked
		} else {
			t.within = told[p.Domain] < linksPerDomain
			told[p.Domain]++
		}
		all = append(all, t)
	}
	return all
}

// tell tells peers at the same time and returns the hosts that confirmed.
func (r *Store) tell(ctx context.Context, message withdrawMessage, timeout time.Duration, plan []telling) []fleet.HostID {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var mu sync.Mutex
	confirmed := []fleet.HostID{r.mesh.Self().Host}
	var asking sync.WaitGroup
	for _, t := range plan {
		asking.Go(func() {
			m := withdrawMessage{message.Withdrawals, t.within, t.domains}
			var answer withdrawAnswer
			if err := r.mesh.Call(ctx, t.host, kindWithdraw, m, &answer); err != nil {
				r.log.Debug("key: withdrawal not confirmed", "host", t.host, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			confirmed = append(confirmed, answer.Confirmed...)
		})
	}
	asking.Wait()
	return confirmed
}

func (r *Store) handleWithdraw(ctx context.Context, _ fleet.Member, body []byte) (any, error) {
	var message withdrawMessage
	if err := peer.Decode(body, &message); err != nil {
		return nil, trace.Wrap(err)
	}
	r.stop(message.Withdrawals)
	confirmed := r.tell(ctx, message, forwardTimeout, r.forward(message))
	return withdrawAnswer{confirmed}, nil
}

// forward returns whom a message asks this host to tell.
func (r *Store) forward(message withdrawMessage) []telling {
	self := r.mesh.Self()
	told := map[fleet.DomainID]int{}
	var all []telling
	for _, p := range r.mesh.Peers() {
		switch {
		case p.Domain == self.Domain && message.Within:
			all = append(all, telling{host: p.Host})
		case slices.Contains(message.Domains, p.Domain) && told[p.Domain] < linksPerDomain:
			told[p.Domain]++
			all = append(all, telling{host: p.Host, within: true})
		}
	}
	return all
}

// confirmation sorts the hosts into those that have confirmed and the rest.
func (r *Store) confirmation(confirmed []fleet.HostID, written bool) Confirmation {
	slices.Sort(confirmed)
	c := Confirmation{Written: written, Confirmed: slices.Compact(confirmed)}
	for _, host := range r.directory.Hosts() {
		if _, found := slices.BinarySearch(c.Confirmed, host); !found {
			c.Unconfirmed = append(c.Unconfirmed, host)
		}
	}
	slices.Sort(c.Unconfirmed)
	return c
}
