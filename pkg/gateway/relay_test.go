package gateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/daemon"
	"github.com/apricotgrade/apricotgrade/pkg/standin"
	"github.com/apricotgrade/apricotgrade/pkg/store/memory"
	"github.com/apricotgrade/apricotgrade/pkg/target"
)

const (
	eventuallyTimeout     = 20 * time.Second
	answerTokens          = 12
	testInactivityTimeout = 200 * time.Millisecond
)

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// newIdleGateway returns a gateway whose daemon does not run. Inputs of the core stay
// in the daemon's buffer, and tests run attempts directly.
func newIdleGateway(t *testing.T) *Gateway {
	t.Helper()
	d := daemon.New(core.New(state.Self{ID: "n1"}, state.Switches{}, 1), memory.New(), target.New(), nil, slog.New(slog.DiscardHandler))
	return New(d, target.New(), Options{InactivityTimeout: testInactivityTimeout, Log: slog.New(slog.DiscardHandler)})
}

// newLoadedEngine starts an engine and waits until its model is loaded.
func newLoadedEngine(t *testing.T) (*standin.Engine, *httptest.Server) {
	t.Helper()
	g := NewWithT(t)
	e := standin.NewEngine(1)
	e.LoadTime, e.TokenTime, e.AnswerTokens = 0, time.Millisecond, answerTokens
	s := httptest.NewServer(e.Handler())
	t.Cleanup(s.Close)
	c := target.New()
	_, err := c.Order(context.Background(), state.EngineOrder{Address: address(s), Group: "g1", Model: "draft", FencingToken: 1})
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() state.EnginePhase {
		a, _ := c.Probe(context.Background(), address(s))
		return a.Phase
	}, eventuallyTimeout).Should(Equal(state.PhaseReady))
	return e, s
}

