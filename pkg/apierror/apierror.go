// Package apierror holds the typed errors that callers and operators see. Each
// names the remedy and says whether the request was run.
package apierror

import (
	"net/http"
	"time"
)

// Outcome is what is known about the execution of a request.
type Outcome string

// Outcomes.
const (
	// NotRun means that no target executed the request.
	NotRun Outcome = "not_run"
	// Done means that the request was executed and its answer is whole.
	Done Outcome = "done"
	// Unknown means that the request may have been executed.
	Unknown Outcome = "unknown"
)

// Kind is the kind of an error.
type Kind string

// Error kinds.
const (
	KindInvalid       Kind = "invalid_request"
	KindAuth          Kind = "authentication"
	KindNotFound      Kind = "not_found"
	KindTooLarge      Kind = "too_large"
	KindConflict      Kind = "conflict"
	KindOverloaded    Kind = "overloaded"
	KindDeadline      Kind = "deadline"
	KindUnavailable   Kind = "unavailable"
	KindStale         Kind = "configuration_stale"
	KindStoreDown     Kind = "store_unavailable"
	KindKeyReused     Kind = "idempotency_key_reused"
	KindTargetLost    Kind = "target_lost"
	KindUnknown       Kind = "outcome_unknown"
	KindShuttingDown  Kind = "shutting_down"
	KindTargetRefused Kind = "target_refused"
	KindInternal      Kind = "internal"
)

// Error is a typed error with its remedy.
type Error struct {
	Kind    Kind    `json:"type"`
	Code    string  `json:"code"`
	Message string  `json:"message"`
	Outcome Outcome `json:"outcome,omitempty"`
	// RetryAfter is when a repeat has a chance; 0 means that none is useful.
	RetryAfter time.Duration `json:"-"`
	// Param names the field at fault, if one is.
	Param     string `json:"param,omitempty"`
	RequestID string `json:"request_id,omitempty"`
}

// New returns an error. The message names the remedy.
func New(kind Kind, code, message string, outcome Outcome) *Error {
	return &Error{Kind: kind, Code: code, Message: message, Outcome: outcome}
}

// WithRetryAfter returns a copy with a time to come back.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string { return string(e.Kind) + "/" + e.Code + ": " + e.Message }

// Status returns the HTTP status of the error's kind.
func (e *Error) Status() int {
	if s, ok := statusByKind[e.Kind]; ok {
		return s
	}
	return http.StatusInternalServerError
}

var statusByKind = map[Kind]int{
	KindInvalid:       http.StatusBadRequest,
	KindAuth:          http.StatusUnauthorized,
	KindNotFound:      http.StatusNotFound,
	KindTooLarge:      http.StatusRequestEntityTooLarge,
	KindConflict:      http.StatusConflict,
	KindOverloaded:    http.StatusTooManyRequests,
	KindDeadline:      http.StatusServiceUnavailable,
	KindUnavailable:   http.StatusServiceUnavailable,
	KindStale:         http.StatusServiceUnavailable,
	KindStoreDown:     http.StatusServiceUnavailable,
	KindKeyReused:     http.StatusUnprocessableEntity,
	KindTargetLost:    http.StatusBadGateway,
	KindUnknown:       http.StatusBadGateway,
	KindShuttingDown:  http.StatusServiceUnavailable,
	KindTargetRefused: http.StatusBadGateway,
	KindInternal:      http.StatusInternalServerError,
}
