package target

import (
	"io"
	"net/http"
	"net/http/httptrace"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/breaker"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// NotRunHeader is set to "true" by a target on a 503 answer to a request that
// it did not run.
const NotRunHeader = "X-Not-Run"

// Failure says how an attempt failed before its answer began.
type Failure struct {
	Kind state.AttemptFailure
	// Outcome is NotRun only where no byte of the request left this node.
	Outcome apierror.Outcome
	cause   error
}

// Error implements error.
func (f *Failure) Error() string { return "attempt failed: " + f.cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// Do sends one attempt. Its error is a *Failure. With newConnection the
// request goes over a connection of its own and is written at most once. The
// caller closes the body of the response.
func (c *Client) Do(req *http.Request, newConnection bool) (*http.Response, error) {
	a := &attempt{newConnection: newConnection}
	ctx := httptrace.WithClientTrace(withAttempt(req.Context(), a), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.connected = true },
	})
	req = req.WithContext(ctx)
	if newConnection {
		preventReplay(req)
	}
	res, err := c.attempts.DoRequest(req)
	if err != nil {
		return nil, classifyError(err, a.connected)
	}
	return res, nil
}

// preventReplay takes from a request what the transport needs to send it a
// second time.
func preventReplay(req *http.Request) {
	req.GetBody = nil
	if req.Body != nil && req.Body != http.NoBody {
		req.Body = struct {
			io.Reader
			io.Closer
		}{req.Body, req.Body}
	}
}

func classifyError(err error, connected bool) *Failure {
	switch {
	case errors.Is(err, breaker.ErrServiceUnavailable):
		return &Failure{Kind: state.FailureTargetRefused, Outcome: apierror.NotRun, cause: err}
	case !connected:
		return &Failure{Kind: state.FailureConnect, Outcome: apierror.NotRun, cause: err}
	}
	return &Failure{Kind: state.FailureConnectionLost, Outcome: apierror.Unknown, cause: err}
}

// Refused reports whether a target says that it did not run the request.
func Refused(res *http.Response) bool {
	return res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(NotRunHeader) == "true"
}

// Silent tells the client that a connection to an address went silent. Idle
// connections to it are closed, since they may have the same fate.
func (c *Client) Silent(address string) {
	c.endpoints.get(address).pooled.CloseIdleConnections()
}
