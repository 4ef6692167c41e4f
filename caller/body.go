package caller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"hawthornway/call"
	"hawthornway/memory"
	"hawthornway/outcome"
)

// bodyTimeout is the time a caller has to send the request body.
const bodyTimeout = 20 * time.Second

// BodyFilter returns a filter that reads the request body. It refuses a body
// larger than limit, or than the route's own limit if that is smaller.
func BodyFilter(limit int64) call.Filter {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) outcome.Outcome {
			maxBytes := limit
			if s, ok := c.Subject.(*call.Service); ok && s.Route.BodyBytes > 0 {
				maxBytes = min(maxBytes, s.Route.BodyBytes)
			}
			body, refusal := readBody(c, maxBytes)
			if refusal != nil {
				return *refusal
			}
			c.Body = body
			return next(ctx, c)
		}
	}
}

func readBody(c *call.Call, maxBytes int64) ([]byte, *outcome.NotRun) {
	if c.Request.ContentLength > maxBytes {
		return nil, tooLarge(maxBytes)
	}
	c.Writer.SetReadDeadline(time.Now().Add(bodyTimeout))
	lend := func(n memory.Bytes) bool { return c.Loan.Grow(bodyFactor * n) }
	giveBack := func(n memory.Bytes) { c.Loan.Shrink(bodyFactor * n) }
	body, full, err := memory.ReadAll(http.MaxBytesReader(nil, c.Request.Body, maxBytes), lend, giveBack, bodyAllowance, int(maxBytes)+1)
	c.Writer.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, tooLarge(maxBytes)
	}
	if err != nil {
		refusal := badRequest("the body can't be read: " + err.Error())
		return nil, &refusal
	}
	if full {
		refusal := noMemory(c.Loan.Wait(2 * bodyFactor * memory.Bytes(len(body))))
		return nil, &refusal
	}
	return body, nil
}

const (
	// bodyFactor is how many times its size a body holds: as it was sent, while it is parsed, and
	// as it is sent to a target.
	bodyFactor = 3
	// bodyAllowance is the size of a body that is counted with callBytes.
	bodyAllowance = 8 << 10
	// callBytes is what a call holds besides its body: the buffers of its connections, its head,
	// and the start of a response.
	callBytes = 96 << 10
)

// MemoryFilter returns a filter that lends each call memory of a budget, and refuses calls for which
// there is none.
func MemoryFilter(budget *memory.Budget) call.Filter {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) outcome.Outcome {
			loan, ok := budget.Take(callBytes)
			defer loan.Release()
			if !ok {
				return noMemory(budget.Wait(callBytes))
			}
			c.Loan = loan
			return next(ctx, c)
		}
	}
}

func noMemory(wait time.Duration) outcome.NotRun {
	return outcome.NotRun{Reason: outcome.ReasonQueueFull, RetryAfter: wait, Detail: "the host has no memory for the call"}
}

func tooLarge(maxBytes int64) *outcome.NotRun {
	detail := fmt.Sprintf("the body is larger than %d bytes", maxBytes)
	return &outcome.NotRun{Reason: outcome.ReasonTooLarge, Detail: detail}
}
