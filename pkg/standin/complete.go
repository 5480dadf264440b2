package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/target"
)

// echoRequestIDs copies the id headers of a request to its answer, so that the
// caller can check that the answer belongs to the request.
func echoRequestIDs(w http.ResponseWriter, r *http.Request, fault Fault) {
	for _, name := range []string{"X-Request-Id", "X-Attempt", "X-Generation-Id"} {
		if v := r.Header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	if fault.Action == FaultWrongRequestID {
		w.Header().Set("X-Request-Id", "another")
	}
}

// writeNotRun refuses a request with the header that guarantees that it was not
// run.
func writeNotRun(w http.ResponseWriter, message string) {
	w.Header().Set(target.NotRunHeader, "true")
	http.Error(w, message, http.StatusServiceUnavailable)
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	req.chat = strings.HasSuffix(r.URL.Path, "/chat/completions")
	fault := e.faults.takeNext()
	if fault.Action == FaultNotRun {
		writeNotRun(w, "refused by an injected fault")
		return
	}
	g, status := e.startGeneration(r.Header.Get("X-Generation-Id"), req)
	if g == nil {
		if status == http.StatusServiceUnavailable {
			writeNotRun(w, "the model is not loaded")
			return
		}
		http.Error(w, "the concurrency limit is exceeded", status)
		return
	}
	if fault.Action == FaultReset {
		resetConnection(w)
	}
	echoRequestIDs(w, r, fault)
	e.writeAnswer(w, r, g, 0, fault)
}

// startGeneration starts a generation, or returns the one that already has this
// id. It returns nil and an HTTP status when the model is not loaded or the
// concurrency limit is reached.
func (e *Engine) startGeneration(id string, req completionRequest) (g *generation, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g := e.generations[id]; g != nil && id != "" {
		return g, http.StatusOK
	}
	if e.probeAnswer.Phase != state.PhaseReady {
		return nil, http.StatusServiceUnavailable
	}
	if limit := concurrencyLimit(e.ColdLimit, e.WarmLimit, e.loadAnswer.Completed); limit > 0 && e.loadAnswer.Running >= limit {
		e.violations++
		return nil, http.StatusInternalServerError
	}
	if id == "" {
		id = "anonymous-" + strconv.FormatInt(e.startedCount, 10)
	}
	g = newGeneration(id, req, e.AnswerTokens)
	e.generations[id] = g
	e.loadAnswer.Running++
	e.startedCount++
	prompt := req.Messages
	if !req.chat {
		prompt = req.Prompt
	}
	e.cache.access(target.PrefixHashes(req.Model, prompt), time.Now())
	incarnation := e.probeAnswer.Incarnation
	go func() {
		completed := g.run(e.TokenTime, &e.faults)
		e.recordEnd(g, incarnation, completed)
		close(g.stopped)
	}()
	return g, http.StatusOK
}

// recordEnd updates the load after a generation has ended, and deletes the
// generation after finishedRetention. It ignores generations of a former
// incarnation, which are not part of the current load.
func (e *Engine) recordEnd(g *generation, incarnation state.Incarnation, completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.probeAnswer.Incarnation != incarnation {
		return
	}
	e.loadAnswer.Running--
	if completed {
		e.loadAnswer.Completed++
	}
	if e.loadAnswer.Completed >= int64(4*e.ColdLimit) {
		e.loadAnswer.Cold = false
	}
	time.AfterFunc(finishedRetention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.generations[g.id] == g {
			delete(e.generations, g.id)
		}
	})
}

func (e *Engine) findGeneration(id string) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generations[id]
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	g := e.findGeneration(r.PathValue("id"))
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if g == nil || err != nil || offset < 0 {
		http.Error(w, "no such generation", http.StatusNotFound)
		return
	}
	fault := e.faults.takeNext()
	echoRequestIDs(w, r, fault)
	e.writeAnswer(w, r, g, offset, fault)
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	g := e.findGeneration(r.PathValue("id"))
	if g == nil {
		http.Error(w, "no such generation", http.StatusNotFound)
		return
	}
	g.finish(true)
	select {
	case <-g.stopped:
	case <-r.Context().Done():
	}
	w.WriteHeader(http.StatusNoContent)
}

// writeAnswer sends a generation to a client: as an event stream from an offset
// on, or as one body when it is complete.
func (e *Engine) writeAnswer(w http.ResponseWriter, r *http.Request, g *generation, offset int, fault Fault) {
	if g.req.Stream {
		e.writeStream(w, r, g, offset, fault)
		return
	}
	if fault.Action == FaultSilent {
		<-r.Context().Done()
		return
	}
	for {
		_, done, cancelled, changed := g.eventsFrom(0)
		if cancelled {
			panic(http.ErrAbortHandler)
		}
		if done {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	body := g.fullAnswer()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if fault.Action == FaultCut {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// writeStream sends the events of a generation from an offset on as they are
// generated. It injects FaultSilent and FaultCut after fault.After events.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, g *generation, offset int, fault Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	_ = controller.Flush()
	var buf []byte
	sent := 0
	for {
		events, done, cancelled, changed := g.eventsFrom(offset)
		buf = buf[:0]
		for _, event := range events {
			if (fault.Action == FaultSilent || fault.Action == FaultCut) && sent == fault.After {
				_, _ = w.Write(buf)
				_ = controller.Flush()
				if fault.Action == FaultCut {
					panic(http.ErrAbortHandler)
				}
				<-r.Context().Done()
				return
			}
			offset++
			sent++
			buf = append(buf, "id: "...)
			buf = strconv.AppendInt(buf, int64(offset), 10)
			buf = append(buf, "\ndata: "...)
			buf = append(buf, event...)
			buf = append(buf, "\n\n"...)
		}
		if done {
			buf = append(buf, "data: [DONE]\n\n"...)
		}
		e.faults.waitWhilePaused()
		_, _ = w.Write(buf)
		switch {
		case cancelled:
			panic(http.ErrAbortHandler)
		case done:
			return
		}
		_ = controller.Flush()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}
