//go:build !linux

package gateway

import "net"

// isClosedByPeer always returns false: the state of a socket is known on Linux only.
func isClosedByPeer(net.Conn) bool { return false }
