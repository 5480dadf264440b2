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
	"github.com/apricotgrade/apricotgrade/pkg/memory"
	"github.com/apricotgrade/apricotgrade/pkg/target"
	"github.com/apricotgrade/apricotgrade/pkg/transport"
)

const (
	// maxPartialEventBytes bounds the part of a stream event that has arrived while its
	// end has not. Events hold a few tokens.
	maxPartialEventBytes = 256 << 10
	// relayBufferBytes is the size of the read buffer of a stream. It holds the events
	// of one engine pass.
	relayBufferBytes = 8 << 10
)

// routedAttempt is one running attempt of a routed request.
type routedAttempt struct {
	gateway  *RoutedGateway
	exchange *routedExchange
	start    state.StartAttempt
	ctx      context.Context
	result   state.AttemptEvent
	// lastEventID is the id of the last event that the caller had when the attempt began.
	// eventsBefore is the number of events delivered until then or, if earlier attempts
	// stay open, until the stall for which the core has decided on this one.
	lastEventID  string
	eventsBefore int

	// mu guards the fields below, and result.AnswerStarted while the stall timer runs.
	mu         sync.Mutex
	stallTimer *time.Timer
	stallDue   time.Time
	stalled    bool
	done       bool
}

// newRoutedAttempt returns an attempt that continues the answer of an exchange.
func newRoutedAttempt(ctx context.Context, g *RoutedGateway, e *routedExchange, start state.StartAttempt) *routedAttempt {
	e.answerMu.Lock()
	defer e.answerMu.Unlock()
	eventsBefore := e.eventsAtStall
	if !start.KeepPrevious {
		eventsBefore = e.deliveredEvents
		e.releaseBuffer()
	}
	return &routedAttempt{
		gateway: g, exchange: e, start: start, ctx: ctx, lastEventID: e.lastEventID, eventsBefore: eventsBefore,
		result: state.AttemptEvent{
			Request: start.Request, Attempt: start.Attempt, Stage: state.AttemptEnded, Outcome: apierror.Unknown, AnswerStarted: e.answerStarted,
		},
	}
}

// continuesAnswer reports whether no other attempt has delivered an event since this one
// began or delivered its own last one. The caller holds answerMu.
func (a *routedAttempt) continuesAnswer() bool {
	return a.exchange.deliveringAttempt == a.start.Attempt || a.exchange.deliveredEvents == a.eventsBefore
}

// isSuperseded reports whether a silent attempt has delivered again before this one began.
func (a *routedAttempt) isSuperseded() bool {
	a.exchange.answerMu.Lock()
	defer a.exchange.answerMu.Unlock()
	return !a.continuesAnswer()
}

// supersede ends an attempt after another one has continued the answer.
func (a *routedAttempt) supersede() { a.result.Failure = state.FailureCancelled }

// fail sets the failure of the attempt after an error while sending or reading.
func (a *routedAttempt) fail(err error) {
	a.result.Failure = state.FailureConnectionLost
	var failure *target.Failure
	if errors.As(err, &failure) {
		a.result.Failure, a.result.Outcome = failure.Kind, failure.Outcome
	}
	if errors.Is(context.Cause(a.ctx), errCancelled) || errors.Is(err, target.ErrAbandoned) {
		a.result.Failure = state.FailureCancelled
	}
	// This node has ended the attempt, and the target goes on.
	a.result.InvalidAnswer = errors.Is(err, transport.ErrMalformedHead) ||
		errors.Is(err, errTooLong) || errors.Is(err, errMemoryFull) || errors.Is(err, errPartialEventTooLarge)
}

// receive processes the answer of the target.
func (a *routedAttempt) receive(w http.ResponseWriter, res *http.Response) {
	metadata := a.gateway.headers.ReadAnswer(res, a.exchange.routedRequest.AttemptID)
	a.result.Status, a.result.FaultyHost, a.result.Misdirected = res.StatusCode, metadata.FaultyHost, metadata.Misdirected
	switch {
	case metadata.Foreign:
		a.result.Failure, a.result.InvalidAnswer = state.FailureConnectionLost, true
	case metadata.NotRun:
		a.result.Failure, a.result.Outcome = state.FailureTargetRefused, apierror.NotRun
	case res.StatusCode == http.StatusOK && metadata.Signed && strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream"):
		a.relayStream(w, res)
	case a.result.AnswerStarted:
		// A stream that has started cannot continue with another kind of answer.
		a.result.Failure, a.result.InvalidAnswer = state.FailureConnectionLost, true
	case res.StatusCode < http.StatusMultipleChoices && !metadata.Signed:
		// A success that no target has signed is not sent to the caller, so its body is not
		// read.
		a.result.Failure, a.result.InvalidAnswer = state.FailureConnectionLost, true
	default:
		a.bufferAnswer(res, metadata)
	}
}

