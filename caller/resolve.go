package caller

import (
	"context"
	"fmt"
	"slices"
	"time"

	"hawthornway/call"
	"hawthornway/config"
	"hawthornway/model"
	"hawthornway/openai"
	"hawthornway/outcome"
	"hawthornway/team"
)

const (
	// defaultDeadline is how long a generation's caller waits for the first
	// part of the answer, unless it says otherwise.
	defaultDeadline = 30 * time.Second
	// maxDeadline bounds what a caller may ask for.
	maxDeadline = 10 * time.Minute
)

// ResolveFilter returns a filter that parses the body, checks that the team may
// have what it asks for, and sets the deadline.
func ResolveFilter(directory Directory) call.Filter {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) outcome.Outcome {
			if refused := resolve(directory, c); refused != nil {
				return *refused
			}
			if refused := setDeadline(c); refused != nil {
				return *refused
			}
			return next(ctx, c)
		}
	}
}

func resolve(directory Directory, c *call.Call) *outcome.NotRun {
	owner, known := directory.Team(c.Team)
	switch s := c.Subject.(type) {
	case *call.Generation:
		return resolveGeneration(directory, owner, c, s)
	case *call.Service:
		if !s.Route.Open && (!known || !slices.Contains(owner.Routes, s.Route.Name)) {
			return notAllowed(fmt.Sprintf("the team may not use route %q", s.Route.Name))
		}
	}
	return nil
}

// resolveGeneration parses a generation. A model that the team may not use is
// answered like one that does not exist.
func resolveGeneration(directory Directory, owner config.Team, c *call.Call, gen *call.Generation) *outcome.NotRun {
	limit := func(name model.Name) team.Tokens { return maxTokens(directory, name) }
	parsed, err := openai.ParseGeneration(gen.Path, c.Body, limit)
	if err != nil {
		refused := badRequest(err.Error())
		return &refused
	}
	if !exists(directory, parsed.Model) || !slices.Contains(owner.Models, parsed.Model) {
		detail := fmt.Sprintf("model %q does not exist or the team may not use it", parsed.Model)
		return &outcome.NotRun{Reason: outcome.ReasonUnknownModel, Detail: detail}
	}
	c.Subject = parsed
	return nil
}

func exists(directory Directory, name model.Name) bool {
	if _, ok := directory.Model(name); ok {
		return true
	}
	_, ok := directory.Adapter(name)
	return ok
}

func maxTokens(directory Directory, name model.Name) team.Tokens {
	if adapter, ok := directory.Adapter(name); ok {
		name = adapter.Base
	}
	base, _ := directory.Model(name)
	return base.MaxOutputTokens
}

func notAllowed(detail string) *outcome.NotRun {
	return &outcome.NotRun{Reason: outcome.ReasonNotAllowed, Detail: detail}
}

func setDeadline(c *call.Call) *outcome.NotRun {
	bound, wait := maxDeadline, defaultDeadline
	if s, ok := c.Subject.(*call.Service); ok && s.Route.Deadline > 0 {
		bound, wait = s.Route.Deadline, s.Route.Deadline
	}
	if text := c.Request.Header.Get(call.HeaderDeadline); text != "" {
		asked, err := time.ParseDuration(text)
		if err != nil || asked <= 0 {
			refused := badRequest(fmt.Sprintf("header %s: %q is not a positive duration such as \"2.5s\"", call.HeaderDeadline, text))
			return &refused
		}
		wait = min(asked, bound)
	}
	c.Deadline = c.Received.Add(wait)
	return nil
}
