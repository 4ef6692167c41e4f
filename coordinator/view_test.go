package coordinator

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/shoenig/test/must"

	"hawthornway/boottime"
	"hawthornway/catalog"
	"hawthornway/election"
	"hawthornway/fleet"
	"hawthornway/keyvalue"
	"hawthornway/model"
	"hawthornway/pace"
	"hawthornway/peer"
	"hawthornway/roster"
	"hawthornway/slowdown"
	"hawthornway/target"
	"hawthornway/team"
)

// recordingReceiver is a ViewReceiver that records targets and models. It is also the
// mesh and the Leaders of its client.
type recordingReceiver struct {
	*peer.Links
	targets map[target.ID]roster.Target
	// saved holds the models passed to the receiver for each engine.
	saved map[target.ID][]roster.Resident
}

func (r *recordingReceiver) Leader() (election.Leader, bool) {
	return election.Leader{Host: "other", Fence: 1}, true
}

func (r *recordingReceiver) Learn(election.Leader) {}

func (r *recordingReceiver) Prefer(fleet.HostID) {}

func (*recordingReceiver) UpdateEvacuations(roster.Evacuations) {}

func (r *recordingReceiver) UpdateTargets(changes roster.Changes) {
	for _, t := range changes.Changed {
		r.targets[t.ID] = t
	}
	for _, removed := range changes.Removed {
		delete(r.targets, removed.ID)
	}
	listed := map[target.ID]bool{}
	for _, id := range changes.All {
		listed[id] = true
	}
	for id := range r.targets {
		if !listed[id] && slices.Contains(changes.Buckets, roster.BucketOf(id)) {
			delete(r.targets, id)
		}
	}
}

func (*recordingReceiver) Digests() roster.Digests { return roster.Digests{} }
func (*recordingReceiver) Lapses() int             { return 0 }

func (r *recordingReceiver) SetModels(id target.ID, _ roster.StartID, models []roster.Resident) {
	r.saved[id] = models
}

func (*recordingReceiver) StoreChanges() (int, keyvalue.Revision)                              { return 0, 0 }
func (*recordingReceiver) ConfirmCurrent(catalog.Version, keyvalue.Revision, boottime.Instant) {}

func newRecordingClient() (*recordingReceiver, *Client) {
	log := slog.New(slog.DiscardHandler)
	r := &recordingReceiver{
		Links: peer.New(peer.WithSelf(fleet.Member{Host: "h"}), peer.WithLogger(log)), targets: map[target.ID]roster.Target{},
		saved: map[target.ID][]roster.Resident{},
	}
	local := New(WithMesh(r.Links), WithLogger(log))
	c := NewClient(r, r, local, r, func() Usage { return Usage{} }, func(target.ID, int) {}, clockwork.NewFakeClock(), boottime.NewFakeClock(1), log)
	return r, c
}

func allBuckets() []roster.Bucket {
	var buckets []roster.Bucket
	for i := range roster.Bucket(roster.Buckets) {
		buckets = append(buckets, i)
	}
	return buckets
}

func engineWithModels(version uint64, names ...model.Name) wireEngine {
	e := wireEngine{Version: version, Target: "e"}
	for _, name := range names {
		e.Models = append(e.Models, wireResident{Model: name})
	}
	return e
}

// When the coordinator is replaced, or the host falls back to the store, the models
// from the former coordinator's views are newer than the registrations and must be
// saved.
func TestModelsFromFormerCoordinatorAreSaved(t *testing.T) {
	cases := []struct {
		name    string
		endTerm func(c *Client)
	}{
		{"another coordinator", func(c *Client) { c.applyView(wireView{Fence: 2, Version: 1}, 0) }},
		{"the store alone", func(c *Client) { c.SaveModels() }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r, c := newRecordingClient()
			c.applyView(wireView{Fence: 1, Version: 4, Engines: []wireEngine{engineWithModels(4, "m1", "m2")}}, 0)
			must.MapEmpty(t, r.saved)
			tc.endTerm(c)
			must.Eq(t, []roster.Resident{{Model: "m1"}, {Model: "m2"}}, r.saved["e"])
		})
	}
}

