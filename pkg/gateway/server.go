package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/connlimit"
)

const (
	readHeaderTimeout = 10 * time.Second
	// idleConnectionTimeout is how long a caller may keep an idle connection open.
	idleConnectionTimeout = 2 * time.Minute
	// MaxServerHeaderBytes is the header size above which the HTTP server itself
	// rejects a request, without a typed error. The limit with a typed error is
	// maxHeaderBytes.
	MaxServerHeaderBytes = 256 << 10
	// shutdownQuietPeriod is how long a shutdown keeps idle connections open after
	// the last exchange, so that a request in transit is still served.
	shutdownQuietPeriod  = time.Second
	shutdownPollInterval = 20 * time.Millisecond
	// handshakeTime is how long a handshake that has begun may take to complete after the
	// listener refuses new ones.
	handshakeTime = 250 * time.Millisecond
	// maxAcceptDrainTime bounds the wait for an empty accept queue, and
	// acceptQueuePollInterval is the interval of the checks.
	maxAcceptDrainTime      = time.Second
	acceptQueuePollInterval = time.Millisecond
)

// Server serves callers and shuts down without aborting an exchange.
type Server struct {
	http  *http.Server
	conns *connlimit.Pool

	mu         sync.Mutex
	listener   net.Listener
	stopped    bool
	stopOnce   sync.Once
	connStates map[net.Conn]http.ConnState
	// lastStateChange is the time of the last state change of any connection.
	lastStateChange time.Time
}

// Listen listens for callers. Multipath TCP is off, since its sockets take no filter, which
// StopAccepting needs.
func Listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	listener, err := config.Listen(context.Background(), "tcp", address)
	return listener, errors.Wrap(err, "listen for callers")
}

// NewServer returns a server that calls handler for each request. Its connections belong to
// a pool.
func NewServer(handler http.Handler, conns *connlimit.Pool) *Server {
	s := &Server{conns: conns, connStates: map[net.Conn]http.ConnState{}}
	s.http = &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleConnectionTimeout,
		MaxHeaderBytes: MaxServerHeaderBytes, ConnState: s.connStateChanged, ConnContext: withCallerConn,
	}
	return s
}

// connStateChanged implements the ConnState callback of http.Server.
func (s *Server) connStateChanged(conn net.Conn, state http.ConnState) {
	s.conns.ConnState(conn, state)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastStateChange = time.Now()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.connStates, conn)
		return
	}
	s.connStates[conn] = state
}

// Serve accepts connections until StopAccepting is called.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	stopped := s.stopped
	s.mu.Unlock()
	if stopped {
		return listener.Close()
	}
	err := s.http.Serve(s.conns.Listener(listener))
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// StopAccepting closes the listener once the connections that callers have established are
// accepted. Open connections stay open, including idle ones, because closing them could
// abort a request in transit.
func (s *Server) StopAccepting() {
	s.stopOnce.Do(func() {
		s.mu.Lock()
		listener, isTCP := s.listener.(*net.TCPListener)
		s.mu.Unlock()
		if isTCP {
			drainAcceptQueue(listener)
		}
		s.closeListener()
	})
}

// drainAcceptQueue waits until all established connections are accepted. The kernel resets
// those that still wait when their listener is closed, with the requests on them. Where
// new connections cannot be refused, the queue is empty only for a moment.
func drainAcceptQueue(l *net.TCPListener) {
	if refuseNewConnections(l) == nil {
		time.Sleep(handshakeTime)
	}
	for deadline := time.Now().Add(maxAcceptDrainTime); time.Now().Before(deadline); time.Sleep(acceptQueuePollInterval) {
		if length, err := acceptQueueLength(l); err != nil || length == 0 {
			return
		}
	}
}

func (s *Server) closeListener() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// Shutdown waits until no exchange runs and no connection has changed its state
// for shutdownQuietPeriod, and then closes the idle connections. It never aborts an
// exchange, however long it takes, and returns early only when ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.StopAccepting()
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	shutdownStart := time.Now()
	for !s.isQuiescent(shutdownStart) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for exchanges")
		}
	}
	return errors.Wrap(s.http.Shutdown(ctx), "close connections")
}

// isQuiescent reports whether no exchange runs and either no connection is open or
// the last state change, at the earliest shutdownStart, is shutdownQuietPeriod ago.
func (s *Server) isQuiescent(shutdownStart time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.connStates {
		if state == http.StateActive {
			return false
		}
	}
	lastChange := shutdownStart
	if s.lastStateChange.After(lastChange) {
		lastChange = s.lastStateChange
	}
	return len(s.connStates) == 0 || time.Since(lastChange) >= shutdownQuietPeriod
}

// Close closes all connections and aborts their exchanges.
func (s *Server) Close() error {
	s.closeListener()
	return errors.Wrap(s.http.Close(), "close connections")
}
