// Package socket calls the operating system on the sockets of connections and listeners.
package socket

import (
	"syscall"

	"github.com/pkg/errors"
)

// Control runs a call on the file descriptor of a socket and returns its error. The error is
// net.ErrClosed if this process has closed the socket.
func Control(socket syscall.Conn, call func(fd int) error) error {
	conn, err := socket.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "access the socket")
	}
	var callErr error
	if err := conn.Control(func(fd uintptr) { callErr = call(int(fd)) }); err != nil {
		return errors.Wrap(err, "access the socket")
	}
	return errors.Wrap(callErr, "call on the socket")
}
