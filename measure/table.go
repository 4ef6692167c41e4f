package measure

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteTable prints the reports of one case beside each other.
func WriteTable(w io.Writer, reports []Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row(table, "", reports, func(r Report) string { return r.System })
	row(table, "requests", reports, endings)
	for i, c := range reports[0].ColdStarts {
		row(table, "cold start "+string(c.Source)+" p50/p95/p99 ms", reports, func(r Report) string { return coldStart(r.ColdStarts[i]) })
	}
	row(table, "loads memory/disk/remote (unused)", reports, loads)
	row(table, "warm first token p50/p95/p99 ms", reports, func(r Report) string { return quantiles(r.Warm) })
	row(table, "idle GiB-hours", reports, idle)
	row(table, "worst team", reports, worst)
	row(table, "wrongful refusals", reports, wrongful)
	row(table, "added to first token ms p50/p99", reports, func(r Report) string { return added(r, true) })
	row(table, "added per token ms p50/p99", reports, func(r Report) string { return added(r, false) })
	row(table, "platform calls a second", reports, platformCalls)
	row(table, "promises broken", reports, promises)
	row(table, "generator late ms p99", reports, func(r Report) string { return fmt.Sprintf("%.1f", r.SentLate.P99) })
	return table.Flush()
}

func row(w io.Writer, name string, reports []Report, cell func(Report) string) {
	cells := []string{name}
	for _, r := range reports {
		cells = append(cells, cell(r))
	}
	fmt.Fprintln(w, strings.Join(cells, "\t"))
}

func endings(r Report) string { return counts(r.Endings) }

func counts(byName map[string]int) string {
	var parts []string
	for name, n := range byName {
		parts = append(parts, fmt.Sprintf("%s %d", name, n))
	}
	slices.Sort(parts)
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

func quantiles(q Quantiles) string {
	return fmt.Sprintf("%.0f / %.0f / %.0f (n=%d)", q.P50, q.P95, q.P99, q.Count)
}

func coldStart(c ColdStarts) string {
	if c.Count == 0 {
		return "none"
	}
	return fmt.Sprintf("%s, p99 %.2f x bound %.0f", quantiles(c.Quantiles), c.Ratio, c.Bound.P99)
}

func loads(r Report) string {
	var parts []string
	for _, l := range r.Loads {
		parts = append(parts, fmt.Sprintf("%d (%d) p50 %.0f ms", l.Count, l.Unused, l.P50))
	}
	return strings.Join(parts, " / ")
}

func idle(r Report) string {
	return fmt.Sprintf("%.2f (%.0f%% of held), %.2f x clairvoyant %.2f", r.Idle.GiBHours, 100*r.Idle.Share, r.Idle.Ratio, r.Idle.BoundGiBHours)
}

func worst(r Report) string {
	if len(r.Shares) == 0 {
		return "none"
	}
	return fmt.Sprintf("%s %.3f of max-min", r.Shares[0].Team, r.Shares[0].Share)
}

func wrongful(r Report) string {
	return fmt.Sprintf("%.2f%% (%d of %d: %s)", 100*r.Refusals.Share, r.Refusals.Wrongful, r.Refusals.Inside, counts(r.Refusals.ByReason))
}

func added(r Report, first bool) string {
	switch {
	case r.Added == nil:
		return "not run"
	case first:
		return fmt.Sprintf("%.2f / %.2f (n=%d)", r.Added.FirstTokenP50, r.Added.FirstTokenP99, r.Added.Pairs)
	default:
		return fmt.Sprintf("%.3f / %.3f", r.Added.PerTokenP50, r.Added.PerTokenP99)
	}
}

func platformCalls(r Report) string {
	var parts []string
	for kind, rate := range r.Platform {
		if rate > 0 {
			parts = append(parts, fmt.Sprintf("%s %.1f", kind, rate))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

func promises(r Report) string {
	if !r.Promises.Broken() {
		return "none"
	}
	return strings.TrimPrefix(fmt.Sprintf("%+v", r.Promises), "")
}
