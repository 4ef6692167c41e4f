package keyvalue_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"hawthornway/keyvalue"
	"hawthornway/standin/kvstore"
)

func newService(t *testing.T, opts ...kvstore.Option) (*kvstore.Store, keyvalue.Store) {
	t.Helper()
	store := kvstore.New(opts...)
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	return store, keyvalue.NewClient(server.Listener.Addr().String())
}

func TestClientReadsWhatItWrote(t *testing.T) {
	_, client := newService(t)
	ctx := t.Context()

	first, err := client.Swap(ctx, "a/1", 0, []byte("one"))
	must.NoError(t, err)
	_, err = client.Swap(ctx, "b", 0, nil)
	must.NoError(t, err)
	second, err := client.Swap(ctx, "a/1", first, []byte{0, 255})
	must.NoError(t, err)

	entry, err := client.Get(ctx, "a/1")
	must.NoError(t, err)
	must.Eq(t, keyvalue.Entry{Key: "a/1", Value: []byte{0, 255}, Revision: second}, entry)

	entries, revision, err := client.List(ctx, "a/")
	must.NoError(t, err)
	must.Eq(t, []keyvalue.Entry{entry}, entries)
	must.Eq(t, second, revision)

	must.NoError(t, client.Delete(ctx, "a/1", second))
	_, err = client.Get(ctx, "a/1")
	must.ErrorIs(t, err, keyvalue.ErrNotFound)
}

func TestClientConflict(t *testing.T) {
	_, client := newService(t)
	current, err := client.Swap(t.Context(), "k", 0, []byte("v"))
	must.NoError(t, err)

	_, err = client.Swap(t.Context(), "k", 0, []byte("w"))
	want := &keyvalue.ConflictError{Key: "k", Expected: 0, Current: current}
	must.Eq(t, error(want), err)
	must.Eq(t, error(&keyvalue.ConflictError{Key: "k", Expected: 9, Current: current}), client.Delete(t.Context(), "k", 9))
}

func TestClientWatch(t *testing.T) {
	_, client := newService(t)
	revision, err := client.Swap(t.Context(), "w/1", 0, []byte("v"))
	must.NoError(t, err)
	events, next, err := client.Watch(t.Context(), "w/", 0)
	must.NoError(t, err)
	must.Eq(t, []keyvalue.Event{{Entry: keyvalue.Entry{Key: "w/1", Value: []byte("v"), Revision: revision}}}, events)

	done := make(chan []keyvalue.Event)
	go func() {
		got, _, _ := client.Watch(context.WithoutCancel(t.Context()), "w/", next)
		done <- got
	}()
	must.NoError(t, client.Delete(t.Context(), "w/1", revision))
	got := <-done
	must.Len(t, 1, got)
	must.True(t, got[0].Deleted)
}

func TestClientFailures(t *testing.T) {
	cases := []struct {
		name   string
		faults kvstore.Faults
		want   error
		stored bool
	}{
		{name: "outage", faults: kvstore.Faults{Outage: true}, want: keyvalue.ErrUnavailable},
		{name: "lost after the effect", faults: kvstore.Faults{LoseResponses: 1}, want: keyvalue.ErrUnknown, stored: true},
		{name: "no response in time", faults: kvstore.Faults{Delay: time.Hour}, want: keyvalue.ErrUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store := kvstore.New()
			server := httptest.NewServer(store.Handler())
			defer server.Close()
			client := keyvalue.NewClient(server.Listener.Addr().String(), keyvalue.WithTimeout(100*time.Millisecond))
			store.SetFaults(c.faults)
			_, err := client.Swap(t.Context(), "k", 0, []byte("v"))
			must.ErrorIs(t, err, c.want)
			store.SetFaults(kvstore.Faults{})
			_, err = store.Get(t.Context(), "k")
			must.Eq(t, c.stored, err == nil)
		})
	}
}

func TestClientStatuses(t *testing.T) {
	cases := []struct {
		status int
		want   error
	}{
		{status: http.StatusTooManyRequests, want: keyvalue.ErrUnavailable},
		{status: http.StatusServiceUnavailable, want: keyvalue.ErrUnavailable},
		{status: http.StatusInternalServerError, want: keyvalue.ErrUnknown},
	}
	for _, c := range cases {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
		}))
		_, err := keyvalue.NewClient(server.Listener.Addr().String()).Swap(t.Context(), "k", 0, nil)
		must.ErrorIs(t, err, c.want)
		server.Close()
	}
}

func TestClientRefusedConnectionHasNoEffect(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	_, err = keyvalue.NewClient(address).Swap(t.Context(), "k", 0, nil)
	must.ErrorIs(t, err, keyvalue.ErrUnavailable)
}
