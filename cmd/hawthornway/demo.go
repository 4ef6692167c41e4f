package main

import (
	"github.com/gravitational/trace"

	"hawthornway"
	"hawthornway/demo"
	"hawthornway/settings"
)

func init() {
	register("demo", "Run a demo system", "Runs simulated back ends and one host in this process, and streams a response from a model that is not loaded yet.",
		func(c *console) any { return &demoCommand{console: c} })
}

type demoCommand struct {
	console *console
	Once    bool `long:"once" description:"Send one cold and one warm request, print both times to the first token, and exit"`
	Verbose bool `long:"verbose" short:"v" description:"Print the host's log"`
}

// Execute runs the demo.
func (d *demoCommand) Execute([]string) error {
	level := "error"
	if d.Verbose {
		level = "info"
	}
	log := newLog(d.console.stderr, settings.Log{Format: settings.LogText, Level: level})
	hawthornway.SetKratosLog(log)
	return trace.Wrap(demo.New(d.console.stdout, log).Run(d.console.ctx, d.Once))
}
