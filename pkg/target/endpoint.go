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
	// readBufferBytes and writeBuffer, in bytes, are held by each open stream. Events
	// are a few hundred bytes, and larger parts of a body pass by the buffers.
	readBufferBytes  = 2 << 10
	writeBufferBytes = 1 << 10
	// maxIdleConnsPerAddress bounds the pooled connections to one address.
	maxIdleConnsPerAddress = 64
	idleConnTimeout        = 60 * time.Second
	// endpointIdleTimeout is how long the transports of an unused address are kept.
	endpointIdleTimeout = 10 * time.Minute
	sweepPeriod         = time.Minute
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
	pooled     *http.Transport
	control    *http.Transport
	lastUsedAt time.Time

	mu          sync.Mutex
	cacheCursor cacheEventCursor
}

// cacheEventCursor is the place in a target's cache events.
type cacheEventCursor struct {
	synced      bool
	incarnation state.Incarnation
	nextEvent   uint64
	// unsupported is set for a target without cache events.
	unsupported bool
}

type endpoints struct {
	// singleUse uses a connection once: it never finds a broken pooled connection,
	// so it never replays a request.
	singleUse *http.Transport

	mu          sync.Mutex
	byAddress   map[string]*endpoint
	nextSweepAt time.Time
}

func newEndpoints() *endpoints {
	e := &endpoints{singleUse: newTransport(), byAddress: map[string]*endpoint{}}
	e.singleUse.DisableKeepAlives = true
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
		MaxIdleConnsPerHost: maxIdleConnsPerAddress, IdleConnTimeout: idleConnTimeout,
		ReadBufferSize: readBufferBytes, WriteBufferSize: writeBufferBytes,
	}
}

func (e *endpoints) get(address string) *endpoint {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.After(e.nextSweepAt) {
		e.evictIdle(now)
	}
	ep := e.byAddress[address]
	if ep == nil {
		ep = &endpoint{pooled: newTransport(), control: newTransport()}
		e.byAddress[address] = ep
	}
	ep.lastUsedAt = now
	return ep
}

func (e *endpoints) evictIdle(now time.Time) {
	e.nextSweepAt = now.Add(sweepPeriod)
	for address, ep := range e.byAddress {
		if now.Sub(ep.lastUsedAt) > endpointIdleTimeout {
			ep.pooled.CloseIdleConnections()
			ep.control.CloseIdleConnections()
			delete(e.byAddress, address)
		}
	}
}

func (e *endpoints) controlTransport(r *http.Request) *http.Transport {
	return e.get(r.URL.Host).control
}

func (e *endpoints) attemptTransport(r *http.Request) *http.Transport {
	if a, ok := r.Context().Value(attemptKey{}).(*attempt); ok && a.newConnection {
		return e.singleUse
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
