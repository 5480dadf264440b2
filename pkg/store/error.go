package store

import "github.com/pkg/errors"

// ErrUnavailable means that a call to the platform certainly had no effect,
// such as one that found no connection. The remedy is to try again later.
var ErrUnavailable = errors.New("platform service unavailable, try again later")
