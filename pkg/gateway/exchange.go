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

// callerRequest is a request of a caller that passed all checks of its form.
type callerRequest struct {
	method string
	// path is the escaped path with its query, as the target sees it.
	path    string
	header  http.Header
	body    []byte
	arrival state.RequestArrived
	// resumedRequest is the request whose generation this one resumes; empty otherwise.
	resumedRequest state.RequestID
}

// Causes of the end of an attempt's context.
var (
	errCancelled         = errors.New("attempt cancelled")
	errInactivityTimeout = errors.New("nothing arrived within the inactivity bound")
)

// exchange passes the core's decisions on one request to its handler, and
// keeps what the attempts of the request share.
type exchange struct {
	request *callerRequest
	starts  chan state.StartAttempt
	reply   chan state.Reply

	mu sync.Mutex
	// cancelAttempt ends the running attempt; cancelledTo is the last attempt that the
	// core has cancelled.
	cancelAttempt        context.CancelCauseFunc
	runningAttempt       int
	lastCancelledAttempt int

	callerDisconnected atomic.Bool

	// The rest belongs to the goroutine of the running attempt.

	generation string
	// offset is the number of events of the generation that were passed on.
	offset         int64
	answerStarted  bool
	attemptStarted bool
}

// startQueueSize is more than the attempts that the core starts before it has
// seen the end of the one before, which is one.
const startQueueSize = 4

func newExchange(request *callerRequest) *exchange {
	return &exchange{request: request, starts: make(chan state.StartAttempt, startQueueSize), reply: make(chan state.Reply, 1)}
}

// Start implements daemon.Exchange.
func (e *exchange) Start(s state.StartAttempt) {
	select {
	case e.starts <- s:
	default:
	}
}

// Cancel implements daemon.Exchange.
func (e *exchange) Cancel(order state.CancelAttempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastCancelledAttempt = max(e.lastCancelledAttempt, order.Attempt)
	if e.cancelAttempt != nil && e.runningAttempt <= e.lastCancelledAttempt {
		e.cancelAttempt(errCancelled)
	}
}

// Reply implements daemon.Exchange. A refusal ends a running attempt, so that
// the caller has its final answer at once; the attempt of a request that may
// not be repeated goes on, because its answer settles the claim.
func (e *exchange) Reply(reply state.Reply) {
	select {
	case e.reply <- reply:
	default:
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cancelAttempt != nil && !e.request.arrival.AtMostOnce {
		e.cancelAttempt(errCancelled)
	}
}

// beginAttempt makes the context of an attempt.
func (e *exchange) beginAttempt(attempt int) (context.Context, context.CancelCauseFunc) {
	// The context is not that of the caller's request: the core decides what a
	// caller that has gone means for the attempt.
	ctx, cancel := context.WithCancelCause(context.Background())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelAttempt, e.runningAttempt = cancel, attempt
	if attempt <= e.lastCancelledAttempt {
		cancel(errCancelled)
	}
	return ctx, cancel
}

func (e *exchange) endAttempt() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelAttempt = nil
}

// run submits a request and carries out the core's decisions until its reply.
func (g *Gateway) run(w http.ResponseWriter, r *http.Request, request *callerRequest) {
	e := newExchange(request)
	stop := context.AfterFunc(r.Context(), func() {
		e.callerDisconnected.Store(true)
		g.daemon.Feed(state.CallerDisconnected{Request: request.arrival.ID})
	})
	defer stop()
	g.daemon.Submit(request.arrival, e)
	for {
		select {
		case start := <-e.starts:
			e.attemptStarted = true
			if request.arrival.AtMostOnce {
				go func() { g.daemon.Feed(g.runAtMostOnceAttempt(e, start)) }()
				continue
			}
			g.daemon.Feed(g.runAttempt(w, e, start))
		case reply := <-e.reply:
			finishAnswer(w, e, reply)
			return
		case <-g.daemon.Done():
			select {
			case reply := <-e.reply:
				finishAnswer(w, e, reply)
			default:
				finishAnswer(w, e, state.Reply{Refusal: shutdownRefusal(e.attemptStarted)})
			}
			return
		}
	}
}

func shutdownRefusal(started bool) *apierror.Error {
	if started {
		return apierror.New(apierror.KindUnknown, "node_stopped",
			"this node stopped before the outcome was known; ask for it at another node", apierror.Unknown)
	}
	return apierror.New(apierror.KindShuttingDown, "shutting_down",
		"this node is shutting down; send the request again", apierror.NotRun).WithRetryAfter(time.Second)
}

// finishAnswer gives the caller the end of its answer.
func finishAnswer(w http.ResponseWriter, e *exchange, reply state.Reply) {
	switch {
	case e.callerDisconnected.Load():
	case reply.Answer != nil && !e.answerStarted:
		writeAnswer(w, reply)
	case reply.Refusal != nil && e.answerStarted:
		failStartedAnswer(w, e, reply.Refusal)
	case reply.Refusal != nil:
		writeError(w, reply.Refusal)
	case !e.answerStarted:
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

// failStartedAnswer ends an answer of which a part was passed on. A stream gets a
// typed error event in place of its end marker; any other answer is cut, so
// that the caller cannot take it for whole.
func failStartedAnswer(w http.ResponseWriter, e *exchange, refusal *apierror.Error) {
	if !e.request.arrival.Stream {
		panic(http.ErrAbortHandler)
	}
	c := *refusal
	c.RequestID = w.Header().Get("X-Request-Id")
	writeErrorEvent(w, &c)
}
