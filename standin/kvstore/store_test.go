package kvstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/keyvalue"
)

func TestWatchWakesOnItsPrefixOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		var events []keyvalue.Event
		go func() { events, _, _ = s.Watch(t.Context(), "a/", 0) }()
		synctest.Wait()
		_, err := s.Swap(t.Context(), "b", 0, nil)
		must.NoError(t, err)
		synctest.Wait()
		must.Len(t, 0, events)
		_, err = s.Swap(t.Context(), "a/1", 0, nil)
		must.NoError(t, err)
		synctest.Wait()
		must.Len(t, 1, events)
	})
}

func TestWatchEnds(t *testing.T) {
	cases := []struct {
		name string
		end  func(s *Store, cancel func())
		want error
		took time.Duration
	}{
		{name: "after the watch wait", end: func(*Store, func()) {}, took: DefaultWatchWait},
		{name: "in an outage", end: func(s *Store, _ func()) { s.SetFaults(Faults{Outage: true}) }, want: keyvalue.ErrUnavailable},
		{name: "when its context is cancelled", end: func(_ *Store, cancel func()) { cancel() }, want: context.Canceled},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New()
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				start := time.Now()
				done := make(chan error)
				go func() {
					_, _, err := s.Watch(ctx, "", 0)
					done <- err
				}()
				synctest.Wait()
				c.end(s, cancel)
				must.ErrorIs(t, <-done, c.want)
				must.Eq(t, c.took, time.Since(start))
				must.MapLen(t, 0, s.waiters)
			})
		})
	}
}

func TestExpiredLeaseRemovesItsKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		id, err := s.Grant(t.Context(), time.Second)
		must.NoError(t, err)
		_, err = s.SwapWithLease(t.Context(), "k", 0, nil, id)
		must.NoError(t, err)

		time.Sleep(800 * time.Millisecond)
		must.NoError(t, s.Renew(t.Context(), id))
		time.Sleep(800 * time.Millisecond)
		_, err = s.Get(t.Context(), "k")
		must.NoError(t, err)

		time.Sleep(300 * time.Millisecond)
		_, err = s.Get(t.Context(), "k")
		must.ErrorIs(t, err, keyvalue.ErrNotFound)
		must.ErrorIs(t, s.Renew(t.Context(), id), ErrNoLease)
	})
}

func TestRateLimitedWritesHaveNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(WithRates(10, 0))
		_, err := s.Swap(t.Context(), "a", 0, nil)
		must.NoError(t, err)
		_, err = s.Swap(t.Context(), "b", 0, nil)
		must.ErrorIs(t, err, keyvalue.ErrUnavailable)
		time.Sleep(100 * time.Millisecond)
		_, err = s.Swap(t.Context(), "b", 0, nil)
		must.NoError(t, err)
		must.Eq(t, Counts{Swaps: 3, Limited: 1}, s.Counts())
	})
}

func TestCancelledDelayedWriteIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		s.SetFaults(Faults{Delay: 10 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), 7*time.Second)
		defer cancel()
		_, err := s.Swap(ctx, "k", 0, nil)
		must.ErrorIs(t, err, keyvalue.ErrUnknown)
		s.SetFaults(Faults{})
		_, err = s.Get(t.Context(), "k")
		must.NoError(t, err)
	})
}
