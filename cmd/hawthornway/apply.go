package main

import (
	"fmt"
	"io"
	"os"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"hawthornway/admin"
	"hawthornway/config"
)

func init() {
	register("apply", "Apply a configuration", "Sends a folder of configuration files to a host. The change takes effect on all hosts or on none. The base revision of the files is read from the file .revision in the folder, which is updated afterwards. Exit code 3 means a conflict with another change.",
		func(c *console) any { return &applyCommand{console: c} })
}

type applyCommand struct {
	console *console
	Args    folderArgument   `positional-args:"yes" required:"yes"`
	Base    *config.Revision `long:"base" value-name:"REVISION" description:"Base revision of the files"`
	Author  string           `long:"author" env:"USER" default:"operator" description:"Author of the change"`
	Change  string           `long:"change" value-name:"ID" description:"Id of the change; set it to retry a change whose outcome is unknown"`
}

// Execute applies the folder.
func (a *applyCommand) Execute([]string) error {
	submission, err := a.submission()
	if err != nil {
		return trace.Wrap(err)
	}
	client, err := a.console.client()
	if err != nil {
		return trace.Wrap(err)
	}
	var accepted config.Accepted
	err = a.console.retryUntilKnown(func() (err error) {
		accepted, err = client.Apply(a.console.ctx, submission)
		return err
	})
	if admin.IsOutcomeUnknown(err) {
		fmt.Fprintf(a.console.stderr, "hawthornway: the outcome is unknown; retry with --change %s\n", submission.Change)
	}
	if err != nil {
		return trace.Wrap(err)
	}
	a.saveRevision(accepted.Revision)
	return a.console.print(accepted, func(w io.Writer) {
		fmt.Fprintf(w, "accepted: revision %d, %d files changed\n", accepted.Revision, len(accepted.Files))
	})
}

func (a *applyCommand) submission() (config.Submission, error) {
	files, err := readFolder(a.Args.Folder)
	if err != nil {
		return config.Submission{}, trace.Wrap(err)
	}
	if _, err := config.Merge(files); err != nil {
		return config.Submission{}, trace.Wrap(err)
	}
	base, err := a.base()
	if err != nil {
		return config.Submission{}, trace.Wrap(err)
	}
	change := config.ChangeID(a.Change)
	if change == "" {
		change = config.ChangeID(uuid.NewString())
	}
	return config.Submission{Files: files, Base: base, Change: change, Author: config.Author(a.Author)}, nil
}

func (a *applyCommand) base() (config.Revision, error) {
	if a.Base != nil {
		return *a.Base, nil
	}
	return readRevision(a.Args.Folder)
}

// saveRevision writes the new revision to the folder. A read-only folder is not
// an error.
func (a *applyCommand) saveRevision(revision config.Revision) {
	if err := writeRevision(a.Args.Folder, revision); err != nil && !os.IsPermission(err) {
		fmt.Fprintf(a.console.stderr, "hawthornway: failed to save the revision: %v\n", trace.UserMessage(err))
	}
}
