// Package transport provides the HTTP transport with which this node reads the answers of
// targets, hosts and the platform. It makes up for what net/http takes for an answer although the
// peer has sent none, or only a part of one.
package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"

	"github.com/pkg/errors"
)

// Transport is an http.RoundTripper for plain HTTP/1.1. An answer that ends with its connection
// is complete only if the peer has closed the connection; after a reset, the error of its body
// wraps syscall.ECONNRESET.
type Transport struct{ *http.Transport }

// New returns a transport with the settings of base, which must not be used otherwise.
func New(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	return &Transport{base}
}

// conn is a connection on which answers are read.
type conn struct{ net.Conn }

// Read implements net.Conn. It returns io.EOF only if the peer has closed the connection.
//
// A socket reports a reset once, to the read or the write that comes first. If a request that is
// still being written gets the report, the read after it returns io.EOF.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && wasReset(c.Conn) {
		err = &net.OpError{
			Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", syscall.ECONNRESET),
		}
	}
	return n, err
}
