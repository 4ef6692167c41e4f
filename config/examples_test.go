package config_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"hawthornway/config"
)

func TestExamplesMerge(t *testing.T) {
	cases := []struct {
		folder                    string
		targets, models, adapters int
	}{
		{folder: "../examples/rafiq/config", targets: 12, models: 50, adapters: 60},
		{folder: "../examples/asociacion/config", targets: 15, models: 70, adapters: 65},
	}
	for _, c := range cases {
		paths, err := filepath.Glob(c.folder + "/*.yaml")
		must.NoError(t, err)
		var files []config.File
		for _, path := range paths {
			content, err := os.ReadFile(path)
			must.NoError(t, err)
			files = append(files, config.File{Name: filepath.Base(path), Data: content})
		}
		merged, err := config.Merge(files)
		must.NoError(t, err)
		must.Len(t, c.targets, merged.Targets)
		must.Len(t, c.models, merged.Models)
		must.Len(t, c.adapters, merged.Adapters)
		must.Len(t, 5, merged.Teams)
	}
}
