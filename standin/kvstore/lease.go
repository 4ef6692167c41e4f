package kvstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
)

// LeaseID names one lease.
type LeaseID uint64

// ErrNoLease says that a lease has ended or never was.
var ErrNoLease = errors.New("lease not found")

// lease keeps keys for a time that its holder renews.
type lease struct {
	ttl   time.Duration
	timer clockwork.Timer
}

// Grant returns a new lease that ends after ttl without a renewal.
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

// Renew starts the lease's time again.
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

// Revoke ends the lease and removes its keys.
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
