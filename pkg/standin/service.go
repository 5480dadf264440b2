package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Service is a stand-in of an order service. It counts executions per key and
// ignores repeats no more than a real one would: each call executes.
type Service struct {
	// ColdLimit and WarmLimit are what the service bears; 0 means no limit.
	ColdLimit int
	WarmLimit int
	// OnDie is called when the service is told to die.
	OnDie func()

	faults faults

	mu          sync.Mutex
	executions  map[string]int
	incarnation state.Incarnation
	completed   int64
	running     int
	violations  int
	cold        bool
	leaving     bool
}

// Order is the answer to POST /orders.
type Order struct {
	Order string `json:"order"`
	Key   string `json:"key"`
	Item  string `json:"item"`
}

// OrderStatus is the answer to GET /orders/{key}.
type OrderStatus struct {
	Executions int `json:"executions"`
}

// NewService returns a service without orders.
func NewService() *Service {
	return &Service{executions: map[string]int{}, incarnation: state.Incarnation(time.Now().UnixNano())}
}

// Executions returns how often an order with this key was executed.
func (s *Service) Executions(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[key]
}

// Violations returns how often more ran than the service bears.
func (s *Service) Violations() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.violations
}

// Handler returns the service's HTTP handler.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(w, state.LoadAnswer{
			Incarnation: s.incarnation, Completed: s.completed, Running: s.running, Cold: s.cold, Leaving: s.leaving,
		})
	})
	mux.HandleFunc("POST /orders", s.order)
	mux.HandleFunc("GET /orders/{key}", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		n, ok := s.executions[r.PathValue("key")]
		s.mu.Unlock()
		if !ok {
			http.Error(w, "no such order", http.StatusNotFound)
			return
		}
		writeJSON(w, OrderStatus{n})
	})
	s.faults.onDie = s.OnDie
	return s.faults.wrap(mux, s.Control)
}

// Control applies a fault to the service's own state.
func (s *Service) Control(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f.Action {
	case FaultCold:
		s.completed, s.cold = 0, f.Report
	case FaultLeave:
		s.leaving = true
	}
}

// begin takes a place for a request; false means that there is none.
func (s *Service) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := limit(s.ColdLimit, s.WarmLimit, s.completed); n > 0 && s.running >= n {
		s.violations++
		return false
	}
	s.running++
	return true
}

// execute runs an order and returns its number.
func (s *Service) execute(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[key]++
	s.completed++
	if s.completed >= int64(4*s.ColdLimit) {
		s.cold = false
	}
	return s.completed
}

func (s *Service) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Service) order(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault := s.faults.next()
	if fault.Action == FaultNotRun {
		refuseNotRun(w, "told to refuse")
		return
	}
	if !s.begin() {
		http.Error(w, "over the limit", http.StatusInternalServerError)
		return
	}
	defer s.release()
	if wait := s.faults.slowness(); wait > 0 {
		time.Sleep(wait)
	}
	key := r.Header.Get("Idempotency-Key")
	n := s.execute(key)
	switch fault.Action {
	case FaultReset, FaultCut:
		reset(w)
	case FaultSilent:
		<-r.Context().Done()
		return
	}
	echo(w, r, fault)
	writeJSON(w, Order{strconv.FormatInt(n, 10), key, string(body)})
}
