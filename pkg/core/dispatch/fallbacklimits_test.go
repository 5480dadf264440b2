package dispatch

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// silentReplacement returns a rig whose route allows three attempts, and a stream that has
// begun and whose first two attempts are silent.
func silentReplacement(t *testing.T) (*gomega.WithT, *rig, state.RequestID) {
	g := gomega.NewWithT(t)
	r := newRig(t, 3)
	r.tables.Managed.PlatformConfig.Routes[0].MaxAttempts = 3
	id := r.sendRequest("/a/", 10)
	r.reportStage(id, state.AttemptFirstByte)
	r.reportStage(id, state.AttemptStalled)
	r.advance(targetStallFailoverDelay + 20*time.Millisecond)
	g.Expect(r.lastAttempt(id).Attempt).To(gomega.Equal(2))
	r.reportAttempt(id, 2, state.AttemptStalled)
	r.advance(targetStallFailoverDelay + 20*time.Millisecond)
	return g, r, id
}

// TestSilentReplacementLeavesFirstAttempt guards against a stream that ends without its
// answer because a silent replacement is replaced again: the attempt that has begun the
// answer is then neither cancelled nor known, and its events and its end are dropped.
func TestSilentReplacementLeavesFirstAttempt(t *testing.T) {
	g, r, id := silentReplacement(t)
	g.Expect(r.isCancelled(id, 1)).To(gomega.BeFalse(), "the attempt that has begun the answer is cancelled")
	r.reportAttempt(id, 1, state.AttemptStallEnded)
	g.Expect(r.isCancelled(id, 2)).To(gomega.BeTrue(), "the first replacement runs on beside the first attempt")
	r.endAttemptOf(id, 1, state.FailureNone, apierror.Done)
	g.Expect(r.replyTo(id)).NotTo(gomega.BeNil(), "the answer of the first attempt is dropped")
	g.Expect(r.replyTo(id).Refusal).To(gomega.BeNil())
	r.expectNoLoad(g)
}

// TestNoAttemptRunsUnknown guards against an attempt that runs on at its target, beside the
// one that has continued the answer, until the request ends.
func TestNoAttemptRunsUnknown(t *testing.T) {
	g, r, id := silentReplacement(t)
	last := r.lastAttempt(id).Attempt
	r.reportAttempt(id, last, state.AttemptFirstByte)
	for attempt := 1; attempt < last; attempt++ {
		g.Expect(r.isCancelled(id, attempt)).To(gomega.BeTrue(), "attempt %d runs on", attempt)
	}
}

// targetOf returns the target of an attempt.
func (r *rig) targetOf(id state.RequestID, attempt int) *target {
	for _, start := range r.starts {
		if start.Request == id && start.Attempt == attempt {
			return r.system.targets[start.ExpectedInstance]
		}
	}
	return nil
}

// TestSilentAttemptIsCountedAtItsTarget guards against a target that gets more requests than
// it has slots, since a silent attempt that stays open holds one.
func TestSilentAttemptIsCountedAtItsTarget(t *testing.T) {
	g, r, id := silentStream(t)
	g.Expect(r.targetOf(id, 1).inFlight()).To(gomega.Equal(1))
}

// TestResumedSilentStreamIsNoSignOfLife guards against a group that has lost a member and is
// not replaced: a silent attempt that is the running one again, after the stall report on its
// target has expired, counts as a stream that makes progress there.
func TestResumedSilentStreamIsNoSignOfLife(t *testing.T) {
	g, r, id := silentStream(t)
	first := r.targetOf(id, 1)
	r.advance(suspectHoldTime + 100*time.Millisecond)
	r.endAttemptOf(id, 2, state.FailureConnectionLost, apierror.Unknown)
	r.advance(100 * time.Millisecond)
	g.Expect(first.load.Running).To(gomega.Equal(1))
	g.Expect(r.tables.Managed.StalledTargets).To(gomega.HaveKey(first.id))
}

// TestExpiredDecisionUsesNoAttempt guards against a begun stream that is cut because this
// process was short of CPU time: an attempt that was not sent has reached no target, and
// does not count among those that the route allows.
func TestExpiredDecisionUsesNoAttempt(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 3)
	id := r.sendRequest("/a/", 10)
	r.reportStage(id, state.AttemptFirstByte)
	r.endAttemptOf(id, 1, state.FailureConnectionLost, apierror.Unknown)
	g.Expect(r.lastAttempt(id).Attempt).To(gomega.Equal(2))
	r.endAttemptOf(id, 2, state.FailureDecisionExpired, apierror.NotRun)
	r.advance(20 * time.Millisecond)
	g.Expect(r.replyTo(id)).To(gomega.BeNil(), "the begun stream is refused")
	g.Expect(r.lastAttempt(id).Attempt).To(gomega.Equal(3))
}

// TestBegunStreamWaitsForAvoidedTarget guards against a stream whose answer has begun and
// that is refused at once because no other target is available for half a second.
func TestBegunStreamWaitsForAvoidedTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 2)
	id := r.sendRequest("/a/", 10)
	r.reportStage(id, state.AttemptFirstByte)
	for _, target := range r.system.targets {
		if target.engine != nil {
			target.avoidUntil = r.now + failureAvoidTime
		}
	}
	r.endAttemptOf(id, 1, state.FailureConnectionLost, apierror.Unknown)
	r.advance(failureAvoidTime + 20*time.Millisecond)
	g.Expect(r.replyTo(id)).To(gomega.BeNil(), "the begun stream is refused before a place can become free")
	g.Expect(r.lastAttempt(id).Attempt).To(gomega.Equal(2))
}

// TestSilentStreamMovesOnceBudgetAllows guards against a stream at a dead target that is
// never moved, because the retry budget was used up when its failover was due.
func TestSilentStreamMovesOnceBudgetAllows(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 2)
	id := r.sendRequest("/a/", 10)
	r.reportStage(id, state.AttemptFirstByte)
	r.tables.Self.RetryBase = -1000
	r.reportStage(id, state.AttemptStalled)
	r.advance(targetStallFailoverDelay + 20*time.Millisecond)
	g.Expect(r.lastAttempt(id).Attempt).To(gomega.Equal(1))
	r.tables.Self.RetryBase = 130
	r.advance(time.Second)
	g.Expect(r.lastAttempt(id).Attempt).To(gomega.Equal(2))
}
