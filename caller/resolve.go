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
	// defaultDeadline is the time allowed until the first part of the response
	// if the caller sends no deadline header.
	defaultDeadline = 30 * time.Second
	// maxDeadline is the longest deadline that a caller may request.
	maxDeadline = 10 * time.Minute
)

// ResolveFilter returns a filter that parses the body, checks that the team may
// use the requested model or route, and sets the deadline.
func ResolveFilter(directory Directory) call.Filter {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) outcome.Outcome {
			if refusal := resolve(directory, c); refusal != nil {
				return *refusal
			}
			if refusal := setDeadline(c); refusal != nil {
				return *refusal
			}
			return next(ctx, c)
		}
	}
}

func resolve(directory Directory, c *call.Call) *outcome.NotRun {
	teamConfig, known := directory.Team(c.Team)
	switch s := c.Subject.(type) {
	case *call.Generation:
		return resolveGeneration(directory, teamConfig, c, s)
	case *call.Service:
		if !s.Route.Open && (!known || !slices.Contains(teamConfig.Routes, s.Route.Name)) {
			return refuseTeam(fmt.Sprintf("the team may not use route %q", s.Route.Name))
		}
	}
	return nil
}

// resolveGeneration parses a generation. A model that the team may not use gets
// the same response as one that does not exist.
func resolveGeneration(directory Directory, teamConfig config.Team, c *call.Call, gen *call.Generation) *outcome.NotRun {
	limit := func(name model.Name) team.Tokens { return maxTokens(directory, name) }
	generation, err := openai.ParseGeneration(gen.Path, c.Body, limit)
	if err != nil {
		refusal := badRequest(err.Error())
		return &refusal
	}
	if !modelExists(directory, generation.Model) || !slices.Contains(teamConfig.Models, generation.Model) {
		detail := fmt.Sprintf("model %q does not exist or the team may not use it", generation.Model)
		return &outcome.NotRun{Reason: outcome.ReasonUnknownModel, Detail: detail}
	}
	c.Subject = generation
	return nil
}

func modelExists(directory Directory, name model.Name) bool {
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

func refuseTeam(detail string) *outcome.NotRun {
	return &outcome.NotRun{Reason: outcome.ReasonNotAllowed, Detail: detail}
}

func setDeadline(c *call.Call) *outcome.NotRun {
	maxWait, wait := maxDeadline, defaultDeadline
	if s, ok := c.Subject.(*call.Service); ok && s.Route.Deadline > 0 {
		maxWait, wait = s.Route.Deadline, s.Route.Deadline
	}
	if text := c.Request.Header.Get(call.HeaderDeadline); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested <= 0 {
			refusal := badRequest(fmt.Sprintf("header %s: %q is not a positive duration such as \"2.5s\"", call.HeaderDeadline, text))
			return &refusal
		}
		wait = min(requested, maxWait)
	}
	c.Deadline = c.Received.Add(wait)
	return nil
}