// injectFault makes the stand-in behind s simulate the fault that body describes.
func injectFault(t *testing.T, s *httptest.Server, body string) {
	t.Helper()
	res, err := http.Post(s.URL+"/control", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
}

func modelRequest(stream bool) *callerRequest {
	body := `{"model":"draft","messages":[{"role":"user","content":"x"}]}`
	if stream {
		body = `{"model":"draft","stream":true,"messages":[{"role":"user","content":"x"}]}`
	}
	return &callerRequest{
		method: http.MethodPost, path: "/v1/chat/completions", body: []byte(body),
		header:  http.Header{"Content-Type": {"application/json"}},
		arrival: state.RequestArrived{ID: "r1", Account: "a", Kind: state.KindModel, Stream: stream},
	}
}

func startAttempt(s *httptest.Server, attempt int) state.StartAttempt {
	return state.StartAttempt{Request: "r1", Attempt: attempt, Target: "g1", Address: address(s), Timeout: time.Minute}
}

func resumeAttempt(s *httptest.Server, attempt int, ev state.AttemptEvent) state.StartAttempt {
	start := startAttempt(s, attempt)
	start.Resume = &state.ResumePoint{Target: "g1", Generation: ev.Generation, Offset: ev.Offset}
	return start
}

var (
	contentField = regexp.MustCompile(`"content":"([^"]*)"`)
	idField      = regexp.MustCompile(`(?m)^id: (\d+)$`)
)

// checkedStreamText returns the text of a stream and checks that its offsets increase
// by 1 from event to event.
func checkedStreamText(g *WithT, body string) string {
	var text strings.Builder
	for _, m := range contentField.FindAllStringSubmatch(body, -1) {
		text.WriteString(m[1])
	}
	for i, m := range idField.FindAllStringSubmatch(body, -1) {
		g.Expect(m[1]).To(Equal(fmt.Sprint(i+1)), "offset of event %d", i)
	}
	return text.String()
}

// expectCompleteStream checks that the caller received the complete text and one end
// marker.
func expectCompleteStream(g *WithT, w *httptest.ResponseRecorder) {
	g.Expect(checkedStreamText(g, w.Body.String())).To(Equal(standin.GeneratedText(answerTokens)))
	g.Expect(strings.Count(w.Body.String(), "data: [DONE]\n\n")).To(Equal(1))
	g.Expect(w.Body.String()).To(HaveSuffix("data: [DONE]\n\n"))
}

// TestStreamIsRelayedCompletely guards against a relay that loses, repeats or changes
// events of a stream.
func TestStreamIsRelayedCompletely(t *testing.T) {
	g := NewWithT(t)
	gw := newIdleGateway(t)
	_, s := newLoadedEngine(t)
	w := httptest.NewRecorder()
	ev := gw.runAttempt(w, newExchange(modelRequest(true)), startAttempt(s, 1))
	g.Expect(ev.Failure).To(Equal(state.FailureNone))
	g.Expect(ev.Outcome).To(Equal(apierror.Done))
	expectCompleteStream(g, w)
	g.Expect(w.Header().Get("Content-Type")).To(HavePrefix("text/event-stream"))
}

// TestStreamResumesAtOffset guards against repeated or missing text after the
// connection is lost, or delivers no more data, in the middle of a stream.
func TestStreamResumesAtOffset(t *testing.T) {
	for action, failure := range map[string]state.AttemptFailure{
		standin.FaultCut: state.FailureConnectionLost, standin.FaultSilent: state.FailureInactivityTimeout,
	} {
		for _, after := range []int{0, 1, 5, answerTokens} {
			t.Run(fmt.Sprint(action, after), func(t *testing.T) {
				g := NewWithT(t)
				gw := newIdleGateway(t)
				_, s := newLoadedEngine(t)
				injectFault(t, s, fmt.Sprintf(`{"action":%q,"after":%d,"count":2}`, action, after))
				w := httptest.NewRecorder()
				e := newExchange(modelRequest(true))
				ev := gw.runAttempt(w, e, startAttempt(s, 1))
				g.Expect(ev.Failure).To(Equal(failure))
				g.Expect(ev.Outcome).To(Equal(apierror.Unknown))
				g.Expect(ev.Offset).To(Equal(int64(after)))
				g.Expect(ev.AnswerStarted).To(Equal(after > 0))
				g.Expect(w.Body.String()).NotTo(ContainSubstring("[DONE]"))
				for attempt := 2; ev.Failure != state.FailureNone && attempt < 20; attempt++ {
					ev = gw.runAttempt(w, e, resumeAttempt(s, attempt, ev))
				}
				g.Expect(ev.Outcome).To(Equal(apierror.Done))
				expectCompleteStream(g, w)
			})
		}
	}
}

// TestRestartAfterAnswerStartedIsRefused guards against an answer that mixes two
// generations. An attempt that restarts the generation after a part of the answer was
// sent would cause it.
func TestRestartAfterAnswerStartedIsRefused(t *testing.T) {
	g := NewWithT(t)
	gw := newIdleGateway(t)
	engine, s := newLoadedEngine(t)
	_ = engine
	injectFault(t, s, `{"action":"cut","after":3}`)
	w := httptest.NewRecorder()
	ex := newExchange(modelRequest(true))
	gw.runAttempt(w, ex, startAttempt(s, 1))
	before := w.Body.String()
	ev := gw.runAttempt(w, ex, startAttempt(s, 2))
	g.Expect(ev.Failure).To(Equal(state.FailureConnectionLost))
	g.Expect(w.Body.String()).To(Equal(before))
	finishAnswer(w, ex, state.Reply{Refusal: apierror.New(apierror.KindTargetLost, "target_lost", "m", apierror.Unknown)})
	g.Expect(w.Body.String()).To(ContainSubstring(`"type":"target_lost"`))
	g.Expect(w.Body.String()).NotTo(ContainSubstring("[DONE]"))
}

// TestForeignAnswerIsDropped guards against a caller that receives the answer to
// another request.
func TestForeignAnswerIsDropped(t *testing.T) {
	for _, stream := range []bool{true, false} {
		g := NewWithT(t)
		gw := newIdleGateway(t)
		_, s := newLoadedEngine(t)
		injectFault(t, s, `{"action":"foreign"}`)
		w := httptest.NewRecorder()
		ev := gw.runAttempt(w, newExchange(modelRequest(stream)), startAttempt(s, 1))
		g.Expect(ev.Failure).To(Equal(state.FailureConnectionLost))
		g.Expect(w.Body.Len()).To(BeZero())
		g.Expect(gw.Counters().ForeignAnswers.Load()).To(Equal(int64(1)))
	}
}

// TestBrokenUnstreamedAnswerIsNotRelayed guards against a caller that receives part of
// an unstreamed answer after the connection to the target is lost.
func TestBrokenUnstreamedAnswerIsNotRelayed(t *testing.T) {
	g := NewWithT(t)
	gw := newIdleGateway(t)
	_, s := newLoadedEngine(t)
	injectFault(t, s, `{"action":"cut"}`)
	w := httptest.NewRecorder()
	e := newExchange(modelRequest(false))
	ev := gw.runAttempt(w, e, startAttempt(s, 1))
	g.Expect(ev.Failure).To(Equal(state.FailureConnectionLost))
	g.Expect(ev.AnswerStarted).To(BeFalse())
	g.Expect(w.Body.Len()).To(BeZero())
	ev = gw.runAttempt(w, e, resumeAttempt(s, 2, ev))
	g.Expect(ev.Outcome).To(Equal(apierror.Done))
	g.Expect(w.Body.String()).To(ContainSubstring(standin.GeneratedText(answerTokens)))
}

// TestInvalidEngineFrames guards against events that an engine repeats or omits, and
// against a stream that ends without its end marker.
func TestInvalidEngineFrames(t *testing.T) {
	frame := func(id int) string { return fmt.Sprintf("id: %d\r\ndata: {\"content\":\"%d\"}\r\n\r\n", id, id) }
	for name, c := range map[string]struct {
		body, text string
		failure    state.AttemptFailure
	}{
		"repeated":  {frame(1) + frame(1) + frame(2) + "data: [DONE]\n\n", "12", state.FailureNone},
		"missing":   {frame(1) + frame(3) + "data: [DONE]\n\n", "1", state.FailureConnectionLost},
		"no marker": {frame(1) + frame(2), "12", state.FailureConnectionLost},
		"no ids":    {"data: {\"content\":\"1\"}\n\n: comment\n\ndata: {\"content\":\"2\"}\n\ndata: [DONE]\n\n", "12", state.FailureNone},
		"half":      {frame(1) + "data: {\"cont", "1", state.FailureConnectionLost},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			gw := newIdleGateway(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = w.Write([]byte(c.body))
			}))
			defer s.Close()
			w := httptest.NewRecorder()
			ev := gw.runAttempt(w, newExchange(modelRequest(true)), startAttempt(s, 1))
			g.Expect(ev.Failure).To(Equal(c.failure))
			g.Expect(checkedStreamText(g, w.Body.String())).To(Equal(c.text))
			g.Expect(strings.Contains(w.Body.String(), "[DONE]")).To(Equal(c.failure == state.FailureNone))
		})
	}
}

