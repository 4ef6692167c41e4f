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

// The timeouts of a withdrawal's steps. A peer forwards the request while its
// sender waits for the response, so forwardTimeout is the shorter one.
const (
	notifyTimeout  = 2 * time.Second
	forwardTimeout = 1500 * time.Millisecond
	writeTimeout   = 2 * time.Second
)

// withdrawRequest asks a peer to withdraw keys.
type withdrawRequest struct {
	Withdrawals []withdrawal `cbor:"withdrawals"`
	// ForwardInDomain makes the receiver forward the request to the peers of
	// its own domain.
	ForwardInDomain bool `cbor:"within,omitempty"`
	// ForwardToDomains makes the receiver forward the request to hosts of these
	// domains.
	ForwardToDomains []fleet.DomainID `cbor:"domains,omitempty"`
}

// withdrawResponse lists the hosts that now refuse the keys.
type withdrawResponse struct {
	Confirmed []fleet.HostID `cbor:"confirmed"`
}

// Withdraw withdraws keys on this host, notifies every peer, and writes the
// withdrawals to the key-value service. Withdrawals that can't be written now
// are written when that service is available again. It returns which hosts have
// confirmed.
func (s *Store) Withdraw(ctx context.Context, ids []ID) (Confirmation, error) {
	hashes, err := s.resolve(ctx, ids)
	if err != nil {
		return Confirmation{}, trace.Wrap(err)
	}
	withdrawals := make([]withdrawal, len(hashes))
	for i, h := range hashes {
		withdrawals[i] = withdrawal{Hash: h, AtMS: s.clock.Now().UnixMilli(), Origin: s.mesh.Self().Host}
	}
	s.applyWithdrawals(withdrawals)
	s.log.Info("key: withdrew keys on this host", "keys", len(withdrawals))
	var written bool
	var background sync.WaitGroup
	background.Go(func() { written = s.tryWrite(ctx, withdrawals) })
	confirmed := s.notifyAll(ctx, withdrawRequest{Withdrawals: withdrawals}, notifyTimeout, s.notifyPlan())
	background.Wait()
	return s.confirmation(confirmed, written), nil
}

// resolve returns the hashes of keys. If this host does not know all of the
// IDs, it first reads the records from the key-value service.
func (s *Store) resolve(ctx context.Context, ids []ID) ([]Hash, error) {
	hashes, missing := s.lookUp(ids)
	if len(missing) == 0 {
		return hashes, nil
	}
	if err := s.reloadAll(ctx); err != nil {
		s.log.Warn("key: can't reach the key-value service", "error", err)
	}
	hashes, missing = s.lookUp(ids)
	if len(missing) > 0 {
		return nil, trace.NotFound("key %q is not known on this host", missing[0])
	}
	return hashes, nil
}

