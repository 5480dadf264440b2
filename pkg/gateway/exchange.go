package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// call is a request of a caller that passed all checks of its form.
type call struct {
	method string
	// path is the escaped path with its query, as the target sees it.
	path    string
	header  http.Header
	body    []byte
	arrival state.RequestArrived
	// origin is the request whose generation this one resumes; empty otherwise.
	origin state.RequestID
}

// Causes of the end of an attempt's context.
var (
	errCancelled = errors.New("attempt cancelled")
	errSilent    = errors.New("nothing arrived within the inactivity bound")
)

// exchange passes the core's decisions on one request to its handler, and
// keeps what the attempts of the request share.
type exchange struct {
	call   *call
	starts chan state.StartAttempt
	reply  chan state.Reply

	mu sync.Mutex
	// cancel ends the running attempt; cancelledTo is the last attempt that the
	// core has cancelled.
	cancel      context.CancelCauseFunc
	running     int
	cancelledTo int

	callerGone atomic.Bool

	// The rest belongs to the goroutine of the running attempt.

	generation string
	// offset is the number of events of the generation that were passed on.
	offset   int64
	passedOn bool
	started  bool
}

// startBuffer is more than the attempts that the core starts before it has
// seen the end of the one before, which is one.
const startBuffer = 4

func newExchange(c *call) *exchange {
	return &exchange{call: c, starts: make(chan state.StartAttempt, startBuffer), reply: make(chan state.Reply, 1)}
}

// Start implements daemon.Exchange.
func (e *exchange) Start(s state.StartAttempt) {
	select {
	case e.starts <- s:
	default:
	}
}

// Cancel implements daemon.Exchange.
func (e *exchange) Cancel(c state.CancelAttempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelledTo = max(e.cancelledTo, c.Attempt)
	if e.cancel != nil && e.running <= e.cancelledTo {
		e.cancel(errCancelled)
	}
}

// Reply implements daemon.Exchange. A refusal ends a running attempt, so that
// the caller has its final answer at once; the attempt of a request that may
// not be repeated goes on, because its answer settles the claim.
func (e *exchange) Reply(r state.Reply) {
	select {
	case e.reply <- r:
	default:
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancel != nil && !e.call.arrival.AtMostOnce {
		e.cancel(errCancelled)
	}
}

// begin makes the context of an attempt.
func (e *exchange) begin(attempt int) (context.Context, context.CancelCauseFunc) {
	// The context is not that of the caller's request: the core decides what a
	// caller that has gone means for the attempt.
	ctx, cancel := context.WithCancelCause(context.Background())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancel, e.running = cancel, attempt
	if attempt <= e.cancelledTo {
		cancel(errCancelled)
	}
	return ctx, cancel
}

func (e *exchange) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancel = nil
}

// run submits a request and carries out the core's decisions until its reply.
func (g *Gateway) run(w http.ResponseWriter, r *http.Request, c *call) {
	e := newExchange(c)
	stop := context.AfterFunc(r.Context(), func() {
		e.callerGone.Store(true)
		g.daemon.Feed(state.CallerDisconnected{Request: c.arrival.ID})
	})
	defer stop()
	g.daemon.Submit(c.arrival, e)
	for {
		select {
		case start := <-e.starts:
			e.started = true
			if c.arrival.AtMostOnce {
				go func() { g.daemon.Feed(g.attemptOnce(e, start)) }()
				continue
			}
			g.daemon.Feed(g.attempt(w, e, start))
		case reply := <-e.reply:
			finish(w, e, reply)
			return
		case <-g.daemon.Done():
			select {
			case reply := <-e.reply:
				finish(w, e, reply)
			default:
				finish(w, e, state.Reply{Refusal: shuttingDown(e.started)})
			}
			return
		}
	}
}

func shuttingDown(started bool) *apierror.Error {
	if started {
		return apierror.New(apierror.KindUnknown, "node_stopped",
			"this node stopped before the outcome was known; ask for it at another node", apierror.Unknown)
	}
	return apierror.New(apierror.KindShuttingDown, "shutting_down",
		"this node is shutting down; send the request again", apierror.NotRun).WithRetryAfter(time.Second)
}

// finish gives the caller the end of its answer.
func finish(w http.ResponseWriter, e *exchange, reply state.Reply) {
	switch {
	case e.callerGone.Load():
	case reply.Answer != nil && !e.passedOn:
		writeAnswer(w, reply)
	case reply.Refusal != nil && e.passedOn:
		failAfterBytes(w, e, reply.Refusal)
	case reply.Refusal != nil:
		writeError(w, reply.Refusal)
	case !e.passedOn:
		writeError(w, apierror.New(apierror.KindInternal, "no_answer",
			"the request ended without an answer; ask for its outcome by its id", apierror.Unknown))
	}
}

func writeAnswer(w http.ResponseWriter, reply state.Reply) {
	h := w.Header()
	if reply.Answer.ContentType != "" {
		h.Set("Content-Type", reply.Answer.ContentType)
	}
	if reply.Replayed {
		h.Set("X-Repeated", "true")
	}
	h.Set("X-Outcome", string(apierror.Done))
	w.WriteHeader(reply.Answer.Status)
	_, _ = w.Write(reply.Answer.Body)
}

// failAfterBytes ends an answer of which a part was passed on. A stream gets a
// typed error event in place of its end marker; any other answer is cut, so
// that the caller cannot take it for whole.
func failAfterBytes(w http.ResponseWriter, e *exchange, refusal *apierror.Error) {
	if !e.call.arrival.Stream {
		panic(http.ErrAbortHandler)
	}
	c := *refusal
	c.RequestID = w.Header().Get("X-Request-Id")
	writeErrorEvent(w, &c)
}
