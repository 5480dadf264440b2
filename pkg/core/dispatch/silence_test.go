package dispatch

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// reportAttempt feeds a stage of an attempt of a request, which may not be the last one.
func (r *rig) reportAttempt(id state.RequestID, attempt int, stage state.AttemptStage) {
	r.step(state.AttemptEvent{Request: id, Attempt: attempt, Stage: stage, AnswerStarted: true})
}

// endAttemptOf feeds the end of an attempt of a request, which may not be the last one.
func (r *rig) endAttemptOf(id state.RequestID, attempt int, failure state.AttemptFailure, outcome apierror.Outcome) {
	r.step(state.AttemptEvent{Request: id, Attempt: attempt, Stage: state.AttemptEnded, Failure: failure, Outcome: outcome, AnswerStarted: true})
}

// silentStream returns a rig and a stream that has begun at a target which has been silent
// since, so that a second attempt runs at the other target.
func silentStream(t *testing.T) (*gomega.WithT, *rig, state.RequestID) {
	g := gomega.NewWithT(t)
	r := newRig(t, 2)
	id := r.sendRequest("/a/", 10)
	r.reportStage(id, state.AttemptFirstByte)
	r.reportStage(id, state.AttemptStalled)
	r.advance(targetStallFailoverDelay + 20*time.Millisecond)
	g.Expect(r.lastAttempt(id).Attempt).To(gomega.Equal(2))
	return g, r, id
}

// isCancelled reports whether an attempt was cancelled.
func (r *rig) isCancelled(id state.RequestID, attempt int) bool {
	for _, c := range r.cancels {
		if c == (state.CancelAttempt{Request: id, Attempt: attempt}) {
			return true
		}
	}
	return false
}

// expectNoLoad checks that no target counts a request as its load.
func (r *rig) expectNoLoad(g *gomega.WithT) {
	for id, t := range r.system.targets {
		g.Expect(t.load).To(gomega.Equal(state.TargetLoad{Target: id}))
		g.Expect(t.activeRequests).To(gomega.BeEmpty())
		g.Expect(t.stalledCount).To(gomega.BeZero())
	}
}

// endsOfReplacement are the ends of a second attempt that has delivered nothing.
var endsOfReplacement = map[string]state.AttemptEvent{
	"refused":       {Failure: state.FailureTargetRefused, Outcome: apierror.NotRun},
	"lost":          {Failure: state.FailureConnectionLost, Outcome: apierror.Unknown},
	"no connection": {Failure: state.FailureConnect, Outcome: apierror.NotRun},
	"held up":       {Failure: state.FailureDecisionExpired, Outcome: apierror.NotRun},
}

// TestSilentStreamOutlivesItsReplacement guards against a stream that ends because its
// second attempt fails, while the first one is only silent and would go on.
func TestSilentStreamOutlivesItsReplacement(t *testing.T) {
	for name, end := range endsOfReplacement {
		t.Run(name, func(t *testing.T) {
			g, r, id := silentStream(t)
			r.endAttemptOf(id, 2, end.Failure, end.Outcome)
			r.advance(500 * time.Millisecond)
			g.Expect(r.isCancelled(id, 1)).To(gomega.BeFalse(), "the silent attempt is cancelled")
			g.Expect(r.replyTo(id)).To(gomega.BeNil(), "the request ends while its first attempt has not")
			r.reportAttempt(id, 1, state.AttemptStallEnded)
			r.endAttemptOf(id, 1, state.FailureNone, apierror.Done)
			g.Expect(r.replyTo(id)).NotTo(gomega.BeNil())
			g.Expect(r.replyTo(id).Refusal).To(gomega.BeNil())
			r.expectNoLoad(g)
		})
	}
}

