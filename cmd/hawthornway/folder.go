package main

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"hawthornway/config"
)

// revisionFile is the file in a configuration folder that holds the base revision
// of its files.
const revisionFile = ".revision"

// folderArgument is the positional argument for a configuration folder.
type folderArgument struct {
	Folder string `positional-arg-name:"FOLDER" description:"Folder of the configuration's YAML files"`
}

// readFolder returns the YAML files of a folder.
func readFolder(folder string) ([]config.File, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var files []config.File
	for _, e := range entries {
		extension := filepath.Ext(e.Name())
		if e.IsDir() || strings.HasPrefix(e.Name(), ".") || (extension != ".yaml" && extension != ".yml") {
			continue
		}
		data, err := os.ReadFile(filepath.Join(folder, e.Name()))
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		files = append(files, config.File{Name: e.Name(), Data: data})
	}
	return files, nil
}

// readRevision returns the revision saved in a folder, or zero if there is none.
func readRevision(folder string) (config.Revision, error) {
	path := filepath.Join(folder, revisionFile)
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return 0, nil
	}
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	revision, err := strconv.ParseUint(strings.TrimSpace(string(data)), 10, 64)
	if err != nil {
		return 0, trace.BadParameter("file %s does not contain a revision number", path)
	}
	return config.Revision(revision), nil
}

func writeRevision(folder string, revision config.Revision) error {
	text := strconv.FormatUint(uint64(revision), 10) + "\n"
	return trace.ConvertSystemError(os.WriteFile(filepath.Join(folder, revisionFile), []byte(text), 0o644))
}
