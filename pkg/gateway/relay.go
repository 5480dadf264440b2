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
	// writeBound is how long a caller may take nothing before it counts as gone.
	writeBound = 30 * time.Second
	// writeBoundStep is how often the bound is moved, to save system calls.
	writeBoundStep = 5 * time.Second
)

// firstByte tells the core that the answer has begun.
func (a *attemptState) firstByte() {
	ev := a.ev
	ev.Stage, ev.Generation, ev.Offset, ev.AnswerStarted = state.AttemptFirstByte, a.e.generation, a.e.offset, a.e.passedOn
	a.g.daemon.Feed(ev)
}

// plain passes on an answer that is not a stream. Up to wholeBytes it is held
// back until its end was seen.
func (a *attemptState) plain(w http.ResponseWriter, res *http.Response) {
	if a.e.call.arrival.Kind == state.KindModel && res.StatusCode == http.StatusOK {
		w.Header().Set("X-Resume-Token", a.g.token(a.e, a.start.Target))
	}
	body, err := a.readWhole(res, wholeBytes)
	large := errors.Is(err, errTooLarge)
	if err != nil && !large {
		a.fail(err)
		return
	}
	a.firstByte()
	copyHeader(w.Header(), res.Header)
	a.e.passedOn = true
	if !large {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(res.StatusCode)
	_, _ = w.Write(body)
	if large {
		if _, err := io.Copy(w, aliveReader{res.Body, a}); err != nil && !a.e.callerGone.Load() {
			a.fail(err)
			return
		}
	}
	a.ev.Outcome = apierror.Done
}

// copyHeader copies the header of a target's answer without the fields that
// belong to the connection or to this node.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		switch name {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Content-Length", "Date",
			"X-Request-Id", "X-Attempt", "X-Generation-Id", "X-Resume-Token", "X-Not-Run", "Proxy-Authenticate":
		default:
			to[name] = values
		}
	}
}

// sink writes events to a caller. After a failed write it takes everything and
// writes nothing: the attempt still holds its place at the target.
type sink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	gone       bool
	boundedAt  time.Time
}

func newSink(w http.ResponseWriter) *sink {
	return &sink{w: w, controller: http.NewResponseController(w)}
}

func (s *sink) write(b []byte) {
	if s.gone {
		return
	}
	if now := time.Now(); now.Sub(s.boundedAt) > writeBoundStep {
		s.boundedAt = now
		_ = s.controller.SetWriteDeadline(now.Add(writeBound))
	}
	if _, err := s.w.Write(b); err != nil {
		s.gone = true
	}
}

func (s *sink) flush() {
	if !s.gone && s.controller.Flush() != nil {
		s.gone = true
	}
}

// done takes the write bound away, since the connection may be used again.
func (s *sink) done() { _ = s.controller.SetWriteDeadline(time.Time{}) }

// stream passes on events until the end marker.
func (a *attemptState) stream(w http.ResponseWriter, res *http.Response) {
	a.g.counters.Streams.Add(1)
	defer a.g.counters.Streams.Add(-1)
	out := newSink(w)
	out.gone = a.e.callerGone.Load()
	defer out.done()
	events := newEventReader(res.Body)
	defer events.release()
	for {
		ev, err := events.next()
		if err != nil {
			a.fail(err)
			return
		}
		a.alive()
		if ev.end {
			a.begin(w, out)
			out.write(endEvent)
			out.flush()
			a.ev.Outcome = apierror.Done
			return
		}
		if ev.id >= 0 && ev.id <= a.e.offset {
			a.g.counters.RepeatedFrames.Add(1)
			continue
		}
		if ev.id > a.e.offset+1 {
			a.fail(errGap)
			return
		}
		first := a.begin(w, out)
		a.e.offset++
		out.write(events.numbered(a.e.offset))
		if first || !events.buffered() {
			out.flush()
		}
		a.g.counters.Events.Add(1)
		if first {
			a.firstByte()
		}
	}
}

// errGap means that an engine left out events of a generation.
var errGap = errors.New("events of the generation are missing")

// begin writes the header of a stream once.
func (a *attemptState) begin(w http.ResponseWriter, out *sink) (first bool) {
	if a.e.passedOn {
		return false
	}
	a.e.passedOn = true
	// Nothing can start the generation again now, so the prompt is let go.
	a.e.call.body, a.e.call.header, a.e.call.arrival.PrefixHashes = nil, nil, nil
	if out.gone {
		return true
	}
	h := w.Header()
	h.Set("Content-Type", "text/event-stream; charset=utf-8")
	h.Set("Cache-Control", "no-cache")
	h.Set("X-Resume-Token", a.g.token(a.e, a.start.Target))
	w.WriteHeader(http.StatusOK)
	return true
}
