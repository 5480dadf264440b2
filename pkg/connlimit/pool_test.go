package connlimit

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pkg/errors"
)

// countingMeter counts closed connections by reason.
type countingMeter struct {
	mu     sync.Mutex
	counts map[Reason]int
}

func (m *countingMeter) ConnectionClosed(_ string, reason Reason) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[reason]++
}

func (m *countingMeter) count(reason Reason) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts[reason]
}

// rig is a server whose connections belong to a pool.
type rig struct {
	pool    *Pool
	meter   *countingMeter
	address string
}

// newRig returns a server with memory for a number of connections that answers each request
// with the number of its header lines.
func newRig(t testing.TB, connections, headerBytes int) *rig {
	meter := &countingMeter{counts: map[Reason]int{}}
	pool := New(Limits{
		Listener: "test", MemoryBytes: int64(connections) * connectionBytes, DescriptorShare: 1, HeaderBytes: func() int { return headerBytes },
	}, meter, slog.New(slog.DiscardHandler))
	server := &http.Server{
		ReadHeaderTimeout: 10 * time.Second, MaxHeaderBytes: 1 << 20, ConnState: pool.ConnState,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = fmt.Fprint(w, len(r.Header)) }),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(pool.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return &rig{pool, meter, l.Addr().String()}
}

// caller is one connection of a caller.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (r *rig) connect(t testing.TB) *caller {
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return &caller{conn, bufio.NewReader(conn)}
}

// request sends a request with more header lines and returns the status of its answer, or 0.
func (c *caller) request(lines string) int {
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n"+lines+"\r\n")
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// isClosed reports whether the server has closed the connection.
func (c *caller) isClosed() bool {
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, err := c.reader.ReadByte()
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// age makes all connections of the pool older.
func (r *rig) age(d time.Duration) {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	for c := range r.pool.conns {
		c.since = c.since.Add(-d)
	}
}

// TestRequestInsideTheLimitsIsServed guards against a request that is taken for one outside the
// limits, on a new connection and on a kept one, with few and with many lines.
func TestRequestInsideTheLimitsIsServed(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 200, 40<<10)
	c := r.connect(t)
	for range 5 {
		g.Expect(c.request("")).To(gomega.Equal(http.StatusOK))
		g.Expect(c.request("X-Long: " + strings.Repeat("x", 16<<10) + "\r\n")).To(gomega.Equal(http.StatusOK))
		g.Expect(c.request(strings.Repeat("a:b\r\n", 3200))).To(gomega.Equal(http.StatusOK))
	}
	g.Expect(r.meter.counts).To(gomega.BeEmpty())
	g.Eventually(r.pool.Held).Should(gomega.Equal(int64(connectionBytes)))
	_ = c.Close()
	g.Eventually(r.pool.Held).Should(gomega.BeZero())
}

// TestHeaderWithoutEndIsRefused guards against a request header that grows until the process
// has no memory left.
func TestHeaderWithoutEndIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 200, 40<<10)
	c := r.connect(t)
	g.Expect(c.request("X-Long: " + strings.Repeat("x", 41<<10))).To(gomega.Or(gomega.Equal(http.StatusRequestHeaderFieldsTooLarge), gomega.BeZero()))
	g.Eventually(func() int { return r.meter.count(HeaderTooLarge) }).Should(gomega.Equal(1))
	g.Eventually(r.pool.Held).Should(gomega.BeZero())
	g.Expect(r.connect(t).request("")).To(gomega.Equal(http.StatusOK))
}

// TestLongestHoldersLoseTheirConnection guards against ordinary callers that lose their kept
// connections, while others hold more for longer without a complete request.
func TestLongestHoldersLoseTheirConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 32, 40<<10)
	kept := r.connect(t)
	g.Expect(kept.request("")).To(gomega.Equal(http.StatusOK))
	silent, slow := r.connect(t), r.connect(t)
	_, _ = io.WriteString(slow, "GET / HTTP/1.1\r\nHost: x\r\n")
	g.Eventually(r.pool.Held).Should(gomega.BeNumerically(">", 3*connectionBytes))
	r.age(2 * slowTime)
	for range 30 {
		r.connect(t)
		r.age(firstByteTime)
	}
	g.Eventually(func() int { return r.meter.count(MemoryFull) }).Should(gomega.BeNumerically(">", 0))
	g.Eventually(slow.isClosed).Should(gomega.BeTrue())
	g.Expect(r.connect(t).request("")).To(gomega.Equal(http.StatusOK))
	g.Eventually(silent.isClosed).Should(gomega.BeTrue())
	g.Expect(kept.request("")).To(gomega.Equal(http.StatusOK))
}

// TestHeavyHeadersGoBeforeKeptConnections guards against a burst of headers with many lines
// that takes the memory of kept connections before any of it is slow.
func TestHeavyHeadersGoBeforeKeptConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 200, 40<<10)
	var kept []*caller
	for range 20 {
		c := r.connect(t)
		g.Expect(c.request("")).To(gomega.Equal(http.StatusOK))
		kept = append(kept, c)
	}
	for range 10 {
		c := r.connect(t)
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:b\r\n", 3000))
	}
	g.Eventually(func() int { return r.meter.count(MemoryFull) }).Should(gomega.BeNumerically(">", 0))
	for _, c := range kept {
		g.Expect(c.request("")).To(gomega.Equal(http.StatusOK))
	}
	g.Expect(r.pool.Held()).To(gomega.BeNumerically("<=", r.pool.limits.MemoryBytes))
}

