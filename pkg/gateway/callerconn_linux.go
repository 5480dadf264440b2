package gateway

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/apricotgrade/apricotgrade/internal/socket"
)

// isClosedByPeer reports whether the peer of a connection has closed it or its sending side,
// which the HTTP server does not tell apart either. It does not read from the connection.
func isClosedByPeer(c net.Conn) (closed bool) {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	_ = socket.Control(conn, func(fd int) error {
		n, _, err := unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
		case err != nil || n == 0:
			closed = true
		default:
			// The next request on the connection hides its end.
			state, err := socket.StateOfTCP(fd)
			closed = err == nil && state != socket.TCPEstablished
		}
		return nil
	})
	return closed
}
