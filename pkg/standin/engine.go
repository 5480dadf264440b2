package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// keepFinished is how long a finished generation can be resumed.
	keepFinished = 2 * time.Minute
	// memberPeriod is the period at which a leader looks at its members.
	memberPeriod = 100 * time.Millisecond
	// memberMisses is after how many lost answers a member is dead.
	memberMisses = 5
)

// Engine is a stand-in of the model engine on one member host.
type Engine struct {
	// ID is the host of the engine; Directory has the addresses of all hosts. A
	// leader that has them falls over when a member of its group is dead.
	ID        state.HostID
	Directory map[state.HostID]string
	// LoadTime is how long a load order takes; TokenTime is between tokens.
	LoadTime  time.Duration
	TokenTime time.Duration
	Tokens    int
	// ColdLimit and WarmLimit are what the engine bears; 0 means no limit.
	ColdLimit int
	WarmLimit int
	// CacheLag is by how much cache events are late.
	CacheLag time.Duration
	// OnDie is called when the engine is told to die.
	OnDie func()

	faults faults

	mu          sync.Mutex
	answer      state.ProbeAnswer
	load        state.LoadAnswer
	role        string
	loads       int
	violations  int
	stopMembers chan struct{}
	generations map[string]*generation
	started     int64
	cache       cache
}

// NewEngine returns an engine that has loaded nothing.
func NewEngine(incarnation state.Incarnation) *Engine {
	return &Engine{
		LoadTime: 100 * time.Millisecond, TokenTime: 2 * time.Millisecond, Tokens: 16,
		answer:      state.ProbeAnswer{Incarnation: incarnation, Phase: state.PhaseEmpty, ChecksFencingToken: true},
		load:        state.LoadAnswer{Incarnation: incarnation},
		generations: map[string]*generation{},
	}
}

// IgnoreFence makes the engine take orders with any fencing number.
func (e *Engine) IgnoreFence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answer.ChecksFencingToken = false
}

// Violations returns how often more ran than the engine bears.
func (e *Engine) Violations() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.violations
}

// EngineStats answers GET /stats.
type EngineStats struct {
	Violations int   `json:"violations"`
	Running    int   `json:"running"`
	Completed  int64 `json:"completed"`
	// Started counts generations over all incarnations.
	Started int64 `json:"started"`
	// Generations lists the ids of those that are kept, sorted.
	Generations []string `json:"generations"`
}

func (e *Engine) stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := EngineStats{
		Violations: e.violations, Running: e.load.Running, Completed: e.load.Completed,
		Started: e.started, Generations: make([]string, 0, len(e.generations)),
	}
	for id := range e.generations {
		s.Generations = append(s.Generations, id)
	}
	slices.Sort(s.Generations)
	return s
}

// Handler returns the engine's HTTP handler.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /probe", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		writeJSON(w, e.answer)
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		writeJSON(w, e.load)
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.stats()) })
	mux.HandleFunc("GET /cache-events", e.cacheEvents)
	mux.HandleFunc("POST /orders", e.order)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/completions", e.complete)
	mux.HandleFunc("GET /generations/{id}", e.resume)
	mux.HandleFunc("DELETE /generations/{id}", e.cancel)
	e.faults.onDie = e.OnDie
	return e.faults.wrap(mux, e.Control)
}

// Control applies a fault to the engine's own state. Faults of connections are
// applied by POST /control.
func (e *Engine) Control(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch f.Action {
	case FaultCold:
		e.load.Completed, e.load.Cold = 0, f.Report
	case FaultLeave:
		e.load.Leaving, e.answer.Phase = true, state.PhaseLeaving
	case FaultDie:
		e.fallOver()
	}
}

// fallOver ends all generations and forgets what is loaded, as a process that
// crashed and was started again. The lock is held.
func (e *Engine) fallOver() {
	for id, g := range e.generations {
		g.end(true)
		delete(e.generations, id)
	}
	if e.stopMembers != nil {
		close(e.stopMembers)
		e.stopMembers = nil
	}
	incarnation := max(e.answer.Incarnation+1, state.Incarnation(time.Now().UnixNano()))
	e.answer = state.ProbeAnswer{Incarnation: incarnation, Phase: state.PhaseEmpty, ChecksFencingToken: e.answer.ChecksFencingToken}
	e.load = state.LoadAnswer{Incarnation: incarnation}
	e.cache = cache{}
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order state.EngineOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.answer.ChecksFencingToken && order.FencingToken < e.answer.FencingToken {
		writeJSON(w, state.EngineOrderResult{Refused: true, FencingToken: e.answer.FencingToken})
		return
	}
	switch order.Kind {
	case state.OrderLoad:
		e.startLoad(order)
	case state.OrderUnload:
		e.answer.Phase, e.answer.Group, e.answer.FencingToken = state.PhaseEmpty, "", order.FencingToken
		e.answer.Model, e.answer.Version, e.answer.Adapters = "", "", nil
	case state.OrderRole:
		e.role, e.answer.FencingToken = order.Role, order.FencingToken
	}
	writeJSON(w, state.EngineOrderResult{OK: true, FencingToken: order.FencingToken})
}

// startLoad begins to load unless the same order is being carried out. The
// lock is held.
func (e *Engine) startLoad(order state.EngineOrder) {
	a := &e.answer
	if a.Phase != state.PhaseEmpty && a.Group == order.Group && a.FencingToken == order.FencingToken &&
		a.Model == order.Model && a.Version == order.Version {
		a.Adapters = order.Adapters
		return
	}
	a.Phase, a.Group, a.FencingToken = state.PhaseLoading, order.Group, order.FencingToken
	a.Model, a.Version, a.Adapters = order.Model, order.Version, order.Adapters
	e.role = order.Role
	e.loads++
	load, incarnation := e.loads, a.Incarnation
	if e.stopMembers != nil {
		close(e.stopMembers)
		e.stopMembers = nil
	}
	time.AfterFunc(e.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.loads != load || e.answer.Incarnation != incarnation {
			return
		}
		e.answer.Phase = state.PhaseReady
		e.watchMembers(order.Members)
	})
}

// watchMembers makes a leader fall over when a member is dead. The lock is
// held.
func (e *Engine) watchMembers(members []state.HostID) {
	if e.ID == "" || len(members) < 2 || members[0] != e.ID {
		return
	}
	stop := make(chan struct{})
	e.stopMembers = stop
	client := &http.Client{Timeout: memberPeriod}
	for _, id := range members[1:] {
		if address := e.Directory[id]; address != "" {
			go e.watchMember(client, "http://"+address+"/probe", stop)
		}
	}
}

func (e *Engine) watchMember(client *http.Client, url string, stop chan struct{}) {
	ticker := time.NewTicker(memberPeriod)
	defer ticker.Stop()
	misses := 0
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		res, err := client.Get(url)
		if err == nil {
			_ = res.Body.Close()
			misses = 0
			continue
		}
		if misses++; misses < memberMisses {
			continue
		}
		e.mu.Lock()
		if e.stopMembers == stop {
			e.fallOver()
		}
		e.mu.Unlock()
		return
	}
}