// TestUnstreamedAnswerNeedsEndMarker guards against a truncated answer that is taken
// for complete. An answer without a length ends with its connection, which cannot be
// distinguished from a lost connection.
func TestUnstreamedAnswerNeedsEndMarker(t *testing.T) {
	g := NewWithT(t)
	gw := newIdleGateway(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"a\":1}"))
		_ = conn.Close()
	}()
	w := httptest.NewRecorder()
	start := state.StartAttempt{Request: "r1", Attempt: 1, Address: listener.Addr().String()}
	ev := gw.runAttempt(w, newExchange(modelRequest(false)), start)
	g.Expect(ev.Failure).To(Equal(state.FailureConnectionLost))
	g.Expect(w.Body.Len()).To(BeZero())
}

// TestCancelStopsGeneration guards against a cancelled attempt whose slot the core
// frees while the engine still runs the generation.
func TestCancelStopsGeneration(t *testing.T) {
	g := NewWithT(t)
	gw := newIdleGateway(t)
	engine, s := newLoadedEngine(t)
	engine.AnswerTokens = 1 << 20
	e := newExchange(modelRequest(true))
	ended := make(chan state.AttemptEvent)
	go func() { ended <- gw.runAttempt(httptest.NewRecorder(), e, startAttempt(s, 1)) }()
	g.Eventually(func() int64 { return gw.Counters().Events.Load() }, eventuallyTimeout).Should(BeNumerically(">", 2))
	e.Cancel(state.CancelAttempt{Request: "r1", Attempt: 1})
	var ev state.AttemptEvent
	g.Eventually(ended, eventuallyTimeout).Should(Receive(&ev))
	g.Expect(ev.Failure).To(Equal(state.FailureCancelled))
	load, err := target.New().FetchLoadReport(context.Background(), address(s))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(load.Answer.Running).To(BeZero())
}

