package gateway

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// callerRequest is a validated request of a caller.
type callerRequest struct {
	method string
	// path is the escaped path with the query, as the target receives it.
	path    string
	header  http.Header
	body    []byte
	arrival state.RequestArrived
	// resumedRequest is the request whose generation this request resumes, or empty.
	resumedRequest state.RequestID
}

// Causes for which the context of an attempt is cancelled.
var (
	errCancelled         = errors.New("attempt cancelled")
	errInactivityTimeout = errors.New("no data arrived within the inactivity timeout")
)

// exchange delivers the core's decisions on one request to the goroutine of its
// handler and holds the state that the attempts of the request share.
type exchange struct {
	request *callerRequest
	starts  chan state.StartAttempt
	reply   chan state.Reply

	// callerConn is the connection of the caller; nil if it is not known.
	callerConn net.Conn

	mu sync.Mutex
	// running holds the running attempts by their numbers.
	running map[int]runningAttempt
	// cancelled holds the attempts that the core has cancelled, which may include
	// one that has not begun yet.
	cancelled []int

	callerDisconnected atomic.Bool

	// The fields below are used only by the goroutine of the running attempt.

	generation string
	// offset is the number of events of the generation that were relayed.
	offset int64
	// answerStarted is set when the relay of the answer to the caller starts.
	answerStarted  bool
	attemptStarted bool
}

type runningAttempt struct {
	cancel         context.CancelCauseFunc
	endsWithCaller bool
}

// startQueueSize exceeds the number of attempts that can be waiting: the core starts
// at most one before it has processed the end of the previous attempt.
const startQueueSize = 4

func newExchange(request *callerRequest) *exchange {
	return &exchange{
		request: request, starts: make(chan state.StartAttempt, startQueueSize), reply: make(chan state.Reply, 1),
		running: map[int]runningAttempt{},
	}
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
	e.cancelled = append(e.cancelled, order.Attempt)
	if attempt, ok := e.running[order.Attempt]; ok {
		attempt.cancel(errCancelled)
	}
}

// Reply implements daemon.Exchange. It cancels the running attempts, so that the caller
// receives a refusal at once. The attempt of an at-most-once request continues,
// because its answer completes the claim.
func (e *exchange) Reply(reply state.Reply) {
	select {
	case e.reply <- reply:
	default:
		return
	}
	if !e.request.arrival.AtMostOnce {
		e.cancelAttempts()
	}
}

// cancelAttempts cancels all running attempts.
func (e *exchange) cancelAttempts() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, attempt := range e.running {
		attempt.cancel(errCancelled)
	}
}

// callerLeft ends the attempts that end with their caller. It does not wait for the event
// loop, which may be late.
func (e *exchange) callerLeft() {
	e.callerDisconnected.Store(true)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, attempt := range e.running {
		if attempt.endsWithCaller {
			attempt.cancel(errCancelled)
		}
	}
}

// beginAttempt returns the context of an attempt. The context is already cancelled
// if the core has cancelled the attempt, or its caller has left, before it began.
func (e *exchange) beginAttempt(start state.StartAttempt) (context.Context, context.CancelCauseFunc) {
	// The context does not derive from that of the caller's request: the core decides
	// whether the attempt continues after the caller has disconnected.
	ctx, cancel := context.WithCancelCause(context.Background())
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[start.Attempt] = runningAttempt{cancel, start.EndsWithCaller}
	if slices.Contains(e.cancelled, start.Attempt) || start.EndsWithCaller && e.callerDisconnected.Load() {
		cancel(errCancelled)
	}
	return ctx, cancel
}

func (e *exchange) endAttempt(attempt int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, attempt)
}

// run submits a request to the core and executes its decisions until the reply.
func (g *Gateway) run(w http.ResponseWriter, r *http.Request, request *callerRequest) {
	e := newExchange(request)
	e.callerConn = callerConnOf(r)
	if e.hasCallerLeft() {
		panic(http.ErrAbortHandler)
	}
	g.daemon.Submit(request.arrival, e)
	// The core drops a disconnect that it receives before the request.
	stop := context.AfterFunc(r.Context(), func() {
		e.callerLeft()
		g.daemon.Feed(state.CallerDisconnected{Request: request.arrival.ID})
	})
	defer stop()
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

// shutdownRefusal returns the refusal for a request that is open when the node stops.
// Its outcome is unknown if an attempt was started.
func shutdownRefusal(started bool) *apierror.Error {
	if started {
		return apierror.New(apierror.KindUnknown, "node_stopped",
			"this node stopped before the outcome was known; get the outcome from another node", apierror.Unknown)
	}
	return apierror.New(apierror.KindShuttingDown, "shutting_down",
		"this node is shutting down; send the request again", apierror.NotRun).WithRetryAfter(time.Second)
}

// finishAnswer completes the answer to the caller according to the core's reply.
func finishAnswer(w http.ResponseWriter, e *exchange, reply state.Reply) {
	switch {
	case e.callerDisconnected.Load():
		// A handler that returns sends an empty success, which a caller that has closed
		// only its sending side would receive.
		panic(http.ErrAbortHandler)
	case reply.Answer != nil && !e.answerStarted:
		writeAnswer(w, reply)
	case reply.Refusal != nil && e.answerStarted:
		failStartedAnswer(w, e, reply.Refusal)
	case reply.Refusal != nil:
		writeError(w, reply.Refusal)
	case !e.answerStarted:
		writeError(w, apierror.New(apierror.KindInternal, "no_answer",
			"the request ended without an answer; get its outcome from GET /v1/requests/{id}", apierror.Unknown))
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

// failStartedAnswer ends an answer that was sent in part. A stream ends with a typed
// error event instead of its end marker. For any other answer the connection is
// aborted, so that the caller cannot take the answer for complete.
func failStartedAnswer(w http.ResponseWriter, e *exchange, refusal *apierror.Error) {
	if !e.request.arrival.Stream {
		panic(http.ErrAbortHandler)
	}
	c := *refusal
	c.RequestID = w.Header().Get("X-Request-Id")
	writeErrorEvent(w, &c)
}
