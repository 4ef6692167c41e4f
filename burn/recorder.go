package burn

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"hawthornway/config"
	"hawthornway/fleet"
)

// Recorder counts the requests of one host.
type Recorder struct {
	host      fleet.HostID
	clock     clockwork.Clock
	startedAt time.Time

	mu         sync.RWMutex
	objectives []config.Objective
	series     map[config.Objective]*series
}

// NewRecorder returns a new Recorder without any objectives.
func NewRecorder(host fleet.HostID, clock clockwork.Clock) *Recorder {
	return &Recorder{host: host, clock: clock, startedAt: clock.Now(), series: map[config.Objective]*series{}}
}

// SetObjectives replaces the objectives. Unchanged objectives keep their counts.
func (r *Recorder) SetObjectives(objectives []config.Objective) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[config.Objective]*series, len(objectives))
	for _, o := range objectives {
		next[o] = r.series[o]
		if next[o] == nil {
			next[o] = newSeries(r.clock.Now())
		}
	}
	r.objectives, r.series = objectives, next
}

// Record counts a request for each objective that covers it.
func (r *Recorder) Record(e Event) {
	now := r.clock.Now()
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, o := range r.objectives {
		if !e.matches(o) {
			continue
		}
		if counts, missed := e.classify(o); counts {
			r.series[o].add(now, missed)
		}
	}
}

// Report returns the counts of this host.
func (r *Recorder) Report() Report {
	now := r.clock.Now()
	r.mu.RLock()
	defer r.mu.RUnlock()
	report := Report{At: now.UTC(), Hosts: []ReportedHost{{r.host, r.startedAt.UTC()}}}
	for _, o := range r.objectives {
		s := r.series[o]
		objective := Objective{
			Name:   o.Name,
			Team:   o.Team,
			Model:  o.Model,
			Share:  o.Share,
			Window: o.Window,
			Points: s.points(now, pointStep, pointCount),
		}
		for _, w := range Windows {
			objective.Windows = append(objective.Windows, Window{w, s.window(now, w)})
		}
		report.Objectives = append(report.Objectives, objective)
	}
	return report
}
