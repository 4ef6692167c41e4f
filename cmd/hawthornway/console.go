package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/gravitational/trace"

	"hawthornway/admin"
	"hawthornway/document"
)

// options are understood by every command.
type options struct {
	HostAddress string `long:"host-address" env:"HAWTHORNWAY_HOST_ADDRESS" value-name:"URL" description:"Operators' address of any host, as IP:port or URL" default:"127.0.0.1:7002"`
	JSON        bool   `long:"json" description:"Print JSON"`
	TokenFile   string `long:"token-file" value-name:"FILE" description:"File with the operators' token; without it, the environment variable HAWTHORNWAY_OPERATOR_TOKEN"`
	CA          string `long:"ca" value-name:"FILE" description:"PEM file of the authority of the host's certificate; the address is then an https URL"`
}

// console is what a command reads and writes.
type console struct {
	ctx            context.Context
	options        options
	stdout, stderr io.Writer
}

// print writes a result as JSON, or as text.
func (c *console) print(value any, text func(w io.Writer)) error {
	if !c.options.JSON {
		text(c.stdout)
		return nil
	}
	encoder := json.NewEncoder(c.stdout)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(value))
}

// printError prints an error as the API tells it, or as plain lines.
func (c *console) printError(err error) {
	failure := asFailure(err)
	if c.options.JSON {
		_ = json.NewEncoder(c.stderr).Encode(failure)
		return
	}
	for _, problem := range failure.Problems {
		fmt.Fprintln(c.stderr, problem)
	}
	fmt.Fprintf(c.stderr, "hawthornway: %s\n", failure.Message)
}

func asFailure(err error) *admin.Error {
	var failure *admin.Error
	if errors.As(err, &failure) {
		return failure
	}
	var problems document.Problems
	if errors.As(err, &problems) {
		return &admin.Error{Code: admin.CodeInvalid, Message: "the files have problems", Problems: problems}
	}
	return &admin.Error{Code: admin.CodeFailed, Message: trace.UserMessage(err)}
}
