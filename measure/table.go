package measure

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// WriteTable writes the reports of one case as a table with a column for each
// report.
func WriteTable(w io.Writer, reports []Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeRow(table, "", reports, func(r Report) string { return r.System })
	writeRow(table, "requests", reports, formatOutcomes)
	for i, c := range reports[0].ColdStarts {
		writeRow(table, "cold start "+string(c.Source)+" p50/p95/p99 ms", reports, func(r Report) string { return formatColdStarts(r.ColdStarts[i]) })
	}
	writeRow(table, "loads memory/disk/remote (unused)", reports, formatLoads)
	writeRow(table, "warm first token p50/p95/p99 ms", reports, func(r Report) string { return formatQuantiles(r.WarmFirstToken) })
	writeRow(table, "idle GiB-hours", reports, formatIdleMemory)
	writeRow(table, "worst team", reports, formatWorstTeam)
	writeRow(table, "wrongful refusals", reports, formatWrongfulRefusals)
	writeRow(table, "added to first token ms p50/p99", reports, func(r Report) string { return formatAddedLatency(r, true) })
	writeRow(table, "added per token ms p50/p99", reports, func(r Report) string { return formatAddedLatency(r, false) })
	writeRow(table, "platform calls a second", reports, formatPlatformCalls)
	writeRow(table, "promises broken", reports, formatViolations)
	writeRow(table, "generator late ms p99", reports, func(r Report) string { return fmt.Sprintf("%.1f", r.SendDelay.P99) })
	return table.Flush()
}

func writeRow(w io.Writer, name string, reports []Report, cell func(Report) string) {
	cells := []string{name}
	for _, r := range reports {
		cells = append(cells, cell(r))
	}
	fmt.Fprintln(w, strings.Join(cells, "\t"))
}

func formatOutcomes(r Report) string { return formatCounts(r.Outcomes) }

func formatCounts(byName map[string]int) string {
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

func formatQuantiles(q Quantiles) string {
	return fmt.Sprintf("%.0f / %.0f / %.0f (n=%d)", q.P50, q.P95, q.P99, q.Count)
}

func formatColdStarts(c ColdStarts) string {
	if c.Count == 0 {
		return "none"
	}
	return fmt.Sprintf("%s, p99 %.2f x bound %.0f", formatQuantiles(c.Quantiles), c.P99OverBound, c.LowerBound.P99)
}

func formatLoads(r Report) string {
	var parts []string
	for _, l := range r.Loads {
		parts = append(parts, fmt.Sprintf("%d (%d) p50 %.0f ms", l.Count, l.Unused, l.P50))
	}
	return strings.Join(parts, " / ")
}

func formatIdleMemory(r Report) string {
	return fmt.Sprintf("%.2f (%.0f%% of held), %.2f x clairvoyant %.2f", r.Idle.GiBHours, 100*r.Idle.ShareOfHeld, r.Idle.OverBound, r.Idle.LowerBoundGiBHours)
}

func formatWorstTeam(r Report) string {
	if len(r.Shares) == 0 {
		return "none"
	}
	return fmt.Sprintf("%s %.3f of max-min", r.Shares[0].Team, r.Shares[0].Share)
}

func formatWrongfulRefusals(r Report) string {
	return fmt.Sprintf("%.2f%% (%d of %d: %s)", 100*r.Refusals.WrongfulShare, r.Refusals.Wrongful, r.Refusals.InsideRate, formatCounts(r.Refusals.ByReason))
}

func formatAddedLatency(r Report, firstToken bool) string {
	switch {
	case r.AddedLatency == nil:
		return "not run"
	case firstToken:
		return fmt.Sprintf("%.2f / %.2f (n=%d)", r.AddedLatency.FirstTokenP50, r.AddedLatency.FirstTokenP99, r.AddedLatency.Pairs)
	default:
		return fmt.Sprintf("%.3f / %.3f", r.AddedLatency.PerTokenP50, r.AddedLatency.PerTokenP99)
	}
}

func formatPlatformCalls(r Report) string {
	var parts []string
	for kind, rate := range r.PlatformCalls {
		if rate > 0 {
			parts = append(parts, fmt.Sprintf("%s %.1f", kind, rate))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

func formatViolations(r Report) string {
	if !r.Violations.Any() {
		return "none"
	}
	return strings.TrimPrefix(fmt.Sprintf("%+v", r.Violations), "")
}
