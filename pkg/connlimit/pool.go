// Package connlimit bounds what the connections of a listener cost a process, before their
// requests are complete. A process that exceeds its memory is ended by its host, with the
// requests of all callers, and one without free descriptors reaches no target.
package connlimit

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// connectionBytes is what a connection costs without a request: its buffers, the stack
	// of its goroutine and its state.
	connectionBytes = 16 << 10
	// lineBytes is what a line of a request header costs once it is parsed, in addition to
	// its bytes: an entry of a map, a list with one value, and their strings.
	lineBytes = 256
	// slowTime is how long an ordinary caller may take for a request header, also on a link
	// that loses packets, before its connection may be closed for others.
	slowTime = time.Second
	// firstByteTime is how long an ordinary caller may take for the first byte after it has
	// connected.
	firstByteTime = 250 * time.Millisecond
	// evictionShare is the part of the connections that may be closed together once the limits
	// are reached, so that not each of many connections without requests sorts all of them.
	evictionShare = 16
	// limitInterval is how often the limit of descriptors is read.
	limitInterval = time.Second
	// heavyHeaderBytes is what the header of a request costs that holds far more than ordinary
	// ones: 13 KiB in 200 lines.
	heavyHeaderBytes = 64 << 10
	// logInterval is the least time between two log lines of one listener.
	logInterval = time.Second
)

// Reason names why a connection was closed.
type Reason string

// Reasons for closing a connection.
const (
	// HeaderTooLarge is a request header beyond the bound on one header.
	HeaderTooLarge Reason = "header_too_large"
	// MemoryFull is a connection that is closed because all of them together hold too much.
	MemoryFull Reason = "memory_full"
	// TooMany is a connection that is closed because too many are open.
	TooMany Reason = "too_many"
	// AnswerUnread is a connection whose caller reads nothing of its answer.
	AnswerUnread Reason = "answer_unread"
)

// Limits bounds the connections of one listener.
type Limits struct {
	// Listener names the listener in metrics and log lines.
	Listener string
	// MemoryBytes is what all connections together may hold.
	MemoryBytes int64
	// HeaderBytes returns the greatest size of a request header in bytes. It may change.
	HeaderBytes func() int
	// DescriptorShare is the part of the descriptors of the process that connections may use.
	DescriptorShare float64
}

// Meter counts closed connections. It is called concurrently.
type Meter interface {
	ConnectionClosed(listener string, reason Reason)
}

// Pool holds the connections of one listener. Its methods may be called concurrently.
type Pool struct {
	limits Limits
	meter  Meter
	log    *slog.Logger

	mu sync.Mutex
	// conns holds the open connections, and held what they cost together in bytes.
	conns map[*Conn]struct{}
	held  int64
	// limit is the number of connections that the pool may have, as of limitReadAt.
	limit       int
	limitReadAt time.Time
	// closed counts the connections closed since the last log line, which was at loggedAt.
	closed   map[Reason]int
	loggedAt time.Time
}

// New returns a pool without connections.
func New(limits Limits, meter Meter, log *slog.Logger) *Pool {
	return &Pool{limits: limits, meter: meter, log: log, conns: map[*Conn]struct{}{}, closed: map[Reason]int{}}
}

// Listener returns a listener whose connections belong to the pool.
func (p *Pool) Listener(l net.Listener) net.Listener { return &listener{l, p} }

type listener struct {
	net.Listener
	pool *Pool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.pool.add(conn), nil
}

// Connections returns the number of open connections.
func (p *Pool) Connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Held returns what the connections cost in bytes.
func (p *Pool) Held() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// maxConnections returns how many connections the pool may have.
func (p *Pool) maxConnections(now time.Time) int {
	if now.Sub(p.limitReadAt) >= limitInterval {
		p.limitReadAt, p.limit = now, max(int(p.limits.MemoryBytes/connectionBytes), 1)
		if descriptors, ok := descriptorLimit(); ok {
			p.limit = max(min(p.limit, int(p.limits.DescriptorShare*float64(descriptors))), 1)
		}
	}
	return p.limit
}

// add takes in a new connection. If there are too many, others are closed for it, or the new
// one if a request runs on all of them.
func (p *Pool) add(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, pool: p, since: time.Now()}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.held += connectionBytes
	victims := p.makeRoom(time.Now())
	p.mu.Unlock()
	for _, v := range victims {
		v.conn.closeFor(v.reason)
	}
	return c
}

// victim is a connection to close.
type victim struct {
	conn   *Conn
	reason Reason
}

