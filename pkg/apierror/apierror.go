// Package apierror defines the typed errors that callers and operators receive.
// Each error names the remedy and states whether the request was run.
package apierror

import (
	"net/http"
	"time"
)

// Outcome states whether a request was executed, as far as it is known.
type Outcome string

// Outcomes.
const (
	// NotRun means that no target executed the request.
	NotRun Outcome = "not_run"
	// Done means that the request was executed and its answer is complete.
	Done Outcome = "done"
	// Unknown means that the request may have been executed.
	Unknown Outcome = "unknown"
)

// Kind classifies an error and determines its HTTP status.
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
	// RetryAfter is the delay after which a retry may succeed; 0 means that a retry
	// is of no use.
	RetryAfter time.Duration `json:"-"`
	// Param names the invalid field of the request, if there is one.
	Param     string `json:"param,omitempty"`
	RequestID string `json:"request_id,omitempty"`
}

// New returns an error. The message must name the remedy.
func New(kind Kind, code, message string, outcome Outcome) *Error {
	return &Error{Kind: kind, Code: code, Message: message, Outcome: outcome}
}

// WithRetryAfter returns a copy of the error with a retry delay.
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
