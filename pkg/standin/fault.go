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
	// FaultSilent makes a stream carry nothing after some events while its
	// connection stays open, or a plain answer never begin.
	FaultSilent = "silent"
	// FaultCut breaks the connection in the middle of a stream.
	FaultCut = "cut"
	// FaultReset reads and runs a request, then resets the connection.
	FaultReset = "reset"
	// FaultNotRun refuses a request and says that it was not run.
	FaultNotRun = "not_run"
	// FaultWrongRequestID answers with the id of another request.
	FaultWrongRequestID = "foreign"
	// FaultSlow adds a delay before each token or answer.
	FaultSlow = "slow"
	// FaultDie makes the process end, or drop every connection.
	FaultDie = "die"
	// FaultPause holds everything until FaultClear.
	FaultPause = "pause"
	// FaultCold makes the target cold again.
	FaultCold = "cold"
	// FaultLeave makes the target report that it is leaving.
	FaultLeave = "leave"
	// FaultClear ends all faults.
	FaultClear = "clear"
)

// Fault is the body of POST /control.
type Fault struct {
	Action string `json:"action"`
	// After is the number of events before a fault in a stream.
	After int `json:"after,omitempty"`
	// Count is the number of requests that a fault hits; 0 means one.
	Count int `json:"count,omitempty"`
	// DelayMS is the delay of FaultSlow in milliseconds.
	DelayMS int `json:"delay_ms,omitempty"`
	// ReportsCold is whether a target says itself that FaultCold made it cold.
	ReportsCold bool `json:"report,omitempty"`
}

// faultInjector holds what is wrong with a stand-in.
type faultInjector struct {
	mu         sync.Mutex
	pending    []Fault
	delay      time.Duration
	crashed    bool
	pauseEnded chan struct{}
	onCrash    func()
}

// set applies the faults that concern every kind of stand-in.
func (f *faultInjector) set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch fault.Action {
	case FaultSlow:
		f.delay = time.Duration(fault.DelayMS) * time.Millisecond
	case FaultDie:
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

// takeNext takes the fault of the next request; its action is empty without one.
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

// waitWhilePaused waits while the stand-in is paused.
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

// wrap adds POST /control, and makes all other requests fail while dead and
// wait while paused.
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

// resetConnection closes the connection of a request at once, so that the other end sees
// a reset.
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

// concurrencyLimit is what a target bears after some completions: cold at first, doubled
// after each 4*cold completions, up to warm. 0 means no limit.
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
