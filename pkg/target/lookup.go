package target

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Lookup queries a plain service for the outcome of an earlier request, which
// the path identifies by its key. It returns the answer of the service and true
// if the request was executed, and false after a 404 answer. Any other status
// leaves the outcome open and is an error.
func (c *Client) Lookup(ctx context.Context, address, path string) (*state.Answer, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, false, errors.Wrap(err, "build lookup request")
	}
	res, err := c.singleUse.Do(req)
	if err != nil {
		return nil, false, errors.Wrap(err, "send lookup request")
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	switch {
	case err != nil:
		return nil, false, errors.Wrap(err, "read lookup answer")
	case res.StatusCode == http.StatusNotFound:
		return nil, false, nil
	case res.StatusCode/100 != 2:
		return nil, false, errors.Errorf("lookup answered with status %d", res.StatusCode)
	}
	return &state.Answer{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: body}, true, nil
}
