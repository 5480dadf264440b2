package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
)

// errorBody is the JSON body of every error, in the format that OpenAI clients
// expect.
type errorBody struct {
	Error *apierror.Error `json:"error"`
}

func writeError(w http.ResponseWriter, e *apierror.Error) { writeErrorStatus(w, e, e.Status()) }

func writeErrorStatus(w http.ResponseWriter, e *apierror.Error, status int) {
	h := w.Header()
	if e.RequestID == "" {
		c := *e
		c.RequestID = h.Get("X-Request-Id")
		e = &c
	}
	setRetryAfter(h, e.RetryAfter)
	if e.Outcome != "" {
		h.Set("X-Outcome", string(e.Outcome))
	}
	if e.Kind == apierror.KindAuth {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if e.Kind == apierror.KindTooLarge {
		// The rest of the request stays unread, so the connection cannot be reused.
		h.Set("Connection", "close")
	}
	writeJSON(w, status, errorBody{e})
}

// setRetryAfter sets Retry-After to a delay in whole seconds, rounded up. It sets
// nothing for a delay of 0.
func setRetryAfter(h http.Header, delay time.Duration) {
	if delay > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((delay+time.Second-1)/time.Second), 10))
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, []byte(`{"error":{"type":"internal","code":"encode","message":"answer not encoded"}}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
