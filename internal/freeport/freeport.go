// Package freeport chooses listening addresses for tests that have to know an
// address before the process that listens there starts.
package freeport

import (
	"net"
	"os"
	"strconv"

	"github.com/pkg/errors"
)

// Address returns a loopback address on which nothing listens. The IP number
// belongs to the calling process alone: on 127.0.0.1 the port could be taken
// by any outgoing connection between the choice and its use.
func Address() (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ownIP(), "0"))
	if err != nil {
		return "", errors.Wrap(err, "choose a free port")
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// ownIP returns a number of 127.0.0.0/8 that stands for the process id. All
// numbers have the same length, so that tables with addresses line up alike.
func ownIP() string {
	pid := os.Getpid()
	ip := "127"
	for _, part := range []int{pid / 10000, pid / 100, pid} {
		ip += "." + strconv.Itoa(100+part%100)
	}
	return ip
}
