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
	// idleConnection is how long a caller may keep a connection without use.
	idleConnection = 2 * time.Minute
	// serverHeaderBytes is where the HTTP server gives up on a header without a
	// typed answer; the typed limit is maxHeaderBytes.
	serverHeaderBytes = 256 << 10
	// linger is how long an idle connection is kept after the last exchange of
	// a shutdown, for a request that was on its way.
	linger       = time.Second
	shutdownPoll = 20 * time.Millisecond
)

// Server serves callers and shuts down without cutting an exchange.
type Server struct {
	http *http.Server

	mu       sync.Mutex
	listener net.Listener
	stopped  bool
	conns    map[net.Conn]http.ConnState
	// changedAt is when a connection last changed its state.
	changedAt time.Time
}

// NewServer returns a server of a handler.
func NewServer(handler http.Handler) *Server {
	s := &Server{conns: map[net.Conn]http.ConnState{}}
	s.http = &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleConnection,
		MaxHeaderBytes: serverHeaderBytes, ConnState: s.changed,
	}
	return s
}

func (s *Server) changed(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changedAt = time.Now()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, conn)
		return
	}
	s.conns[conn] = state
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
	ticker := time.NewTicker(shutdownPoll)
	defer ticker.Stop()
	began := time.Now()
	for !s.quiet(began) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for exchanges")
		}
	}
	return errors.Wrap(s.http.Shutdown(ctx), "close connections")
}

func (s *Server) quiet(began time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.conns {
		if state == http.StateActive {
			return false
		}
	}
	last := began
	if s.changedAt.After(last) {
		last = s.changedAt
	}
	return len(s.conns) == 0 || time.Since(last) >= linger
}

// Close closes all connections and cuts exchanges off.
func (s *Server) Close() error {
	s.StopAccepting()
	return errors.Wrap(s.http.Close(), "close connections")
}
