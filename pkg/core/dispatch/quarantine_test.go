package dispatch

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	firstPart  = state.PromptPartID(0xa1)
	faultyPart = state.PromptPartID(0xfa)
)

// beginningTime is how long an answer counts as beginning after its first event.
const beginningTime = 100 * time.Millisecond

var faultyTrait = state.Trait{Kind: state.PromptPartTrait, ID: uint64(faultyPart)}

// crash feeds the loss of the connection of the last attempt of a request after the head
// of its answer.
func (r *rig) crash(id state.RequestID) {
	r.advance(50 * time.Millisecond)
	r.step(state.AttemptEvent{
		Request: id, Attempt: r.lastAttempt(id).Attempt, Stage: state.AttemptEnded, Failure: state.FailureConnectionLost, Outcome: apierror.Unknown, Status: 200,
	})
}

// reportCrash feeds a crash that a peer has seen, at another moment than the last one.
func (r *rig) reportCrash(host string) {
	r.advance(beginningTime)
	r.step(state.PeerMessage{From: "n2", Message: state.Message{TraitReport: &state.TraitReport{
		Crashes: []state.TraitCrash{{Trait: faultyTrait, Host: state.HostID(host), StartID: 1}},
	}}})
}

// quarantinePart reports as many crashes as put a part into quarantine.
func (r *rig) quarantinePart() {
	for _, host := range []string{"x1", "x2", "x3"} {
		r.reportCrash(host)
	}
}

func expectQuarantined(g *gomega.WithT, reply *state.Reply, outcome apierror.Outcome) {
	g.ExpectWithOffset(1, reply).NotTo(gomega.BeNil())
	g.ExpectWithOffset(1, reply.Refusal).NotTo(gomega.BeNil())
	g.ExpectWithOffset(1, reply.Refusal.Code).To(gomega.Equal("prompt_part_quarantined"))
	g.ExpectWithOffset(1, reply.Refusal.Outcome).To(gomega.Equal(outcome))
	g.ExpectWithOffset(1, reply.Refusal.Kind).To(gomega.Equal(apierror.KindUnavailable))
}

// quarantineStartedPart does the same for a part of which a request has events, for
// which the crashes alone are not enough.
func (r *rig) quarantineStartedPart() {
	r.quarantinePart()
	r.tables.Managed.Quarantined[faultyTrait] = r.now + 10*time.Minute
	r.tables.Managed.QuarantineVersion++
	r.step(state.Tick{})
}

// TestPartThatEndsTargetsReachesNoMore guards against a part that ends one target after
// another, by new requests and by repeats, at any node. With the mechanism switched off
// the fourth target gets a request.
func TestPartThatEndsTargetsReachesNoMore(t *testing.T) {
	for _, off := range []bool{false, true} {
		g := gomega.NewWithT(t)
		r := newRig(t, 6)
		r.tables.Switches.IgnoreQuarantine = off
		targets := map[state.TargetID]bool{}
		for range 6 {
			id := r.sendRequestWithParts("/a/", 10, firstPart, faultyPart)
			for r.replyTo(id) == nil {
				attempt := r.lastAttempt(id)
				targets[attempt.Target] = true
				r.putInstance(string(attempt.Target), engineService, state.Membership{}).Draining = true
				r.crash(id)
			}
			r.advance(100 * time.Millisecond)
			sound := r.sendRequestWithParts("/a/", 10, firstPart)
			if r.replyTo(sound) == nil {
				r.reportStage(sound, state.AttemptFirstByte)
			}
		}
		if off {
			g.Expect(len(targets)).To(gomega.BeNumerically(">", 3))
			continue
		}
		g.Expect(targets).To(gomega.HaveLen(3))
		expectQuarantined(g, &r.replies[len(r.replies)-1], apierror.NotRun)
	}
}

