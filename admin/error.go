package admin

import (
	"context"
	"errors"
	"net/http"

	"github.com/gravitational/trace"

	"hawthornway/config"
	"hawthornway/document"
	"hawthornway/keyvalue"
)

// Code is an error code of the API.
type Code string

// The error codes.
const (
	CodeInvalid      Code = "invalid"
	CodeUnauthorized Code = "unauthorized"
	CodeNotFound     Code = "not-found"
	CodeConflict     Code = "conflict"
	CodeTooLarge     Code = "too-large"
	// CodeUnavailable means that nothing was changed.
	CodeUnavailable Code = "unavailable"
	// CodeUnknown means that the change may have been made.
	CodeUnknown Code = "unknown"
	CodeFailed  Code = "failed"
)

// Error is an error response of the API.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Problems lists the problems in the files of a configuration.
	Problems document.Problems `json:"problems,omitempty"`
	// Conflict lists the files that another operator has changed.
	Conflict *config.ConflictError `json:"conflict,omitempty"`
}

// Error returns the message.
func (e *Error) Error() string { return e.Message }

type wireError struct {
	Error Error `json:"error"`
}

var httpStatuses = map[Code]int{
	CodeInvalid:      http.StatusBadRequest,
	CodeUnauthorized: http.StatusUnauthorized,
	CodeNotFound:     http.StatusNotFound,
	CodeConflict:     http.StatusConflict,
	CodeTooLarge:     http.StatusRequestEntityTooLarge,
	CodeUnavailable:  http.StatusServiceUnavailable,
	CodeUnknown:      http.StatusGatewayTimeout,
	CodeFailed:       http.StatusInternalServerError,
}

func (h *handler) writeError(w http.ResponseWriter, r *http.Request, err error) {
	apiError := newError(err)
	h.Log.Warn("admin: request failed", "method", r.Method, "path", r.URL.Path, "code", apiError.Code, "error", err)
	writeJSON(w, httpStatuses[apiError.Code], wireError{apiError})
}

// newError converts an error to an Error of the API.
func newError(err error) Error {
	var problems document.Problems
	var conflict *config.ConflictError
	switch {
	case errors.As(err, &problems):
		return Error{Code: CodeInvalid, Message: "the configuration has problems", Problems: problems}
	case errors.As(err, &conflict):
		return Error{Code: CodeConflict, Message: conflict.Error(), Conflict: conflict}
	}
	return Error{Code: codeOf(err), Message: trace.UserMessage(err)}
}

func codeOf(err error) Code {
	switch {
	case errors.Is(err, config.ErrUnknown), errors.Is(err, keyvalue.ErrUnknown):
		return CodeUnknown
	case errors.Is(err, keyvalue.ErrUnavailable):
		return CodeUnavailable
	case trace.IsBadParameter(err):
		return CodeInvalid
	case trace.IsNotFound(err):
		return CodeNotFound
	case trace.IsAlreadyExists(err), trace.IsCompareFailed(err):
		return CodeConflict
	case trace.IsLimitExceeded(err):
		return CodeTooLarge
	case errors.Is(err, context.DeadlineExceeded):
		return CodeUnknown
	default:
		return CodeFailed
	}
}
