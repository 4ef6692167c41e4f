package caller

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"hawthornway/call"
	"hawthornway/openai"
	"hawthornway/outcome"
)

// PathFilter returns a filter that sets a call's subject from the request path.
func PathFilter(directory Directory) call.Filter {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) outcome.Outcome {
			subject, refusal := parseSubject(directory, c.Request)
			if refusal != nil {
				return *refusal
			}
			c.Subject = subject
			return next(ctx, c)
		}
	}
}

func parseSubject(directory Directory, r *http.Request) (call.Subject, *outcome.NotRun) {
	path := r.URL.Path
	switch path {
	case openai.PathChat, openai.PathCompletions:
		return &call.Generation{Path: path}, checkMethod(r, http.MethodPost)
	case openai.PathModels:
		return &call.Listing{}, checkMethod(r, http.MethodGet)
	}
	route, ok := directory.RouteFor(path)
	if !ok || strings.Contains(path, "/../") {
		return nil, &outcome.NotRun{Reason: outcome.ReasonUnknownRoute, Detail: "no route takes this path"}
	}
	if len(route.Methods) > 0 && !slices.Contains(route.Methods, r.Method) {
		detail := "route " + string(route.Name) + " does not take method " + r.Method
		return nil, &outcome.NotRun{Reason: outcome.ReasonBadRequest, Detail: detail}
	}
	keys := r.Header.Values("Idempotency-Key")
	if len(keys) > 1 {
		refusal := badRequest("the Idempotency-Key header appears more than once")
		return nil, &refusal
	}
	return &call.Service{Route: route, IdempotencyKey: r.Header.Get("Idempotency-Key")}, nil
}

func checkMethod(r *http.Request, method string) *outcome.NotRun {
	if r.Method == method {
		return nil
	}
	refusal := badRequest("this path takes method " + method + " only")
	return &refusal
}
