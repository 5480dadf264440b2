package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// connect returns both ends of a connection, of which a transport has opened the first.
func connect(t *testing.T) (node *conn, peer *net.TCPConn) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	dialled, err := New(&http.Transport{}).DialContext(context.Background(), "tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	accepted, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		_ = dialled.Close()
		_ = accepted.Close()
	})
	return dialled.(*conn), accepted.(*net.TCPConn)
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// TestResetIsNotTheEndOfAnAnswer guards against a reset that reads as an orderly end of the
// connection because a write has received the report of it.
func TestResetIsNotTheEndOfAnAnswer(t *testing.T) {
	const part = "part"
	halfClose := func(c *net.TCPConn) { _ = c.CloseWrite() }
	for name, test := range map[string]struct {
		end         func(*net.TCPConn)
		writesFirst bool
		want        error
	}{
		"closed":                  {func(c *net.TCPConn) { _ = c.Close() }, false, io.EOF},
		"sending side closed":     {halfClose, false, io.EOF},
		"closed, more is written": {halfClose, true, io.EOF},
		"reset, the read first":   {reset, false, syscall.ECONNRESET},
		"reset, a write first":    {reset, true, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			node, peer := connect(t)
			_, err := io.WriteString(peer, part)
			g.Expect(err).NotTo(HaveOccurred())
			test.end(peer)
			time.Sleep(10 * time.Millisecond)
			if test.writesFirst {
				_, err := io.WriteString(node, "request")
				g.Expect(err == nil).To(Equal(errors.Is(test.want, io.EOF)), "the write gets the report: %v", err)
			}
			buffer := make([]byte, 2*len(part))
			n, err := node.Read(buffer)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(buffer[:n])).To(Equal(part))
			_, err = node.Read(buffer)
			g.Expect(err).To(MatchError(test.want))
		})
	}
}

// TestOwnCloseShowsNoEndOfAnAnswer guards against an end of the connection that counts as orderly
// although this process has closed the connection before it could tell.
func TestOwnCloseShowsNoEndOfAnAnswer(t *testing.T) {
	g := NewWithT(t)
	node, peer := connect(t)
	g.Expect(peer.Close()).To(Succeed())
	g.Expect(node.Close()).To(Succeed())
	g.Expect(wasReset(node.Conn)).To(BeTrue())
}
