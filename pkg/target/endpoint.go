package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// dialTimeout is a part of the time in which new work may still leave for
	// what was taken out. A second packet of a handshake would follow only after
	// 1 s.
	dialTimeout = 700 * time.Millisecond
	// readBuffer and writeBuffer, in bytes, are held by each open stream. Events
	// are a few hundred bytes, and larger parts of a body pass by the buffers.
	readBuffer  = 2 << 10
	writeBuffer = 1 << 10
	// idleConnections bounds the pooled connections to one address.
	idleConnections = 64
	idleTimeout     = 60 * time.Second
	// endpointIdle is how long the transports of an unused address are kept.
	endpointIdle = 10 * time.Minute
	sweepPeriod  = time.Minute
	// A dead connection is found by TCP after about
	// keepAliveIdle + keepAliveCount*keepAliveInterval.
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// endpoint is what is kept per address. Transports are per address, so that
// the idle connections to one target can be dropped when one of them is found
// to be silent.
type endpoint struct {
	pooled  *http.Transport
	control *http.Transport
	usedAt  time.Time

	mu     sync.Mutex
	events eventCursor
}

// eventCursor is the place in a target's cache events.
type eventCursor struct {
	known       bool
	incarnation state.Incarnation
	next        uint64
	// none is set for a target without cache events.
	none bool
}

type endpoints struct {
	// fresh uses a connection once: it never finds a broken pooled connection,
	// so it never replays a request.
	fresh *http.Transport

	mu      sync.Mutex
	byHost  map[string]*endpoint
	sweepAt time.Time
}

func newEndpoints() *endpoints {
	e := &endpoints{fresh: newTransport(), byHost: map[string]*endpoint{}}
	e.fresh.DisableKeepAlives = true
	return e
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	// HTTP/2 has its own rules of replay, so only HTTP/1.1 is spoken.
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, Protocols: protocols,
		MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout,
		ReadBufferSize: readBuffer, WriteBufferSize: writeBuffer,
	}
}

func (e *endpoints) get(host string) *endpoint {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.After(e.sweepAt) {
		e.sweep(now)
	}
	p := e.byHost[host]
	if p == nil {
		p = &endpoint{pooled: newTransport(), control: newTransport()}
		e.byHost[host] = p
	}
	p.usedAt = now
	return p
}

func (e *endpoints) sweep(now time.Time) {
	e.sweepAt = now.Add(sweepPeriod)
	for host, p := range e.byHost {
		if now.Sub(p.usedAt) > endpointIdle {
			p.pooled.CloseIdleConnections()
			p.control.CloseIdleConnections()
			delete(e.byHost, host)
		}
	}
}

func (e *endpoints) controlTransport(r *http.Request) *http.Transport {
	return e.get(r.URL.Host).control
}

func (e *endpoints) attemptTransport(r *http.Request) *http.Transport {
	if a, ok := r.Context().Value(attemptKey{}).(*attempt); ok && a.newConnection {
		return e.fresh
	}
	return e.get(r.URL.Host).pooled
}

type attemptKey struct{}

// attempt is carried in the context of an attempt's request.
type attempt struct {
	newConnection bool
	connected     bool
}

func withAttempt(ctx context.Context, a *attempt) context.Context {
	return context.WithValue(ctx, attemptKey{}, a)
}
