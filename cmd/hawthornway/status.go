package main

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/admin"
)

func init() {
	register("status", "Show the fleet as a host sees it", "Shows hosts, shards, targets, replicas, limits, and what the host can't reach.",
		func(c *console) any { return &statusCommand{console: c} })
}

type statusCommand struct {
	console *console
}

// Execute prints the status.
func (s *statusCommand) Execute([]string) error {
	client, err := s.console.client()
	if err != nil {
		return trace.Wrap(err)
	}
	status, err := client.Status(s.console.ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	return s.console.print(status, func(w io.Writer) { printStatus(w, status) })
}

func printStatus(w io.Writer, s admin.Status) {
	fmt.Fprintf(w, "host %s in %s, version %s, configuration %d (%s old at most)\n", s.Host, s.Domain, s.Version, s.Config.Revision, age(s.Config.AgeMS))
	if !s.Ready {
		fmt.Fprintf(w, "not ready: %s\n", strings.Join(s.NotReady, "; "))
	}
	if len(s.CutOff) > 0 {
		fmt.Fprintf(w, "cut off from: %s\n", strings.Join(s.CutOff, ", "))
	}
	for _, domain := range s.Evacuated {
		fmt.Fprintf(w, "evacuated: %s\n", domain)
	}
	table := newTable(w)
	fmt.Fprintln(table, "\nHOST\tDOMAIN\tINCARNATION\tSTATE\tHEARD")
	for _, h := range s.Hosts {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%s\n", h.Host, h.Domain, h.Incarnation, h.State, age(h.SinceReceivedMS))
	}
	fmt.Fprintln(table, "\nSHARD\tOWNER\tFENCE")
	for _, shard := range s.Shards {
		fmt.Fprintf(table, "%d\t%s\t%d\n", shard.Shard, shard.Owner, shard.Fence)
	}
	printTargets(table, s)
	fmt.Fprintln(table, "\nTEAM\tDOMAIN\tRATE\tBURST")
	for _, l := range s.Limits {
		fmt.Fprintf(table, "%s\t%s\t%.1f\t%d\n", l.Team, l.Domain, l.Rate, l.Burst)
	}
	_ = table.Flush()
}

func printTargets(w io.Writer, s admin.Status) {
	fmt.Fprintln(w, "\nTARGET\tDOMAIN\tPOOL\tRUNNING\tQUEUED\tSLOTS\tMEMORY\tREPORT\tLEAVING")
	for _, t := range s.Targets {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d/%d\t%s\t%v\n", t.Target, t.Domain, t.Pool, t.Running, t.Queued, t.Slots, t.Used, t.Memory, age(t.ReportAgeMS), t.Draining)
	}
	fmt.Fprintln(w, "\nREPLICA\tTARGET\tVERSION\tSTATE\tRUNNING")
	for _, r := range s.Replicas {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", r.Model, r.Target, r.Version, r.State, r.Running)
	}
}

// age formats an age in milliseconds. A negative age is unknown.
func age(ms int64) string {
	if ms < 0 {
		return "-"
	}
	return (time.Duration(ms) * time.Millisecond).String()
}
