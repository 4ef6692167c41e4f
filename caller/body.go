package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"hawthornway/call"
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
	body, err := io.ReadAll(http.MaxBytesReader(nil, c.Request.Body, maxBytes))
	c.Writer.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, tooLarge(maxBytes)
	}
	if err != nil {
		refusal := badRequest("the body can't be read: " + err.Error())
		return nil, &refusal
	}
	return body, nil
}

func tooLarge(maxBytes int64) *outcome.NotRun {
	detail := fmt.Sprintf("the body is larger than %d bytes", maxBytes)
	return &outcome.NotRun{Reason: outcome.ReasonTooLarge, Detail: detail}
}
