package target

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Lookup asks a plain service whether a request with a key was executed. The
// answer of the lookup is returned when it was. An answer other than success
// or 404 says nothing and is an error.
func (c *Client) Lookup(ctx context.Context, address, path string) (*state.Answer, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, false, errors.Wrap(err, "build lookup")
	}
	res, err := c.control.Do(req)
	if err != nil {
		return nil, false, errors.Wrap(err, "call lookup")
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReplyBytes))
	switch {
	case err != nil:
		return nil, false, errors.Wrap(err, "read lookup answer")
	case res.StatusCode == http.StatusNotFound:
		return nil, false, nil
	case res.StatusCode/100 != 2:
		return nil, false, errors.Errorf("lookup answered %d", res.StatusCode)
	}
	return &state.Answer{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: body}, true, nil
}