// The answer to a report may be made before a change and arrive after the broadcast of
// the change. The host must keep the newer state.
func TestReorderedViewsKeepNewestModels(t *testing.T) {
	cases := []struct {
		name  string
		views []wireView
		holds model.Name
	}{
		{"in order", []wireView{
			{Fence: 1, Version: 1, Answer: true, Engines: []wireEngine{engineWithModels(1, "old")}},
			{Fence: 1, Since: 1, Version: 2, Engines: []wireEngine{engineWithModels(2, "new")}},
		}, "new"},
		{"out of order", []wireView{
			{Fence: 1, Since: 1, Version: 2, Engines: []wireEngine{engineWithModels(2, "new")}},
			{Fence: 1, Version: 1, Answer: true, Engines: []wireEngine{engineWithModels(1, "old")}},
		}, "new"},
		{"of a former coordinator", []wireView{
			{Fence: 2, Version: 1, Answer: true, Engines: []wireEngine{engineWithModels(1, "new")}},
			{Fence: 1, Version: 9, Engines: []wireEngine{engineWithModels(9, "old")}},
		}, "new"},
		{"of the next coordinator", []wireView{
			{Fence: 1, Version: 9, Engines: []wireEngine{engineWithModels(9, "old")}},
			{Fence: 2, Version: 1, Answer: true, Engines: []wireEngine{engineWithModels(1, "new")}},
		}, "new"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, c := newRecordingClient()
			for _, view := range tc.views {
				c.applyView(view, 1)
			}
			must.True(t, c.Holdings(roster.Target{ID: "e"}).Has(tc.holds, ""))
		})
	}
}

func TestReorderedViewsKeepNewestTargets(t *testing.T) {
	r, c := newRecordingClient()
	r.targets["unknown"] = roster.Target{ID: "unknown"}
	c.applyView(wireView{Fence: 1, Since: 1, Version: 2, Targets: []wireTarget{{ID: "late", Version: 2}}, Removed: []wireRemoved{{ID: "gone", Version: 2}}}, 0)
	c.applyView(wireView{Fence: 1, Version: 1, Answer: true, CompleteBuckets: allBuckets(), Targets: []wireTarget{{ID: "a", Version: 1}, {ID: "gone", Version: 1}}}, 1)
	ids := map[target.ID]bool{}
	for id := range r.targets {
		ids[id] = true
	}
	must.Eq(t, map[target.ID]bool{"a": true, "late": true}, ids)
}

// selfLeader is a host that still regards itself as the coordinator.
type selfLeader struct{ *recordingReceiver }

func (selfLeader) Leader() (election.Leader, bool) {
	return election.Leader{Host: "h", Fence: 1}, true
}

// A coordinator whose term ended because the store refuses it doesn't know its
// successor, but receives the successor's views. It must stay connected.
func TestFormerCoordinatorStaysConnected(t *testing.T) {
	r, c := newRecordingClient()
	c.leaders = selfLeader{r}
	c.local.terms = noTerm{}
	c.followCoordinator()
	c.applyView(wireView{Fence: 2, Version: 1}, 0)
	for range 10 {
		c.report(t.Context())
		must.True(t, c.connected)
	}
}

type noTerm struct{}

func (noTerm) Term() (target.Fence, bool, bool) { return 0, false, false }

func (noTerm) OrderDelay() time.Duration { return 0 }
func (noTerm) FirstTerm() bool           { return false }

// A view that follows a missed view must not advance the client's version, so that the
// next report asks for the missing changes.
func TestMissedViewDoesNotAdvanceVersion(t *testing.T) {
	_, c := newRecordingClient()
	c.applyView(wireView{Fence: 1, Version: 3, Answer: true}, 1)
	c.applyView(wireView{Fence: 1, Since: 4, Version: 5}, 0)
	must.Eq(t, uint64(3), c.version)
	c.applyView(wireView{Fence: 1, Since: 3, Version: 4}, 0)
	must.Eq(t, uint64(4), c.version)
}

