// Package target implements the HTTP client for model engines and plain
// services: attempts, probes, load reports, engine orders and lookups.
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/transport"
)

const (
	// probeTimeout is shorter than membership.MaxHealthEvidenceAge, the age at
	// which a health report expires.
	probeTimeout  = 500 * time.Millisecond
	orderTimeout  = 2 * time.Second
	cancelTimeout = time.Second
	maxReplyBytes = 1 << 20
	// serviceName is the httpc service name of all attempts.
	serviceName = "target"
)

// Client calls targets. It is safe for concurrent use.
type Client struct {
	endpoints *endpoints
	attempts  httpc.Service
	// control sends probes, load requests and cancellations. It does not use httpc,
	// whose breaker and log cover the probes of all hosts together, so that many dead
	// hosts would stop the probes of live ones.
	control *http.Client
	// singleUse sends orders and lookups, each on a new connection: a late second copy of
	// an earlier answer would be a false outcome.
	singleUse *http.Client
}

// New returns a client. It disables the breaker of httpc for attempts.
func New() *Client {
	// httpc has one breaker per service name, which would refuse attempts because
	// of failures of other targets and of cancelled requests. The core selects
	// healthy targets, so the breaker is disabled. If it is enabled again,
	// classifyError reports its refusals as not run.
	breaker.NoBreakerFor(serviceName)
	e := newEndpoints()
	return &Client{
		endpoints: e,
		attempts:  httpc.NewServiceWithClient(serviceName, newHTTPClient(e.attemptTransport)),
		control:   newHTTPClient(e.controlTransport),
		singleUse: newHTTPClient(func(*http.Request) *transport.Transport { return e.singleUse }),
	}
}

// transportSelector selects the transport for each request.
type transportSelector func(*http.Request) *transport.Transport

// RoundTrip implements http.RoundTripper.
func (f transportSelector) RoundTrip(r *http.Request) (*http.Response, error) {
	return f(r).RoundTrip(r)
}

func newHTTPClient(selectTransport transportSelector) *http.Client {
	return &http.Client{
		Transport: selectTransport,
		// Following a redirect would send the request a second time, to an address
		// that is not declared.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Probe queries the state of the engine of a host and measures the round trip.
func (c *Client) Probe(ctx context.Context, address string) (state.ProbeAnswer, error) {
	var answer state.ProbeAnswer
	start := time.Now()
	err := c.call(ctx, c.control, probeTimeout, http.MethodGet, "http://"+address+"/probe", nil, &answer)
	answer.Latency = time.Since(start)
	return answer, err
}

// FetchLoadReport queries the load of a target and, if the target serves them, the cache
// events since the last report.
func (c *Client) FetchLoadReport(ctx context.Context, address string) (state.LoadReport, error) {
	var report state.LoadReport
	err := c.call(ctx, c.control, probeTimeout, http.MethodGet, "http://"+address+"/load", nil, &report.Answer)
	if err != nil {
		return report, err
	}
	report.OK = true
	c.addCacheEvents(ctx, address, &report)
	return report, nil
}

// Order sends an order to the engine of a host. It does not retry.
func (c *Client) Order(ctx context.Context, order state.EngineOrder) (state.EngineOrderResult, error) {
	var res state.EngineOrderResult
	err := c.call(ctx, c.singleUse, orderTimeout, http.MethodPost, "http://"+order.Address+"/orders", order, &res)
	return res, err
}

// Cancel stops a generation at an engine.
func (c *Client) Cancel(ctx context.Context, address, generation string) error {
	return c.call(ctx, c.control, cancelTimeout, http.MethodDelete, "http://"+address+"/generations/"+url.PathEscape(generation), nil, nil)
}

// errNotFound means that the target does not have the requested resource.
var errNotFound = errors.New("target answered with status 404")

// call sends a JSON request to a target and decodes the JSON answer. A timeout
// closes the connection, so that a connection that no longer carries data fails
// only one call and the next call dials again.
func (c *Client) call(ctx context.Context, client *http.Client, timeout time.Duration, method, rawURL string, payload, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var body io.Reader
	if payload != nil {
		b, err := json.Marshal(payload)
		if err != nil {
			return errors.Wrap(err, "encode target request")
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, rawURL, body)
	if err != nil {
		return errors.Wrap(err, "build target request")
	}
	if payload != nil {
		req.GetBody = nil
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := client.Do(req)
	if err != nil {
		return errors.Wrap(err, "call target")
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	switch {
	case err != nil:
		return errors.Wrap(err, "read target answer")
	case res.StatusCode == http.StatusNotFound:
		return errNotFound
	case res.StatusCode >= http.StatusMultipleChoices:
		return errors.Errorf("target answered with status %d", res.StatusCode)
	case result == nil:
		return nil
	}
	return errors.Wrap(json.Unmarshal(b, result), "decode target answer")
}
