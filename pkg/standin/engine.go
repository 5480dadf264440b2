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
	// finishedRetention is how long a finished generation can be resumed.
	finishedRetention = 2 * time.Minute
	// memberProbePeriod is the period, and the timeout, of the probes that a group
	// leader sends to the other members.
	memberProbePeriod = 100 * time.Millisecond
	// maxMissedProbes is the number of consecutive unanswered probes after which a
	// leader considers a member dead.
	maxMissedProbes = 5
)

// Engine is a stand-in of the model engine on one member host.
type Engine struct {
	// ID is the host of the engine; Directory has the addresses of all hosts. With
	// both set, a group leader probes the other members and restarts without its
	// model when one of them is dead.
	ID        state.HostID
	Directory map[state.HostID]string
	// LoadTime is the duration of loading a model.
	LoadTime time.Duration
	// TokenTime is the time between two tokens.
	TokenTime time.Duration
	// AnswerTokens is the length of an answer, unless the request sets a lower
	// limit.
	AnswerTokens int
	// ColdLimit and WarmLimit are the numbers of concurrent requests that the
	// engine accepts when cold and when warm. A ColdLimit of 0 means no limit.
	ColdLimit int
	WarmLimit int
	// CacheLag is the delay after which cache events become visible.
	CacheLag time.Duration
	// OnCrash is called on FaultCrash.
	OnCrash func()

	faults faultInjector

	mu          sync.Mutex
	probeAnswer state.ProbeAnswer
	loadAnswer  state.LoadAnswer
	role        string
	// loadCount numbers the load orders, so that a load that a later one replaced
	// does not take effect.
	loadCount  int
	violations int
	// stopWatching is closed to end the probes of the other members. It is nil
	// while there are none.
	stopWatching chan struct{}
	generations  map[string]*generation
	startedCount int64
	cache        prefixCache
}

// NewEngine returns an engine that has loaded nothing.
func NewEngine(incarnation state.Incarnation) *Engine {
	return &Engine{
		LoadTime: 100 * time.Millisecond, TokenTime: 2 * time.Millisecond, AnswerTokens: 16,
		probeAnswer: state.ProbeAnswer{Incarnation: incarnation, Phase: state.PhaseEmpty, ChecksFencingToken: true},
		loadAnswer:  state.LoadAnswer{Incarnation: incarnation},
		generations: map[string]*generation{},
	}
}

// DisableFencing makes the engine accept orders with any fencing token.
func (e *Engine) DisableFencing() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.probeAnswer.ChecksFencingToken = false
}

// Violations returns the number of requests that exceeded the concurrency limit.
func (e *Engine) Violations() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.violations
}

// EngineStats is the answer to GET /stats.
type EngineStats struct {
	Violations int   `json:"violations"`
	Running    int   `json:"running"`
	Completed  int64 `json:"completed"`
	// Started is the number of generations started over all incarnations.
	Started int64 `json:"started"`
	// Generations lists the ids of the retained generations, sorted.
	Generations []string `json:"generations"`
}

func (e *Engine) stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := EngineStats{
		Violations: e.violations, Running: e.loadAnswer.Running, Completed: e.loadAnswer.Completed,
		Started: e.startedCount, Generations: make([]string, 0, len(e.generations)),
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
		writeJSON(w, e.probeAnswer)
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		writeJSON(w, e.loadAnswer)
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.stats()) })
	mux.HandleFunc("GET /cache-events", e.handleCacheEvents)
	mux.HandleFunc("POST /orders", e.handleOrder)
	mux.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	mux.HandleFunc("POST /v1/completions", e.handleCompletion)
	mux.HandleFunc("GET /generations/{id}", e.handleResume)
	mux.HandleFunc("DELETE /generations/{id}", e.handleCancel)
	e.faults.onCrash = e.OnCrash
	return e.faults.wrap(mux, e.ApplyFault)
}

// ApplyFault applies a fault to the load and the loaded model of the engine.
// Only POST /control injects the faults of requests and connections.
func (e *Engine) ApplyFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch f.Action {
	case FaultCold:
		e.loadAnswer.Completed, e.loadAnswer.Cold = 0, f.ReportsCold
	case FaultLeave:
		e.loadAnswer.Leaving, e.probeAnswer.Phase = true, state.PhaseLeaving
	case FaultCrash:
		e.restartEmpty()
	}
}

