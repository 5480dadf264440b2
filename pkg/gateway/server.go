package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	readHeaderTimeout = 10 * time.Second
	// idleConnectionTimeout is how long a caller may keep a connection without use.
	idleConnectionTimeout = 2 * time.Minute
	// maxServerHeaderBytes is where the HTTP server gives up on a header without a
	// typed answer; the typed limit is maxHeaderBytes.
	maxServerHeaderBytes = 256 << 10
	// shutdownQuietPeriod is how long an idle connection is kept after the last exchange of
	// a shutdown, for a request that was on its way.
	shutdownQuietPeriod  = time.Second
	shutdownPollInterval = 20 * time.Millisecond
)

// Server serves callers and shuts down without cutting an exchange.
type Server struct {
	http *http.Server

	mu         sync.Mutex
	listener   net.Listener
	stopped    bool
	connStates map[net.Conn]http.ConnState
	// lastStateChange is when a connection last changed its state.
	lastStateChange time.Time
}

// NewServer returns a server of a handler.
func NewServer(handler http.Handler) *Server {
	s := &Server{connStates: map[net.Conn]http.ConnState{}}
	s.http = &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleConnectionTimeout,
		MaxHeaderBytes: maxServerHeaderBytes, ConnState: s.connStateChanged,
	}
	return s
}

func (s *Server) connStateChanged(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastStateChange = time.Now()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.connStates, conn)
		return
	}
	s.connStates[conn] = state
}

// Serve accepts connections until StopAccepting.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	stopped := s.stopped
	s.mu.Unlock()
	if stopped {
		return listener.Close()
	}
	err := s.http.Serve(listener)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// StopAccepting closes the listener. Connections that are open go on, idle
// ones too: closing them could cut a request that is on its way.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
}

// Shutdown waits until no exchange runs and no connection has changed for the
// linger, and closes what is idle. It does not cut an exchange, however long.
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

// Close closes all connections and cuts exchanges off.
func (s *Server) Close() error {
	s.StopAccepting()
	return errors.Wrap(s.http.Close(), "close connections")
}
