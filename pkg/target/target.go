// Package target is the client side towards model engines and plain services:
// attempts, probes, load reports and engine orders.
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
)

const (
	// probeTimeout is below the age at which a verdict ends.
	probeTimeout  = 500 * time.Millisecond
	orderTimeout  = 2 * time.Second
	cancelTimeout = time.Second
	maxReplyBytes = 1 << 20
	// serviceName names the attempts to httpc.
	serviceName = "target"
)

// Client calls targets. It is safe for concurrent use.
type Client struct {
	endpoints *endpoints
	attempts  httpc.Service
	// control carries probes, reports and orders. It does not use httpc, whose
	// log and breaker would act on the probes of all hosts together: many dead
	// hosts would then stop the probes of the live ones.
	control *http.Client
}

// New returns a client.
func New() *Client {
	// httpc has one breaker per service name, and its refusals would depend on
	// the failures of other targets and on cancelled requests. The core decides
	// which target is fit, so there is none. Should one be put back, Classify
	// reports its refusals as not run.
	breaker.NoBreakerFor(serviceName)
	e := newEndpoints()
	return &Client{
		endpoints: e,
		attempts:  httpc.NewServiceWithClient(serviceName, newHTTPClient(e.attemptTransport)),
		control:   newHTTPClient(e.controlTransport),
	}
}

type transportSelector func(*http.Request) *http.Transport

// RoundTrip implements http.RoundTripper.
func (f transportSelector) RoundTrip(r *http.Request) (*http.Response, error) {
	return f(r).RoundTrip(r)
}

func newHTTPClient(selectTransport transportSelector) *http.Client {
	return &http.Client{
		Transport: selectTransport,
		// A redirect would send a request a second time, and to an address that
		// is not declared.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Probe asks the engine of a host how it is.
func (c *Client) Probe(ctx context.Context, address string) (state.ProbeAnswer, error) {
	var answer state.ProbeAnswer
	start := time.Now()
	err := c.call(ctx, probeTimeout, http.MethodGet, "http://"+address+"/probe", nil, &answer)
	answer.Latency = time.Since(start)
	return answer, err
}

// Load asks a target for its load report, and an engine for its cache events
// since the last report.
func (c *Client) Load(ctx context.Context, address string) (state.LoadReport, error) {
	var report state.LoadReport
	err := c.call(ctx, probeTimeout, http.MethodGet, "http://"+address+"/load", nil, &report.Answer)
	if err != nil {
		return report, err
	}
	report.OK = true
	c.addCacheEvents(ctx, address, &report)
	return report, nil
}

// Order gives an order to the engine of a host. It is sent once.
func (c *Client) Order(ctx context.Context, order state.EngineOrder) (state.EngineOrderResult, error) {
	var res state.EngineOrderResult
	err := c.call(ctx, orderTimeout, http.MethodPost, "http://"+order.Address+"/orders", order, &res)
	return res, err
}

// Cancel stops a generation at an engine.
func (c *Client) Cancel(ctx context.Context, address, generation string) error {
	return c.call(ctx, cancelTimeout, http.MethodDelete, "http://"+address+"/generations/"+url.PathEscape(generation), nil, nil)
}

// errNotFound means that the target does not know what was asked for.
var errNotFound = errors.New("target answered 404")

// call exchanges JSON with a target. Its timeout closes the connection, so a
// connection that went silent costs one call and the next one dials again.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, rawURL string, payload, result any) error {
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
	res, err := c.control.Do(req)
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
		return errors.Errorf("target answered %d", res.StatusCode)
	case result == nil:
		return nil
	}
	return errors.Wrap(json.Unmarshal(b, result), "decode target answer")
}
