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

// PathFilter returns a filter that finds what a call asks for by its path.
func PathFilter(directory Directory) call.Filter {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) outcome.Outcome {
			subject, refused := subjectOf(directory, c.Request)
			if refused != nil {
				return *refused
			}
			c.Subject = subject
			return next(ctx, c)
		}
	}
}

func subjectOf(directory Directory, r *http.Request) (call.Subject, *outcome.NotRun) {
	path := r.URL.Path
	switch path {
	case openai.PathChat, openai.PathCompletions:
		return &call.Generation{Path: path}, wantMethod(r, http.MethodPost)
	case openai.PathModels:
		return &call.Listing{}, wantMethod(r, http.MethodGet)
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
		refused := badRequest("the Idempotency-Key header appears more than once")
		return nil, &refused
	}
	return &call.Service{Route: route, Key: r.Header.Get("Idempotency-Key")}, nil
}

func wantMethod(r *http.Request, method string) *outcome.NotRun {
	if r.Method == method {
		return nil
	}
	refused := badRequest("this path takes method " + method + " only")
	return &refused
}
