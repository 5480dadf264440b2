// Package freeport chooses listening addresses for tests that must know an address
// before the process that listens there starts.
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
	// issuedAddresses holds the addresses returned so far. The operating system may
	// select the same port again before the intended process listens there.
	issuedAddresses = map[string]bool{}
)

// Address returns a loopback address on which nothing listens, a different one on
// each call. The IP address is specific to the calling process, because on
// 127.0.0.1 any outgoing connection could take the port before the intended process
// listens.
func Address() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for {
		listener, err := net.Listen("tcp", net.JoinHostPort(processIP(), "0"))
		if err != nil {
			return "", errors.Wrap(err, "find a free port")
		}
		address := listener.Addr().String()
		_ = listener.Close()
		if !issuedAddresses[address] {
			issuedAddresses[address] = true
			return address, nil
		}
	}
}

// processIP returns an IP address of 127.0.0.0/8 that encodes the last six
// digits of the process id. All octets but the first are between 100 and 199, so that
// all addresses have the same length and tables with addresses the same column
// widths.
func processIP() string {
	pid := os.Getpid()
	ip := "127"
	for _, octet := range []int{pid / 10000, pid / 100, pid} {
		ip += "." + strconv.Itoa(100+octet%100)
	}
	return ip
}
