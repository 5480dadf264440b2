package transport

import (
	"net"
	"syscall"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/internal/socket"
)

// wasReset reports whether a connection whose end has been read was reset or has failed, in place
// of being closed by its peer: the socket of a closed one waits for this side to close as well.
// If a reset follows the close before the end is read, the connection counts as reset.
func wasReset(c net.Conn) (reset bool) {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	err := socket.Control(conn, func(fd int) error {
		state, err := socket.StateOfTCP(fd)
		reset = err == nil && state == socket.TCPClosed
		return err
	})
	// The transport closes a connection as soon as a write to it has failed.
	return reset || errors.Is(err, net.ErrClosed)
}
