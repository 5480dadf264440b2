// Package target is the client side towards model engines and plain services:
// attempts, probes, load reports and engine orders.
package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	dialTimeout = time.Second
	// probeTimeout is below the age at which a verdict ends.
	probeTimeout  = 500 * time.Millisecond
	orderTimeout  = 2 * time.Second
	maxReplyBytes = 1 << 20
)

// Client calls targets. It is safe for concurrent use.
type Client struct {
	pooled httpc.Service
	fresh  httpc.Service
}

// New returns a client.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	pooled := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true}
	// A transport without keep-alive uses a connection once, so it never
	// replays a request on a connection that broke.
	fresh := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	return &Client{
		pooled: httpc.NewServiceWithClient("target", &http.Client{Transport: pooled}),
		fresh:  httpc.NewServiceWithClient("target-once", &http.Client{Transport: fresh}),
	}
}

// Do sends one attempt. The caller closes the body of the response.
func (c *Client) Do(req *http.Request, newConnection bool) (*http.Response, error) {
	if newConnection {
		// Without GetBody the transport cannot send the body a second time.
		req.GetBody = nil
		return c.fresh.DoRequest(req)
	}
	return c.pooled.DoRequest(req)
}

// Probe asks the engine of a host how it is.
func (c *Client) Probe(ctx context.Context, address string) (state.ProbeAnswer, error) {
	var answer state.ProbeAnswer
	start := time.Now()
	err := c.call(ctx, probeTimeout, http.MethodGet, "http://"+address+"/probe", nil, &answer)
	answer.Latency = time.Since(start)
	return answer, err
}

// Load asks a target for its load report.
func (c *Client) Load(ctx context.Context, address string) (state.LoadAnswer, error) {
	var answer state.LoadAnswer
	err := c.call(ctx, probeTimeout, http.MethodGet, "http://"+address+"/load", nil, &answer)
	return answer, err
}

// Order gives an order to the engine of a host.
func (c *Client) Order(ctx context.Context, order state.EngineOrder) (state.EngineOrderResult, error) {
	var res state.EngineOrderResult
	err := c.call(ctx, orderTimeout, http.MethodPost, "http://"+order.Address+"/orders", order, &res)
	return res, err
}

func (c *Client) call(ctx context.Context, timeout time.Duration, method, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode target request")
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return errors.Wrap(err, "build target request")
	}
	res, err := c.pooled.DoRequest(req)
	if err != nil {
		return errors.Wrap(err, "call target")
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("target answered %d", res.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(res.Body, maxReplyBytes)).Decode(out), "decode target answer")
}