// TestQuarantinedRequestIsRefusedAtOnce guards against a request with a part in
// quarantine that is run or waits, against the refusal of a sound request with the same
// account and first part or to a plain service, and against callers that return before
// the review.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 2)
	r.quarantinePart()
	refused := r.sendRequestWithParts("/a/", 10, firstPart, faultyPart)
	expectQuarantined(g, r.replyTo(refused), apierror.NotRun)
	g.Expect(r.replyTo(refused).Refusal.RetryAfter).To(gomega.Equal(10 * time.Minute))
	g.Expect(r.starts).To(gomega.BeEmpty())
	g.Expect(r.lastAttempt(r.sendRequestWithParts("/a/", 10, firstPart, 0xb2))).NotTo(gomega.BeNil())
	g.Expect(r.lastAttempt(r.sendRequestWithParts("/l/x", 0, faultyPart))).NotTo(gomega.BeNil())
}

// TestQuarantineEndsOpenRequests guards against requests with the part that are queued or
// wait at a target when it is put into quarantine, against a refusal as not run of one
// that may have run, and against the end of one that has events.
func TestQuarantineEndsOpenRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 1)
	waiting, begun := r.sendRequestWithParts("/a/", 10, firstPart, faultyPart), r.sendRequestWithParts("/a/", 10, firstPart, faultyPart)
	sound := r.sendRequestWithParts("/a/", 10, firstPart)
	r.reportStage(begun, state.AttemptFirstByte)
	for range 23 {
		r.sendRequest("/a/", 10)
	}
	queued := r.sendRequestWithParts("/a/", 10, faultyPart)
	next := r.sendRequest("/a/", 10)
	g.Expect(r.lastAttempt(queued)).To(gomega.BeNil())
	r.quarantineStartedPart()
	expectQuarantined(g, r.replyTo(queued), apierror.NotRun)
	expectQuarantined(g, r.replyTo(waiting), apierror.Unknown)
	g.Expect(r.cancels).To(gomega.Equal([]state.CancelAttempt{{Request: waiting, Attempt: 1}}))
	for _, id := range []state.RequestID{begun, sound} {
		g.Expect(r.replyTo(id)).To(gomega.BeNil())
	}
	g.Expect(r.lastAttempt(next)).NotTo(gomega.BeNil(), "the free slot goes to the next request")
	// The end of the cancelled attempt changes nothing.
	r.step(state.AttemptEvent{Request: waiting, Attempt: 1, Stage: state.AttemptEnded, Failure: state.FailureCancelled, Outcome: apierror.Unknown})
	g.Expect(r.lastAttempt(waiting).Attempt).To(gomega.Equal(1))
}

// TestQuarantinedRequestIsNotRepeated guards against a repeat of a request whose part is
// in quarantine after its attempt was lost, was refused or fell silent.
func TestQuarantinedRequestIsNotRepeated(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, failure := range []state.AttemptFailure{state.FailureConnectionLost, state.FailureTargetRefused} {
		r := newRig(t, 3)
		r.reportCrash("x1")
		r.reportCrash("x2")
		id := r.sendRequestWithParts("/a/", 10, faultyPart)
		outcome := apierror.Unknown
		if failure == state.FailureTargetRefused {
			outcome = apierror.NotRun
			r.reportCrash("x3")
		} else {
			r.crash(id)
		}
		if r.replyTo(id) == nil {
			r.endAttempt(id, failure, outcome)
		}
		expectQuarantined(g, r.replyTo(id), apierror.Unknown)
		g.Expect(r.lastAttempt(id).Attempt).To(gomega.Equal(1))
	}
	// A stream with events falls silent after the part was put into quarantine.
	r := newRig(t, 3)
	id := r.sendRequestWithParts("/a/", 10, faultyPart)
	r.reportStage(id, state.AttemptFirstByte)
	r.advance(beginningTime)
	r.quarantineStartedPart()
	r.reportStage(id, state.AttemptStalled)
	r.advance(2 * time.Second)
	g.Expect(r.lastAttempt(id).Attempt).To(gomega.Equal(1))
}

