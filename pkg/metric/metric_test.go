package metric_test

import (
	"bytes"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/metric"
)

func renderMetrics(r *metric.Recorder) string {
	var b bytes.Buffer
	r.Write(&b)
	return b.String()
}

// TestRequestTimesAndCounters guards against request times that are measured
// from the wrong event, and against a resume that is counted as a retry.
func TestRequestTimesAndCounters(t *testing.T) {
	g := gomega.NewWithT(t)
	r := metric.New()
	step := func(at int, in state.Input, out ...state.Output) {
		r.Step(time.Duration(at)*time.Second, in, out, time.Millisecond)
	}
	step(1, state.RequestArrived{ID: "r", Account: "a", Model: "m"})
	step(2, state.Tick{}, state.StartAttempt{Request: "r", Attempt: 1, Target: "g1"})
	step(3, state.AttemptEvent{Request: "r", Attempt: 1, Stage: state.AttemptEnded, Failure: state.FailureConnect},
		state.StartAttempt{Request: "r", Attempt: 2, Target: "g2"})
	step(5, state.AttemptEvent{Request: "r", Attempt: 2, Stage: state.AttemptFirstByte})
	step(6, state.Tick{}, state.StartAttempt{Request: "r", Attempt: 3, Target: "g2", Resume: &state.ResumePoint{}})
	step(9, state.AttemptEvent{Request: "r", Attempt: 3, Stage: state.AttemptEnded}, state.Reply{Request: "r"})
	out := renderMetrics(r)
	for _, line := range []string{
		`apricotgrade_request_waiting_seconds_sum{account="a",model="m"} 1`,
		`apricotgrade_request_first_token_seconds_sum{account="a",model="m"} 4`,
		`apricotgrade_request_answer_seconds_sum{account="a",model="m"} 8`,
		`apricotgrade_attempts_total{target="g2"} 2`,
		`apricotgrade_attempts_ended_total{failure="connect"} 1`,
		"apricotgrade_retries_total 1", "apricotgrade_resumes_total 1",
		"apricotgrade_requests_open 0", "apricotgrade_core_steps_total 6",
	} {
		g.Expect(out).To(gomega.ContainSubstring(line + "\n"))
	}
}

// TestRefusalCreatesNoModelSeries guards against series for model names that
// callers invent, whose number has no limit.
func TestRefusalCreatesNoModelSeries(t *testing.T) {
	g := gomega.NewWithT(t)
	r := metric.New()
	refusal := apierror.New(apierror.KindNotFound, "no_model", "name a declared model", apierror.NotRun)
	r.Step(0, state.RequestArrived{ID: "r", Account: "a", Model: "made-up"}, []state.Output{state.Reply{Request: "r", Refusal: refusal}}, 0)
	g.Expect(renderMetrics(r)).To(gomega.ContainSubstring(`apricotgrade_refusals_total{kind="not_found",outcome="not_run"} 1`))
	g.Expect(renderMetrics(r)).NotTo(gomega.ContainSubstring("made-up"))
}

// TestStoreCallsAndPeerBytes guards against store calls that are recorded
// without their result or duration, and against uncounted peer bytes.
func TestStoreCallsAndPeerBytes(t *testing.T) {
	g := gomega.NewWithT(t)
	r := metric.New()
	r.Step(0, state.Tick{}, []state.Output{state.StoreRequest{ID: 1, Scan: "group/"}}, 0)
	r.Step(2*time.Second, state.StoreReply{ID: 1, Result: state.StoreUnknown}, nil, 0)
	r.PeerBytesSent(7)
	g.Expect(renderMetrics(r)).To(gomega.And(
		gomega.ContainSubstring(`apricotgrade_store_calls_total{operation="scan",result="unknown"} 1`),
		gomega.ContainSubstring(`apricotgrade_store_call_seconds_sum{operation="scan"} 2`),
		gomega.ContainSubstring(`apricotgrade_peer_bytes_total{direction="sent"} 7`),
	))
}

// TestTargetsLostBeforeFirstEvent guards against a lost target that counts once for each
// of its streams, which would hide whether one request or the load ends targets, and
// against a count of attempts that had an event, that were cancelled, or that are no
// streams.
func TestTargetsLostBeforeFirstEvent(t *testing.T) {
	g := gomega.NewWithT(t)
	r := metric.New()
	now := time.Second
	count := 0
	loseStream := func(instance state.HostID, startID int64, edit func(*state.StartAttempt, *state.AttemptEvent)) {
		count++
		id := state.RequestID(strconv.Itoa(count))
		start := state.StartAttempt{Request: id, Attempt: 1, ExpectedInstance: instance, StartID: startID, StallAfter: time.Second}
		end := state.AttemptEvent{Request: id, Attempt: 1, Stage: state.AttemptEnded, Failure: state.FailureConnectionLost, Status: 200}
		if edit != nil {
			edit(&start, &end)
		}
		r.Step(now, state.RequestArrived{ID: id}, []state.Output{start}, 0)
		r.Step(now, end, []state.Output{state.Reply{Request: id}}, 0)
	}
	expect := func(n int, what string) {
		t.Helper()
		g.Expect(renderMetrics(r)).To(gomega.ContainSubstring("apricotgrade_targets_lost_before_first_event_total "+strconv.Itoa(n)+"\n"), what)
	}
	expect(0, "no loss")
	loseStream("a", 1, func(_ *state.StartAttempt, end *state.AttemptEvent) { end.EventCount = 1 })
	loseStream("a", 1, func(_ *state.StartAttempt, end *state.AttemptEvent) { end.Status = 0 })
	loseStream("a", 1, func(_ *state.StartAttempt, end *state.AttemptEvent) { end.Failure = state.FailureCancelled })
	loseStream("a", 1, func(start *state.StartAttempt, _ *state.AttemptEvent) { start.StallAfter = 0 })
	expect(0, "other ends")
	loseStream("a", 1, nil)
	loseStream("a", 1, nil)
	expect(1, "two streams of one process")
	loseStream("b", 1, nil)
	expect(2, "another target")
	loseStream("a", 2, nil)
	expect(3, "another process of the target")
	loseStream("c", 1, func(start *state.StartAttempt, end *state.AttemptEvent) { start.Attempt, end.Attempt = 2, 2 })
	expect(4, "second attempt")
	now += time.Minute
	loseStream("a", 1, nil)
	expect(5, "much later")
}

// TestConnectionsClosedWithoutAnswer guards against aborted answers that are counted
// without their code.
func TestConnectionsClosedWithoutAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	r := metric.New()
	r.AnswerAborted("target_lost")
	r.BodyUnread()
	g.Expect(renderMetrics(r)).To(gomega.And(
		gomega.ContainSubstring(`apricotgrade_answers_aborted_total{code="target_lost"} 1`),
		gomega.ContainSubstring("apricotgrade_request_bodies_unread_total 1"),
	))
}
