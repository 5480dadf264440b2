package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/target"
)

const (
	// maxHeldBytes bounds an answer that is held back until its end was seen.
	maxHeldBytes = 8 << 20
	// relayBuffer is the read buffer of a stream. It holds the events of a pass.
	relayBuffer = 8 << 10
	// lateTimer is how much later than due a timer may run before this process
	// counts as held up.
	lateTimer = 80 * time.Millisecond
)

// routedAttempt is one running attempt of a routed request.
type routedAttempt struct {
	g     *Routed
	e     *routedExchange
	start state.StartAttempt
	ctx   context.Context
	ev    state.AttemptEvent

	mu      sync.Mutex
	timer   *time.Timer
	due     time.Time
	stalled bool
	done    bool
}

// watch reports silence to the core.
func (a *routedAttempt) watch() {
	if a.start.FirstEventStallAfter <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.due = time.Now().Add(a.start.FirstEventStallAfter)
	a.timer = time.AfterFunc(a.start.FirstEventStallAfter, a.silent)
}

func (a *routedAttempt) unwatch() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.done = true
	if a.timer != nil {
		a.timer.Stop()
	}
}

func (a *routedAttempt) silent() {
	a.mu.Lock()
	if a.done || a.stalled {
		a.mu.Unlock()
		return
	}
	if now := time.Now(); now.Sub(a.due) > lateTimer {
		// This process was held up, and so may be what has arrived.
		a.due = now.Add(lateTimer)
		a.timer.Reset(lateTimer)
		a.mu.Unlock()
		return
	}
	a.stalled = true
	a.mu.Unlock()
	a.report(state.AttemptStalled)
}

// arrived is called whenever events arrived.
func (a *routedAttempt) arrived() {
	a.mu.Lock()
	was := a.stalled
	a.stalled = false
	if a.timer != nil && a.start.StallAfter > 0 {
		a.due = time.Now().Add(a.start.StallAfter)
		a.timer.Reset(a.start.StallAfter)
	}
	a.mu.Unlock()
	if was {
		a.report(state.AttemptStallEnded)
	}
}

func (a *routedAttempt) report(stage state.AttemptStage) {
	a.g.daemon.Feed(state.AttemptEvent{Request: a.start.Request, Attempt: a.start.Attempt, Stage: stage, AnswerStarted: a.ev.AnswerStarted})
}

// fail ends an attempt because of an error while sending or reading.
func (a *routedAttempt) fail(err error) {
	a.ev.Failure = state.FailureConnectionLost
	var failure *target.Failure
	if errors.As(err, &failure) {
		a.ev.Failure, a.ev.Outcome = failure.Kind, failure.Outcome
	}
	if errors.Is(context.Cause(a.ctx), errCancelled) {
		a.ev.Failure = state.FailureCancelled
	}
}

// receive takes a target's answer.
func (a *routedAttempt) receive(w http.ResponseWriter, res *http.Response) {
	verdict := a.g.form.Judge(res, a.e.routed.AttemptID)
	a.ev.Status, a.ev.FaultyHost, a.ev.Misdirected = res.StatusCode, verdict.AtFault, verdict.Misdirected
	switch {
	case verdict.Foreign:
		a.ev.Failure = state.FailureConnectionLost
	case verdict.NotRun:
		a.ev.Failure, a.ev.Outcome = state.FailureTargetRefused, apierror.NotRun
	case res.StatusCode == http.StatusOK && verdict.Signed && strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream"):
		a.stream(w, res)
	case a.e.passedOn:
		// The stream that was begun cannot go on with another answer.
		a.ev.Failure = state.FailureConnectionLost
	default:
		a.hold(res, verdict)
	}
}

// hold reads a whole answer for the core to decide on.
func (a *routedAttempt) hold(res *http.Response, verdict Verdict) {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxHeldBytes+1))
	switch {
	case err != nil:
		a.fail(errors.Wrap(err, "read answer"))
		return
	case len(body) > maxHeldBytes, res.StatusCode < http.StatusMultipleChoices && !verdict.Signed:
		// Bytes that no target made are no answer.
		a.ev.Failure = state.FailureConnectionLost
		return
	}
	a.e.held = &heldAnswer{status: res.StatusCode, header: res.Header, body: body}
	a.ev.AnswerBuffered, a.ev.Outcome = true, apierror.Done
	if res.StatusCode >= http.StatusInternalServerError {
		a.ev.Failure = state.FailureTargetError
	}
}

var errPartialEvent = errors.New("the stream ended in the middle of an event")

// stream passes on events as they arrive, each of them whole. Events that the
// caller has already are left out.
func (a *routedAttempt) stream(w http.ResponseWriter, res *http.Response) {
	out := newSink(w)
	defer out.done()
	pending := make([]byte, 0, relayBuffer)
	buffer := make([]byte, relayBuffer)
	for {
		n, err := res.Body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		whole, rest := splitEvents(pending)
		if len(whole) > 0 {
			a.pass(w, out, res, whole)
			pending = append(pending[:0], rest...)
		}
		switch {
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(pending)) == 0:
			a.ev.Outcome = apierror.Done
			if a.ev.EventCount == 0 && !a.e.passedOn {
				// A stream without events is passed on as the empty answer that it is.
				a.begin(w, res)
			}
			return
		case errors.Is(err, io.EOF):
			a.fail(errPartialEvent)
			return
		case err != nil:
			a.fail(errors.Wrap(err, "read stream"))
			return
		}
	}
}

// splitEvents returns the whole events at the start of a buffer and the rest.
func splitEvents(b []byte) (whole, rest []byte) {
	end := bytes.LastIndex(b, []byte("\n\n"))
	if end < 0 {
		return nil, b
	}
	return b[:end+2], b[end+2:]
}

func (a *routedAttempt) begin(w http.ResponseWriter, res *http.Response) {
	if a.e.passedOn {
		return
	}
	a.e.passedOn = true
	copyRoutedHeader(w.Header(), res.Header)
	w.WriteHeader(res.StatusCode)
}

// pass writes whole events to the caller.
func (a *routedAttempt) pass(w http.ResponseWriter, out *sink, res *http.Response, events []byte) {
	first := a.ev.EventCount == 0
	fresh := a.fresh(events)
	a.begin(w, res)
	a.ev.AnswerStarted = true
	if len(fresh) > 0 && !a.e.callerGone.Load() {
		out.write(fresh)
		out.flush()
	}
	a.arrived()
	if first {
		a.report(state.AttemptFirstByte)
	}
}

// fresh returns the events that the caller does not have yet and counts all.
func (a *routedAttempt) fresh(events []byte) []byte {
	out := events[:0:0]
	for len(events) > 0 {
		end := bytes.Index(events, []byte("\n\n")) + 2
		one := events[:end]
		events = events[end:]
		a.ev.EventCount++
		if id := eventID(one); id != "" {
			if !isLater(id, a.e.lastEvent) {
				continue
			}
			a.e.lastEvent = id
		}
		out = append(out, one...)
	}
	return out
}

// eventID returns the id of an event, or "".
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// isLater reports whether an event follows the last one that was passed on. Ids
// grow; where they are no numbers, any other id counts as later.
func isLater(id, last string) bool {
	if last == "" {
		return true
	}
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return a > b
}