// TestLostRequestIsRepeatedBeforeQuarantine guards against sound requests that are not
// repeated because their target ended by chance at the beginning of their answer, and
// against evidence that their start does not clear.
func TestLostRequestIsRepeatedBeforeQuarantine(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 3)
	for range 5 {
		id := r.sendRequestWithParts("/a/", 10, firstPart, 0xb2)
		r.crash(id)
		g.Expect(r.lastAttempt(id).Attempt).To(gomega.Equal(2))
		r.reportStage(id, state.AttemptFirstByte)
		r.endAttempt(id, state.FailureNone, apierror.Done)
		r.advance(time.Second)
	}
	g.Expect(r.tables.Managed.Quarantined).To(gomega.BeEmpty())
}

// TestEndSeenByTwoNodesCountsOnce guards against a quarantine after the end of two
// processes, because two nodes had a request with the part at one of them.
func TestEndSeenByTwoNodesCountsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 1)
	r.reportCrash("x1")
	id := r.sendRequestWithParts("/a/", 10, faultyPart)
	r.reportCrash(string(r.lastAttempt(id).Target))
	r.crash(id)
	g.Expect(r.tables.Managed.Quarantined).To(gomega.BeEmpty())
	r.reportCrash("x2")
	g.Expect(r.tables.Managed.Quarantined).To(gomega.HaveKey(faultyTrait))
}

// TestEndOfSilentAttemptCounts guards against the end of a target that goes unnoticed, and
// against a start that does, because another attempt of the request runs meanwhile.
func TestEndOfSilentAttemptCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 2)
	r.reportCrash("x1")
	r.reportCrash("x2")
	id := r.sendRequestWithParts("/a/", 10, faultyPart)
	r.reportStage(id, state.AttemptStalled)
	g.Expect(r.lastAttempt(id).Attempt).To(gomega.Equal(2))
	r.advance(50 * time.Millisecond)
	r.step(state.AttemptEvent{
		Request: id, Attempt: 1, Stage: state.AttemptEnded, Failure: state.FailureConnectionLost, Outcome: apierror.Unknown, Status: 200,
	})
	expectQuarantined(g, r.replyTo(id), apierror.Unknown)

	r = newRig(t, 2)
	r.reportCrash("x1")
	r.reportCrash("x2")
	id = r.sendRequestWithParts("/a/", 10, faultyPart)
	r.reportStage(id, state.AttemptStalled)
	r.reportAttempt(id, 1, state.AttemptFirstByte)
	r.advance(beginningTime)
	r.step(state.AttemptEvent{Request: id, Attempt: 1, Stage: state.AttemptEnded, Outcome: apierror.Done, Status: 200, EventCount: 5, AnswerStarted: true})
	r.reportCrash("x3")
	g.Expect(r.tables.Managed.Quarantined).To(gomega.BeEmpty())
}

// TestAnswerReleasesPart guards against a part that stays refused although a peer saw a whole answer,
// and against one that is released by a request which was sent before it became faulty.
func TestAnswerReleasesPart(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 2)
	id := r.sendRequestWithParts("/a/", 10, faultyPart)
	r.reportStage(id, state.AttemptFirstByte)
	r.advance(beginningTime)
	r.quarantinePart()
	r.endAttempt(id, state.FailureNone, apierror.Done)
	expectQuarantined(g, r.replyTo(r.sendRequestWithParts("/a/", 10, faultyPart)), apierror.NotRun)
	r.step(state.PeerMessage{From: "n2", Message: state.Message{TraitReport: &state.TraitReport{
		Crashes: []state.TraitCrash{{Trait: faultyTrait, Host: "x1", StartID: 1, Cleared: true}},
	}}})
	g.Expect(r.lastAttempt(r.sendRequestWithParts("/a/", 10, faultyPart))).NotTo(gomega.BeNil())
}
