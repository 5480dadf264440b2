package gateway

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/memory"
	"github.com/apricotgrade/apricotgrade/pkg/target"
)

// deadlineRecorder is a caller's connection that records its write deadline.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	mu       sync.Mutex
	deadline time.Time
}

// SetWriteDeadline implements the interface of http.ResponseController.
func (r *deadlineRecorder) SetWriteDeadline(deadline time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deadline = deadline
	return nil
}

func (r *deadlineRecorder) writeDeadline() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deadline
}

// routedPair holds an exchange with a silent attempt that has begun the answer.
type routedPair struct {
	g       *WithT
	gateway *RoutedGateway
	e       *routedExchange
	w       *deadlineRecorder
	res     *http.Response
	first   *routedAttempt
	writer  *eventWriter
}

func newRoutedPair(t *testing.T) *routedPair {
	idle := newIdleGateway(t)
	p := &routedPair{
		g: NewWithT(t), gateway: NewRoutedGateway(idle.daemon, target.New(), nil, memory.NewBudget(1<<20), slog.New(slog.DiscardHandler)),
		e: &routedExchange{exchange: newExchange(modelRequest(true))}, w: &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()},
		res: &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: io.NopCloser(http.NoBody)},
	}
	p.writer = newEventWriter(p.w)
	p.first = p.begin(1, false)
	p.g.Expect(p.first.relayEvents(p.w, p.writer, p.res, []byte("id: 1\ndata: a\n\n"))).To(BeTrue())
	p.first.stallDue = time.Now()
	p.first.stallTimerFired()
	p.g.Expect(p.first.stalled).To(BeTrue())
	return p
}

func (p *routedPair) begin(attempt int, keepPrevious bool) *routedAttempt {
	return newRoutedAttempt(context.Background(), p.gateway, p.e, state.StartAttempt{Request: "r1", Attempt: attempt, KeepPrevious: keepPrevious})
}

// TestReplacementLeavesAnswerOfResumedAttempt guards against a stream that is cut off by the
// cancellation of the attempt that continues it. The silent attempt delivers again after the
// core has decided on the replacement and before the replacement begins. The core learns of
// that event and cancels the replacement, so the replacement must not continue the answer.
func TestReplacementLeavesAnswerOfResumedAttempt(t *testing.T) {
	p := newRoutedPair(t)
	p.g.Expect(p.first.relayEvents(p.w, p.writer, p.res, []byte("id: 2\ndata: b\n\n"))).To(BeTrue())
	second := p.begin(2, true)
	p.g.Expect(second.relayEvents(p.w, newEventWriter(p.w), p.res, []byte("id: 3\ndata: c\n\n"))).To(BeFalse(), "the attempt that the core cancels delivers")
	p.g.Expect(p.first.relayEvents(p.w, p.writer, p.res, []byte("id: 3\ndata: c\n\n"))).To(BeTrue(), "the attempt that the core keeps is superseded")
}

// TestCompleteStreamTakesNoMoreEvents guards against events of the other attempt behind an
// answer that one attempt has completed.
func TestCompleteStreamTakesNoMoreEvents(t *testing.T) {
	p := newRoutedPair(t)
	second := p.begin(2, true)
	p.first.completeStream(p.w, p.res)
	p.g.Expect(second.relayEvents(p.w, newEventWriter(p.w), p.res, []byte("id: 2\ndata: b\n\n"))).To(BeFalse())
	p.g.Expect(p.w.Body.String()).To(Equal("id: 1\ndata: a\n\n"))
}

// TestEndOfOtherAttemptKeepsWriteDeadline guards against a write to a caller that reads
// nothing and that never ends, because the end of a superseded attempt has removed the
// deadline of the attempt that delivers.
func TestEndOfOtherAttemptKeepsWriteDeadline(t *testing.T) {
	p := newRoutedPair(t)
	second := p.begin(2, true)
	writer := newEventWriter(p.w)
	p.g.Expect(second.relayEvents(p.w, writer, p.res, []byte("id: 2\ndata: b\n\n"))).To(BeTrue())
	p.g.Expect(p.w.writeDeadline()).NotTo(BeZero())
	p.first.relayStream(p.w, &http.Response{StatusCode: http.StatusOK, Header: p.res.Header, Body: io.NopCloser(http.NoBody)})
	p.g.Expect(second.relayEvents(p.w, writer, p.res, []byte("id: 3\ndata: c\n\n"))).To(BeTrue())
	p.g.Expect(p.w.writeDeadline()).NotTo(BeZero(), "the running attempt writes without a deadline")
}

// TestSlowCallerIsNoSilentTarget guards against a target that counts as silent, and whose
// stream is taken to another one, because the caller reads slowly: the event has arrived and
// its write is blocked.
func TestSlowCallerIsNoSilentTarget(t *testing.T) {
	p := newRoutedPair(t)
	p.first.stalled = false
	p.first.start.StallAfter, p.first.start.FirstEventStallAfter = 50*time.Millisecond, 50*time.Millisecond
	p.first.startStallTimer()
	defer p.first.stopStallTimer()
	blocked := &blockedWriter{ResponseRecorder: httptest.NewRecorder(), release: make(chan struct{}), entered: make(chan struct{})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.first.relayEvents(blocked, newEventWriter(blocked), p.res, []byte("id: 2\ndata: b\n\n"))
	}()
	<-blocked.entered
	time.Sleep(150 * time.Millisecond)
	p.first.mu.Lock()
	stalled := p.first.stalled
	p.first.mu.Unlock()
	close(blocked.release)
	<-done
	p.g.Expect(stalled).To(BeFalse(), "the target is reported as silent while the write of its event is blocked")
}

// blockedWriter is a caller's connection whose writes end after release.
type blockedWriter struct {
	*httptest.ResponseRecorder
	entered, release chan struct{}
	once             sync.Once
}

// Write implements io.Writer.
func (w *blockedWriter) Write(b []byte) (int, error) {
	w.once.Do(func() { close(w.entered) })
	<-w.release
	return w.ResponseRecorder.Write(b)
}
