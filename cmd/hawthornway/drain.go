package main

import (
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/admin"
)

// drainPause is the time between two looks at a drain.
const drainPause = time.Second

func init() {
	register("drain", "Stop a host gracefully", "Asks the host to become unready, finish its requests and stop. No request is cut within the host's drain bound.",
		func(c *console) any { return &drainCommand{console: c} })
}

type drainCommand struct {
	console *console
	Wait    bool `long:"wait" description:"Wait until the host has stopped"`
}

// Execute begins the drain.
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

// wait returns when the host no longer answers, which is the end of a drain.
func (d *drainCommand) wait(client *admin.Client, state admin.DrainState) (admin.DrainState, error) {
	for {
		select {
		case <-d.console.ctx.Done():
			return state, trace.Wrap(d.console.ctx.Err())
		case <-time.After(drainPause):
		}
		now, err := client.Drain(d.console.ctx)
		if trace.IsConnectionProblem(err) {
			return admin.DrainState{Draining: true}, nil
		}
		if err != nil {
			return state, trace.Wrap(err)
		}
		state = now
	}
}
