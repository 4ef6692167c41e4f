// Package openai implements the OpenAI API: as a server for callers and as a
// client of model engines.
package openai

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"hawthornway/call"
	"hawthornway/outcome"
)

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

// statuses maps reasons to HTTP statuses. All other reasons map to 503.
var statuses = map[outcome.Reason]int{
	outcome.ReasonBadRequest:         http.StatusBadRequest,
	outcome.ReasonNoKey:              http.StatusUnauthorized,
	outcome.ReasonKeyWithdrawn:       http.StatusUnauthorized,
	outcome.ReasonNotAllowed:         http.StatusForbidden,
	outcome.ReasonUnknownModel:       http.StatusNotFound,
	outcome.ReasonUnknownRoute:       http.StatusNotFound,
	outcome.ReasonTooLarge:           http.StatusRequestEntityTooLarge,
	outcome.ReasonRate:               http.StatusTooManyRequests,
	outcome.ReasonQueueFull:          http.StatusTooManyRequests,
	outcome.ReasonClaimed:            http.StatusConflict,
	outcome.ReasonKeyReused:          http.StatusUnprocessableEntity,
	outcome.ReasonTargetFailed:       http.StatusBadGateway,
	outcome.ReasonWrongResponse:      http.StatusBadGateway,
	outcome.ReasonIncompleteResponse: http.StatusBadGateway,
}

// Status returns the HTTP status for a reason.
func Status(reason outcome.Reason) int {
	if status, ok := statuses[reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// WriteOutcome writes an error response for a call that was not served. If a
// stream has started, it ends it with an error event.
func WriteOutcome(w *call.Writer, result outcome.Outcome) {
	switch o := result.(type) {
	case outcome.Served:
	case outcome.NotRun:
		writeRetryAfter(w, o.RetryAfter)
		writeError(w, result, o.Reason, o.Detail)
	case outcome.Unknown:
		writeError(w, result, o.Reason, o.Detail)
	}
}

func writeRetryAfter(w *call.Writer, wait time.Duration) {
	if wait <= 0 || w.Started() {
		return
	}
	seconds := int64(math.Ceil(wait.Seconds()))
	w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	w.Header().Set("Retry-After-Ms", strconv.FormatInt(wait.Milliseconds()+1, 10))
}

func writeError(w *call.Writer, result outcome.Outcome, reason outcome.Reason, detail string) {
	status := Status(reason)
	if detail == "" {
		detail = string(reason)
	}
	body := errorBody{Error: errorDetail{Message: detail, Type: errorType(status), Code: string(reason)}}
	text, err := json.Marshal(body)
	if err != nil {
		panic("openai: encode error body: " + err.Error())
	}
	w.Header().Set(call.HeaderOutcome, result.Header())
	if w.Started() {
		writeEvent(w, text)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.Header().Del("Trailer")
	w.WriteHeader(status)
	_, _ = w.Write(text) // the caller may have disconnected
}
