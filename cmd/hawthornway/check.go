package main

import (
	"fmt"
	"io"

	"github.com/gravitational/trace"

	"hawthornway/config"
)

func init() {
	register("check", "Check a configuration", "Checks a folder of configuration files locally, without a host. Lists all problems with file, line and field.",
		func(c *console) any { return &checkCommand{console: c} })
}

type checkCommand struct {
	console *console
	Args    folderArgument `positional-args:"yes" required:"yes"`
}

type checkResult struct {
	Files  int `json:"files"`
	Models int `json:"models"`
	Teams  int `json:"teams"`
}

// Execute checks the folder.
func (k *checkCommand) Execute([]string) error {
	files, err := readFolder(k.Args.Folder)
	if err != nil {
		return trace.Wrap(err)
	}
	merged, err := config.Merge(files)
	if err != nil {
		return trace.Wrap(err)
	}
	result := checkResult{len(files), len(merged.Models), len(merged.Teams)}
	return k.console.print(result, func(w io.Writer) {
		fmt.Fprintf(w, "ok: %d files, %d models, %d teams\n", result.Files, result.Models, result.Teams)
	})
}