// TestSilentStreamThatGoesOnEndsItsReplacement guards against two attempts that both run
// on, and against a stream that is taken from a target although it delivers first.
func TestSilentStreamThatGoesOnEndsItsReplacement(t *testing.T) {
	g, r, id := silentStream(t)
	r.reportAttempt(id, 1, state.AttemptStallEnded)
	r.advance(10 * time.Millisecond)
	g.Expect(r.isCancelled(id, 2)).To(gomega.BeTrue(), "the replacement is not cancelled")
	g.Expect(r.isCancelled(id, 1)).To(gomega.BeFalse(), "the silent attempt is cancelled")
	r.endAttemptOf(id, 2, state.FailureCancelled, apierror.Unknown)
	g.Expect(r.replyTo(id)).To(gomega.BeNil())
	r.endAttemptOf(id, 1, state.FailureNone, apierror.Done)
	g.Expect(r.replyTo(id)).NotTo(gomega.BeNil())
	g.Expect(r.replyTo(id).Refusal).To(gomega.BeNil())
	r.expectNoLoad(g)
}

// TestReplacementThatDeliversEndsSilentStream guards against a silent attempt that holds
// its place at a target after the replacement has delivered an event.
func TestReplacementThatDeliversEndsSilentStream(t *testing.T) {
	g, r, id := silentStream(t)
	r.reportAttempt(id, 2, state.AttemptFirstByte)
	r.advance(10 * time.Millisecond)
	g.Expect(r.isCancelled(id, 1)).To(gomega.BeTrue())
	g.Expect(r.isCancelled(id, 2)).To(gomega.BeFalse())
	r.endAttemptOf(id, 1, state.FailureCancelled, apierror.Unknown)
	g.Expect(r.replyTo(id)).To(gomega.BeNil())
	r.endAttemptOf(id, 2, state.FailureNone, apierror.Done)
	g.Expect(r.replyTo(id)).NotTo(gomega.BeNil())
	g.Expect(r.replyTo(id).Refusal).To(gomega.BeNil())
	r.expectNoLoad(g)
}

// TestStreamWhoseAttemptsAllFailEndsOnce guards against a request that stays open, or gets
// two replies, after its silent attempt and the replacement have both failed, in either
// order.
func TestStreamWhoseAttemptsAllFailEndsOnce(t *testing.T) {
	for _, order := range [][2]int{{1, 2}, {2, 1}} {
		g, r, id := silentStream(t)
		for _, attempt := range order {
			r.endAttemptOf(id, attempt, state.FailureConnectionLost, apierror.Unknown)
		}
		r.advance(20 * time.Millisecond)
		g.Expect(r.replies).To(gomega.HaveLen(1))
		g.Expect(r.replyTo(id).Refusal.Outcome).To(gomega.Equal(apierror.Unknown))
		r.expectNoLoad(g)
	}
}

// TestEndOfRequestEndsBothAttempts guards against an attempt that holds its place at a
// target after the caller has left or the deadline has passed.
func TestEndOfRequestEndsBothAttempts(t *testing.T) {
	for name, end := range map[string]func(*rig, state.RequestID){
		"caller left": func(r *rig, id state.RequestID) { r.step(state.CallerDisconnected{Request: id}) },
		"deadline":    func(r *rig, _ state.RequestID) { r.advance(8 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			g, r, id := silentStream(t)
			end(r, id)
			g.Expect(r.replies).To(gomega.HaveLen(1))
			g.Expect(r.isCancelled(id, 1)).To(gomega.BeTrue())
			g.Expect(r.isCancelled(id, 2)).To(gomega.BeTrue())
			r.expectNoLoad(g)
		})
	}
}

// TestFailOverNeedsPlaceAtAnotherTarget guards against a silent stream that is taken from
// its target and then finds no place: the check for another target uses up the only
// request that a cold target may get now.
func TestFailOverNeedsPlaceAtAnotherTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 1)
	id := r.sendRequest("/a/", 10)
	r.reportStage(id, state.AttemptFirstByte)
	r.tables.Managed.PlatformConfig.Services[0].ColdRequestRate = 2
	r.putInstance("g1", engineService, state.Membership{Group: "G1", Epoch: 1, Phase: state.MemberOpen}).ColdRemaining = 10 * time.Second
	r.advance(600 * time.Millisecond)
	r.reportStage(id, state.AttemptStalled)
	for range 300 {
		r.advance(10 * time.Millisecond)
		g.Expect(r.replyTo(id)).To(gomega.BeNil(), "the request ends while its first attempt has not")
		g.Expect(r.isCancelled(id, 1) && r.lastAttempt(id).Attempt == 1).To(gomega.BeFalse(), "the only attempt is cancelled")
	}
}

