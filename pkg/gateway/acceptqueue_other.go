//go:build !linux

package gateway

import (
	"net"

	"github.com/pkg/errors"
)

var errNoAcceptQueue = errors.New("the accept queue of a listener is known on Linux only")

func refuseNewConnections(*net.TCPListener) error { return errNoAcceptQueue }

func acceptQueueLength(*net.TCPListener) (int, error) { return 0, errNoAcceptQueue }
