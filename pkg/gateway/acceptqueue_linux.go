package gateway

import (
	"net"

	"golang.org/x/sys/unix"

	"github.com/apricotgrade/apricotgrade/internal/socket"
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
	return socket.Control(l, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
	})
}

// acceptQueueLength returns how many established connections wait for the process to
// accept them.
func acceptQueueLength(l *net.TCPListener) (length int, err error) {
	err = socket.Control(l, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			length = int(info.Unacked)
		}
		return err
	})
	return length, err
}
