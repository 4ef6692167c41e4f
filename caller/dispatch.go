package caller

import (
	"context"

	"hawthornway/call"
	"hawthornway/openai"
	"hawthornway/outcome"
	"hawthornway/service"
)

// Dispatch returns the last handler of the chain, which serves a call by what
// it asks for.
func Dispatch(directory Directory, generator openai.Generator, forwarder service.Forwarder) call.Handler {
	return func(ctx context.Context, c *call.Call) outcome.Outcome {
		switch c.Subject.(type) {
		case *call.Generation:
			return generator.Generate(ctx, c)
		case *call.Service:
			return forwarder.Forward(ctx, c)
		case *call.Listing:
			owner, _ := directory.Team(c.Team)
			return openai.List(c, owner.Models)
		default:
			panic("caller: call without a subject")
		}
	}
}
