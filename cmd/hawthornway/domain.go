package main

import (
	"fmt"
	"io"

	"github.com/gravitational/trace"

	"hawthornway/admin"
	"hawthornway/config"
	"hawthornway/fleet"
)

func init() {
	register("domain", "Change a failure domain's members", "Changes the members of a failure domain.",
		func(c *console) any {
			return &domainCommand{
				Forget: forgetCommand{console: c}, Evacuate: evacuateCommand{console: c, evacuated: true}, Restore: evacuateCommand{console: c},
			}
		})
}

type domainCommand struct {
	Evacuate evacuateCommand `command:"evacuate" description:"Keep requests from a domain's targets" long-description:"Keeps requests from the targets of a failure domain on all hosts within seconds. Requests that run there end there; models that only that domain holds are loaded elsewhere. The evacuation is a change of the configuration: it is in the file zz-evacuations.yaml, and lasts until 'domain restore'."`
	Restore  evacuateCommand `command:"restore" description:"End the evacuation of a domain" long-description:"Gives requests to the targets of an evacuated failure domain again. An evacuation that is in a file of your own folder has to be ended there."`

	Forget forgetCommand `command:"forget" description:"Remove a host that is known to be dead" long-description:"Removes a host from its failure domain, so that other hosts take over its shards immediately. The host's process must be dead: a running process would keep sending orders to targets that don't check fences."`
}

// evacuateCommand begins or ends an evacuation.
type evacuateCommand struct {
	console   *console
	evacuated bool
	Author    string `long:"author" env:"USER" default:"operator" description:"Author of the change"`
	Args      struct {
		Domain fleet.DomainID `positional-arg-name:"DOMAIN"`
	} `positional-args:"yes" required:"yes"`
}

// Execute begins or ends the evacuation.
func (e *evacuateCommand) Execute([]string) error {
	client, err := e.console.client()
	if err != nil {
		return trace.Wrap(err)
	}
	var state admin.Evacuation
	err = e.console.retryUntilKnown(func() (err error) {
		state, err = client.Evacuate(e.console.ctx, e.Args.Domain, e.evacuated, config.Author(e.Author))
		return err
	})
	if err != nil {
		return trace.Wrap(err)
	}
	return e.console.print(state, func(w io.Writer) {
		what := "gets requests again"
		if state.Evacuated {
			what = "gets no further requests"
		}
		fmt.Fprintf(w, "domain %s %s: revision %d\n", state.Domain, what, state.Revision)
	})
}

type forgetCommand struct {
	console *console
	Args    struct {
		Domain fleet.DomainID `positional-arg-name:"DOMAIN"`
		Host   fleet.HostID   `positional-arg-name:"HOST"`
	} `positional-args:"yes" required:"yes"`
}

type forgetResult struct {
	Domain fleet.DomainID `json:"domain"`
	Host   fleet.HostID   `json:"host"`
}

// Execute removes the host.
func (f *forgetCommand) Execute([]string) error {
	client, err := f.console.client()
	if err != nil {
		return trace.Wrap(err)
	}
	if err := client.Forget(f.console.ctx, f.Args.Domain, f.Args.Host); err != nil {
		return trace.Wrap(err)
	}
	return f.console.print(forgetResult{f.Args.Domain, f.Args.Host}, func(w io.Writer) {
		fmt.Fprintf(w, "host %s is no longer a member of %s\n", f.Args.Host, f.Args.Domain)
	})
}
