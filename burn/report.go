package burn

import (
	"cmp"
	"slices"
	"time"

	"hawthornway/config"
	"hawthornway/fleet"
)

// Part is one host's counts, by the objective's name and in the order of
// Windows.
type Part struct {
	Host   fleet.HostID       `json:"host"`
	Counts map[string][]Count `json:"counts"`
}

// Report is the burn of all objectives over all hosts that answered.
type Report struct {
	At         time.Time       `json:"at"`
	Objectives []ObjectiveBurn `json:"objectives"`
	Answered   []fleet.HostID  `json:"answered"`
	// Silent are the hosts that did not answer. Their calls are missing.
	Silent []fleet.HostID `json:"silent,omitempty"`
}

// ObjectiveBurn is the burn of one objective.
type ObjectiveBurn struct {
	Objective config.Objective `json:"objective"`
	Windows   []WindowBurn     `json:"windows"`
	Alert     Alert            `json:"alert"`
}

// WindowBurn is the burn over one window.
type WindowBurn struct {
	Window time.Duration `json:"window"`
	Count
	// Rate is the part of calls that missed, divided by the part that may. At
	// one, the budget lasts exactly for the objective's window.
	Rate float64 `json:"rate"`
}

// Alert says what an objective asks of the on-call engineer.
type Alert string

// The alerts, most urgent last.
const (
	AlertNone   Alert = "none"
	AlertTicket Alert = "ticket"
	AlertPage   Alert = "page"
)

const (
	// pageRate uses 2% of a budget of 30 days within an hour.
	pageRate = 14.4
	// ticketRate uses 5% of a budget of 30 days within 6 hours.
	ticketRate = 6
)

// Merge makes the report of the parts that hosts answered with.
func Merge(at time.Time, objectives []config.Objective, parts []Part, silent []fleet.HostID) Report {
	report := Report{At: at, Silent: slices.Sorted(slices.Values(silent))}
	for _, part := range parts {
		report.Answered = append(report.Answered, part.Host)
	}
	slices.Sort(report.Answered)
	for _, o := range objectives {
		report.Objectives = append(report.Objectives, mergeObjective(o, parts))
	}
	slices.SortStableFunc(report.Objectives, func(a, b ObjectiveBurn) int {
		return cmp.Compare(b.Windows[0].Rate, a.Windows[0].Rate)
	})
	return report
}

func mergeObjective(o config.Objective, parts []Part) ObjectiveBurn {
	merged := ObjectiveBurn{Objective: o}
	for i, window := range Windows {
		w := WindowBurn{Window: window}
		for _, part := range parts {
			if counts := part.Counts[o.Name]; i < len(counts) {
				w.Count.add(counts[i])
			}
		}
		w.Rate = burnRate(o, w.Count)
		merged.Windows = append(merged.Windows, w)
	}
	merged.Alert = alertOf(merged.Windows)
	return merged
}

func burnRate(o config.Objective, c Count) float64 {
	allowed := 1 - o.Share
	if c.Calls == 0 || allowed <= 0 {
		return 0
	}
	return float64(c.misses()) / float64(c.Calls) / allowed
}

// alertOf asks for two windows to burn, so that an alert ends soon after its
// cause: 5 minutes and an hour for a page, an hour and 6 hours for a ticket.
func alertOf(windows []WindowBurn) Alert {
	switch {
	case windows[0].Rate >= pageRate && windows[1].Rate >= pageRate:
		return AlertPage
	case windows[1].Rate >= ticketRate && windows[2].Rate >= ticketRate:
		return AlertTicket
	default:
		return AlertNone
	}
}