// makeRoom returns the connections to close if the limits are exceeded. They no longer count.
func (p *Pool) makeRoom(now time.Time) []victim {
	reason, maxConnections := TooMany, p.maxConnections(now)
	switch {
	case p.held > p.limits.MemoryBytes:
		reason = MemoryFull
	case len(p.conns) <= maxConnections:
		return nil
	}
	candidates := make([]*Conn, 0, len(p.conns))
	for c := range p.conns {
		if c.phase != serving {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(a, b *Conn) int { return a.compareEviction(b, now) })
	spare := max(len(p.conns)/evictionShare, 1)
	var victims []victim
	for _, c := range candidates {
		isEnough := p.held <= p.limits.MemoryBytes-int64(spare)*connectionBytes && len(p.conns) <= maxConnections-spare
		// Beyond what is needed now, only slow ones are closed.
		if isEnough || len(victims) > 0 && !c.isSlow(now) && p.held <= p.limits.MemoryBytes && len(p.conns) <= maxConnections {
			break
		}
		p.forget(c)
		c.evicted.Store(true)
		victims = append(victims, victim{c, reason})
	}
	return victims
}

// forget takes a connection out of the pool.
func (p *Pool) forget(c *Conn) {
	if _, ok := p.conns[c]; ok {
		delete(p.conns, c)
		p.held -= connectionBytes + c.headerCost
		c.headerCost = 0
	}
}

// reserve adds the cost of a part of a request header, and reports whether the connection may
// go on.
func (p *Pool) reserve(c *Conn, cost int64) bool {
	p.mu.Lock()
	if _, ok := p.conns[c]; !ok {
		p.mu.Unlock()
		return false
	}
	c.headerCost += cost
	p.held += cost
	victims := p.makeRoom(time.Now())
	p.mu.Unlock()
	goesOn := true
	for _, v := range victims {
		goesOn = goesOn && v.conn != c
		v.conn.closeFor(v.reason)
	}
	return goesOn
}

// ConnState is the callback of an http.Server whose listener belongs to the pool. The server
// reports a connection as active once it has read the header of a request.
func (p *Pool) ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch state {
	case http.StateActive, http.StateHijacked:
		c.phase, c.since, c.header = serving, time.Now(), headerProgress{}
		c.requests++
	case http.StateIdle:
		p.held -= c.headerCost
		c.phase, c.since, c.header, c.headerCost = waiting, time.Now(), headerProgress{}, 0
	case http.StateClosed:
		p.forget(c)
	case http.StateNew:
	}
}

// countClosed counts a closed connection, and logs at most one line in logInterval, so that
// many closed connections cannot fill the log.
func (p *Pool) countClosed(reason Reason) {
	p.meter.ConnectionClosed(p.limits.Listener, reason)
	if attrs := p.takeClosed(reason); attrs != nil {
		event.Log(context.Background(), p.log, event.ConnectionsClosed, attrs...)
	}
}

// takeClosed adds a closed connection, and returns the attributes of a log line if one is due.
func (p *Pool) takeClosed(reason Reason) []slog.Attr {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed[reason]++
	now := time.Now()
	if now.Sub(p.loggedAt) < logInterval {
		return nil
	}
	attrs := []slog.Attr{slog.String("listener", p.limits.Listener), slog.Int("connections", len(p.conns)), slog.Int64("held_bytes", p.held)}
	for _, reason := range []Reason{HeaderTooLarge, MemoryFull, TooMany, AnswerUnread} {
		if n := p.closed[reason]; n > 0 {
			attrs = append(attrs, slog.Int(string(reason), n))
		}
	}
	p.loggedAt = now
	clear(p.closed)
	return attrs
}

// compareEviction orders connections by how soon they are closed for others: request headers
// that take long or hold much, by what they hold and for how long; connections that have sent
// no request; idle ones, the longest first; and those that are new.
func (c *Conn) compareEviction(other *Conn, now time.Time) int {
	return cmp.Or(
		cmp.Compare(c.evictionRank(now), other.evictionRank(now)),
		-cmp.Compare(c.weight(now), other.weight(now)),
	)
}

func (c *Conn) evictionRank(now time.Time) int {
	age := now.Sub(c.since)
	switch {
	case c.phase == readingHeader && (age >= slowTime || c.headerCost > heavyHeaderBytes):
		return 0
	case c.phase == waiting && c.requests == 0 && age >= firstByteTime:
		return 1
	case c.requests > 0 && c.phase == waiting:
		return 2
	}
	return 3
}

// isSlow reports whether a connection has held memory or a descriptor for long without a
// complete request.
func (c *Conn) isSlow(now time.Time) bool { return c.evictionRank(now) <= 1 }

func (c *Conn) weight(now time.Time) float64 {
	return float64(connectionBytes+c.headerCost) * now.Sub(c.since).Seconds()
}
