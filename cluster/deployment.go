// Package cluster runs a deployment folder on this machine: the stand-ins run in
// this process, the hosts as separate processes or as baseline hosts in this
// process.
package cluster

import (
	"os"
	"path/filepath"

	"github.com/gravitational/trace"

	"hawthornway/config"
	"hawthornway/settings"
	"hawthornway/standin"
)

// Deployment is the content of a deployment folder: standins.yaml, config/*.yaml
// and hosts/*.yaml.
type Deployment struct {
	Name     string
	Standins standin.Settings
	Files    []config.File
	Config   config.Config
	Hosts    []HostFile
}

// HostFile is the settings of a host and the path of their file.
type HostFile struct {
	Path     string
	Settings settings.Settings
}

// Load reads and checks a deployment folder.
func Load(folder string) (Deployment, error) {
	d := Deployment{Name: filepath.Base(folder)}
	var err error
	if d.Standins, err = standin.LoadSettings(filepath.Join(folder, "standins.yaml")); err != nil {
		return d, trace.Wrap(err)
	}
	if d.Files, err = readFiles(filepath.Join(folder, "config")); err != nil {
		return d, trace.Wrap(err)
	}
	if d.Config, err = config.Merge(d.Files); err != nil {
		return d, trace.Wrap(err)
	}
	d.Hosts, err = readHosts(filepath.Join(folder, "hosts"))
	return d, trace.Wrap(err)
}

func readFiles(folder string) ([]config.File, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.yaml"))
	if err != nil {
		return nil, err
	}
	var files []config.File
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		files = append(files, config.File{Name: filepath.Base(path), Data: data})
	}
	return files, nil
}

func readHosts(folder string) ([]HostFile, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.yaml"))
	if err != nil {
		return nil, err
	}
	var hosts []HostFile
	for _, path := range paths {
		s, err := settings.Load(path)
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, HostFile{Path: path, Settings: s})
	}
	if len(hosts) == 0 {
		return nil, trace.NotFound("%s contains no host settings", folder)
	}
	return hosts, nil
}
