package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Service is a stand-in of an order service. It counts executions per key. Like a
// real service it does not recognise repeated orders: each call executes.
type Service struct {
	// ColdLimit and WarmLimit are the numbers of concurrent requests that the
	// service accepts when cold and when warm. A ColdLimit of 0 means no limit.
	ColdLimit int
	WarmLimit int
	// OnCrash is called on FaultCrash.
	OnCrash func()

	faults faultInjector

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
	Number string `json:"order"`
	Key    string `json:"key"`
	Item   string `json:"item"`
}

// OrderStatus is the answer to GET /orders/{key}.
type OrderStatus struct {
	Executions int `json:"executions"`
}

// NewService returns a service without orders.
func NewService() *Service {
	return &Service{executions: map[string]int{}, incarnation: state.Incarnation(time.Now().UnixNano())}
}

// Executions returns the number of executions of orders with this key.
func (s *Service) Executions(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[key]
}

// Violations returns the number of requests that exceeded the concurrency limit.
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
	mux.HandleFunc("POST /orders", s.handleOrder)
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
	s.faults.onCrash = s.OnCrash
	return s.faults.wrap(mux, s.ApplyFault)
}

// ApplyFault applies a fault to the load of the service. Only POST /control
// injects the faults of requests and connections.
func (s *Service) ApplyFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f.Action {
	case FaultCold:
		s.completed, s.cold = 0, f.ReportsCold
	case FaultLeave:
		s.leaving = true
	}
}

// acquireSlot counts a request as running. It returns false when the concurrency
// limit is reached.
func (s *Service) acquireSlot() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit := concurrencyLimit(s.ColdLimit, s.WarmLimit, s.completed); limit > 0 && s.running >= limit {
		s.violations++
		return false
	}
	s.running++
	return true
}

// execute runs an order and returns its number, which is the count of completed
// orders.
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

func (s *Service) releaseSlot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Service) handleOrder(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault := s.faults.takeNext()
	if fault.Action == FaultNotRun {
		writeNotRun(w, "refused by an injected fault")
		return
	}
	if !s.acquireSlot() {
		http.Error(w, "the concurrency limit is exceeded", http.StatusInternalServerError)
		return
	}
	defer s.releaseSlot()
	if delay := s.faults.addedDelay(); delay > 0 {
		time.Sleep(delay)
	}
	key := r.Header.Get("Idempotency-Key")
	number := s.execute(key)
	switch fault.Action {
	case FaultReset, FaultCut:
		resetConnection(w)
	case FaultSilent:
		<-r.Context().Done()
		return
	}
	echoRequestIDs(w, r, fault)
	writeJSON(w, Order{strconv.FormatInt(number, 10), key, string(body)})
}
