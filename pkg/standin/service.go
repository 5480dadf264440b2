package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Service is a stand-in of an order service. It counts executions per key and
// ignores repeats no more than a real one would: each call executes.
type Service struct {
	mu         sync.Mutex
	executions map[string]int
	completed  int64
}

// NewService returns a service without orders.
func NewService() *Service { return &Service{executions: map[string]int{}} }

// Executions returns how often an order with this key was executed.
func (s *Service) Executions(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[key]
}

// Handler returns the service's HTTP handler.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, state.LoadAnswer{Incarnation: 1, Completed: s.completed})
	})
	mux.HandleFunc("POST /orders", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		key := r.Header.Get("Idempotency-Key")
		s.mu.Lock()
		s.executions[key]++
		s.completed++
		n := s.completed
		s.mu.Unlock()
		writeJSON(w, map[string]string{"order": strconv.FormatInt(n, 10), "key": key, "item": string(body)})
	})
	mux.HandleFunc("GET /orders/{key}", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		n, ok := s.executions[r.PathValue("key")]
		if !ok {
			http.Error(w, "no such order", http.StatusNotFound)
			return
		}
		writeJSON(w, map[string]int{"executions": n})
	})
	return mux
}