func atMostOnceRequest() *callerRequest {
	return &callerRequest{
		method: http.MethodPost, path: "/orders", body: []byte("print"), header: http.Header{"Idempotency-Key": {"k1"}},
		arrival: state.RequestArrived{ID: "r1", Account: "a", Kind: state.KindService, AtMostOnce: true, IdempotencyKey: "k1"},
	}
}

// TestAtMostOnceRequestIsNotReplayedAfterReset guards against a request that runs twice.
// The HTTP transport replays a request with an Idempotency-Key on its own when the
// target has read the request and then resets a pooled connection.
func TestAtMostOnceRequestIsNotReplayedAfterReset(t *testing.T) {
	g := NewWithT(t)
	gw := newIdleGateway(t)
	service := standin.NewService()
	s := httptest.NewServer(service.Handler())
	defer s.Close()
	// Create a pooled connection to the service, which the transport would reuse and
	// replace after the reset.
	warm, err := http.NewRequest(http.MethodGet, s.URL+"/load", nil)
	g.Expect(err).NotTo(HaveOccurred())
	res, err := gw.targets.Do(warm, false)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, res.Body)
	g.Expect(err).NotTo(HaveOccurred())
	_ = res.Body.Close()
	injectFault(t, s, `{"action":"reset","count":3}`)
	ev := gw.runAtMostOnceAttempt(newExchange(atMostOnceRequest()), startAttempt(s, 1))
	g.Expect(ev.Failure).To(Equal(state.FailureConnectionLost))
	g.Expect(ev.Outcome).To(Equal(apierror.Unknown))
	g.Expect(service.Executions("k1")).To(Equal(1))
}

// TestAtMostOnceOutcomes guards against the outcome "not run" for a request that may
// have run, and against the outcome "unknown" for a request that has not run.
func TestAtMostOnceOutcomes(t *testing.T) {
	g := NewWithT(t)
	gw := newIdleGateway(t)
	service := standin.NewService()
	s := httptest.NewServer(service.Handler())
	injectFault(t, s, `{"action":"not_run"}`)
	ev := gw.runAtMostOnceAttempt(newExchange(atMostOnceRequest()), startAttempt(s, 1))
	g.Expect(ev.Failure).To(Equal(state.FailureTargetRefused))
	g.Expect(ev.Outcome).To(Equal(apierror.NotRun))
	g.Expect(service.Executions("k1")).To(BeZero())

	injectFault(t, s, `{"action":"silent"}`)
	start := startAttempt(s, 2)
	start.Timeout = testInactivityTimeout
	ev = gw.runAtMostOnceAttempt(newExchange(atMostOnceRequest()), start)
	g.Expect(ev.Failure).To(Equal(state.FailureInactivityTimeout))
	g.Expect(ev.Outcome).To(Equal(apierror.Unknown))

	ev = gw.runAtMostOnceAttempt(newExchange(atMostOnceRequest()), startAttempt(s, 3))
	g.Expect(ev.Outcome).To(Equal(apierror.Done))
	g.Expect(string(ev.Answer.Body)).To(ContainSubstring(`"item":"print"`))
	s.Close()
	ev = gw.runAtMostOnceAttempt(newExchange(atMostOnceRequest()), startAttempt(s, 4))
	g.Expect(ev.Failure).To(Equal(state.FailureConnect))
	g.Expect(ev.Outcome).To(Equal(apierror.NotRun))
}
