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
	// answerBufferBytes is how much of an unstreamed answer is buffered before the
	// caller receives any of it, so that a broken answer can be retried without the
	// caller noticing.
	answerBufferBytes = 1 << 20
	// maxAtMostOnceAnswerBytes bounds the answer to an at-most-once request, because
	// that answer is stored.
	maxAtMostOnceAnswerBytes = 8 << 20
)

// maxSendDelay is how long after its decision an attempt may be sent. Together with
// the maximum age of the configuration (2 s) and the dial timeout (700 ms), it ensures
// that a request is sent within 3 s of the evidence for the decision.
const maxSendDelay = 250 * time.Millisecond

// isDecisionExpired reports whether it is too late to send the attempt, because this
// process was paused or short of CPU time after the decision. If so, it sets the
// result of the attempt.
func (a *attemptState) isDecisionExpired() bool {
	if a.start.DecidedAt == 0 || a.gateway.daemon.Now()-a.start.DecidedAt <= maxSendDelay {
		return false
	}
	a.result.Failure, a.result.Outcome = state.FailureDecisionExpired, apierror.NotRun
	return true
}

// attemptState is one running attempt.
type attemptState struct {
	gateway  *Gateway
	exchange *exchange
	start    state.StartAttempt
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// inactivityTimer cancels the attempt when no data arrives.
	inactivityTimer *time.Timer
	// result is the last event of the attempt.
	result state.AttemptEvent
}

func (g *Gateway) newAttempt(e *exchange, start state.StartAttempt) *attemptState {
	a := &attemptState{gateway: g, exchange: e, start: start}
	a.ctx, a.cancel = e.beginAttempt(start)
	a.result = state.AttemptEvent{
		Request: start.Request, Attempt: start.Attempt, Stage: state.AttemptEnded,
		Outcome: apierror.Unknown, AnswerStarted: e.answerStarted, Offset: e.offset,
	}
	firstTimeout := g.inactivityTimeout
	if !e.request.arrival.Stream {
		firstTimeout = max(unstreamedFirstByteTimeout, g.inactivityTimeout)
	}
	if start.Timeout > 0 {
		firstTimeout = min(firstTimeout, start.Timeout)
	}
	a.inactivityTimer = time.AfterFunc(firstTimeout, func() { a.cancel(errInactivityTimeout) })
	return a
}

func (a *attemptState) close() {
	a.inactivityTimer.Stop()
	a.cancel(nil)
	a.exchange.endAttempt(a.start.Attempt)
}

// resetInactivityTimer is called whenever data has arrived.
func (a *attemptState) resetInactivityTimer() { a.inactivityTimer.Reset(a.gateway.inactivityTimeout) }

// fail sets the failure of the attempt after an error while sending or reading.
func (a *attemptState) fail(err error) {
	var failure *target.Failure
	switch cause := context.Cause(a.ctx); {
	case errors.Is(cause, errCancelled):
		a.result.Failure = state.FailureCancelled
	case errors.Is(cause, errInactivityTimeout):
		a.result.Failure = state.FailureInactivityTimeout
		a.gateway.targets.CloseIdleConnections(a.start.Address)
	default:
		a.result.Failure = state.FailureConnectionLost
	}
	if errors.As(err, &failure) {
		a.result.Outcome = failure.Outcome
		if a.result.Failure == state.FailureConnectionLost {
			a.result.Failure = failure.Kind
		}
	}
	if a.result.Failure == state.FailureConnectionLost {
		a.gateway.counters.BrokenAnswers.Add(1)
	}
}

// runAttempt executes one attempt of a request that is not at-most-once and returns
// the last event of the attempt.
func (g *Gateway) runAttempt(w http.ResponseWriter, e *exchange, start state.StartAttempt) state.AttemptEvent {
	if start.Resume == nil {
		start.Resume = e.request.arrival.Resume
	}
	a := g.newAttempt(e, start)
	defer a.close()
	if e.answerStarted && start.Resume == nil {
		// A restarted generation would mix two answers.
		a.result.Failure = state.FailureConnectionLost
		return a.result
	}
	res, sent := a.send(start.NewConnection || start.Resume != nil)
	if !sent {
		return a.result
	}
	if res != nil {
		a.receive(w, res)
		_ = res.Body.Close()
	}
	if a.result.Failure == state.FailureCancelled {
		a.cancelGeneration()
	}
	a.result.Generation, a.result.Offset, a.result.AnswerStarted = e.generation, e.offset, e.answerStarted
	return a.result
}

// send sends the request of the attempt. If it returns no response, the attempt has
// ended. The second result is false if the request was not passed to the transport,
// so that no generation of the attempt exists.
func (a *attemptState) send(newConnection bool) (*http.Response, bool) {
	req, err := a.newRequest()
	if err != nil {
		a.result.Failure, a.result.Outcome = state.FailureConnect, apierror.NotRun
		return nil, false
	}
	if a.isDecisionExpired() {
		return nil, false
	}
	if a.exchange.hasCallerLeft() {
		// A generation that has not begun cannot be resumed.
		a.gateway.daemon.Feed(state.CallerDisconnected{Request: a.start.Request})
		a.result.Failure, a.result.Outcome = state.FailureCancelled, apierror.NotRun
		return nil, false
	}
	res, err := a.gateway.targets.Do(req, newConnection)
	if err != nil {
		a.fail(err)
		return nil, true
	}
	return res, true
}

// cancelGeneration stops the generation of a cancelled attempt at the target before
// the core frees its slot, so that the work of a target never exceeds its limit.
func (a *attemptState) cancelGeneration() {
	if a.exchange.generation == "" || a.result.Outcome == apierror.NotRun {
		return
	}
	if err := a.gateway.targets.Cancel(context.Background(), a.start.Address, a.exchange.generation); err != nil {
		a.gateway.log.Debug("cancelling the generation at the target failed", "request", a.start.Request, "error", err)
	}
}

