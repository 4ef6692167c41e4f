package caller

import (
	"bytes"
	"context"
	"net/http"
	"strings"

	"hawthornway/call"
	"hawthornway/outcome"
)

// KeyFilter returns a filter that refuses calls without a valid key, except on
// open routes. A call is cancelled when its key is withdrawn.
func KeyFilter(keys Keys) call.Filter {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) outcome.Outcome {
			if s, ok := c.Subject.(*call.Service); ok && s.Route.Open {
				return next(ctx, c)
			}
			key, refusal := presentedKey(c.Request.Header)
			if refusal != nil {
				return *refusal
			}
			id, withdrawn, refusal := keys.Check(key)
			if refusal != nil {
				return *refusal
			}
			if keyExposed(c.Request, key) {
				return badRequest("the key may stand in the Authorization header only")
			}
			c.Team = id
			c.PresentedKey = key
			ctx, cancel := context.WithCancelCause(ctx)
			defer cancel(nil)
			go cancelOnWithdrawal(ctx, cancel, withdrawn)
			return next(ctx, c)
		}
	}
}

func cancelOnWithdrawal(ctx context.Context, cancel context.CancelCauseFunc, withdrawn <-chan struct{}) {
	select {
	case <-withdrawn:
		cancel(&call.KeyWithdrawnError{})
	case <-ctx.Done():
	}
}

// presentedKey returns the key in the Authorization header, which must appear
// exactly once.
func presentedKey(header http.Header) (string, *outcome.NotRun) {
	values := header.Values("Authorization")
	switch {
	case len(values) == 0:
		return "", refuseKey("the Authorization header is missing")
	case len(values) > 1:
		return "", refuseKey("the Authorization header appears more than once")
	}
	scheme, key, found := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	if !found || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", refuseKey("the Authorization header must be \"Bearer KEY\"")
	}
	return key, nil
}

func refuseKey(detail string) *outcome.NotRun {
	return &outcome.NotRun{Reason: outcome.ReasonNoKey, Detail: detail}
}

// keyExposed reports whether the key is in the URI or in a header other than
// Authorization, where it would be passed on to a target.
func keyExposed(r *http.Request, key string) bool {
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

// KeyLeakFilter returns a filter that refuses calls whose body contains their key.
func KeyLeakFilter() call.Filter {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) outcome.Outcome {
			if c.PresentedKey != "" && bytes.Contains(c.Body, []byte(c.PresentedKey)) {
				return badRequest("the body holds the caller's key")
			}
			return next(ctx, c)
		}
	}
}

func badRequest(detail string) outcome.NotRun {
	return outcome.NotRun{Reason: outcome.ReasonBadRequest, Detail: detail}
}
