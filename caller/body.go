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

// bodyTimeout bounds the time in which a caller must have sent the body.
const bodyTimeout = 20 * time.Second

// BodyFilter returns a filter that reads the body, at most limit bytes or the
// route's own bound.
func BodyFilter(limit int64) call.Filter {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) outcome.Outcome {
			bound := limit
			if s, ok := c.Subject.(*call.Service); ok && s.Route.BodyBytes > 0 {
				bound = min(bound, s.Route.BodyBytes)
			}
			body, refused := readBody(c, bound)
			if refused != nil {
				return *refused
			}
			c.Body = body
			return next(ctx, c)
		}
	}
}

func readBody(c *call.Call, bound int64) ([]byte, *outcome.NotRun) {
	if c.Request.ContentLength > bound {
		return nil, tooLarge(bound)
	}
	c.Writer.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(nil, c.Request.Body, bound))
	c.Writer.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, tooLarge(bound)
	}
	if err != nil {
		refused := badRequest("the body can't be read: " + err.Error())
		return nil, &refused
	}
	return body, nil
}

func tooLarge(bound int64) *outcome.NotRun {
	detail := fmt.Sprintf("the body is larger than %d bytes", bound)
	return &outcome.NotRun{Reason: outcome.ReasonTooLarge, Detail: detail}
}
