package socket

import "golang.org/x/sys/unix"

// TCPState is the state of a TCP connection, as in include/net/tcp_states.h of Linux.
type TCPState uint8

// States of TCP connections.
const (
	// TCPEstablished means that neither side has closed the connection.
	TCPEstablished TCPState = 1
	// TCPClosed means that both directions have ended, for example by a reset.
	TCPClosed TCPState = 7
)

// StateOfTCP returns the state of the connection of a file descriptor.
func StateOfTCP(fd int) (TCPState, error) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, err
	}
	return TCPState(info.State), nil
}