// bufferAnswer reads a complete answer into memory. The core decides whether the caller
// receives it or another attempt follows.
func (a *routedAttempt) bufferAnswer(res *http.Response, metadata AnswerMetadata) {
	limit := int64(maxUnsignedAnswerBytes)
	if metadata.Signed {
		limit = min(maxRoutedAnswerBytes, a.gateway.memory.LargestAnswer()-1)
	}
	length := res.ContentLength
	if res.Body == http.NoBody {
		length = 0
	}
	held := a.gateway.memory.NewAnswerReservation(string(a.start.ExpectedInstance))
	reader := answerReader{body: res.Body, limit: limit, held: held}
	body, err := reader.read(a.ctx, length)
	if err != nil {
		held.Release()
		a.fail(errors.Wrap(err, "read answer"))
		return
	}
	a.keepBufferedAnswer(&bufferedAnswer{status: res.StatusCode, header: res.Header, body: body, held: held})
}

// keepBufferedAnswer keeps a complete answer for the caller. Another attempt may still
// begin its answer after a server error, but not after any other answer.
func (a *routedAttempt) keepBufferedAnswer(answer *bufferedAnswer) {
	e := a.exchange
	e.answerMu.Lock()
	defer e.answerMu.Unlock()
	if !a.continuesAnswer() {
		answer.held.Release()
		a.supersede()
		return
	}
	e.releaseBuffer()
	e.bufferedAnswer = answer
	a.result.AnswerBuffered, a.result.Outcome = true, apierror.Done
	if answer.status >= http.StatusInternalServerError {
		a.result.Failure = state.FailureTargetError
		return
	}
	a.claimAnswer()
}

var errPartialEventTooLarge = errors.New("a stream event exceeds 256 KiB")

// releaseBuffer drops the buffered answer of an exchange.
func (e *routedExchange) releaseBuffer() {
	if e.bufferedAnswer != nil {
		e.bufferedAnswer.held.Release()
		e.bufferedAnswer = nil
	}
}

var (
	errPartialEvent = errors.New("the stream ended in the middle of an event")
	errNoEvent      = errors.New("the connection was closed before the first event")
)

// isUnframed reports whether an answer has neither a length nor chunks, so that the end
// of its connection does not show whether it is complete.
func isUnframed(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// relayStream relays complete events as they arrive. It omits the events that the
// caller already has.
func (a *routedAttempt) relayStream(w http.ResponseWriter, res *http.Response) {
	writer := newEventWriter(w)
	defer a.clearDeadline(writer)
	// The first checked bytes of pending hold no event.
	pending, checked := make([]byte, 0, relayBufferBytes), 0
	buffer := make([]byte, relayBufferBytes)
	held := a.gateway.memory.NewAnswerReservation(string(a.start.ExpectedInstance))
	defer held.Release()
	for {
		n, err := res.Body.Read(buffer)
		if needed := len(pending) + n; needed > cap(pending) {
			// The usual buffers are part of the memory of a connection.
			if !held.Grow(int64(2*needed-cap(pending)), memory.AnswerPurpose(int64(needed))) {
				a.fail(errMemoryFull)
				return
			}
			pending = append(make([]byte, 0, 2*needed), pending...)
		}
		pending = append(pending, buffer[:n]...)
		complete, rest, restChecked := splitEvents(pending, checked)
		checked = restChecked
		if len(complete) > 0 {
			if !a.relayEvents(w, writer, res, complete) {
				a.supersede()
				return
			}
			pending = append(pending[:0], rest...)
		}
		switch {
		case errors.Is(err, io.EOF) && a.result.EventCount == 0 && isUnframed(res):
			// It might be complete for a caller that has the last event, but the end of a
			// target that has begun no event looks the same.
			a.fail(errNoEvent)
			return
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(pending[checked:])) == 0:
			if checked > 0 && !a.relayEvents(w, writer, res, pending[:checked]) {
				a.supersede()
				return
			}
			a.completeStream(w, res)
			return
		case errors.Is(err, io.EOF):
			a.fail(errPartialEvent)
			return
		case err != nil:
			a.fail(errors.Wrap(err, "read stream"))
			return
		case len(pending) > maxPartialEventBytes:
			a.fail(errPartialEventTooLarge)
			return
		}
	}
}

// clearDeadline removes the write deadline unless another attempt has set it.
func (a *routedAttempt) clearDeadline(writer *eventWriter) {
	a.exchange.answerMu.Lock()
	defer a.exchange.answerMu.Unlock()
	if a.exchange.deliveringAttempt == a.start.Attempt {
		writer.clearDeadline()
	}
}

