package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

func init() {
	register("history", "List the latest configuration changes", "Lists the latest accepted changes with their authors and files, newest first.",
		func(c *console) any { return &historyCommand{console: c} })
}

type historyCommand struct {
	console *console
}

// Execute prints the history.
func (h *historyCommand) Execute([]string) error {
	client, err := h.console.client()
	if err != nil {
		return trace.Wrap(err)
	}
	changes, err := client.History(h.console.ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	return h.console.print(changes, func(w io.Writer) {
		table := newTable(w)
		fmt.Fprintln(table, "REVISION\tACCEPTED\tAUTHOR\tCHANGE\tFILES")
		for _, c := range changes {
			fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", c.Revision, c.At.Format(time.RFC3339), c.Author, c.Change, strings.Join(c.Files, " "))
		}
		_ = table.Flush()
	})
}

func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
}
