package gateway

import (
	"bytes"
	"io"
	"net/http"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// exchange passes the core's decisions on one request to its handler.
type exchange struct {
	starts  chan state.StartAttempt
	cancels chan state.CancelAttempt
	replies chan state.Reply
}

func newExchange() *exchange {
	return &exchange{
		starts:  make(chan state.StartAttempt, 1),
		cancels: make(chan state.CancelAttempt, 1),
		replies: make(chan state.Reply, 1),
	}
}

// Start implements daemon.Exchange.
func (e *exchange) Start(s state.StartAttempt) { e.starts <- s }

// Cancel implements daemon.Exchange.
func (e *exchange) Cancel(c state.CancelAttempt) { e.cancels <- c }

// Reply implements daemon.Exchange.
func (e *exchange) Reply(r state.Reply) { e.replies <- r }

// run submits a request and carries out the core's decisions until its reply.
func (g *Gateway) run(w http.ResponseWriter, r *http.Request, body []byte, arrival state.RequestArrived) {
	w.Header().Set("X-Request-Id", string(arrival.ID))
	ex := newExchange()
	g.daemon.Submit(arrival, ex)
	passedOn := false
	for {
		select {
		case start := <-ex.starts:
			ev := g.attempt(w, r, body, arrival, start)
			passedOn = passedOn || ev.PassedOn
			g.daemon.Feed(ev)
		case reply := <-ex.replies:
			if reply.Refusal != nil && !passedOn {
				writeError(w, reply.Refusal)
			}
			return
		case <-g.daemon.Done():
			return
		}
	}
}

func (g *Gateway) attempt(w http.ResponseWriter, r *http.Request, body []byte,
	arrival state.RequestArrived, start state.StartAttempt,
) state.AttemptEvent {
	ev := state.AttemptEvent{Request: arrival.ID, Attempt: start.Attempt, Stage: state.AttemptEnded, Outcome: apierror.Unknown}
	path := r.URL.Path
	if arrival.Kind == state.KindService {
		path = arrival.Path
	}
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+start.Address+path, bytes.NewReader(body))
	if err != nil {
		ev.Failure, ev.Outcome = state.FailureConnect, apierror.NotRun
		return ev
	}
	req.Header.Set("Content-Type", r.Header.Get("Content-Type"))
	req.Header.Set("X-Generation-Id", string(arrival.ID))
	res, err := g.targets.Do(req, start.NewConnection)
	if err != nil {
		ev.Failure = state.FailureBroken
		return ev
	}
	defer func() { _ = res.Body.Close() }()
	return relay(w, res, ev)
}

// relay copies an answer to the caller, part by part.
func relay(w http.ResponseWriter, res *http.Response, ev state.AttemptEvent) state.AttemptEvent {
	w.Header().Set("Content-Type", res.Header.Get("Content-Type"))
	w.WriteHeader(res.StatusCode)
	ev.PassedOn, ev.Status = true, res.StatusCode
	buf := make([]byte, 16<<10)
	controller := http.NewResponseController(w)
	for {
		n, err := res.Body.Read(buf)
		if n > 0 {
			_, _ = w.Write(buf[:n])
			_ = controller.Flush()
			ev.Offset += int64(n)
		}
		if err == io.EOF {
			ev.Outcome = apierror.Done
			return ev
		}
		if err != nil {
			ev.Failure = state.FailureBroken
			return ev
		}
	}
}
