package burn

import (
	"slices"
	"time"

	"hawthornway/fleet"
	"hawthornway/model"
	"hawthornway/team"
)

// A chart shows the latest pointCount points. Each covers a period of pointStep.
const (
	pointStep  = 5 * time.Minute
	pointCount = 72
)

// Report holds the burn of the error budgets on one or more hosts.
type Report struct {
	At time.Time `json:"at"`
	// Hosts are the hosts whose counts are included.
	Hosts []ReportedHost `json:"hosts"`
	// Missing are the hosts that did not respond.
	Missing    []fleet.HostID `json:"missing,omitempty"`
	Objectives []Objective    `json:"objectives"`
}

// ReportedHost is a host whose counts are included in a report.
type ReportedHost struct {
	Host fleet.HostID `json:"host"`
	// Since is the time when the host started counting.
	Since time.Time `json:"since"`
}

// Objective holds the counts of one objective on one or more hosts.
type Objective struct {
	Name  string     `json:"name"`
	Team  team.ID    `json:"team,omitempty"`
	Model model.Name `json:"model,omitempty"`
	// Share is the fraction of requests that must meet the objective.
	Share float64 `json:"share"`
	// Window is the time over which Share is counted, in nanoseconds.
	Window  time.Duration `json:"window-ns"`
	Windows []Window      `json:"windows"`
	// Points are the counts of the last six hours in five-minute steps.
	Points []Counts `json:"points"`
}

// Window holds the counts of the time window that ends now.
type Window struct {
	// Length is in nanoseconds.
	Length time.Duration `json:"length-ns"`
	Counts
}

// Rate returns the burn rate of the error budget. At rate 1, the budget is used
// up exactly at the end of the objective's window.
func (o Objective) Rate(c Counts) float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Bad()) / float64(c.Total) / (1 - o.Share)
}

// RateOver returns the burn rate of the window with the given length, or zero if
// there is no such window.
func (o Objective) RateOver(length time.Duration) float64 {
	for _, w := range o.Windows {
		if w.Length == length {
			return o.Rate(w.Counts)
		}
	}
	return 0
}

// BudgetUsed returns the fraction of the objective's error budget that was used
// in the longest window, assuming a constant rate of requests.
func (o Objective) BudgetUsed() float64 {
	longest := Windows[len(Windows)-1]
	return o.RateOver(longest) * float64(min(longest, o.Window)) / float64(o.Window)
}

// Severity is the urgency of an alert.
type Severity string

// The severities.
const (
	SeverityNone   Severity = "none"
	SeverityTicket Severity = "ticket"
	SeverityPage   Severity = "page"
)

// Alert is a multi-window alert rule. It fires while the burn rate over both
// windows is at least Rate.
type Alert struct {
	Severity    Severity
	Long, Short time.Duration
	Rate        float64
}

// Alerts are the alert rules, most urgent first. The short window makes an alert
// stop soon after its cause is gone.
var Alerts = []Alert{
	{SeverityPage, time.Hour, 5 * time.Minute, 14.4},
	{SeverityPage, 6 * time.Hour, time.Hour, 6},
	{SeverityTicket, 72 * time.Hour, 6 * time.Hour, 1},
}

// Severity returns the severity of the most urgent alert rule that fires.
func (o Objective) Severity() Severity {
	for _, a := range Alerts {
		if o.RateOver(a.Long) >= a.Rate && o.RateOver(a.Short) >= a.Rate {
			return a.Severity
		}
	}
	return SeverityNone
}

// Merge returns the sum of reports. Each report must be of one host; duplicate
// reports of a host are ignored. Expected hosts without a report are listed as
// missing.
func Merge(at time.Time, reports []Report, expected []fleet.HostID) Report {
	merged := Report{At: at.UTC()}
	seen := map[fleet.HostID]bool{}
	for _, r := range reports {
		if len(r.Hosts) != 1 || seen[r.Hosts[0].Host] {
			continue
		}
		seen[r.Hosts[0].Host] = true
		merged.Hosts = append(merged.Hosts, r.Hosts[0])
		for _, o := range r.Objectives {
			merged.add(o)
		}
	}
	for _, host := range expected {
		if !seen[host] {
			merged.Missing = append(merged.Missing, host)
		}
	}
	slices.Sort(merged.Missing)
	return merged
}

// add adds one host's counts of an objective. Hosts with a different
// configuration may define an objective of the same name differently; such
// objectives are kept separate.
func (r *Report) add(o Objective) {
	for i := range r.Objectives {
		if r.Objectives[i].isSame(o) {
			r.Objectives[i].add(o)
			return
		}
	}
	sum := o
	sum.Windows, sum.Points = nil, nil
	for _, w := range o.Windows {
		sum.Windows = append(sum.Windows, Window{Length: w.Length})
	}
	sum.Points = make([]Counts, len(o.Points))
	sum.add(o)
	r.Objectives = append(r.Objectives, sum)
}

func (o Objective) isSame(other Objective) bool {
	return o.Name == other.Name && o.Team == other.Team && o.Model == other.Model &&
		o.Share == other.Share && o.Window == other.Window &&
		len(o.Windows) == len(other.Windows) && len(o.Points) == len(other.Points)
}

func (o *Objective) add(other Objective) {
	for i, w := range other.Windows {
		o.Windows[i].add(w.Counts)
	}
	for i, p := range other.Points {
		o.Points[i].add(p)
	}
}
