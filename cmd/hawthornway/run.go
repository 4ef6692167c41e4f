package main

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"hawthornway/admin"
)

// exitCode is the exit status of the process. Scripts rely on the values.
type exitCode int

const (
	exitOK          exitCode = 0
	exitFailed      exitCode = 1
	exitUsage       exitCode = 2
	exitConflict    exitCode = 3
	exitUnreachable exitCode = 4
)

// run parses the arguments, executes the command and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) exitCode {
	c := &console{ctx: ctx, stdout: stdout, stderr: stderr}
	parser := flags.NewNamedParser("hawthornway", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "Serves rarely used models"
	if _, err := parser.AddGroup("Common options", "", &c.options); err != nil {
		panic(err)
	}
	for _, r := range registrations {
		if _, err := parser.AddCommand(r.name, r.short, r.long, r.build(c)); err != nil {
			panic(err)
		}
	}
	_, err := parser.ParseArgs(args)
	return report(c, err)
}

// report prints the error, if any, and returns its exit code.
func report(c *console, err error) exitCode {
	var usage *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Fprintln(c.stdout, usage.Message)
		return exitOK
	case errors.As(err, &usage):
		fmt.Fprintf(c.stderr, "hawthornway: %s\n", usage.Message)
		return exitUsage
	}
	c.printError(err)
	return exitCodeOf(err)
}

func exitCodeOf(err error) exitCode {
	var apiError *admin.Error
	switch {
	case errors.As(err, &apiError) && apiError.Code == admin.CodeConflict:
		return exitConflict
	case errors.As(err, &apiError):
		return exitFailed
	case trace.IsBadParameter(err):
		return exitUsage
	case trace.IsConnectionProblem(err):
		return exitUnreachable
	default:
		return exitFailed
	}
}
