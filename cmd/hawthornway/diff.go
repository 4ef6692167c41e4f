package main

import (
	"fmt"
	"io"

	"github.com/gravitational/trace"

	"hawthornway/config"
)

func init() {
	register("diff", "Compare with the current configuration", "Lists the changes that applying a folder would make.",
		func(c *console) any { return &diffCommand{console: c} })
}

type diffCommand struct {
	console *console
	Args    folderArgument `positional-args:"yes" required:"yes"`
}

type diffResult struct {
	Revision config.Revision `json:"revision"`
	Changes  []config.Change `json:"changes"`
}

// Execute prints the differences.
func (d *diffCommand) Execute([]string) error {
	files, err := readFolder(d.Args.Folder)
	if err != nil {
		return trace.Wrap(err)
	}
	after, err := config.Merge(files)
	if err != nil {
		return trace.Wrap(err)
	}
	client, err := d.console.client()
	if err != nil {
		return trace.Wrap(err)
	}
	current, err := client.Config(d.console.ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	before, err := config.Merge(current.Files)
	if err != nil {
		return trace.Wrap(err, "this version can't parse the current configuration")
	}
	result := diffResult{current.Revision, config.Diff(before, after)}
	return d.console.print(result, func(w io.Writer) {
		for _, change := range result.Changes {
			fmt.Fprintln(w, change)
		}
		fmt.Fprintf(w, "%d changes to revision %d\n", len(result.Changes), result.Revision)
	})
}
