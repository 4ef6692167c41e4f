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

// options are the options that all commands share.
type options struct {
	HostAddress string `long:"host-address" env:"HAWTHORNWAY_HOST_ADDRESS" value-name:"URL" description:"Operators' address of any host, as IP:port or URL" default:"127.0.0.1:7002"`
	JSON        bool   `long:"json" description:"Print JSON"`
	TokenFile   string `long:"token-file" value-name:"FILE" description:"File with the operators' token; without it, the environment variable HAWTHORNWAY_OPERATOR_TOKEN"`
	CA          string `long:"ca" value-name:"FILE" description:"PEM file with the CA certificate of the host; the address must then be an https URL"`
}

// console holds the options and the output streams of a command.
type console struct {
	ctx            context.Context
	options        options
	stdout, stderr io.Writer
}

// print writes a result as JSON if requested, and as text otherwise.
func (c *console) print(value any, text func(w io.Writer)) error {
	if !c.options.JSON {
		text(c.stdout)
		return nil
	}
	encoder := json.NewEncoder(c.stdout)
	encoder.SetIndent("", "  ")
	return trace.Wrap(encoder.Encode(value))
}

// printError writes an error as JSON if requested, and as text otherwise.
func (c *console) printError(err error) {
	apiError := toAPIError(err)
	if c.options.JSON {
		_ = json.NewEncoder(c.stderr).Encode(apiError)
		return
	}
	for _, problem := range apiError.Problems {
		fmt.Fprintln(c.stderr, problem)
	}
	fmt.Fprintf(c.stderr, "hawthornway: %s\n", apiError.Message)
}

func toAPIError(err error) *admin.Error {
	var apiError *admin.Error
	if errors.As(err, &apiError) {
		return apiError
	}
	var problems document.Problems
	if errors.As(err, &problems) {
		return &admin.Error{Code: admin.CodeInvalid, Message: "the configuration files are invalid", Problems: problems}
	}
	return &admin.Error{Code: admin.CodeFailed, Message: trace.UserMessage(err)}
}
