package demo

import (
	"embed"
	"os"

	"github.com/gravitational/trace"

	"hawthornway/config"
)

//go:embed config/*.yaml
var folder embed.FS

// files returns the demo's configuration with the targets' addresses filled in.
func files(addresses map[string]string) ([]config.File, error) {
	entries, err := folder.ReadDir("config")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var all []config.File
	for _, entry := range entries {
		text, err := folder.ReadFile("config/" + entry.Name())
		if err != nil {
			return nil, trace.Wrap(err)
		}
		filled := os.Expand(string(text), func(name string) string { return addresses[name] })
		all = append(all, config.File{Name: entry.Name(), Data: []byte(filled)})
	}
	return all, nil
}
