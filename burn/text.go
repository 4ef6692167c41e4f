package burn

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// WriteText writes the report as a table, the fastest burn first.
func (r Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "OBJECTIVE\tTEAM\tMODEL\tTARGET")
	for _, window := range Windows {
		fmt.Fprintf(table, "\tBURN %s", short(window))
	}
	fmt.Fprintln(table, "\tALERT\tUSED BY")
	for _, o := range r.Objectives {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s", o.Objective.Name, orAll(string(o.Objective.Team)), orAll(string(o.Objective.Model)), targetOf(o))
		for _, window := range o.Windows {
			fmt.Fprintf(table, "\t%s", rateText(window))
		}
		fmt.Fprintf(table, "\t%s\t%s\n", o.Alert, usedBy(o))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return r.writeHosts(w)
}

func (r Report) writeHosts(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "\n%d hosts answered", len(r.Answered)); err != nil {
		return err
	}
	if len(r.Silent) > 0 {
		_, err := fmt.Fprintf(w, "; no answer, so missing here: %v\n", r.Silent)
		return err
	}
	_, err := fmt.Fprintln(w)
	return err
}

func orAll(name string) string {
	if name == "" {
		return "all"
	}
	return name
}

// targetOf returns what an objective asks for, such as "95% first token 1.7s".
func targetOf(o ObjectiveBurn) string {
	target := fmt.Sprintf("%.4g%%", o.Objective.Share*100)
	if o.Objective.FirstToken > 0 {
		target += " first token " + o.Objective.FirstToken.String()
	}
	if o.Objective.BetweenTokens > 0 {
		target += " gap " + o.Objective.BetweenTokens.String()
	}
	return target
}

func rateText(w WindowBurn) string {
	if w.Calls == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f (%d/%d)", w.Rate, w.misses(), w.Calls)
}

// usedBy returns the causes of the longest window's misses, the largest first.
func usedBy(o ObjectiveBurn) string {
	longest := o.Windows[len(o.Windows)-1]
	parts := make([]string, 0, len(longest.Missed))
	for _, cause := range causesBySize(longest.Count) {
		parts = append(parts, fmt.Sprintf("%s %d", cause, longest.Missed[cause]))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}

func causesBySize(c Count) []Cause {
	var all []Cause
	for cause := range c.Missed {
		all = append(all, cause)
	}
	slices.SortFunc(all, func(a, b Cause) int {
		if c.Missed[a] != c.Missed[b] {
			return int(c.Missed[b] - c.Missed[a])
		}
		return strings.Compare(string(a), string(b))
	})
	return all
}

// short writes a window without its zero parts.
func short(window time.Duration) string {
	if window >= 24*time.Hour {
		return fmt.Sprintf("%dd", window/(24*time.Hour))
	}
	text := strings.TrimSuffix(window.String(), "0s")
	return strings.TrimSuffix(text, "0m")
}
