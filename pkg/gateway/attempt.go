package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/target"
)

const (
	// wholeBytes is how much of a plain answer is held back until its end has
	// been seen, so that a broken one can be tried again unseen.
	wholeBytes = 1 << 20
	// maxOnceAnswer bounds the answer to a request that may not be repeated,
	// which is stored.
	maxOnceAnswer = 8 << 20
)

// sendWithin is how long after its decision an attempt may be sent. With the
// freshness of the configuration (2 s) and the bound on a dial (700 ms) new work
// leaves within 3 s of what the decision rests on.
const sendWithin = 250 * time.Millisecond

// isHeldUp reports whether an attempt is too late to be sent, because this
// process was paused or starved after the decision.
func (a *attemptState) isHeldUp() bool {
	if a.start.DecidedAt == 0 || a.g.daemon.Now()-a.start.DecidedAt <= sendWithin {
		return false
	}
	a.ev.Failure, a.ev.Outcome = state.FailureDecisionExpired, apierror.NotRun
	return true
}

// attemptState is one running attempt.
type attemptState struct {
	g      *Gateway
	e      *exchange
	start  state.StartAttempt
	ctx    context.Context
	cancel context.CancelCauseFunc
	// watch ends the attempt when nothing arrives.
	watch *time.Timer
	ev    state.AttemptEvent
}

func (g *Gateway) newAttempt(e *exchange, start state.StartAttempt) *attemptState {
	a := &attemptState{g: g, e: e, start: start}
	a.ctx, a.cancel = e.begin(start.Attempt)
	a.ev = state.AttemptEvent{
		Request: start.Request, Attempt: start.Attempt, Stage: state.AttemptEnded,
		Outcome: apierror.Unknown, AnswerStarted: e.passedOn, Offset: e.offset,
	}
	first := g.inactivity
	if !e.call.arrival.Stream {
		first = max(plainFirstByte, g.inactivity)
	}
	if start.Timeout > 0 {
		first = min(first, start.Timeout)
	}
	a.watch = time.AfterFunc(first, func() { a.cancel(errSilent) })
	return a
}

func (a *attemptState) close() {
	a.watch.Stop()
	a.cancel(nil)
	a.e.end()
}

// alive is called whenever something arrived.
func (a *attemptState) alive() { a.watch.Reset(a.g.inactivity) }

// fail ends an attempt because of an error while sending or reading.
func (a *attemptState) fail(err error) {
	var failure *target.Failure
	switch cause := context.Cause(a.ctx); {
	case errors.Is(cause, errCancelled):
		a.ev.Failure = state.FailureCancelled
	case errors.Is(cause, errSilent):
		a.ev.Failure = state.FailureInactivityTimeout
		a.g.targets.Silent(a.start.Address)
	default:
		a.ev.Failure = state.FailureConnectionLost
	}
	if errors.As(err, &failure) {
		a.ev.Outcome = failure.Outcome
		if a.ev.Failure == state.FailureConnectionLost {
			a.ev.Failure = failure.Kind
		}
	}
	if a.ev.Failure == state.FailureConnectionLost {
		a.g.counters.Broken.Add(1)
	}
}

// attempt carries out one attempt of a request that may be repeated and
// returns its last event.
func (g *Gateway) attempt(w http.ResponseWriter, e *exchange, start state.StartAttempt) state.AttemptEvent {
	if start.Resume == nil {
		start.Resume = e.call.arrival.Resume
	}
	a := g.newAttempt(e, start)
	defer a.close()
	if e.passedOn && start.Resume == nil {
		// A generation that starts again would mix two answers.
		a.ev.Failure = state.FailureConnectionLost
		return a.ev
	}
	res, sent := a.send(start.NewConnection || start.Resume != nil)
	if !sent {
		return a.ev
	}
	if res != nil {
		a.receive(w, res)
		_ = res.Body.Close()
	}
	if a.ev.Failure == state.FailureCancelled {
		a.cancelGeneration()
	}
	a.ev.Generation, a.ev.Offset, a.ev.AnswerStarted = e.generation, e.offset, e.passedOn
	return a.ev
}

// send sends the request of the attempt. Without a response the attempt has
// ended. The second result is false when nothing was handed to the transport, so
// that no generation of the attempt exists.
func (a *attemptState) send(newConnection bool) (*http.Response, bool) {
	req, err := a.request()
	if err != nil {
		a.ev.Failure, a.ev.Outcome = state.FailureConnect, apierror.NotRun
		return nil, false
	}
	if a.isHeldUp() {
		return nil, false
	}
	res, err := a.g.targets.Do(req, newConnection)
	if err != nil {
		a.fail(err)
		return nil, true
	}
	return res, true
}

// cancelGeneration stops the generation of a cancelled attempt before the core
// frees its place, so that a target never has more work than its limit.
func (a *attemptState) cancelGeneration() {
	if a.e.generation == "" || a.ev.Outcome == apierror.NotRun {
		return
	}
	if err := a.g.targets.Cancel(context.Background(), a.start.Address, a.e.generation); err != nil {
		a.g.log.Debug("generation not cancelled", "request", a.start.Request, "error", err)
	}
}

