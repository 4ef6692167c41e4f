package main

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
)

func init() {
	register("version", "Print the version", "Prints the version of the program and the Go version it was built with.",
		func(c *console) any { return &versionCommand{console: c} })
}

type versionCommand struct {
	console *console
}

type version struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Go       string `json:"go"`
}

// Execute prints the version.
func (v *versionCommand) Execute([]string) error {
	info := buildVersion()
	return v.console.print(info, func(w io.Writer) {
		fmt.Fprintf(w, "hawthornway %s %s\n", info.Version, info.Go)
	})
}

func buildVersion() version {
	v := version{Version: "development", Go: runtime.Version()}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	if info.Main.Version != "" && info.Main.Version != "(devel)" {
		v.Version = info.Main.Version
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			v.Revision = setting.Value
		}
	}
	return v
}
