// Package transport provides the HTTP transport with which this node reads the answers of
// targets, hosts and the platform. net/http takes some bytes for an answer that are none by
// RFC 9112, and some parts of answers for whole ones; the requests fail here instead.
package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// Transport is an http.RoundTripper for HTTP/1.1. The error of a request whose answer has a
// malformed head wraps ErrMalformedHead. An answer that ends with its connection is complete only
// if the peer has closed the connection; after a reset, the error of its body wraps
// syscall.ECONNRESET. Heads are not checked over TLS.
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

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used *conn
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { used, _ = info.Conn.(*conn) },
		PutIdleConn: func(err error) {
			if err == nil && used != nil {
				used.answerEnded()
			}
		},
	})
	res, err := t.Transport.RoundTrip(req.WithContext(ctx))
	if used == nil {
		return res, err
	}
	// The head has been read, and nothing has acted on the answer yet.
	if headErr := used.headError(); headErr != nil {
		if res != nil {
			_ = res.Body.Close()
		}
		// The connection of an answer without a body may be in the pool again.
		_ = used.Close()
		return nil, headErr
	}
	return res, err
}

// conn is a connection on which answers are read.
type conn struct {
	net.Conn

	mu   sync.Mutex
	head headCheck
}

// answerEnded is called when the whole answer has been read and the connection is idle. The next
// bytes are a head, also if they come before the next request.
func (c *conn) answerEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.err == nil {
		c.head = headCheck{}
	}
}

// headError returns the error of the head that was read last.
func (c *conn) headError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.err
}

func (c *conn) checkHead(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.check(b)
}

// Read implements net.Conn. It returns io.EOF only if the peer has closed the connection.
//
// A socket reports a reset once, to the read or the write that comes first. If a request that is
// still being written gets the report, the read after it returns io.EOF.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.checkHead(b[:n])
	if errors.Is(err, io.EOF) && wasReset(c.Conn) {
		err = &net.OpError{
			Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", syscall.ECONNRESET),
		}
	}
	return n, err
}
