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
	// issuedAddresses holds the addresses returned so far. The system may choose the same
	// port again before the process that it was meant for listens there.
	issuedAddresses = map[string]bool{}
)

// Address returns a loopback address on which nothing listens, and never the
// same one twice. The IP number belongs to the calling process alone: on
// 127.0.0.1 the port could be taken by any outgoing connection between the choice
// and its use.
func Address() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for {
		listener, err := net.Listen("tcp", net.JoinHostPort(processIP(), "0"))
		if err != nil {
			return "", errors.Wrap(err, "choose a free port")
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if !issuedAddresses[address] {
			issuedAddresses[address] = true
			return address, nil
		}
	}
}

// processIP returns a number of 127.0.0.0/8 that stands for the process id. All
// numbers have the same length, so that tables with addresses line up alike.
func processIP() string {
	pid := os.Getpid()
	ip := "127"
	for _, octet := range []int{pid / 10000, pid / 100, pid} {
		ip += "." + strconv.Itoa(100+octet%100)
	}
	return ip
}
