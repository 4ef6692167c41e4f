package main

import (
	"io"
	"os"

	"github.com/gravitational/trace"

	"hawthornway/burn"
)

func init() {
	register("burn", "Report the burn rates of the error budgets", "Reports the burn rates of the error budgets, merged over the hosts that answer, and lists the hosts that don't.",
		func(c *console) any { return &burnCommand{console: c} })
}

type burnCommand struct {
	console *console
	HTML    string `long:"html" value-name:"FILE" description:"Also write the report with charts to an HTML file"`
}

// Execute prints the report.
func (b *burnCommand) Execute([]string) error {
	client, err := b.console.client()
	if err != nil {
		return trace.Wrap(err)
	}
	report, err := client.Burn(b.console.ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if b.HTML != "" {
		if err := writePage(b.HTML, report); err != nil {
			return trace.Wrap(err)
		}
	}
	return b.console.print(report, func(w io.Writer) { _ = burn.WriteText(w, report) })
}

func writePage(path string, report burn.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	return trace.Wrap(burn.WriteHTML(file, report))
}