// While one coordinator replaces another, hosts have no contact for the old one's lease
// and longer. They count as isolated only after that, also right after their start.
func TestIsIsolatedOnlyAfterTheTimeOfATakeover(t *testing.T) {
	cases := []struct {
		name  string
		hosts int
		since time.Duration
		want  bool
	}{
		{"small fleet, during a takeover", 8, election.TakeoverTime, false},
		{"small fleet, after it", 8, election.TakeoverTime + reportIntervalSmallFleet, true},
		{"large fleet, next report due", 195, election.TakeoverTime + reportIntervalSmallFleet, false},
		{"large fleet, after it", 195, election.TakeoverTime + reportIntervalLargeFleet, true},
		{"no coordinator yet", 0, election.TakeoverTime, false},
		{"never a coordinator", 0, election.TakeoverTime + reportIntervalSmallFleet, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, c := newRecordingClient()
			clock := c.clock.(*clockwork.FakeClock)
			if tc.hosts > 0 {
				clock.Advance(time.Minute)
				c.applyView(wireView{Fence: 1, Version: 1, Hosts: tc.hosts}, 0)
			}
			clock.Advance(tc.since)
			must.Eq(t, tc.want, c.Isolated())
		})
	}
}

// A coordinator has to tell a host that holds no reserve from one of an older build, which
// doesn't say.
func TestReserveSharesOnTheWire(t *testing.T) {
	cases := []struct {
		name  string
		sent  *wireReserveShares
		heard map[team.ID]float64
	}{
		{"older build", nil, nil},
		{"none held", &wireReserveShares{}, map[team.ID]float64{}},
		{"one held", &wireReserveShares{map[team.ID]float64{"one": 0.25}}, map[team.ID]float64{"one": 0.25}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			encoded, err := peer.Encode(wireReport{ReserveShares: tc.sent})
			must.NoError(t, err)
			var report wireReport
			must.NoError(t, peer.Decode(encoded, &report))
			heard := report.ReserveShares.list()
			must.Eq(t, tc.heard == nil, heard == nil)
			must.MapEq(t, tc.heard, heard)
		})
	}
}

// Guards against a host that isn't told of an evacuation, or of its end, since the view with it was
// lost, and against one that takes a coordinator of an older build for one that knows of none.
func TestEvacuationsReachHosts(t *testing.T) {
	f := newLapsingFleet(t)
	set := func(at keyvalue.Revision, domains ...fleet.DomainID) {
		f.roster.SetEvacuations(roster.NewEvacuations(domains, at), 0)
		f.read = at
	}
	set(11, "z")
	f.announce()
	must.Eq(t, []fleet.DomainID{"z"}, f.host.Evacuations().Domains)
	must.SliceEmpty(t, f.host.Ready("p"))

	deliver := f.coordinator.deliverLocal
	f.coordinator.deliverLocal = func(wireView) {} // lost
	set(12)
	f.announce()
	must.SliceEmpty(t, f.host.Ready("p"))
	f.coordinator.deliverLocal = deliver
	f.report(t)
	must.SliceLen(t, 3, f.host.Ready("p"))

	set(13, "z")
	f.announce()
	relayed := f.receiver.relayed
	view, err := f.coordinator.report("h", wireReport{Since: f.client.version, Fence: f.client.fence})
	must.NoError(t, err)
	view.Evacuated, view.ReadRevision = nil, 20
	f.client.applyView(view, 1)
	must.Eq(t, []fleet.DomainID{"z"}, f.host.Evacuations().Domains)
	must.Eq(t, relayed, f.receiver.relayed, must.Sprint("what an older build relays is read again"))

	f.lead(roster.New(f.clock)) // has read the store up to 30, where nothing is evacuated
	f.read = 30
	f.announce()
	must.SliceEmpty(t, f.host.Evacuations().Domains)
}

// Guards against a cold target of which hosts aren't told together with its registration, or whose
// limit hosts take for one that it states for good.
func TestColdTargetsReachHosts(t *testing.T) {
	f := newLapsingFleet(t)
	f.client.boot = f.clock
	f.client.local = New(WithMesh(peer.New()), WithBootClock(f.clock), WithLogger(slog.New(slog.DiscardHandler)))
	cold := pace.Key{Target: "i-1", Start: 1}
	f.coordinator.limits.Observe(cold, 11, 7, 3*time.Second)
	f.announce()
	s, limited := f.client.local.limits.Limit(cold)
	must.True(t, limited)
	must.Eq(t, 7, s.Rate)
	must.Eq(t, f.coordinator.limits.Digest(), f.client.local.limits.Digest())

	// A host that knows of another target asks for a place at it.
	other := pace.NewLimits(f.clock)
	asked := pace.Key{Target: "i-2", Start: 1}
	other.Observe(asked, 12, 5, 2*time.Second)
	place, err := f.coordinator.reserve("h", wireReserve{Limits: newWireLimits(other.Statements([]pace.Key{asked}), f.clock.Now()), MaxWait: 1000})
	must.NoError(t, err)
	must.Eq(t, "i-2", place.Target)
	must.Positive(t, place.Wait)
	must.False(t, f.coordinator.limits.Stated(asked))
	f.clock.Advance(4 * time.Second)
	for _, key := range []pace.Key{cold, asked} {
		_, limited := f.coordinator.limits.Limit(key)
		must.False(t, limited, must.Sprint("it is warm"))
	}
}

