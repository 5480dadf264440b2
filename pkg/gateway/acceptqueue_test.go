package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestStopAnswersConnectionsInTheAcceptQueue guards against requests on connections that
// the kernel has established and the process has not accepted when the listener is closed,
// and against a stop that waits for callers who go on connecting.
func TestStopAnswersConnectionsInTheAcceptQueue(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	var connecting sync.WaitGroup
	for range 4 {
		connecting.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if conn, err := net.DialTimeout("tcp", listener.Addr().String(), 50*time.Millisecond); err == nil {
					_ = conn.Close()
				}
			}
		})
	}
	s := NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }), wideConnections())
	served := make(chan error, 1)
	go func() { served <- s.Serve(listener) }()
	for !s.isListening() {
		time.Sleep(time.Millisecond)
	}
	// Without this lock the server accepts nothing.
	s.mu.Lock()
	const waiting = 20
	var conns []net.Conn
	for range waiting {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	stopped := make(chan time.Duration)
	go func() {
		from := time.Now()
		s.StopAccepting()
		stopped <- time.Since(from)
	}()
	time.Sleep(10 * time.Millisecond)
	s.mu.Unlock()
	if took := <-stopped; took > handshakeTime+maxAcceptDrainTime {
		t.Errorf("the stop took %v", took)
	}
	close(stop)
	connecting.Wait()
	if err := <-served; err != nil {
		t.Error(err)
	}
	for i, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		res, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Errorf("connection %d: %v", i, err)
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode != http.StatusNoContent {
			t.Errorf("connection %d: status %d", i, res.StatusCode)
		}
	}
	if _, err := net.DialTimeout("tcp", listener.Addr().String(), time.Second); err == nil {
		t.Error("the listener is still open")
	}
}

// isListening reports whether Serve has been called.
func (s *Server) isListening() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener != nil
}
