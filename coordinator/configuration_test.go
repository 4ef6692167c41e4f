package coordinator

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/boottime"
	"hawthornway/catalog"
	"hawthornway/election"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/peer"
	"hawthornway/target"
)

// narrowMesh connects hosts to a coordinator whose answers share one link. An answer
// that nobody waits for any more takes up the link all the same.
type narrowMesh struct {
	partialMesh
	handlers       map[peer.Kind]peer.Handler
	bytesPerSecond int
	// busyUntil is when the link has sent all answers, and maxBacklog the longest time
	// that an answer waited for it.
	busyUntil  time.Time
	maxBacklog time.Duration
}

func (m *narrowMesh) Handle(kind peer.Kind, handler peer.Handler) { m.handlers[kind] = handler }

func (m *narrowMesh) Call(ctx context.Context, _ fleet.HostID, kind peer.Kind, request, response any) error {
	body, err := peer.Encode(request)
	if err != nil {
		return err
	}
	answer, err := m.handlers[kind](ctx, fleet.Member{}, body)
	if err != nil {
		return err
	}
	if body, err = peer.Encode(answer); err != nil {
		return err
	}
	m.mu.Lock()
	now := time.Now()
	if m.busyUntil.Before(now) {
		m.busyUntil = now
	}
	m.maxBacklog = max(m.maxBacklog, m.busyUntil.Sub(now))
	m.busyUntil = m.busyUntil.Add(time.Duration(len(body)) * time.Second / time.Duration(m.bytesPerSecond))
	arrival := m.busyUntil
	m.mu.Unlock()
	select {
	case <-time.After(time.Until(arrival)):
		return peer.Decode(body, response)
	case <-ctx.Done():
		return peer.ErrUnanswered
	}
}

// routes returns a configuration of many routes, of which names and paths differ.
func routes(n int) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	var b strings.Builder
	for range n {
		fmt.Fprintf(&b, `{"name":"r-%07x","hostname":"h%d.example","prefix":"/%06x/","route_kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"s","max_attempts":2},`,
			random.IntN(1<<28), random.IntN(20), random.IntN(1<<24))
	}
	return []byte(b.String())
}

// The store refuses all other hosts when the operator adds thousands of routes. They must
// read the configuration from the coordinator although its link needs seconds for all of
// them, and its views must not wait behind copies of the configuration.
func TestRefusedHostsReadLargeConfigurationFromCoordinator(t *testing.T) {
	const (
		hosts          = 20
		bytesPerSecond = 10_000_000 / 8
		maxDelay       = 8 * time.Second
		maxBacklog     = 500 * time.Millisecond
		retryDelay     = 200 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		mesh := &narrowMesh{handlers: map[peer.Kind]peer.Handler{}, bytesPerSecond: bytesPerSecond}
		entry := keyvalue.Entry{Key: "op/config", Revision: 20, Value: routes(5000)}
		local := New(WithMesh(mesh), WithConfigEntry(func() (keyvalue.Entry, bool) { return entry, true }))
		start := time.Now()
		clients := make([]*Client, hosts)
		for i := range clients {
			c := NewClient(mesh, mesh, local, mesh, func() Usage { return Usage{} }, func(target.ID, int) {},
				clockwork.NewRealClock(), boottime.SystemClock{}, slog.New(slog.DiscardHandler))
			c.leader = election.Leader{Host: "leader"}
			clients[i] = c
		}
		var reading sync.WaitGroup
		for _, c := range clients {
			reading.Go(func() {
				for time.Since(start) < maxDelay {
					got, err := c.Configuration(t.Context())
					if err == nil {
						must.Eq(t, entry.Revision, got.Revision)
						must.True(t, bytes.Equal(entry.Value, got.Value))
						return
					}
					time.Sleep(retryDelay)
				}
				t.Error("configuration not read")
			})
		}
		reading.Wait()
		must.LessEq(t, maxBacklog, mesh.maxBacklog)
	})
}

