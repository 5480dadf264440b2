package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/inifile"
)

const (
	// dialTimeout is short, so that a host that is down delays the next server only
	// briefly.
	dialTimeout = 2 * time.Second
	// replyTimeout exceeds changeTimeout, within which a server answers a change.
	replyTimeout  = changeTimeout + 5*time.Second
	maxReplyBytes = 64 << 20
)

// Client calls the operator API of the first entry daemon that is reachable. It is
// safe for concurrent use.
type Client struct {
	servers []string
	key     string
	http    *http.Client
}

// NewClient returns a client for servers, which are base URLs in order of
// preference.
func NewClient(servers []string, key string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	// With keep-alive, net/http may resend a request when a reused connection breaks,
	// and a change must not be sent twice.
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	baseURLs := make([]string, 0, len(servers))
	for _, s := range servers {
		baseURLs = append(baseURLs, strings.TrimSuffix(s, "/"))
	}
	return &Client{servers: baseURLs, key: key, http: &http.Client{Transport: transport, Timeout: replyTimeout}}
}

// Status returns the status reported by the first entry daemon that answers.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	return s, c.callReadOnly(ctx, http.MethodGet, pathStatus, nil, &s)
}

// Audit returns the latest audit entries with a version above since, at most limit.
func (c *Client) Audit(ctx context.Context, since uint64, limit int) (Audit, error) {
	var a Audit
	query := url.Values{"since": {strconv.FormatUint(since, 10)}, "limit": {strconv.Itoa(limit)}}
	return a, c.callReadOnly(ctx, http.MethodGet, pathAudit+"?"+query.Encode(), nil, &a)
}

// Declarations returns the declarations in force.
func (c *Client) Declarations(ctx context.Context) (Declarations, error) {
	var d Declarations
	return d, c.callReadOnly(ctx, http.MethodGet, pathDeclarations, nil, &d)
}

// RequestOutcome returns the recorded outcome of a non-idempotent request. Key is
// its idempotency key.
func (c *Client) RequestOutcome(ctx context.Context, account, key string) (RequestOutcome, error) {
	var o RequestOutcome
	return o, c.callReadOnly(ctx, http.MethodGet, pathOrders+url.PathEscape(account)+"/"+url.PathEscape(key), nil, &o)
}

// Plan returns the changes that applying the declarations would make.
func (c *Client) Plan(ctx context.Context, declarations string) (Plan, error) {
	var p Plan
	return p, c.callReadOnly(ctx, http.MethodPost, pathPlan, ChangeRequest{Declarations: declarations}, &p)
}

// callReadOnly sends a request without side effects to the servers in order, until
// one answers. As a repeat does no harm, any failure but a 4xx refusal selects the
// next server.
func (c *Client) callReadOnly(ctx context.Context, method, path string, payload, reply any) error {
	var lastErr error
	for _, server := range c.servers {
		lastErr = c.call(ctx, server, method, path, payload, reply)
		if lastErr == nil || ctx.Err() != nil {
			return lastErr
		}
		var apiErr *apierror.Error
		if errors.As(lastErr, &apiErr) && apiErr.Status() < http.StatusInternalServerError {
			return lastErr
		}
	}
	var apiErr *apierror.Error
	if errors.As(lastErr, &apiErr) && apiErr.Kind == apierror.KindUnknown {
		// The request has no side effects, so a lost answer means that nothing was run.
		return apierror.New(apierror.KindUnavailable, apiErr.Code, apiErr.Message, apierror.NotRun)
	}
	return lastErr
}

// call sends one request to one server. An error answer of the server is returned
// as an *apierror.Error, or as an *InvalidDeclarationsError that wraps one.
func (c *Client) call(ctx context.Context, server, method, path string, payload, reply any) error {
	var body io.Reader
	if payload != nil {
		b, err := json.Marshal(payload)
		if err != nil {
			return errors.Wrap(err, "encode request body")
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, server+path, body)
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		return transportError(server, err)
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return transportError(server, err)
	}
	if res.StatusCode == http.StatusOK {
		return errors.Wrap(json.Unmarshal(answer, reply), "decode answer of "+server)
	}
	return serverError(server, res.StatusCode, answer)
}

func serverError(server string, status int, body []byte) error {
	var decoded ErrorBody
	if err := json.Unmarshal(body, &decoded); err != nil || decoded.Error == nil {
		return apierror.New(apierror.KindUnknown, "not_an_operator_api",
			server+" answered with status "+strconv.Itoa(status)+" and no operator API error; check that --server is the URL of an operator listener", apierror.Unknown)
	}
	if len(decoded.Problems) > 0 {
		return &InvalidDeclarationsError{APIError: decoded.Error, Problems: decoded.Problems}
	}
	return decoded.Error
}

// transportError classifies an error of the HTTP client. When the dial failed,
// nothing was sent and the outcome is not_run; otherwise it is unknown.
func transportError(server string, err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return apierror.New(apierror.KindUnavailable, "server_down",
			"cannot reach "+server+" ("+opErr.Err.Error()+"); name another entry host with --server", apierror.NotRun)
	}
	return apierror.New(apierror.KindUnknown, "answer_lost",
		"the answer of "+server+" was lost ("+err.Error()+"); check the status before repeating a change", apierror.Unknown)
}

// InvalidDeclarationsError reports that a server refused declarations, with all
// faults that it found.
type InvalidDeclarationsError struct {
	APIError *apierror.Error
	Problems inifile.Problems
}

// Error implements error.
func (e *InvalidDeclarationsError) Error() string {
	return e.APIError.Error() + "\n" + e.Problems.Error()
}

// Unwrap returns the API error.
func (e *InvalidDeclarationsError) Unwrap() error { return e.APIError }
