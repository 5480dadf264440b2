package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Engine is a stand-in of the model engine on one member host.
type Engine struct {
	// LoadTime is how long a load order takes; TokenTime is between tokens.
	LoadTime  time.Duration
	TokenTime time.Duration
	Tokens    int

	mu     sync.Mutex
	answer state.ProbeAnswer
	load   state.LoadAnswer
}

// NewEngine returns an engine that has loaded nothing.
func NewEngine(incarnation state.Incarnation) *Engine {
	return &Engine{
		LoadTime: 100 * time.Millisecond, TokenTime: 2 * time.Millisecond, Tokens: 16,
		answer: state.ProbeAnswer{Incarnation: incarnation, Phase: state.PhaseEmpty, ChecksFence: true},
		load:   state.LoadAnswer{Incarnation: incarnation},
	}
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
	mux.HandleFunc("POST /orders", e.order)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /v1/completions", e.complete)
	return mux
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order state.EngineOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.answer.ChecksFence && order.Fence < e.answer.Fence {
		writeJSON(w, state.EngineOrderResult{Refused: true, Fence: e.answer.Fence})
		return
	}
	e.answer.Phase, e.answer.Group, e.answer.Fence = state.PhaseLoading, order.Group, order.Fence
	e.answer.Model, e.answer.Version, e.answer.Adapters = order.Model, order.Version, order.Adapters
	time.AfterFunc(e.LoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.answer.Phase = state.PhaseReady
	})
	writeJSON(w, state.EngineOrderResult{OK: true, Fence: order.Fence})
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Model  string `json:"model"`
		Stream bool   `json:"stream"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if req.Stream {
		e.stream(w, req.Model)
		return
	}
	text := ""
	for i := range e.Tokens {
		text += fmt.Sprintf("word%d ", i)
	}
	writeJSON(w, map[string]any{
		"id": r.Header.Get("X-Generation-Id"), "object": "chat.completion", "model": req.Model,
		"choices": []any{map[string]any{
			"index": 0, "message": map[string]any{"role": "assistant", "content": text}, "finish_reason": "stop",
		}},
		"usage": map[string]any{"prompt_tokens": 1, "completion_tokens": e.Tokens, "total_tokens": e.Tokens + 1},
	})
}

func (e *Engine) stream(w http.ResponseWriter, model string) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for i := range e.Tokens {
		chunk, _ := json.Marshal(map[string]any{
			"object": "chat.completion.chunk", "model": model,
			"choices": []any{map[string]any{"index": 0, "delta": map[string]any{"content": fmt.Sprintf("word%d ", i)}}},
		})
		_, _ = fmt.Fprintf(w, "data: %s\n\n", chunk)
		_ = flusher.Flush()
		time.Sleep(e.TokenTime)
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}
