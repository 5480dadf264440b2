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

// NotRunHeader is the header that a target sets to "true" on a 503 answer to a
// request that it did not run.
const NotRunHeader = "X-Not-Run"

// Failure is the error of an attempt that failed before its answer started.
type Failure struct {
	Kind state.AttemptFailure
	// Outcome is NotRun only if no byte of the request left this node.
	Outcome apierror.Outcome
	cause   error
}

// Error implements error.
func (f *Failure) Error() string { return "attempt failed: " + f.cause.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.cause }

// RequestIDHeader is the header that names the request of an attempt. A target that
// sends it back in its answers gets further attempts on pooled connections.
const RequestIDHeader = "X-Request-Id"

var errUnnamedAnswer = errors.New("the answer on a reused connection does not name its request")

// Do sends one attempt. Its error is a *Failure. If newConnection is set, or if the
// target does not name the requests of its answers, the request uses a new connection
// and is written at most once. The caller must close the body of the response.
func (c *Client) Do(req *http.Request, newConnection bool) (*http.Response, error) {
	ep := c.endpoints.get(req.URL.Host)
	newConnection = newConnection || !ep.echoes()
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
	named := res.Header.Get(RequestIDHeader) != "" && res.Header.Get(RequestIDHeader) == req.Header.Get(RequestIDHeader)
	ep.setEchoes(named)
	if !named && !newConnection {
		_ = res.Body.Close()
		return nil, &Failure{Kind: state.FailureConnectionLost, Outcome: apierror.Unknown, cause: errUnnamedAnswer}
	}
	return res, nil
}

// preventReplay removes GetBody from a request and hides every other interface
// of its body, so that the transport cannot send the request a second time.
func preventReplay(req *http.Request) {
	req.GetBody = nil
	if req.Body != nil && req.Body != http.NoBody {
		req.Body = struct {
			io.Reader
			io.Closer
		}{req.Body, req.Body}
	}
}

// classifyError returns the failure for a transport error. Connected states
// whether the request had a connection, so that bytes of it may have been sent.
func classifyError(err error, connected bool) *Failure {
	switch {
	case errors.Is(err, breaker.ErrServiceUnavailable):
		return &Failure{Kind: state.FailureTargetRefused, Outcome: apierror.NotRun, cause: err}
	case !connected:
		return &Failure{Kind: state.FailureConnect, Outcome: apierror.NotRun, cause: err}
	}
	return &Failure{Kind: state.FailureConnectionLost, Outcome: apierror.Unknown, cause: err}
}

// Refused reports whether a response states that the target did not run the
// request.
func Refused(res *http.Response) bool {
	return res.StatusCode == http.StatusServiceUnavailable && res.Header.Get(NotRunHeader) == "true"
}

// CloseIdleConnections closes the idle pooled connections to an address. Callers use it when a
// connection to the address stopped carrying data, because the same fault may
// affect the idle connections.
func (c *Client) CloseIdleConnections(address string) {
	c.endpoints.get(address).pooled.CloseIdleConnections()
}
