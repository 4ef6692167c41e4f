package main

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"hawthornway/admin"
	"hawthornway/key"
	"hawthornway/team"
)

// maxGrants is the maximum number of keys granted by one command.
const maxGrants = 10_000

func init() {
	register("key", "Grant, withdraw and list keys", "Grants keys to teams, withdraws them, and lists them.",
		func(c *console) any {
			return &keyCommand{
				Grant:    grantCommand{console: c},
				Withdraw: withdrawCommand{console: c},
				List:     listCommand{console: c},
			}
		})
}

type keyCommand struct {
	Grant    grantCommand    `command:"grant" description:"Grant keys to a team" long-description:"Generates keys, grants them, and prints each once. Hosts store only hashes of the keys."`
	Withdraw withdrawCommand `command:"withdraw" description:"Withdraw keys" long-description:"Withdraws keys by id and lists the hosts that have confirmed. Exit code 1 means that some hosts have not."`
	List     listCommand     `command:"list" description:"List keys" long-description:"Lists the ids of the keys with their teams. The keys themselves are not stored."`
}

type grantCommand struct {
	console *console
	Args    struct {
		Team team.ID `positional-arg-name:"TEAM"`
	} `positional-args:"yes" required:"yes"`
	ID    key.ID `long:"id" description:"Id of the key; derived from its hash by default"`
	Count int    `long:"count" default:"1" description:"Number of keys"`
}

type grantedKey struct {
	ID   key.ID  `json:"id"`
	Team team.ID `json:"team"`
	Key  string  `json:"key"`
}

// Execute grants keys.
func (g *grantCommand) Execute([]string) error {
	if g.Count < 1 || g.Count > maxGrants || (g.ID != "" && g.Count > 1) {
		return trace.BadParameter("--count must be from 1 to %d, and 1 with --id", maxGrants)
	}
	client, err := g.console.client()
	if err != nil {
		return trace.Wrap(err)
	}
	grants, keys := g.generate()
	err = g.console.retryUntilKnown(func() error { return client.Grant(g.console.ctx, grants) })
	if err != nil {
		return trace.Wrap(err)
	}
	return g.console.print(keys, func(w io.Writer) {
		for _, k := range keys {
			fmt.Fprintf(w, "%s %s\n", k.ID, k.Key)
		}
	})
}

func (g *grantCommand) generate() ([]key.Grant, []grantedKey) {
	var grants []key.Grant
	var keys []grantedKey
	for range g.Count {
		text := key.Generate()
		id := g.ID
		if id == "" {
			id = key.NewID(text.Hash())
		}
		grants = append(grants, key.Grant{Hash: text.Hash(), ID: id, Team: g.Args.Team})
		keys = append(keys, grantedKey{id, g.Args.Team, text.Reveal()})
	}
	return grants, keys
}

type withdrawCommand struct {
	console *console
	Args    struct {
		IDs []key.ID `positional-arg-name:"ID" required:"1"`
	} `positional-args:"yes"`
}

// Execute withdraws keys.
func (k *withdrawCommand) Execute([]string) error {
	client, err := k.console.client()
	if err != nil {
		return trace.Wrap(err)
	}
	var confirmation key.Confirmation
	err = k.console.retryUntilKnown(func() (err error) {
		confirmation, err = client.Withdraw(k.console.ctx, k.Args.IDs)
		return err
	})
	if err != nil {
		return trace.Wrap(err)
	}
	err = k.console.print(confirmation, func(w io.Writer) { printConfirmation(w, confirmation) })
	if err == nil && len(confirmation.Unconfirmed) > 0 {
		err = trace.Errorf("not confirmed by %v; the withdrawal is sent to them until they confirm", confirmation.Unconfirmed)
	}
	return trace.Wrap(err)
}

func printConfirmation(w io.Writer, c key.Confirmation) {
	fmt.Fprintf(w, "withdrawn on %d hosts: %v\n", len(c.Confirmed), c.Confirmed)
	if !c.Written {
		fmt.Fprintln(w, "not stored yet; the hosts will write it when the key-value service is available")
	}
}

type listCommand struct {
	console *console
	Team    team.ID `long:"team" description:"List only the keys of a team"`
	All     bool    `long:"all" description:"Include withdrawn keys"`
}

// Execute lists keys.
func (l *listCommand) Execute([]string) error {
	client, err := l.console.client()
	if err != nil {
		return trace.Wrap(err)
	}
	keys, err := client.Keys(l.console.ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	keys = slices.DeleteFunc(keys, func(k admin.Key) bool {
		return (l.Team != "" && k.Team != l.Team) || (k.Withdrawn() && !l.All)
	})
	return l.console.print(keys, func(w io.Writer) {
		table := newTable(w)
		fmt.Fprintln(table, "ID\tTEAM\tGRANTED\tWITHDRAWN")
		for _, k := range keys {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", k.ID, k.Team, formatTime(k.GrantedAt), formatTime(k.WithdrawnAt))
		}
		_ = table.Flush()
	})
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Format(time.RFC3339)
}
