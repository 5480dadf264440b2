package gateway

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// callerWriteTimeout is how long a caller may accept no data before it counts as
	// disconnected.
	callerWriteTimeout = 30 * time.Second
	// writeDeadlineInterval is the minimum time between two updates of the write
	// deadline, which saves system calls.
	writeDeadlineInterval = 5 * time.Second
)

// reportFirstByte reports to the core that the answer has started.
func (a *attemptState) reportFirstByte() {
	progress := a.result
	progress.Stage, progress.Generation, progress.Offset, progress.AnswerStarted = state.AttemptFirstByte, a.exchange.generation, a.exchange.offset, a.exchange.answerStarted
	a.gateway.daemon.Feed(progress)
}

// relayUnstreamed relays an answer that is not a stream. It buffers up to
// answerBufferBytes of the answer and sends nothing to the caller until the buffer is
// full or the answer is complete.
func (a *attemptState) relayUnstreamed(w http.ResponseWriter, res *http.Response) {
	if a.exchange.request.arrival.Kind == state.KindModel && res.StatusCode == http.StatusOK {
		w.Header().Set("X-Resume-Token", a.gateway.newResumeToken(a.exchange, a.start.Target))
	}
	body, err := a.readAnswer(res, answerBufferBytes)
	tooLarge := errors.Is(err, errAnswerTooLarge)
	if err != nil && !tooLarge {
		a.fail(err)
		return
	}
	a.reportFirstByte()
	copyAnswerHeader(w.Header(), res.Header)
	a.exchange.answerStarted = true
	if !tooLarge {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(res.StatusCode)
	_, _ = w.Write(body)
	if tooLarge {
		if _, err := io.Copy(w, activityReader{res.Body, a}); err != nil && !a.exchange.callerDisconnected.Load() {
			a.fail(err)
			return
		}
	}
	a.result.Outcome = apierror.Done
}

// copyAnswerHeader copies the header of a target's answer without the fields that
// belong to the connection or that this node sets itself.
func copyAnswerHeader(to, from http.Header) {
	for name, values := range from {
		switch name {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Content-Length", "Date",
			"X-Request-Id", "X-Attempt", "X-Generation-Id", "X-Resume-Token", "X-Not-Run", "Proxy-Authenticate":
		default:
			to[name] = values
		}
	}
}

// eventWriter writes events to a caller. After a failed write it discards all further
// events without an error, because the attempt occupies a slot at the target until the
// core cancels it or it ends.
type eventWriter struct {
	w             http.ResponseWriter
	controller    *http.ResponseController
	failed        bool
	deadlineSetAt time.Time
}

func newEventWriter(w http.ResponseWriter) *eventWriter {
	return &eventWriter{w: w, controller: http.NewResponseController(w)}
}

func (e *eventWriter) write(b []byte) {
	if e.failed {
		return
	}
	if now := time.Now(); now.Sub(e.deadlineSetAt) > writeDeadlineInterval {
		e.deadlineSetAt = now
		_ = e.controller.SetWriteDeadline(now.Add(callerWriteTimeout))
	}
	if _, err := e.w.Write(b); err != nil {
		e.failed = true
	}
}

func (e *eventWriter) flush() {
	if !e.failed && e.controller.Flush() != nil {
		e.failed = true
	}
}

// clearDeadline removes the write deadline, because the connection may be reused for
// another request.
func (e *eventWriter) clearDeadline() { _ = e.controller.SetWriteDeadline(time.Time{}) }

// relayStream relays events until the end marker.
func (a *attemptState) relayStream(w http.ResponseWriter, res *http.Response) {
	a.gateway.counters.OpenStreams.Add(1)
	defer a.gateway.counters.OpenStreams.Add(-1)
	writer := newEventWriter(w)
	writer.failed = a.exchange.callerDisconnected.Load()
	defer writer.clearDeadline()
	events := newEventReader(res.Body)
	defer events.release()
	for {
		ev, err := events.next()
		if err != nil {
			a.fail(err)
			return
		}
		a.resetInactivityTimer()
		if ev.isEndMarker {
			a.startStream(w, writer)
			writer.write(endMarkerEvent)
			writer.flush()
			a.result.Outcome = apierror.Done
			return
		}
		if ev.id >= 0 && ev.id <= a.exchange.offset {
			a.gateway.counters.RepeatedEvents.Add(1)
			continue
		}
		if ev.id > a.exchange.offset+1 {
			a.fail(errMissingEvents)
			return
		}
		first := a.startStream(w, writer)
		a.exchange.offset++
		writer.write(events.withID(a.exchange.offset))
		if first || !events.hasBuffered() {
			writer.flush()
		}
		a.gateway.counters.Events.Add(1)
		if first {
			a.reportFirstByte()
		}
	}
}

// errMissingEvents means that an engine skipped events of a generation.
var errMissingEvents = errors.New("events of the generation are missing")

// startStream writes the header of a stream before its first event. The result
// reports whether this call wrote it.
func (a *attemptState) startStream(w http.ResponseWriter, writer *eventWriter) (first bool) {
	if a.exchange.answerStarted {
		return false
	}
	a.exchange.answerStarted = true
	// The generation cannot be restarted once the answer has started, so the memory
	// of the prompt is released.
	a.exchange.request.body, a.exchange.request.header, a.exchange.request.arrival.PrefixHashes = nil, nil, nil
	if writer.failed {
		return true
	}
	h := w.Header()
	h.Set("Content-Type", "text/event-stream; charset=utf-8")
	h.Set("Cache-Control", "no-cache")
	h.Set("X-Resume-Token", a.gateway.newResumeToken(a.exchange, a.start.Target))
	w.WriteHeader(http.StatusOK)
	return true
}
