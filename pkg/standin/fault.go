package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Fault actions of POST /control.
const (
	// FaultSilent stops a stream after some events and leaves its connection open.
	// An answer that is not streamed never starts.
	FaultSilent = "silent"
	// FaultCut closes the connection in the middle of an answer.
	FaultCut = "cut"
	// FaultReset resets the connection after the target has read the request and run
	// the order or started the generation.
	FaultReset = "reset"
	// FaultNotRun refuses a request and states in a header that it was not run.
	FaultNotRun = "not_run"
	// FaultWrongRequestID answers with the id of another request.
	FaultWrongRequestID = "foreign"
	// FaultSlow adds a delay to each token or order.
	FaultSlow = "slow"
	// FaultCrash calls OnCrash, which ends a stand-in that runs as a process. Without
	// OnCrash, the stand-in resets every connection until FaultClear.
	FaultCrash = "die"
	// FaultPause suspends all requests and token generation until FaultClear.
	FaultPause = "pause"
	// FaultCold makes the target cold again.
	FaultCold = "cold"
	// FaultLeave makes the target report that it is leaving.
	FaultLeave = "leave"
	// FaultClear removes all faults of requests and connections, the delay and the
	// pause. FaultCold and FaultLeave remain.
	FaultClear = "clear"
)

// Fault is the body of POST /control.
type Fault struct {
	Action string `json:"action"`
	// After is the number of events that a stream sends before the fault.
	After int `json:"after,omitempty"`
	// Count is the number of requests that the fault affects; 0 means one.
	Count int `json:"count,omitempty"`
	// DelayMS is the delay of FaultSlow in milliseconds.
	DelayMS int `json:"delay_ms,omitempty"`
	// ReportsCold makes the target report in its load answer that FaultCold made
	// it cold.
	ReportsCold bool `json:"report,omitempty"`
}

// faultInjector injects faults into the requests and connections of a stand-in.
type faultInjector struct {
	mu sync.Mutex
	// pending are the faults of the next requests, in order.
	pending []Fault
	delay   time.Duration
	crashed bool
	// pauseEnded is closed when the pause ends. It is nil while not paused.
	pauseEnded chan struct{}
	onCrash    func()
}

// set applies the faults that work alike in every kind of stand-in.
func (f *faultInjector) set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch fault.Action {
	case FaultSlow:
		f.delay = time.Duration(fault.DelayMS) * time.Millisecond
	case FaultCrash:
		f.crashed = true
		if f.onCrash != nil {
			f.onCrash()
		}
	case FaultPause:
		if f.pauseEnded == nil {
			f.pauseEnded = make(chan struct{})
		}
	case FaultClear:
		f.pending, f.delay, f.crashed = nil, 0, false
		if f.pauseEnded != nil {
			close(f.pauseEnded)
			f.pauseEnded = nil
		}
	case FaultSilent, FaultCut, FaultReset, FaultNotRun, FaultWrongRequestID:
		for range max(fault.Count, 1) {
			f.pending = append(f.pending, fault)
		}
	}
}

// takeNext removes and returns the fault of the next request. Its action is empty
// when no fault is pending.
func (f *faultInjector) takeNext() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pending) == 0 {
		return Fault{}
	}
	fault := f.pending[0]
	f.pending = f.pending[1:]
	return fault
}

func (f *faultInjector) addedDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delay
}

// waitWhilePaused blocks while the stand-in is paused.
func (f *faultInjector) waitWhilePaused() {
	f.mu.Lock()
	ended := f.pauseEnded
	f.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

func (f *faultInjector) isCrashed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashed
}

// wrap adds POST /control to a handler. All other requests wait while the
// stand-in is paused, and their connections are reset while it is crashed.
func (f *faultInjector) wrap(next http.Handler, apply func(Fault)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/control" && r.Method == http.MethodPost {
			var fault Fault
			if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			apply(fault)
			f.set(fault)
			w.WriteHeader(http.StatusNoContent)
			return
		}
		f.waitWhilePaused()
		if f.isCrashed() {
			resetConnection(w)
		}
		next.ServeHTTP(w, r)
	})
}

// resetConnection closes the connection of a request with a TCP reset and aborts
// the handler.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	panic(http.ErrAbortHandler)
}

// concurrencyLimit returns the number of concurrent requests that a target accepts
// after a number of completions: cold at first, doubled after each 4*cold
// completions, up to warm. 0 means no limit.
func concurrencyLimit(cold, warm int, completed int64) int {
	if cold <= 0 {
		return 0
	}
	limit := cold
	for threshold := int64(4 * cold); completed >= threshold && limit < warm; threshold += int64(4 * cold) {
		limit *= 2
	}
	return max(cold, min(limit, warm))
}
