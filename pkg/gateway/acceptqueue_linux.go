package gateway

import (
	"net"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// The filter reads the flags of the TCP header, and drops segments with SYN and without
// ACK.
const (
	tcpFlagsOffset = 13
	tcpFlagSYN     = 0x02
	tcpFlagACK     = 0x10
	acceptSegment  = 0xffff
)

// refuseNewConnections makes the kernel ignore further connection requests at a listener.
// Handshakes that have begun complete.
func refuseNewConnections(l *net.TCPListener) error {
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: tcpFlagSYN | tcpFlagACK},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: tcpFlagSYN, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: acceptSegment},
	}
	return onSocket(l, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
	})
}

// acceptQueueLength returns how many established connections wait for the process to
// accept them.
func acceptQueueLength(l *net.TCPListener) (length int, err error) {
	err = onSocket(l, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			length = int(info.Unacked)
		}
		return err
	})
	return length, err
}

func onSocket(socket syscall.Conn, call func(fd int) error) error {
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