// newRequest builds the request of the attempt. A resume continues a generation; any
// other attempt of a model request starts a generation with a new id.
func (a *attemptState) newRequest() (*http.Request, error) {
	request := a.exchange.request
	baseURL := "http://" + a.start.Address
	var req *http.Request
	var err error
	switch {
	case a.start.Resume != nil:
		if a.exchange.generation != a.start.Resume.Generation {
			a.exchange.generation, a.exchange.offset = a.start.Resume.Generation, a.start.Resume.Offset
		}
		req, err = http.NewRequestWithContext(a.ctx, http.MethodGet, baseURL+"/generations/"+
			url.PathEscape(a.exchange.generation)+"?offset="+strconv.FormatInt(a.exchange.offset, 10), nil)
	default:
		req, err = http.NewRequestWithContext(a.ctx, request.method, baseURL+request.path, bytes.NewReader(request.body))
	}
	if err != nil {
		return nil, errors.Wrap(err, "build attempt")
	}
	if a.start.Resume == nil {
		req.Header = request.header.Clone()
		if request.arrival.Kind == state.KindModel {
			a.exchange.generation, a.exchange.offset = newGenerationID(), 0
		}
	}
	if req.Header.Get("User-Agent") == "" {
		req.Header["User-Agent"] = nil
	}
	req.Header.Set(target.RequestIDHeader, string(request.arrival.ID))
	req.Header.Set("X-Attempt", strconv.Itoa(a.start.Attempt))
	if a.exchange.generation != "" {
		req.Header.Set("X-Generation-Id", a.exchange.generation)
	}
	return req, nil
}

// isForeign reports whether the header of an answer names another request, attempt or
// generation.
func (a *attemptState) isForeign(res *http.Response) bool {
	differs := func(name, want string) bool {
		got := res.Header.Get(name)
		return got != "" && got != want
	}
	return differs("X-Request-Id", string(a.start.Request)) ||
		differs("X-Attempt", strconv.Itoa(a.start.Attempt)) ||
		(a.exchange.generation != "" && differs("X-Generation-Id", a.exchange.generation))
}

// receive processes the answer of the target.
func (a *attemptState) receive(w http.ResponseWriter, res *http.Response) {
	a.resetInactivityTimer()
	a.result.Status = res.StatusCode
	switch {
	case a.isForeign(res):
		a.gateway.counters.ForeignAnswers.Add(1)
		a.result.Failure = state.FailureConnectionLost
	case target.Refused(res):
		a.result.Failure, a.result.Outcome = state.FailureTargetRefused, apierror.NotRun
	case res.StatusCode >= http.StatusInternalServerError,
		a.start.Resume != nil && res.StatusCode != http.StatusOK:
		a.result.Failure = state.FailureTargetError
	case strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream"):
		a.relayStream(w, res)
	case a.exchange.answerStarted:
		// A stream that has started cannot continue with an unstreamed answer.
		a.result.Failure = state.FailureTargetError
	default:
		a.relayUnstreamed(w, res)
	}
}

// runAtMostOnceAttempt executes the only attempt of an at-most-once request and
// returns its last event. The attempt continues after the caller has disconnected.
func (g *Gateway) runAtMostOnceAttempt(e *exchange, start state.StartAttempt) state.AttemptEvent {
	a := g.newAttempt(e, start)
	defer a.close()
	res, _ := a.send(true)
	if res == nil {
		return a.result
	}
	defer func() { _ = res.Body.Close() }()
	a.resetInactivityTimer()
	a.result.Status = res.StatusCode
	if a.isForeign(res) {
		a.gateway.counters.ForeignAnswers.Add(1)
		a.result.Failure = state.FailureConnectionLost
		return a.result
	}
	if target.Refused(res) {
		a.result.Failure, a.result.Outcome = state.FailureTargetRefused, apierror.NotRun
		return a.result
	}
	body, err := a.readAnswer(res, maxAtMostOnceAnswerBytes)
	if err != nil {
		a.fail(err)
		return a.result
	}
	a.result.Outcome = apierror.Done
	a.result.Answer = &state.Answer{Status: res.StatusCode, ContentType: res.Header.Get("Content-Type"), Body: body}
	return a.result
}

var (
	errNoEndMarker    = errors.New("the answer has no end marker")
	errAnswerTooLarge = errors.New("the answer exceeds the size limit")
)

// hasEndMarker reports whether the end of an unstreamed answer can be distinguished
// from a lost connection.
func hasEndMarker(res *http.Response) bool {
	return res.ContentLength >= 0 || len(res.TransferEncoding) > 0
}

// readAnswer reads an answer of at most limit bytes up to its end marker. For a longer
// answer it returns the part that it has read and errAnswerTooLarge.
func (a *attemptState) readAnswer(res *http.Response, limit int64) ([]byte, error) {
	var body bytes.Buffer
	if res.ContentLength > 0 && res.ContentLength <= limit {
		body.Grow(int(res.ContentLength) + bytes.MinRead)
	}
	_, err := io.Copy(&body, io.LimitReader(activityReader{res.Body, a}, limit+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "read answer")
	case !hasEndMarker(res):
		return nil, errNoEndMarker
	case int64(body.Len()) > limit:
		return body.Bytes(), errAnswerTooLarge
	}
	return body.Bytes(), nil
}

// activityReader resets the inactivity timer of an attempt on each read of data.
type activityReader struct {
	io.Reader
	attempt *attemptState
}

// Read implements io.Reader.
func (r activityReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.attempt.resetInactivityTimer()
	}
	return n, err
}
