package demo

import (
	"embed"
	"os"

	"github.com/gravitational/trace"

	"hawthornway/config"
)

//go:embed config/*.yaml
var configFolder embed.FS

// configFiles returns the demo's configuration files with the target addresses
// inserted.
func configFiles(addresses map[string]string) ([]config.File, error) {
	entries, err := configFolder.ReadDir("config")
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var files []config.File
	for _, entry := range entries {
		text, err := configFolder.ReadFile("config/" + entry.Name())
		if err != nil {
			return nil, trace.Wrap(err)
		}
		filled := os.Expand(string(text), func(name string) string { return addresses[name] })
		files = append(files, config.File{Name: entry.Name(), Data: []byte(filled)})
	}
	return files, nil
}