// restartEmpty ends all generations and unloads the model, like a process that
// crashes and starts again. The caller holds e.mu.
func (e *Engine) restartEmpty() {
	for id, g := range e.generations {
		g.finish(true)
		delete(e.generations, id)
	}
	if e.stopWatching != nil {
		close(e.stopWatching)
		e.stopWatching = nil
	}
	incarnation := max(e.probeAnswer.Incarnation+1, state.Incarnation(time.Now().UnixNano()))
	e.probeAnswer = state.ProbeAnswer{Incarnation: incarnation, Phase: state.PhaseEmpty, ChecksFencingToken: e.probeAnswer.ChecksFencingToken}
	e.loadAnswer = state.LoadAnswer{Incarnation: incarnation}
	e.cache = prefixCache{}
}

// handleOrder carries out a load, unload or role order. It refuses an order with
// a lower fencing token than that of the last order, unless fencing is disabled.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order state.EngineOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.probeAnswer.ChecksFencingToken && order.FencingToken < e.probeAnswer.FencingToken {
		writeJSON(w, state.EngineOrderResult{Refused: true, FencingToken: e.probeAnswer.FencingToken})
		return
	}
	switch order.Kind {
	case state.OrderLoad:
		e.startLoad(order)
	case state.OrderUnload:
		e.probeAnswer.Phase, e.probeAnswer.Group, e.probeAnswer.FencingToken = state.PhaseEmpty, "", order.FencingToken
		e.probeAnswer.Model, e.probeAnswer.Version, e.probeAnswer.Adapters = "", "", nil
	case state.OrderRole:
		e.role, e.probeAnswer.FencingToken = order.Role, order.FencingToken
	}
	writeJSON(w, state.EngineOrderResult{OK: true, FencingToken: order.FencingToken})
}

// startLoad starts to load a model. When the engine is loading or has loaded the
// same model for the same order, it only updates the adapters. The caller holds
// e.mu.
func (e *Engine) startLoad(order state.EngineOrder) {
	answer := &e.probeAnswer
	if answer.Phase != state.PhaseEmpty && answer.Group == order.Group && answer.FencingToken == order.FencingToken &&
		answer.Model == order.Model && answer.Version == order.Version {
		answer.Adapters = order.Adapters
		return
	}
	answer.Phase, answer.Group, answer.FencingToken = state.PhaseLoading, order.Group, order.FencingToken
	answer.Model, answer.Version, answer.Adapters = order.Model, order.Version, order.Adapters
	e.role = order.Role
	e.loadCount++
	loadNumber, incarnation := e.loadCount, answer.Incarnation
	if e.stopWatching != nil {
		close(e.stopWatching)
		e.stopWatching = nil
	}
	time.AfterFunc(e.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.loadCount != loadNumber || e.probeAnswer.Incarnation != incarnation {
			return
		}
		e.probeAnswer.Phase = state.PhaseReady
		e.watchMembers(order.Members)
	})
}

// watchMembers makes the leader of a group restart when another member is dead,
// because a model that spans several hosts cannot run without one of them. The
// caller holds e.mu.
func (e *Engine) watchMembers(members []state.HostID) {
	if e.ID == "" || len(members) < 2 || members[0] != e.ID {
		return
	}
	stop := make(chan struct{})
	e.stopWatching = stop
	client := &http.Client{Timeout: memberProbePeriod}
	for _, id := range members[1:] {
		if address := e.Directory[id]; address != "" {
			go e.watchMember(client, "http://"+address+"/probe", stop)
		}
	}
}

// watchMember probes a member until stop is closed or the member is dead.
func (e *Engine) watchMember(client *http.Client, url string, stop chan struct{}) {
	ticker := time.NewTicker(memberProbePeriod)
	defer ticker.Stop()
	missed := 0
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		res, err := client.Get(url)
		if err == nil {
			_ = res.Body.Close()
			missed = 0
			continue
		}
		if missed++; missed < maxMissedProbes {
			continue
		}
		e.mu.Lock()
		if e.stopWatching == stop {
			e.restartEmpty()
		}
		e.mu.Unlock()
		return
	}
}
