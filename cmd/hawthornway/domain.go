package main

import (
	"fmt"
	"io"

	"github.com/gravitational/trace"

	"hawthornway/fleet"
)

func init() {
	register("domain", "Change a failure domain's members", "Changes the members of a failure domain.",
		func(c *console) any { return &domainCommand{Forget: forgetCommand{console: c}} })
}

type domainCommand struct {
	Forget forgetCommand `command:"forget" description:"Remove a host that is known to be dead" long-description:"Removes a host from its failure domain, so that other hosts take over its shards immediately. The host's process must be dead: a running process would keep sending orders to targets that don't check fences."`
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
