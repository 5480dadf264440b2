// Package freeport chooses listening addresses for tests that have to know an
// address before the process that listens there starts.
package freeport

import (
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/pkg/errors"
)

var (
	mu sync.Mutex
	// given holds the addresses returned so far. The system may choose the same
	// port again before the process that it was meant for listens there.
	given = map[string]bool{}
)

// Address returns a loopback address on which nothing listens, and never the
// same one twice. The IP number belongs to the calling process alone: on
// 127.0.0.1 the port could be taken by any outgoing connection between the choice
// and its use.
func Address() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for {
		l, err := net.Listen("tcp", net.JoinHostPort(ownIP(), "0"))
		if err != nil {
			return "", errors.Wrap(err, "choose a free port")
		}
		address := l.Addr().String()
		_ = l.Close()
		if !given[address] {
			given[address] = true
			return address, nil
		}
	}
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
