package replica

import (
	"fmt"
	"testing"
	"time"

	"hawthornway/config"
	"hawthornway/engine"
	"hawthornway/fleet"
	"hawthornway/member"
	"hawthornway/model"
	"hawthornway/target"
	"hawthornway/team"
)

// fleetSizes are the fleet sizes of the benchmarks: a single deployment today,
// a tenth of the planned fleet, and the planned fleet.
var fleetSizes = []struct{ engines, models, adapters, domains int }{
	{9, 50, 60, 3},
	{170, 100, 160, 10},
	{1700, 1000, 1600, 10},
}

func benchConfig(engines, models, adapters, domains int) *config.Config {
	cfg := &config.Config{}
	for i := range engines {
		cfg.Targets = append(cfg.Targets, config.Target{
			Name: target.ID(fmt.Sprintf("e%d", i)), Domain: fleet.DomainID(fmt.Sprintf("d%d", i%domains)), Pool: "p",
			Memory: 100, Slots: 8, Kind: target.KindEngine,
		})
	}
	for i := range models {
		cfg.Models = append(cfg.Models, config.Model{
			Name: testModel(i), Version: "1", Pool: "p", Memory: 20, LoadTime: 4 * time.Second, MaxReplicas: 2,
		})
	}
	for i := range adapters {
		cfg.Adapters = append(cfg.Adapters, config.Adapter{
			Name: model.Name(fmt.Sprintf("a%d", i)), Version: "1", Base: testModel(i % models), Memory: 1,
		})
	}
	return cfg
}

// fullGroup returns the largest group of a layout, with active engines that
// hold four models each.
func fullGroup(l *layout) (*Group, time.Time) {
	key := l.groups[0]
	for _, k := range l.groups {
		if len(l.targets[k]) > len(l.targets[key]) {
			key = k
		}
	}
	now := time.Unix(1000, 0)
	g := NewGroup(key, fleet.Member{Host: "h", Domain: key.Domain})
	g.Step(now, Configured{Engines: l.targets[key], Catalog: l.catalog})
	lease := LeaseChanged{Lease: member.Lease{Fence: 1, Since: now, HandedOver: true}, OK: true}
	g.Step(now, lease)
	for i, e := range g.engines {
		e.phase, e.fence, e.claimed, e.hasReport = phaseActive, 1, true, true
		for n := range 4 {
			item := l.catalog.Item(testModel((i*4 + n) % len(l.catalog.items)))
			if item == nil || e.find(item.Ref.Name) != nil {
				continue
			}
			rep := g.decideLoad(e, item, "a", SourceRemote)
			rep.state, rep.seen, rep.load.maybeSent, rep.load.accepted = replicaReady, true, true, true
			rep.lastUse, rep.readyAt = now, now
			e.report.Replicas = append(e.report.Replicas, engine.Replica{Ref: item.Ref, Bytes: item.Bytes})
		}
		e.recordedVersion = e.version
	}
	return g, now.Add(10 * time.Second)
}

// BenchmarkRequestForReadyModel measures a load request whose model is ready.
func BenchmarkRequestForReadyModel(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("engines=%d", size.engines), func(b *testing.B) {
			g, now := fullGroup(newLayout(benchConfig(size.engines, size.models, size.adapters, size.domains)))
			name := g.engines[0].replicas[0].ref.Name
			b.ReportAllocs()
			for i := range b.N {
				g.Step(now, LoadRequested{ID: RequestID(i), Request: LoadRequest{Model: name, Team: "a", Deadline: now.Add(time.Minute)}})
			}
		})
	}
}

// BenchmarkPlace measures the choice of an engine for a model when all memory
// is in use, so that evictions are evaluated on every engine of the group.
func BenchmarkPlace(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("engines=%d", size.engines), func(b *testing.B) {
			l := newLayout(benchConfig(size.engines, size.models, size.adapters, size.domains))
			g, now := fullGroup(l)
			g.now = now
			item := *l.catalog.Item("m0")
			item.Ref.Name = "new"
			item.Bytes = 60
			b.ReportMetric(float64(len(g.engines)), "engines/group")
			b.ReportAllocs()
			for range b.N {
				g.place(&item, &queuedLoad{name: "new", team: "b"})
			}
		})
	}
}

// BenchmarkRank measures the ranking of a pool's groups for a model.
func BenchmarkRank(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("engines=%d", size.engines), func(b *testing.B) {
			l := newLayout(benchConfig(size.engines, size.models, size.adapters, size.domains))
			b.ReportMetric(float64(len(l.groups)), "groups")
			b.ReportAllocs()
			for range b.N {
				l.rank("m1")
			}
		})
	}
}

// BenchmarkBegin measures what each request reads from the view: a model's
// replicas, a target's load and the count of the request.
func BenchmarkBegin(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("engines=%d", size.engines), func(b *testing.B) {
			l := newLayout(benchConfig(size.engines, size.models, size.adapters, size.domains))
			v := newView()
			v.setLayout(l)
			for i, key := range l.groups {
				d := Digest{Sequence: DigestSequence{Fence: 1, Number: 1}}
				for n, t := range l.targets[key] {
					d.Listings = append(d.Listings, Listing{Target: t.Name, Ref: l.catalog.Item(testModel((i + n) % size.models)).Ref})
				}
				v.applyDigest(key, d)
			}
			b.ReportAllocs()
			for range b.N {
				r := v.ready("m1")[0]
				v.targetLoad(r.Target)
				c, _ := v.begin(replicaKey{r.Target, r.Ref.Name})
				c.running.Add(-1)
			}
		})
	}
}

// BenchmarkLoadQueue measures a push, a query of the position in the queue, and
// a removal.
func BenchmarkLoadQueue(b *testing.B) {
	for _, n := range []int{50, 160, 1600} {
		b.Run(fmt.Sprintf("waiting=%d", n), func(b *testing.B) {
			l := newLoadQueue()
			now := time.Unix(1000, 0)
			for i := range n {
				id := team.ID(fmt.Sprintf("t%d", i%5))
				l.push(&queuedLoad{name: testModel(i), team: id, deadline: now.Add(time.Duration(i*7919%1000) * time.Second)}, 1)
			}
			w := &queuedLoad{name: "new", team: "t1", deadline: now.Add(500 * time.Second)}
			b.ReportAllocs()
			for range b.N {
				l.push(w, 1)
				l.ahead("t1", 1, w.deadline)
				l.remove(w)
			}
		})
	}
}
