package kvstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
)

// LeaseID identifies a lease.
type LeaseID uint64

// ErrNoLease reports that a lease has ended or never existed.
var ErrNoLease = errors.New("lease not found")

// lease expires after ttl unless it is renewed. Its keys are removed with it.
type lease struct {
	ttl   time.Duration
	timer clockwork.Timer
}

// Grant creates a lease that expires after ttl unless it is renewed.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var id LeaseID
	err := s.write(ctx, leaseCount, func() error {
		s.nextLease++
		id = s.nextLease
		timer := s.clock.AfterFunc(ttl, func() { s.expire(id) })
		s.leases[id] = &lease{ttl: ttl, timer: timer}
		return nil
	})
	return id, err
}

// Renew restarts the lease's TTL.
func (s *Store) Renew(ctx context.Context, id LeaseID) error {
	return s.write(ctx, leaseCount, func() error {
		l, found := s.leases[id]
		if !found {
			return fmt.Errorf("renew lease %d: %w", id, ErrNoLease)
		}
		l.timer.Reset(l.ttl)
		return nil
	})
}

// Revoke ends a lease and removes its keys.
func (s *Store) Revoke(ctx context.Context, id LeaseID) error {
	return s.write(ctx, leaseCount, func() error {
		s.endLease(id)
		return nil
	})
}

func (s *Store) expire(id LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
}

func (s *Store) endLease(id LeaseID) {
	l, found := s.leases[id]
	if !found {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	for key, r := range s.records {
		if r.lease == id && !r.Deleted {
			s.remove(key)
		}
	}
}

func leaseCount(c *Counts) *int64 { return &c.Leases }