// The store has returned from an older copy, and the host that just started leads. It must
// read the newest configuration from a host that reports it, and name its own version to
// hosts only once it is known to be the newest.
func TestCoordinatorReadsNewerConfigurationFromHost(t *testing.T) {
	entry := keyvalue.Entry{Key: "op/config", Revision: 9, Value: routes(2000)}
	newest := New(WithMesh(&partialMesh{}), WithConfigEntry(func() (keyvalue.Entry, bool) { return entry, true }))
	var asked []fleet.HostID
	mesh := &partialMesh{answers: map[fleet.HostID]func(peer.Kind, any) error{}}
	offset := 0
	for _, host := range []fleet.HostID{"older", "newer"} {
		mesh.answers[host] = func(_ peer.Kind, response any) error {
			asked = append(asked, host)
			part := response.(*wireConfigPart)
			data, content, err := newest.compressed.of(entry.Value)
			if err != nil {
				return err
			}
			*part = wireConfigPart{Key: entry.Key, Revision: entry.Revision, Content: content, Size: len(data), Offset: offset, Data: data[offset:min(len(data), offset+configPartBytes)]}
			offset += len(part.Data)
			return nil
		}
	}
	var announced []catalog.Version
	c := New(WithMesh(mesh), WithTerms(&changingTerms{fence: 1, leads: true}), WithLogger(slog.New(slog.DiscardHandler)),
		WithNewerConfig(func(v catalog.Version) { announced = append(announced, v) }))
	client := NewClient(mesh, mesh, c, mesh, func() Usage { return Usage{} }, func(target.ID, int) {},
		clockwork.NewRealClock(), boottime.SystemClock{}, slog.New(slog.DiscardHandler))
	client.leader = election.Leader{Host: "h"}
	c.beginTerm(1)
	_, err := client.Configuration(t.Context())
	must.ErrorContains(t, err, "no other host")
	for _, report := range []struct {
		host    fleet.HostID
		version catalog.Version
	}{{"starting", 0}, {"older", 3}, {"newer", 5}, {"older", 3}} {
		view, err := c.report(report.host, wireReport{Config: report.version})
		must.NoError(t, err)
		must.Eq(t, 0, view.Config)
	}
	must.Eq(t, []catalog.Version{3, 5}, announced)
	got, err := client.Configuration(t.Context())
	must.NoError(t, err)
	must.True(t, bytes.Equal(entry.Value, got.Value))
	must.SliceNotContains(t, asked, "older")
	_, leads := c.TermAge()
	must.True(t, leads)
}

// Parts of different configurations, repeated and damaged parts arrive in any order. A
// complete download must be one of the configurations, and must come to an end once the
// parts are sound.
func TestDownloadIsOneConfiguration(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		entries := make([]keyvalue.Entry, 3)
		for i := range entries {
			entries[i] = keyvalue.Entry{Key: "op/config", Revision: keyvalue.Revision(i + 1), Value: routes(1 + random.IntN(1500))}
		}
		current := 0
		c := New(WithMesh(&partialMesh{}), WithConfigEntry(func() (keyvalue.Entry, bool) { return entries[current], true }))
		var d configDownload
		for step := 0; ; step++ {
			must.Less(t, 200, step, must.Sprint(seed))
			if step < 50 && random.IntN(4) == 0 {
				current = random.IntN(len(entries))
			}
			body, err := peer.Encode(d.next())
			must.NoError(t, err)
			answer, err := c.handleConfigPart(t.Context(), fleet.Member{}, body)
			must.NoError(t, err)
			part := answer.(wireConfigPart)
			if step < 50 {
				damage(&part, random)
			}
			complete, err := d.add(part)
			if err != nil || !complete {
				continue
			}
			got, err := d.entry()
			d.restart()
			if err != nil {
				must.Less(t, 100, step, must.Sprint(seed))
				continue
			}
			must.True(t, slices.ContainsFunc(entries, func(e keyvalue.Entry) bool { return bytes.Equal(e.Value, got.Value) }), must.Sprint(seed))
			break
		}
	}
}

// damage changes a part as a faulty host might.
func damage(part *wireConfigPart, random *rand.Rand) {
	switch random.IntN(12) {
	case 0:
		part.Data = nil
	case 1:
		part.Data = bytes.Repeat([]byte{7}, len(part.Data))
	case 2:
		part.Offset += random.IntN(9) - 4
	case 3:
		part.Size = random.IntN(9) - 4
	}
}
