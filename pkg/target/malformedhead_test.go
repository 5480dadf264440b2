package target_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/target"
	"github.com/apricotgrade/apricotgrade/pkg/transport"
)

// startRawTarget answers each request with a further line in the head, and returns its
// address.
func startRawTarget(t *testing.T, line string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, req.Body)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}")
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// TestMalformedHeadIsNoAnswer guards against a call of a target that succeeds with an answer whose
// head is malformed.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	ctx := context.Background()
	c := target.New()
	send := func(address string, newConnection bool) error {
		req, err := http.NewRequest(http.MethodPost, "http://"+address, strings.NewReader("x"))
		if err != nil {
			return err
		}
		res, err := c.Do(req, newConnection)
		if err == nil {
			_ = res.Body.Close()
		}
		return err
	}
	for name, call := range map[string]func(address string) error{
		"attempt":                     func(address string) error { return send(address, false) },
		"attempt on a new connection": func(address string) error { return send(address, true) },
		"probe":                       func(address string) error { _, err := c.Probe(ctx, address); return err },
		"load":                        func(address string) error { _, err := c.FetchLoadReport(ctx, address); return err },
		"order":                       func(address string) error { _, err := c.Order(ctx, state.EngineOrder{Address: address}); return err },
		"cancellation":                func(address string) error { return c.Cancel(ctx, address, "g") },
		"lookup":                      func(address string) error { _, _, err := c.Lookup(ctx, address, "/k"); return err },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(call(startRawTarget(t, "X-Own: kept"))).To(Succeed())
			g.Expect(call(startRawTarget(t, "X-Own : kept"))).To(MatchError(transport.ErrMalformedHead))
		})
	}
}
