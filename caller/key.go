package caller

import (
	"bytes"
	"context"
	"net/http"
	"strings"

	"hawthornway/call"
	"hawthornway/outcome"
)

// KeyFilter returns a filter that takes only calls with a valid key, but for
// open routes. A call ends when its key is withdrawn.
func KeyFilter(keys Keys) call.Filter {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) outcome.Outcome {
			if s, ok := c.Subject.(*call.Service); ok && s.Route.Open {
				return next(ctx, c)
			}
			presented, refused := presentedKey(c.Request.Header)
			if refused != nil {
				return *refused
			}
			id, withdrawn, refused := keys.Check(presented)
			if refused != nil {
				return *refused
			}
			if leaks(c.Request, presented) {
				return badRequest("the key may stand in the Authorization header only")
			}
			c.Team = id
			c.Presented = presented
			ctx, cancel := context.WithCancelCause(ctx)
			defer cancel(nil)
			go endOnWithdrawal(ctx, cancel, withdrawn)
			return next(ctx, c)
		}
	}
}

func endOnWithdrawal(ctx context.Context, cancel context.CancelCauseFunc, withdrawn <-chan struct{}) {
	select {
	case <-withdrawn:
		cancel(&call.RevokedError{})
	case <-ctx.Done():
	}
}

// presentedKey returns the one key of a request.
func presentedKey(header http.Header) (string, *outcome.NotRun) {
	values := header.Values("Authorization")
	switch {
	case len(values) == 0:
		return "", noKey("the Authorization header is missing")
	case len(values) > 1:
		return "", noKey("the Authorization header appears more than once")
	}
	scheme, key, found := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	if !found || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", noKey("the Authorization header must be \"Bearer KEY\"")
	}
	return key, nil
}

func noKey(detail string) *outcome.NotRun {
	return &outcome.NotRun{Reason: outcome.ReasonNoKey, Detail: detail}
}

// leaks reports whether the key stands where a target would see it.
func leaks(r *http.Request, key string) bool {
	if strings.Contains(r.URL.RequestURI(), key) {
		return true
	}
	for name, values := range r.Header {
		if name == "Authorization" {
			continue
		}
		for _, value := range values {
			if strings.Contains(value, key) {
				return true
			}
		}
	}
	return false
}

// KeyLeakFilter returns a filter that refuses calls whose body holds their key.
func KeyLeakFilter() call.Filter {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) outcome.Outcome {
			if c.Presented != "" && bytes.Contains(c.Body, []byte(c.Presented)) {
				return badRequest("the body holds the caller's key")
			}
			return next(ctx, c)
		}
	}
}

func badRequest(detail string) outcome.NotRun {
	return outcome.NotRun{Reason: outcome.ReasonBadRequest, Detail: detail}
}