// reloadAll reads all records from the key-value service.
func (s *Store) reloadAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, _, err := s.kv.List(ctx, recordPrefix)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, e := range entries {
		if err := s.applyEntry(e); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// lookUp returns the hashes of the keys that this host knows, and the IDs that
// it does not know.
func (s *Store) lookUp(ids []ID) (hashes []Hash, missing []ID) {
	byID := map[ID][]Hash{}
	for _, e := range s.List() {
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

// applyWithdrawals withdraws keys on this host. Withdrawals that the key-value
// service does not have yet become pending.
func (s *Store) applyWithdrawals(withdrawals []withdrawal) {
	unwritten := slices.DeleteFunc(slices.Clone(withdrawals), func(w withdrawal) bool {
		return s.isWritten(w.Hash)
	})
	for _, w := range s.pending.add(unwritten, s.clock.Now()) {
		s.buckets[w.Hash.bucket()].withdraw(w)
	}
}

// isWritten reports whether the key-value service is known to have a
// withdrawal.
func (s *Store) isWritten(h Hash) bool {
	if _, isPending := s.pending.find(h); isPending {
		return false
	}
	entry, _, ok := s.buckets[h.bucket()].find(h)
	return ok && entry.Withdrawn()
}

// tryWrite tries to write withdrawals, and reports whether it succeeded. If
// not, write retries them in the background.
func (s *Store) tryWrite(ctx context.Context, withdrawals []withdrawal) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := s.writeWithdrawals(ctx, withdrawals); err != nil {
		s.log.Warn("key: can't write withdrawals to the key-value service yet", "error", err)
		select {
		case s.wakeWriter <- struct{}{}:
		default:
		}
		return false
	}
	return true
}

// notification is a withdrawRequest to one peer.
type notification struct {
	host             fleet.HostID
	forwardInDomain  bool
	forwardToDomains []fleet.DomainID
}

// notifyPlan returns the notifications that reach all hosts. All linked peers
// are notified directly. A few peers of each other domain forward the request
// within their domain, and the peers of this host's domain forward it to
// domains that this host has no link to.
func (s *Store) notifyPlan() []notification {
	self := s.mesh.Self()
	peers := s.mesh.Peers()
	linked := map[fleet.DomainID]int{self.Domain: 1}
	for _, p := range peers {
		linked[p.Domain]++
	}
	var unlinked []fleet.DomainID
	for _, domain := range s.directory.Domains() {
		if linked[domain] == 0 {
			unlinked = append(unlinked, domain)
		}
	}
	notified := map[fleet.DomainID]int{}
	var notifications []notification
	for _, p := range peers {
		n := notification{host: p.Host}
		if p.Domain == self.Domain {
			n.forwardToDomains = unlinked
		} else {
			n.forwardInDomain = notified[p.Domain] < peersPerDomain
			notified[p.Domain]++
		}
		notifications = append(notifications, n)
	}
	return notifications
}

// notifyAll sends notifications concurrently. It returns this host and all
// hosts that confirmed.
func (s *Store) notifyAll(ctx context.Context, request withdrawRequest, timeout time.Duration, plan []notification) []fleet.HostID {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var mu sync.Mutex
	confirmed := []fleet.HostID{s.mesh.Self().Host}
	var calls sync.WaitGroup
	for _, n := range plan {
		calls.Go(func() {
			peerRequest := withdrawRequest{request.Withdrawals, n.forwardInDomain, n.forwardToDomains}
			var response withdrawResponse
			if err := s.mesh.Call(ctx, n.host, kindWithdraw, peerRequest, &response); err != nil {
				s.log.Debug("key: a peer did not confirm a withdrawal", "host", n.host, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			confirmed = append(confirmed, response.Confirmed...)
		})
	}
	calls.Wait()
	return confirmed
}

func (s *Store) handleWithdraw(ctx context.Context, _ fleet.Member, body []byte) (any, error) {
	var request withdrawRequest
	if err := peer.Decode(body, &request); err != nil {
		return nil, trace.Wrap(err)
	}
	s.applyWithdrawals(request.Withdrawals)
	confirmed := s.notifyAll(ctx, request, forwardTimeout, s.forwardPlan(request))
	return withdrawResponse{confirmed}, nil
}

// forwardPlan returns the notifications with which this host forwards a
// request.
func (s *Store) forwardPlan(request withdrawRequest) []notification {
	self := s.mesh.Self()
	notified := map[fleet.DomainID]int{}
	var notifications []notification
	for _, p := range s.mesh.Peers() {
		switch {
		case p.Domain == self.Domain && request.ForwardInDomain:
			notifications = append(notifications, notification{host: p.Host})
		case slices.Contains(request.ForwardToDomains, p.Domain) && notified[p.Domain] < peersPerDomain:
			notified[p.Domain]++
			notifications = append(notifications, notification{host: p.Host, forwardInDomain: true})
		}
	}
	return notifications
}

// confirmation returns which of the members have confirmed and which have not.
func (s *Store) confirmation(confirmed []fleet.HostID, written bool) Confirmation {
	slices.Sort(confirmed)
	c := Confirmation{Written: written, Confirmed: slices.Compact(confirmed)}
	for _, host := range s.directory.Hosts() {
		if _, found := slices.BinarySearch(c.Confirmed, host); !found {
			c.Unconfirmed = append(c.Unconfirmed, host)
		}
	}
	slices.Sort(c.Unconfirmed)
	return c
}
