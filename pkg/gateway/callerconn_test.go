package gateway

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/connlimit"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

type noConnectionMeter struct{}

func (noConnectionMeter) ConnectionClosed(string, connlimit.Reason) {}

// wideConnections returns a pool whose limits no test reaches.
func wideConnections() *connlimit.Pool {
	return connlimit.New(connlimit.Limits{
		MemoryBytes: 1 << 30, DescriptorShare: 1, HeaderBytes: func() int { return MaxServerHeaderBytes },
	}, noConnectionMeter{}, slog.New(slog.DiscardHandler))
}

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (caller, node *net.TCPConn) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	accepted, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		_ = dialled.Close()
		_ = accepted.Close()
	})
	return dialled.(*net.TCPConn), accepted.(*net.TCPConn)
}

// TestCloseOfCallerIsSeen guards against a close that is not seen before the HTTP server has
// read it, and against a caller that is taken for one that has left. The server may be reading
// from the connection at the same time.
func TestCloseOfCallerIsSeen(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("the state of a socket is known on Linux only")
	}
	for name, c := range map[string]struct {
		act  func(*net.TCPConn)
		want bool
	}{
		"open":                       {func(*net.TCPConn) {}, false},
		"open with the next request": {func(c *net.TCPConn) { _, _ = c.Write([]byte("GET")) }, false},
		"closed":                     {func(c *net.TCPConn) { _ = c.Close() }, true},
		"closed after the next request": {func(c *net.TCPConn) {
			_, _ = c.Write([]byte("GET"))
			_ = c.Close()
		}, true},
		"reset": {func(c *net.TCPConn) {
			_ = c.SetLinger(0)
			_ = c.Close()
		}, true},
		"sending side closed": {func(c *net.TCPConn) { _ = c.CloseWrite() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			caller, node := connect(t)
			c.act(caller)
			NewWithT(t).Eventually(func() bool { return isClosedByPeer(node) }, time.Second, time.Millisecond).Should(Equal(c.want))
			time.Sleep(20 * time.Millisecond)
			NewWithT(t).Expect(isClosedByPeer(node)).To(Equal(c.want))
		})
	}
}

// TestCloseDuringReadIsSeen guards against a look at the socket that waits for a read in the
// background, which holds the connection until data arrives.
func TestCloseDuringReadIsSeen(t *testing.T) {
	caller, node := connect(t)
	go func() { _, _ = io.Copy(io.Discard, node) }()
	time.Sleep(20 * time.Millisecond)
	looked := make(chan bool, 1)
	go func() { looked <- isClosedByPeer(node) }()
	g := NewWithT(t)
	g.Eventually(looked, time.Second).Should(Receive(BeFalse()))
	_ = caller.Close()
	if runtime.GOOS == "linux" {
		g.Eventually(func() bool { return isClosedByPeer(node) }, time.Second, time.Millisecond).Should(BeTrue())
	}
}

// TestCloseEndsAttemptsBesideLateLoop guards against targets that work on for callers that
// have left, because the cancellation waits for an event loop that is late. No loop runs here.
func TestCloseEndsAttemptsBesideLateLoop(t *testing.T) {
	g := NewWithT(t)
	e := newExchange(modelRequest(true))
	ending, _ := e.beginAttempt(state.StartAttempt{Attempt: 1, EndsWithCaller: true})
	staying, _ := e.beginAttempt(state.StartAttempt{Attempt: 2})
	e.callerLeft()
	g.Expect(ending.Err()).To(HaveOccurred())
	g.Expect(staying.Err()).NotTo(HaveOccurred(), "the core decides whether this attempt ends with its caller")
	late, _ := e.beginAttempt(state.StartAttempt{Attempt: 3, EndsWithCaller: true})
	g.Expect(late.Err()).To(HaveOccurred())
}

// TestServerNamesConnectionOfCaller guards against a server whose handlers cannot look at the
// connections of their callers.
func TestServerNamesConnectionOfCaller(t *testing.T) {
	g := NewWithT(t)
	known := make(chan bool, 1)
	s := NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { known <- callerConnOf(r) != nil }), wideConnections())
	listener, err := Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = s.Serve(listener) }()
	defer func() { _ = s.Close() }()
	res, err := http.Get("http://" + listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	_ = res.Body.Close()
	g.Expect(<-known).To(BeTrue())
}

// answerToHalfClosed returns the status line that a caller receives which sends a request and
// closes its sending side before handle is called.
func answerToHalfClosed(t *testing.T, handle http.HandlerFunc) string {
	g := NewWithT(t)
	s := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for !isClosedByPeer(callerConnOf(r)) {
			time.Sleep(time.Millisecond)
		}
		handle(w, r)
	}), wideConnections())
	listener, err := Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = s.Serve(listener) }()
	defer func() { _ = s.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

// TestHalfClosedCallerGetsNoEmptyAnswer guards against a success with an empty body, framed as
// whole, for a caller that has closed its sending side and so counts as one that has left.
func TestHalfClosedCallerGetsNoEmptyAnswer(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("the state of a socket is known on Linux only")
	}
	gw := newIdleGateway(t)
	for name, handle := range map[string]http.HandlerFunc{
		"before the submission": func(w http.ResponseWriter, r *http.Request) { gw.run(w, r, modelRequest(false)) },
		"before the answer": func(w http.ResponseWriter, _ *http.Request) {
			e := newExchange(modelRequest(false))
			e.callerDisconnected.Store(true)
			finishAnswer(w, e, state.Reply{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(answerToHalfClosed(t, handle)).To(BeEmpty())
		})
	}
}