// request builds the request of an attempt. A first attempt at a target starts
// a generation with an id of its own; a resume continues one.
func (a *attemptState) request() (*http.Request, error) {
	c := a.e.call
	base := "http://" + a.start.Address
	var req *http.Request
	var err error
	switch {
	case a.start.Resume != nil:
		if a.e.generation != a.start.Resume.Generation {
			a.e.generation, a.e.offset = a.start.Resume.Generation, a.start.Resume.Offset
		}
		req, err = http.NewRequestWithContext(a.ctx, http.MethodGet, base+"/generations/"+
			url.PathEscape(a.e.generation)+"?offset="+strconv.FormatInt(a.e.offset, 10), nil)
	default:
		req, err = http.NewRequestWithContext(a.ctx, c.method, base+c.path, bytes.NewReader(c.body))
	}
	if err != nil {
		return nil, errors.Wrap(err, "build attempt")
	}
	if a.start.Resume == nil {
		req.Header = c.header.Clone()
		if c.arrival.Kind == state.KindModel {
			a.e.generation, a.e.offset = newGeneration(), 0
		}
	}
	if req.Header.Get("User-Agent") == "" {
		req.Header["User-Agent"] = nil
	}
	req.Header.Set("X-Request-Id", string(c.arrival.ID))
	req.Header.Set("X-Attempt", strconv.Itoa(a.start.Attempt))
	if a.e.generation != "" {
		req.Header.Set("X-Generation-Id", a.e.generation)
	}
	return req, nil
}

// foreign reports whether an answer says that it belongs to another request or
// attempt.
func (a *attemptState) foreign(res *http.Response) bool {
	differs := func(name, want string) bool {
		got := res.Header.Get(name)
		return got != "" && got != want
	}
	return differs("X-Request-Id", string(a.start.Request)) ||
		differs("X-Attempt", strconv.Itoa(a.start.Attempt)) ||
		(a.e.generation != "" && differs("X-Generation-Id", a.e.generation))
}

func (a *attemptState) receive(w http.ResponseWriter, res *http.Response) {
	a.alive()
	a.ev.Status = res.StatusCode
	switch {
	case a.foreign(res):
		a.g.counters.ForeignFrames.Add(1)
		a.ev.Failure = state.FailureConnectionLost
	case target.Refused(res):
		a.ev.Failure, a.ev.Outcome = state.FailureTargetRefused, apierror.NotRun
	case res.StatusCode >= http.StatusInternalServerError,
		a.start.Resume != nil && res.StatusCode != http.StatusOK:
		a.ev.Failure = state.FailureTargetError
	case strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream"):
		a.stream(w, res)
	case a.e.passedOn:
		// The stream that was begun cannot go on with a plain answer.
		a.ev.Failure = state.FailureTargetError
	default:
		a.plain(w, res)
	}
}

// attemptOnce carries out the only attempt of a request that may not be
// repeated. It goes on when the caller is gone.
func (g *Gateway) attemptOnce(e *exchange, start state.StartAttempt) state.AttemptEvent {
	a := g.newAttempt(e, start)
	defer a.close()
	res, _ := a.send(true)
	if res == nil {
		return a.ev
	}
	defer func() { _ = res.Body.Close() }()
	a.alive()
	a.ev.Status = res.StatusCode
	if a.foreign(res) {
		a.g.counters.ForeignFrames.Add(1)
		a.ev.Failure = state.FailureConnectionLost
		return a.ev
	}
	if target.Refused(res) {
		a.ev.Failure, a.ev.Outcome = state.FailureTargetRefused, apierror.NotRun
		return a.ev
	}
	body, err := a.readWhole(res, maxOnceAnswer)
	if err != nil {
		a.fail(err)
		return a.ev
	}
	a.ev.Outcome = apierror.Done
	a.ev.Answer = &state.Answer{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: body}
	return a.ev
}

var (
	errNoEnd    = errors.New("the answer has no end marker")
	errTooLarge = errors.New("the answer is over the limit")
)

// hasEnd reports whether the end of a plain answer can be told from a
// connection that broke.
func hasEnd(res *http.Response) bool {
	return res.ContentLength >= 0 || len(res.TransferEncoding) > 0
}

// readWhole reads an answer of at most limit bytes up to its end marker.
func (a *attemptState) readWhole(res *http.Response, limit int64) ([]byte, error) {
	var body bytes.Buffer
	if res.ContentLength > 0 && res.ContentLength <= limit {
		body.Grow(int(res.ContentLength) + bytes.MinRead)
	}
	_, err := io.Copy(&body, io.LimitReader(aliveReader{res.Body, a}, limit+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "read answer")
	case !hasEnd(res):
		return nil, errNoEnd
	case int64(body.Len()) > limit:
		return body.Bytes(), errTooLarge
	}
	return body.Bytes(), nil
}

// aliveReader tells the attempt of each part that arrives.
type aliveReader struct {
	io.Reader
	a *attemptState
}

// Read implements io.Reader.
func (r aliveReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.a.alive()
	}
	return n, err
}
