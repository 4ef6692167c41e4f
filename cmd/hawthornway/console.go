package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/gravitational/trace"

	"hawthornway/document"
)

// options are understood by every command.
type options struct {
	HostAddress string `long:"host-address" env:"HAWTHORNWAY_HOST_ADDRESS" value-name:"URL" description:"Operators' address of any host, as IP:port or URL" default:"127.0.0.1:7002"`
	JSON        bool   `long:"json" description:"Print JSON"`
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

// failure is the JSON form of an error.
type failure struct {
	Error    string            `json:"error"`
	Problems document.Problems `json:"problems,omitempty"`
}

func (c *console) printError(err error) {
	var problems document.Problems
	errors.As(err, &problems)
	if c.options.JSON {
		_ = json.NewEncoder(c.stderr).Encode(failure{trace.UserMessage(err), problems})
		return
	}
	for _, problem := range problems {
		fmt.Fprintln(c.stderr, problem)
	}
	if len(problems) == 0 {
		fmt.Fprintf(c.stderr, "hawthornway: %s\n", trace.UserMessage(err))
	}
}
