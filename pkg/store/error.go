package store

import "github.com/pkg/errors"

// ErrUnavailable means that a call to the platform had no effect, for example
// because no connection could be made. The remedy is to try again later.
var ErrUnavailable = errors.New("platform service unavailable, try again later")