// splitEvents splits a buffer into the blocks up to the last complete event and the rest. The
// first checked bytes hold complete blocks without an event, as do the first restChecked bytes
// of the rest. Comments and empty events count as the beginning of the next event: they are no
// progress of a stream, and may come without end.
func splitEvents(b []byte, checked int) (complete, rest []byte, restChecked int) {
	lastEvent := 0
	for {
		length := bytes.Index(b[checked:], blockEnd)
		if length < 0 {
			return b[:lastEvent], b[lastEvent:], checked - lastEvent
		}
		block := b[checked : checked+length]
		checked += length + len(blockEnd)
		if isEvent(block) {
			lastEvent = checked
		}
	}
}

// blockEnd ends a block of lines.
var blockEnd = []byte("\n\n")

// isEvent reports whether a block of lines is an event with an id or data.
func isEvent(block []byte) bool {
	for line := range bytes.SplitSeq(block, []byte("\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if (string(name) == "id" || string(name) == "data") && len(bytes.TrimSpace(value)) > 0 {
			return true
		}
	}
	return false
}

// completeStream ends an attempt whose stream is complete. A stream without events is
// relayed as an empty answer.
func (a *routedAttempt) completeStream(w http.ResponseWriter, res *http.Response) {
	a.exchange.answerMu.Lock()
	defer a.exchange.answerMu.Unlock()
	if !a.continuesAnswer() {
		a.supersede()
		return
	}
	a.result.Outcome, a.result.LongestGap = apierror.Done, a.exchange.longestGap
	a.startAnswer(w, res)
	a.claimAnswer()
	a.eventsArrived()
}

// claimAnswer supersedes all other attempts. The caller holds answerMu.
func (a *routedAttempt) claimAnswer() {
	a.exchange.deliveringAttempt = a.start.Attempt
	a.exchange.deliveredEvents++
}

// startAnswer writes the header of the answer unless it was already written. The caller
// holds answerMu.
func (a *routedAttempt) startAnswer(w http.ResponseWriter, res *http.Response) {
	if a.exchange.answerStarted {
		return
	}
	a.exchange.answerStarted = true
	copyEndToEndHeader(w.Header(), res.Header)
	w.WriteHeader(res.StatusCode)
}

// relayEvents writes complete events to the caller. It returns false, and writes nothing,
// if another attempt has continued the answer.
func (a *routedAttempt) relayEvents(w http.ResponseWriter, writer *eventWriter, res *http.Response, events []byte) bool {
	e := a.exchange
	e.answerMu.Lock()
	defer e.answerMu.Unlock()
	if !a.continuesAnswer() {
		return false
	}
	before := a.result.EventCount
	undelivered := a.undeliveredEvents(events)
	e.deliveringAttempt = a.start.Attempt
	e.deliveredEvents += a.result.EventCount - before
	a.startAnswer(w, res)
	if len(undelivered) > 0 {
		e.countDelivery(time.Now())
		if !e.callerDisconnected.Load() {
			writer.write(undelivered)
			writer.flush()
		}
	}
	a.eventsArrived()
	if before == 0 {
		a.reportStage(state.AttemptFirstByte)
	}
	return true
}

// countDelivery measures the time since the last delivery of events. The caller holds
// answerMu.
func (e *routedExchange) countDelivery(now time.Time) {
	if !e.lastDeliveryAt.IsZero() {
		e.longestGap = max(e.longestGap, now.Sub(e.lastDeliveryAt))
	}
	e.lastDeliveryAt = now
}

// undeliveredEvents returns the events that the caller does not have yet. It adds all
// events to EventCount.
func (a *routedAttempt) undeliveredEvents(events []byte) []byte {
	undelivered := events[:0:0]
	for len(events) > 0 {
		end := bytes.Index(events, []byte("\n\n")) + 2
		nextEvent := events[:end]
		events = events[end:]
		if isEvent(nextEvent) {
			a.result.EventCount++
		}
		if id := eventID(nextEvent); id != "" {
			if !isLater(id, a.exchange.lastEventID) {
				continue
			}
			a.exchange.lastEventID = id
		}
		undelivered = append(undelivered, nextEvent...)
	}
	return undelivered
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

// isLater reports whether an event id follows the last id that the caller has. Numeric
// ids increase; if an id is not a number, every different id counts as later.
func isLater(id, last string) bool {
	if last == "" {
		return true
	}
	idNumber, errA := strconv.ParseInt(id, 10, 64)
	lastNumber, errB := strconv.ParseInt(last, 10, 64)
	if errA != nil || errB != nil {
		return id != last
	}
	return idNumber > lastNumber
}
