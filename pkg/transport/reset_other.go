//go:build !linux

package transport

import "net"

// wasReset always returns false: the state of a socket is known on Linux only.
func wasReset(net.Conn) bool { return false }