// TestRunningRequestKeepsItsConnection guards against a request that is cut off because other
// connections need its room.
func TestRunningRequestKeepsItsConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	meter := &countingMeter{counts: map[Reason]int{}}
	pool := New(Limits{MemoryBytes: 2 * connectionBytes, DescriptorShare: 1, HeaderBytes: func() int { return 1 << 10 }}, meter, slog.New(slog.DiscardHandler))
	var conns []*Conn
	for range 5 {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		c := pool.add(near)
		pool.ConnState(c, http.StateActive)
		conns = append(conns, c)
	}
	_, kept := pool.conns[conns[0]]
	g.Expect(kept).To(gomega.BeTrue())
	_, kept = pool.conns[conns[4]]
	g.Expect(kept).To(gomega.BeFalse())
}

// FuzzRequestHeader sends bytes as a request over a real connection. It guards against a
// header that makes the pool lose count of what connections hold, or the server stop serving.
func FuzzRequestHeader(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	f.Add([]byte("\r\n\r\n\r\nGET / HTTP/1.1\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1;x\r\ny\r\n0\r\nA: b\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	f.Add([]byte("\x16\x03\x01\x02\x00\x01\x00\x01\xfc"))
	f.Add([]byte(strings.Repeat("a:\n", 4000)))
	r := newRig(f, 100, 4<<10)
	f.Fuzz(func(t *testing.T, b []byte) {
		conn, err := net.Dial("tcp", r.address)
		if err != nil {
			t.Skip("no connection")
		}
		_ = conn.SetDeadline(time.Now().Add(50 * time.Millisecond))
		_, _ = conn.Write(b)
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
		if status := r.connect(t).request(""); status != http.StatusOK {
			t.Errorf("an ordinary request after it gets %d", status)
		}
		if held := r.pool.Held(); held < 0 || held > r.pool.limits.MemoryBytes {
			t.Errorf("the connections hold %d bytes", held)
		}
	})
}

// TestEvictedConnectionIsKnown guards against a request that runs although its connection was
// chosen to be closed at the moment at which its header became complete.
func TestEvictedConnectionIsKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	pool := New(Limits{MemoryBytes: connectionBytes, DescriptorShare: 1, HeaderBytes: func() int { return 1 << 10 }},
		&countingMeter{counts: map[Reason]int{}}, slog.New(slog.DiscardHandler))
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	first := pool.add(near)
	g.Expect(first.Evicted()).To(gomega.BeFalse())
	other, otherFar := net.Pipe()
	t.Cleanup(func() { _ = otherFar.Close() })
	second := pool.add(other)
	g.Expect(first.Evicted() || second.Evicted()).To(gomega.BeTrue())
}

// TestRefusalEndsAtOnce guards against a refused caller that learns half a second late that its
// connection ends, because the server cannot close its sending side.
func TestRefusalEndsAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	c, isConn := any(&Conn{}).(interface{ CloseWrite() error })
	g.Expect(isConn).To(gomega.BeTrue())
	g.Expect(c).NotTo(gomega.BeNil())
}

// TestBytesBehindAHeaderCostNothing guards against a request that counts as a large header while
// it is served, because the bytes that follow its header were read together with it.
func TestBytesBehindAHeaderCostNothing(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4096\r\n\r\n"
	lines := int64(strings.Count(head, "\n"))
	for name, c := range map[string]struct {
		parts []string
		size  int
		cost  int64
	}{
		"head alone":           {[]string{head}, len(head), int64(len(head)) + lines*lineBytes},
		"with empty lines":     {[]string{head + strings.Repeat("\r\n", 2000)}, len(head), int64(len(head)) + lines*lineBytes},
		"with bare line feeds": {[]string{"GET / HTTP/1.1\nHost: x\n\n" + strings.Repeat("a\n", 2000)}, 24, 24 + 3*lineBytes},
		"byte by byte":         {strings.Split(head+strings.Repeat("\n", 100), ""), len(head), int64(len(head)) + lines*lineBytes},
		"empty lines before":   {[]string{"\r\n\r\n", head, "more"}, len(head) + 4, int64(len(head)) + 4 + (lines+2)*lineBytes},
		"empty lines alone":    {[]string{"\r\n\r\n", "\r\n"}, 6, 6 + 3*lineBytes},
		"unfinished":           {[]string{"GET / HTTP/1.1\r\nHost: x\r\n", "\r"}, 26, 26 + 2*lineBytes},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			conn := &Conn{pool: New(Limits{}, nil, nil)}
			size, cost := 0, int64(0)
			for _, part := range c.parts {
				partSize, partCost := conn.countHeader([]byte(part))
				size, cost = partSize, cost+partCost
			}
			g.Expect(size).To(gomega.Equal(c.size))
			g.Expect(cost).To(gomega.Equal(c.cost))
		})
	}
}
