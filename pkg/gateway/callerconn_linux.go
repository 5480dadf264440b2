package gateway

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// tcpEstablished is the state of a TCP connection that neither side has closed, as in
// include/net/tcp_states.h of Linux.
const tcpEstablished = 1

// isClosedByPeer reports whether the peer of a connection has closed it or its sending side,
// which the HTTP server does not tell apart either. It does not read from the connection.
func isClosedByPeer(c net.Conn) (closed bool) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	_ = onSocket(socket, func(fd int) error {
		n, _, err := unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
		case err != nil || n == 0:
			closed = true
		default:
			// The next request on the connection hides its end.
			info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
			closed = err == nil && info.State != tcpEstablished
		}
		return nil
	})
	return closed
}