// TestBegunStreamIsNotRefusedInQueue guards against a stream whose answer has begun and
// that is refused at once in the queue, because the latency objective, which ends with the
// first event, has passed.
func TestBegunStreamIsNotRefusedInQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 2)
	id := r.sendRequest("/a/", 10)
	first := r.lastAttempt(id).ExpectedInstance
	r.reportStage(id, state.AttemptFirstByte)
	r.advance(time.Second)
	var others []state.TargetLoad
	for _, target := range []state.HostID{"g0", "g1"} {
		if target != first {
			others = append(others, state.TargetLoad{Target: target, Running: 26})
		}
	}
	r.tables.Managed.PeerLoads["n2"] = others
	r.step(state.PeerMessage{From: "n2", Message: state.Message{PeerStatus: &state.PeerStatus{}}})
	r.endAttemptOf(id, 1, state.FailureConnectionLost, apierror.Unknown)
	r.advance(100 * time.Millisecond)
	g.Expect(r.replyTo(id)).To(gomega.BeNil(), "the begun stream is refused before a place can become free")
	r.tables.Managed.PeerLoads["n2"] = nil
	r.step(state.PeerMessage{From: "n2", Message: state.Message{PeerStatus: &state.PeerStatus{}}})
	g.Expect(r.lastAttempt(id).Attempt).To(gomega.Equal(2))
}

// TestBegunStreamsAreQueuedFirstAndNotForEver guards against begun streams that wait behind
// requests without an answer, and against one that is held after its caller has left.
func TestBegunStreamsAreQueuedFirstAndNotForEver(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 1)
	id := r.sendRequest("/a/", 10)
	r.reportStage(id, state.AttemptFirstByte)
	r.advance(time.Second)
	r.endAttemptOf(id, 1, state.FailureConnectionLost, apierror.Unknown)
	route := r.system.activeRequests[id].req.Route
	r.advance(abandonTime(route) - 20*time.Millisecond)
	g.Expect(r.replyTo(id)).To(gomega.BeNil())
	fresh := &activeRequest{objectiveEnd: r.now + time.Second}
	g.Expect(sortByUrgency(r.now, []*activeRequest{fresh, r.system.activeRequests[id]})[0].hasBegun()).To(gomega.BeTrue())
	r.advance(40 * time.Millisecond)
	g.Expect(r.replyTo(id)).NotTo(gomega.BeNil())
}

// withoutEngineService writes a configuration without the routes to the engine service and
// without the service.
func (r *rig) withoutEngineService() {
	config := platformConfig(2)
	config.Routes, config.Services = config.Routes[1:], config.Services[1:]
	r.tables.Managed.PlatformConfig = config
	r.tables.Managed.TargetInputsVersion++
}

// TestRemovedServiceKeepsItsStreams guards against a change of the configuration that ends
// a stream which runs, or is silent, at a service that the new one does not name.
func TestRemovedServiceKeepsItsStreams(t *testing.T) {
	for name, silent := range map[string]bool{"runs": false, "silent": true} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newRig(t, 2)
			id := r.sendRequest("/a/", 10)
			r.reportStage(id, state.AttemptFirstByte)
			if silent {
				r.reportStage(id, state.AttemptStalled)
			}
			r.withoutEngineService()
			r.advance(2 * time.Second)
			g.Expect(r.replies).To(gomega.BeEmpty())
			g.Expect(r.cancels).To(gomega.BeEmpty())
			r.endAttempt(id, state.FailureNone, apierror.Done)
			g.Expect(r.replyTo(id).Refusal).To(gomega.BeNil())
		})
	}
}

// TestRemovedServiceRefusesItsQueue guards against a queued request of a service that is
// gone and that is left without an answer, or refused as if it may have run.
func TestRemovedServiceRefusesItsQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 1)
	for range 26 {
		r.reportStage(r.sendRequest("/a/", 10), state.AttemptFirstByte)
	}
	queued := r.sendRequest("/a/", 10)
	g.Expect(r.replyTo(queued)).To(gomega.BeNil())
	r.withoutEngineService()
	r.advance(20 * time.Millisecond)
	g.Expect(r.replies).To(gomega.HaveLen(1))
	g.Expect(r.replyTo(queued).Refusal.Outcome).To(gomega.Equal(apierror.NotRun))
}
