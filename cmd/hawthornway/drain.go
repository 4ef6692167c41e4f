package main

import (
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/admin"
)

// drainPollInterval is the time between two checks of a drain's progress.
const drainPollInterval = time.Second

func init() {
	register("drain", "Stop a host gracefully", "Makes the host not ready, lets its requests finish and stops it. Requests are interrupted only when the host's drain timeout (drain.bound) expires.",
		func(c *console) any { return &drainCommand{console: c} })
}

type drainCommand struct {
	console *console
	Wait    bool `long:"wait" description:"Wait until the host has stopped"`
}

// Execute starts the drain.
func (d *drainCommand) Execute([]string) error {
	client, err := d.console.client()
	if err != nil {
		return trace.Wrap(err)
	}
	state, err := client.Drain(d.console.ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if d.Wait {
		if state, err = d.wait(client, state); err != nil {
			return trace.Wrap(err)
		}
	}
	return d.console.print(state, func(w io.Writer) {
		fmt.Fprintf(w, "draining: %d requests still run\n", state.Requests)
	})
}

// wait returns when the host can't be reached any more, which marks the end of a
// drain.
func (d *drainCommand) wait(client *admin.Client, state admin.DrainState) (admin.DrainState, error) {
	for {
		select {
		case <-d.console.ctx.Done():
			return state, trace.Wrap(d.console.ctx.Err())
		case <-time.After(drainPollInterval):
		}
		latest, err := client.Drain(d.console.ctx)
		if trace.IsConnectionProblem(err) {
			return admin.DrainState{Draining: true}, nil
		}
		if err != nil {
			return state, trace.Wrap(err)
		}
		state = latest
	}
}
