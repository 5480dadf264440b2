package target

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/transport"
)

const (
	// dialTimeout is part of the time in which a request may still be sent to a
	// target after the target was disabled. A longer timeout below 1 s would not
	// help, because TCP retransmits a lost handshake packet only after 1 s.
	dialTimeout = 700 * time.Millisecond
	// Each open stream holds a buffer of readBufferBytes and one of
	// writeBufferBytes. Events have a few hundred bytes, and larger parts of a
	// body bypass the buffers.
	readBufferBytes  = 2 << 10
	writeBufferBytes = 1 << 10
	// maxAnswerHeaderBytes bounds the header of an answer, which a faulty target may
	// continue without end. The default of net/http is 10 MB for each answer.
	maxAnswerHeaderBytes = 64 << 10
	// maxIdleConnsPerAddress limits the idle pooled connections to one address.
	maxIdleConnsPerAddress = 64
	idleConnTimeout        = 60 * time.Second
	// endpointIdleTimeout is how long an endpoint is kept after its last use.
	endpointIdleTimeout = 10 * time.Minute
	sweepPeriod         = time.Minute
	// TCP keep-alive detects a dead connection after about
	// keepAliveIdle + keepAliveCount*keepAliveInterval.
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// endpoint holds the transports and the cache event cursor of one address. Each
// address has its own transports, so that the idle connections to one target can
// be closed when one of its connections stops carrying data.
type endpoint struct {
	pooled     *transport.Transport
	control    *transport.Transport
	lastUsedAt time.Time

	mu          sync.Mutex
	cacheCursor cacheEventCursor
	// echoesRequests is set while the answers to attempts name their requests. Only then
	// can a late second copy of an answer be told from the answer to the next request on
	// the connection.
	echoesRequests bool
}

func (e *endpoint) echoes() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.echoesRequests
}

func (e *endpoint) setEchoes(echoes bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.echoesRequests = echoes
}

// cacheEventCursor is the position in the cache events of a target.
type cacheEventCursor struct {
	synced      bool
	incarnation state.Incarnation
	nextEvent   uint64
	// unsupported is set if the target does not serve cache events.
	unsupported bool
}

// endpoints holds the endpoint of each address in use.
type endpoints struct {
	// singleUse opens a new connection for each request. It never takes a broken
	// connection from a pool and therefore never replays a request.
	singleUse *transport.Transport

	mu          sync.Mutex
	byAddress   map[string]*endpoint
	nextSweepAt time.Time
}

func newEndpoints() *endpoints {
	e := &endpoints{singleUse: newTransport(), byAddress: map[string]*endpoint{}}
	e.singleUse.DisableKeepAlives = true
	return e
}

func newTransport() *transport.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	// Only HTTP/1.1 is enabled, because HTTP/2 has its own rules for replaying
	// requests.
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return transport.New(&http.Transport{
		DialContext: unlessAbandoned(dialer.DialContext), DisableCompression: true, Protocols: protocols,
		MaxIdleConnsPerHost: maxIdleConnsPerAddress, IdleConnTimeout: idleConnTimeout,
		ReadBufferSize: readBufferBytes, WriteBufferSize: writeBufferBytes,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	})
}

// ErrAbandoned means that a request was not sent because nobody waits for its answer.
var ErrAbandoned = errors.New("the request was abandoned before it was sent")

type abandonmentKey struct{}

// WithAbandonment returns a context for a request that is not sent on a new connection if
// abandoned returns true once the connection is established. Its error is then ErrAbandoned.
func WithAbandonment(ctx context.Context, abandoned func() bool) context.Context {
	return context.WithValue(ctx, abandonmentKey{}, abandoned)
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func unlessAbandoned(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if abandoned, ok := ctx.Value(abandonmentKey{}).(func() bool); err == nil && ok && abandoned() {
			_ = conn.Close()
			return nil, ErrAbandoned
		}
		return conn, err
	}
}

// get returns the endpoint of an address and creates it if needed.
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

// evictIdle removes the endpoints that were not used for endpointIdleTimeout.
// The caller holds mu.
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

func (e *endpoints) controlTransport(r *http.Request) *transport.Transport {
	return e.get(r.URL.Host).control
}

func (e *endpoints) attemptTransport(r *http.Request) *transport.Transport {
	if a, ok := r.Context().Value(attemptKey{}).(*attempt); ok && a.newConnection {
		return e.singleUse
	}
	return e.get(r.URL.Host).pooled
}

type attemptKey struct{}

// attempt is the state of one attempt, stored in the context of its request.
type attempt struct {
	newConnection bool
	connected     bool
}

func withAttempt(ctx context.Context, a *attempt) context.Context {
	return context.WithValue(ctx, attemptKey{}, a)
}