// Guards against hosts that don't learn how slow an engine is, or what others send there, and
// against loads that are sent of pools whose targets don't state how long work takes.
func TestLoadsOfUnevenTargetsReachHosts(t *testing.T) {
	f := newLapsingFleet(t)
	loads, factors := map[target.ID]int{}, map[target.ID]slowdown.Factor{}
	f.client.updateLoad = func(id target.ID, n int) { loads[id] = n }
	f.client.updateSlowdown = func(id target.ID, factor slowdown.Factor) { factors[id] = factor }
	for i := range 3 {
		registered := newRegistered(i, 1)
		f.coordinator.engines[registered.ID] = &engine{target: registered, start: 1}
	}
	running := []wireRunning{{Target: "i-0", Model: "m", Count: 8}}
	_, err := f.coordinator.report("other", wireReport{Fence: f.client.fence, Running: running})
	must.NoError(t, err)
	f.report(t)
	must.MapEmpty(t, loads)

	var stated []wireStated
	for i, percents := range []int{100, 100, 300} {
		stated = append(stated, wireStated{target.ID(fmt.Sprint("i-", i)), 1, percents * 50, 50})
	}
	_, err = f.coordinator.report("other", wireReport{Fence: f.client.fence, Running: running, Stated: append(stated, wireStated{"unknown", 1, 1, 1})})
	must.NoError(t, err)
	f.report(t)
	must.Eq(t, 8, loads["i-0"])
	must.Greater(t, 2, factors["i-2"])
	must.Less(t, 1.1, factors["i-1"])
	must.MapNotContainsKey(t, factors, "unknown")

	// Guards against loads of engines that have left, which would be kept until the term ends.
	delete(f.coordinator.engines, "i-0")
	now := f.coordinator.clock.Now().Add(time.Second)
	f.coordinator.updateLoads(now)
	f.report(t)
	must.MapNotContainsKey(t, f.client.loads, "i-0")
	must.MapContainsKey(t, f.client.loads, "i-1")
	f.coordinator.updateLoads(now.Add(goneRetention + time.Second))
	must.MapNotContainsKey(t, f.coordinator.loads.current, "i-0")
}

// Load: thousands of engines whose loads change, and hundreds of hosts. Guards against answers that
// grow with the number of engines, and against loads that a host never gets.
func TestLoadsAreSentInParts(t *testing.T) {
	table := newLoadTable()
	const engines = 1000
	for i := range engines {
		table.set(wireLoad{Target: target.ID(fmt.Sprint("i-", i)), Running: 8, Slowdown: 100})
	}
	got := map[target.ID]wireLoad{}
	seen := uint64(0)
	answers := 0
	receive := func() int {
		loads, upTo := table.since(seen)
		seen = upTo
		for _, l := range loads {
			got[l.Target] = l
		}
		must.LessEq(t, maxLoadsPerAnswer, len(loads))
		return len(loads)
	}
	for answers < 100 && receive() > 0 {
		if answers++; answers <= 20 { // some change while others are yet to be sent
			table.set(wireLoad{Target: target.ID(fmt.Sprint("i-", answers)), Running: 8 + 4*answers, Slowdown: 100})
		}
	}
	must.MapLen(t, engines, got)
	for id, current := range table.current {
		must.Eq(t, current.load, got[id])
	}
	table.set(wireLoad{Target: "i-999", Running: 9, Slowdown: 103})
	must.Zero(t, receive(), must.Sprint("a change that doesn't matter"))
	for i := range 10 * engines {
		table.set(wireLoad{Target: "i-0", Running: 4 * i, Slowdown: 100})
	}
	must.Eq(t, 1, receive())
	must.LessEq(t, 3*engines, len(table.changes))
}
