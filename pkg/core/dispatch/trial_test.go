package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// reviewTime is the time from the last crash of a part to its next trial.
const reviewTime = 10 * time.Minute

// registerNodes registers this node, n1, and others.
func (r *rig) registerNodes(others ...state.NodeID) {
	for _, id := range append([]state.NodeID{"n1"}, others...) {
		r.tables.Managed.Nodes.Put(id, &state.RegisteredNode{Entry: state.NodeEntry{ID: id}})
	}
}

// arriveEachSecond sends a request with the faulty part each second, and returns those that
// were sent to a target with the time of their arrival.
func (r *rig) arriveEachSecond(duration time.Duration, served func(id state.RequestID)) []time.Duration {
	var tried []time.Duration
	for end := r.now + duration; r.now < end; r.advance(time.Second) {
		starts := len(r.starts)
		id := r.sendRequestWithParts("/a/", 10, firstPart, faultyPart)
		if len(r.starts) > starts {
			tried = append(tried, r.now)
			served(id)
		}
	}
	return tried
}

// TestQuarantineIsTriedWhileRequestsArrive guards against a sound part, or one whose targets have
// been mended, that is refused for as long as requests with it arrive.
func TestQuarantineIsTriedWhileRequestsArrive(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 3)
	r.registerNodes()
	r.quarantinePart()
	begun := r.now
	served := 0
	tried := r.arriveEachSecond(reviewTime+time.Minute, func(id state.RequestID) {
		served++
		r.reportStage(id, state.AttemptFirstByte)
		r.endAttempt(id, state.FailureNone, apierror.Done)
	})
	g.Expect(r.tables.Managed.Quarantined).To(gomega.BeEmpty())
	g.Expect(tried[0] - begun).To(gomega.BeNumerically("~", reviewTime, 2*time.Second))
	g.Expect(served).To(gomega.BeNumerically(">=", 59))
}

// TestFaultyPartIsTriedAtBoundedRate guards against a trial that ends more than one target, and
// against trials more often than once in the review time.
func TestFaultyPartIsTriedAtBoundedRate(t *testing.T) {
	for name, lose := range map[string]func(r *rig, id state.RequestID){
		"crash after the head": (*rig).crash,
		"loss before the head": func(r *rig, id state.RequestID) { r.endAttempt(id, state.FailureConnectionLost, apierror.Unknown) },
		"crash at the first event": func(r *rig, id state.RequestID) {
			r.reportStage(id, state.AttemptFirstByte)
			r.step(state.AttemptEvent{
				Request: id, Attempt: 1, Stage: state.AttemptEnded, Failure: state.FailureConnectionLost, Outcome: apierror.Unknown, Status: 200, EventCount: 1, AnswerStarted: true,
			})
		},
		"silence": func(r *rig, id state.RequestID) {
			r.reportStage(id, state.AttemptStalled)
			r.advance(time.Second)
			r.crash(id)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newRig(t, 6)
			r.registerNodes("n0")
			r.quarantinePart()
			starts := 0
			tried := r.arriveEachSecond(time.Hour, func(id state.RequestID) {
				starts++
				lose(r, id)
				r.restartTargets()
			})
			g.Expect(r.starts).To(gomega.HaveLen(len(tried)), "one attempt for each trial")
			g.Expect(tried).NotTo(gomega.BeEmpty())
			if name == "loss before the head" {
				// Without evidence of an end only the turn of this node has passed.
				g.Expect(gaps(tried)).To(gomega.HaveEach(gomega.BeNumerically(">=", 2*trialSlot-time.Second)))
				return
			}
			g.Expect(gaps(tried)).To(gomega.HaveEach(gomega.BeNumerically(">=", reviewTime)))
		})
	}
}

// gaps returns the times between consecutive times.
func gaps(times []time.Duration) []time.Duration {
	gaps := []time.Duration{reviewTime}
	for i := 1; i < len(times); i++ {
		gaps = append(gaps, times[i]-times[i-1])
	}
	return gaps
}

// restartTargets replaces the process of each group by a new one.
func (r *rig) restartTargets() {
	for _, id := range slices.Clone(r.tables.Managed.Instances.Keys()) {
		if old := r.tables.Managed.Instances.Get(id); old.Service == engineService {
			r.putInstance(string(id), engineService, old.Membership).StartID = old.StartID + 1
		}
	}
}

// TestNodesTryInTurn guards against nodes that try a part at the same time, of which each would
// end a target, and against a Retry-After time before which no node tries it.
func TestNodesTryInTurn(t *testing.T) {
	g := gomega.NewWithT(t)
	all := []state.NodeID{"n0", "n1", "n2"}
	turns := map[time.Duration][]state.NodeID{}
	for _, self := range all {
		r := newRig(t, 3)
		r.tables.Self.ID = self
		for _, id := range all {
			r.tables.Managed.Nodes.Put(id, &state.RegisteredNode{Entry: state.NodeEntry{ID: id}})
		}
		r.quarantinePart()
		due := r.tables.Managed.Quarantined[faultyTrait]
		for at := due; at < due+6*trialSlot; at += time.Second {
			next := r.system.nextTrialAt(at, faultyTrait)
			g.Expect(next).To(gomega.BeNumerically(">=", at))
			if next == at {
				turns[at] = append(turns[at], self)
			}
		}
	}
	g.Expect(turns).To(gomega.HaveLen(int(6 * trialSlot / time.Second)))
	for _, nodes := range turns {
		g.Expect(nodes).To(gomega.HaveLen(1))
	}
}

// TestTraitOnProbationIsTriedAtOnce guards against a sound part that is refused for minutes although
// the verdict on it was in doubt.
func TestTraitOnProbationIsTriedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 3)
	r.registerNodes("n0", "n2")
	r.quarantinePart()
	r.tables.Managed.Quarantined[faultyTrait], r.tables.Managed.Probation[faultyTrait] = r.now, r.now
	tried := r.arriveEachSecond(6*probationSlot, func(id state.RequestID) { r.cancelAttempt(id) })
	g.Expect(tried).To(gomega.HaveLen(2), "once in each turn of this node")
	g.Expect(gaps(tried)[1]).To(gomega.Equal(3 * probationSlot))
}

// cancelAttempt ends the last attempt of a request without evidence.
func (r *rig) cancelAttempt(id state.RequestID) {
	r.step(state.AttemptEvent{Request: id, Attempt: r.lastAttempt(id).Attempt, Stage: state.AttemptEnded, Failure: state.FailureCancelled, Outcome: apierror.Unknown})
}

// TestTrialEndsWithAnotherCrash guards against a trial that goes on, and may end its target, after
// the trial of another node has shown that the part still does so.
func TestTrialEndsWithAnotherCrash(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t, 3)
	r.registerNodes()
	r.quarantinePart()
	r.advance(reviewTime)
	id := r.sendRequestWithParts("/a/", 10, firstPart, faultyPart)
	g.Expect(r.lastAttempt(id)).NotTo(gomega.BeNil())
	r.tables.Managed.QuarantineVersion++
	r.step(state.Tick{})
	g.Expect(r.replyTo(id)).To(gomega.BeNil(), "the quarantine of another part changes nothing")
	r.reportCrash("x9")
	r.step(state.Tick{})
	expectQuarantined(g, r.replyTo(id), apierror.Unknown)
}
