package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/transport"
)

// maxReplyBytes bounds the size of an answer of the platform.
const maxReplyBytes = 64 << 20

// Client calls the platform's services over HTTP.
type Client struct {
	base string
	http *http.Client
}

var _ Platform = (*Client)(nil)

// NewClient returns a client of the platform at a base URL.
func NewClient(base string) *Client {
	defaults := http.DefaultTransport.(*http.Transport).Clone()
	return &Client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: transport.New(defaults)}}
}

// Transact implements Tables.
func (c *Client) Transact(ctx context.Context, tx state.Transaction) (TransactionResult, error) {
	var res TransactionResult
	err := c.call(ctx, http.MethodPost, "/tables/transact", tx, &res)
	return res, err
}

// Read implements Tables.
func (c *Client) Read(ctx context.Context, keys []string) ([]state.StoreRow, error) {
	var rows []state.StoreRow
	err := c.call(ctx, http.MethodGet, "/tables/rows?"+url.Values{"key": keys}.Encode(), nil, &rows)
	return rows, err
}

// Scan implements Tables.
func (c *Client) Scan(ctx context.Context, prefix string) ([]state.StoreRow, error) {
	var rows []state.StoreRow
	err := c.call(ctx, http.MethodGet, "/tables/scan?prefix="+url.QueryEscape(prefix), nil, &rows)
	return rows, err
}

// Put implements Objects.
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	return c.call(ctx, http.MethodPut, "/objects/"+url.PathEscape(key), value, nil)
}

// Get implements Objects.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	var value []byte
	err := c.call(ctx, http.MethodGet, "/objects/"+url.PathEscape(key), nil, &value)
	return value, err
}

// List implements Hosts.
func (c *Client) List(ctx context.Context) ([]state.ListedHost, error) {
	var hosts []state.ListedHost
	err := c.call(ctx, http.MethodGet, "/hosts", nil, &hosts)
	return hosts, err
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode platform request")
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return errors.Wrap(err, "build platform request")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return classifyCallError(err)
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	if err != nil {
		return errors.Wrap(err, "read platform answer")
	}
	if res.StatusCode == http.StatusServiceUnavailable {
		return errors.Wrap(ErrUnavailable, path)
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("platform answered %d to %s", res.StatusCode, path)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(b, out), "decode platform answer")
}

// classifyCallError wraps the error of a failed call. A dial error becomes
// ErrUnavailable, because the call had no effect; the effect of any other failed
// call is unknown.
func classifyCallError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return errors.Wrap(err, "call platform")
}
