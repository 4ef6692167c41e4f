package caller

import (
	"context"

	"hawthornway/call"
	"hawthornway/openai"
	"hawthornway/outcome"
	"hawthornway/service"
)

// Dispatch returns the last handler of the chain. It serves a call according to
// its subject.
func Dispatch(directory Directory, generator openai.Generator, forwarder service.Forwarder) call.Handler {
	return func(ctx context.Context, c *call.Call) outcome.Outcome {
		switch c.Subject.(type) {
		case *call.Generation:
			return generator.Generate(ctx, c)
		case *call.Service:
			return forwarder.Forward(ctx, c)
		case *call.Listing:
			teamConfig, _ := directory.Team(c.Team)
			return openai.List(c, teamConfig.Models)
		default:
			panic("caller: call without a subject")
		}
	}
}
