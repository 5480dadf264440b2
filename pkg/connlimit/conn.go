package connlimit

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// writeChunkBytes is the part of an answer that is written before its caller must have
	// read some of it.
	writeChunkBytes = 64 << 10
	// unreadTime is how long a caller may read nothing of an answer. Callers that read
	// slowly get each part of it within this time.
	unreadTime = 30 * time.Second
	// refusalWriteTime bounds the write of a refusal to a caller that may not read.
	refusalWriteTime = 100 * time.Millisecond
)

// phase is what a connection waits for.
type phase int

const (
	// waiting is a connection on which no byte of the next request has arrived.
	waiting phase = iota
	// readingHeader is one with a part of a request header.
	readingHeader
	// serving is one with a request that a handler has received, or one that a handler has
	// taken over.
	serving
)

// Conn is a connection of a Pool.
type Conn struct {
	net.Conn
	pool *Pool

	// The mutex of the pool guards these fields. since is when the phase began, header what of
	// the current request header has been read, and headerCost what it costs.
	phase      phase
	since      time.Time
	header     headerProgress
	headerCost int64
	requests   int
	// evicted is set once the connection was chosen to be closed for others.
	evicted atomic.Bool

	// deadlineMu guards the write deadline, and whether the server has set it.
	deadlineMu       sync.Mutex
	deadline         time.Time
	isServerDeadline bool
}

var (
	errHeaderTooLarge = errors.New("the request header is too large")
	errClosedForRoom  = errors.New("the connection was closed for others")
)

// headerTooLargeAnswer is what a caller gets before its connection is closed. Nothing has run.
const headerTooLargeAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// Read implements net.Conn. It counts the bytes of a request header before the server parses
// them.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	size, cost := c.countHeader(b[:n])
	if cost == 0 {
		return n, err
	}
	if size > c.pool.limits.HeaderBytes() {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTime))
		_, _ = io.WriteString(c.Conn, headerTooLargeAnswer)
		c.closeFor(HeaderTooLarge)
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHeaderTooLarge}
	}
	if !c.pool.reserve(c, cost) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errClosedForRoom}
	}
	return n, err
}

// countHeader adds bytes to the current request header. It returns the size of the header, and
// what the added part costs. Bytes that follow the header cost nothing: the server keeps them in
// the buffer of the connection, or passes them on as the body.
func (c *Conn) countHeader(b []byte) (size int, cost int64) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.phase == serving {
		return 0, 0
	}
	if c.phase == waiting {
		c.phase, c.since = readingHeader, time.Now()
	}
	added, lines := c.header.add(b)
	return c.header.size, int64(added) + int64(lines)*lineBytes
}

// headerProgress is what of a request header has been read.
type headerProgress struct {
	size int
	// lineSize is the size of the unfinished line without a carriage return. hasLine is set
	// after the first line that is not empty; the next empty line ends the header.
	lineSize int
	hasLine  bool
	complete bool
}

// add adds bytes up to the end of the header, and returns their number and that of their lines.
func (h *headerProgress) add(b []byte) (added, lines int) {
	for !h.complete && added < len(b) {
		line, _, found := bytes.Cut(b[added:], []byte{'\n'})
		added += len(line)
		h.lineSize += len(bytes.TrimSuffix(line, []byte{'\r'}))
		if !found {
			break
		}
		added++
		lines++
		h.complete = h.hasLine && h.lineSize == 0
		h.hasLine = h.hasLine || h.lineSize > 0
		h.lineSize = 0
	}
	h.size += added
	return added, lines
}

// Write implements net.Conn. A caller loses its connection if nothing can be written for
// unreadTime, since the node holds the rest of its answer. What the kernel takes counts as
// written.
func (c *Conn) Write(b []byte) (written int, err error) {
	for len(b) > 0 && err == nil {
		if err = c.extendDeadline(len(b)); err != nil {
			break
		}
		var n int
		n, err = c.Conn.Write(b[:min(len(b), writeChunkBytes)])
		written, b = written+n, b[n:]
		if errors.Is(err, os.ErrDeadlineExceeded) && !c.hasServerDeadline() {
			if n > 0 {
				// The caller has read some of it.
				err = nil
				continue
			}
			c.closeFor(AnswerUnread)
		}
	}
	return written, err
}

// extendDeadline moves the write deadline of the connection before a write of a size, unless
// the server has set one. For small writes it does so once in half of unreadTime, because each
// move costs more than such a write.
func (c *Conn) extendDeadline(size int) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	now := time.Now()
	if c.isServerDeadline || size < writeChunkBytes && c.deadline.Sub(now) > unreadTime/2 {
		return nil
	}
	c.deadline = now.Add(unreadTime)
	return c.Conn.SetWriteDeadline(c.deadline)
}

func (c *Conn) hasServerDeadline() bool {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	return c.isServerDeadline
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.deadline, c.isServerDeadline = t, !t.IsZero()
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// Evicted reports whether the connection was chosen to be closed for others. The header of a
// request may have become complete at the same moment; the request must not run then.
func (c *Conn) Evicted() bool { return c.evicted.Load() }

// CloseWrite closes the sending side, as the server does after a refusal so that the caller
// reads it before the connection ends.
func (c *Conn) CloseWrite() error {
	if socket, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return socket.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.pool.mu.Lock()
	c.pool.forget(c)
	c.pool.mu.Unlock()
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if socket, ok := c.Conn.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errors.New("the connection has no socket")
}

// closeFor closes the connection and counts it.
func (c *Conn) closeFor(reason Reason) {
	_ = c.Close()
	c.pool.countClosed(reason)
}
