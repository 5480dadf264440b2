package inventory

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// answer feeds an answer of process 1 of i1 to a request that was sent at sentAt. A
// negative rate stands for an answer without a limit.
func (r *rig) answer(rate float64, sentAt time.Duration) {
	limit := state.LimitStatement{Named: true, Rate: rate}
	if rate < 0 {
		limit = state.LimitStatement{None: true}
	}
	r.step(state.TargetNotice{Host: "i1", StartID: 1, Limit: limit, SentAt: sentAt})
}

// limitReports returns the reports on limits that were sent to the peer since the last call.
func (r *rig) limitReports() []state.TargetLimit {
	var limits []state.TargetLimit
	for _, m := range r.messagesTo("n01") {
		if m.TargetLimitReport != nil {
			limits = append(limits, m.TargetLimitReport.Limits...)
		}
	}
	r.outputs = nil
	return limits
}

func newLimitRig() *rig {
	r := newRig("n00", 2)
	r.step(state.PeerLinkChanged{Peer: "n01", Up: true})
	r.feedChanges(state.InstanceTable, 120, processRow("i1", 1, 120, nil))
	r.outputs = nil
	return r
}

func (r *rig) receiveLimit(limit state.TargetLimit) {
	r.step(state.PeerMessage{From: "n01", Message: state.Message{TargetLimitReport: &state.TargetLimitReport{Limits: []state.TargetLimit{limit}}}})
}

// TestAnswerBeforeTheLimitDoesNotEndIt guards against the end of a limit by an answer that
// the target gave before it, or that only a report or an order was answered with.
func TestAnswerBeforeTheLimitDoesNotEndIt(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newLimitRig()
	sentBefore := r.now
	r.advance(100 * time.Millisecond)
	r.answer(3.6, r.now)
	r.answer(-1, sentBefore)
	r.step(state.HostReport{Host: "i1", OK: true, Notice: state.TargetNotice{Host: "i1", StartID: 1}})
	g.Expect(r.managed.TargetLimits).To(gomega.HaveKey(state.HostID("i1")))
	r.advance(100 * time.Millisecond)
	r.answer(-1, r.now)
	g.Expect(r.managed.TargetLimits).To(gomega.BeEmpty())
	g.Expect(r.limitReports()).To(gomega.ContainElement(state.TargetLimit{Host: "i1", StartID: 1, Ended: true}))
}

// TestReportOfHostNamesLimit guards against a limit that is overlooked because only the
// answer to a report or an order names it.
func TestReportOfHostNamesLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newLimitRig()
	r.step(state.HostOrderResult{Host: "i1", Notice: state.TargetNotice{Host: "i1", StartID: 1, Limit: state.LimitStatement{Named: true, Rate: 2}}})
	rate, limited := r.managed.Limit("i1", 1)
	g.Expect(limited).To(gomega.BeTrue())
	g.Expect(rate).To(gomega.Equal(2.0))
}

// TestLimitIsReportedOnceAPeriod guards against reports for each answer, by each node, and
// against peers that keep an old limit.
func TestLimitIsReportedOnceAPeriod(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newLimitRig()
	for range 40 {
		r.answer(3.6, r.now)
		r.advance(100 * time.Millisecond)
	}
	g.Expect(r.limitReports()).To(gomega.HaveLen(2), "in 4 s")
	r.answer(3.7, r.now)
	g.Expect(r.limitReports()).To(gomega.BeEmpty(), "a small change")
	r.answer(1.8, r.now)
	g.Expect(r.limitReports()).To(gomega.HaveLen(1), "half of the limit")
	r.advance(time.Second)
	r.receiveLimit(state.TargetLimit{Host: "i1", StartID: 1, Rate: 1.8})
	r.advance(2 * time.Second)
	r.answer(1.8, r.now)
	g.Expect(r.limitReports()).To(gomega.BeEmpty(), "a peer has reported it")
}

// TestPeersLearnOfLimits guards against peers that do not know a limit, also those whose
// link was down when it was named, and against a late report that brings an old limit back.
func TestPeersLearnOfLimits(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newLimitRig()
	r.receiveLimit(state.TargetLimit{Host: "i1", StartID: 1, Rate: 3.6})
	rate, limited := r.managed.Limit("i1", 1)
	g.Expect(limited).To(gomega.BeTrue())
	g.Expect(rate).To(gomega.Equal(3.6))
	r.advance(500 * time.Millisecond)
	r.outputs = nil
	r.step(state.PeerLinkChanged{Peer: "n01", Up: true})
	g.Expect(r.limitReports()).To(gomega.Equal([]state.TargetLimit{{Host: "i1", StartID: 1, Rate: 3.6, Age: 500 * time.Millisecond, ConfirmedAt: r.now - 500*time.Millisecond}}))
	r.answer(1.2, r.now)
	r.receiveLimit(state.TargetLimit{Host: "i1", StartID: 1, Rate: 3.6, Age: 200 * time.Millisecond})
	rate, _ = r.managed.Limit("i1", 1)
	g.Expect(rate).To(gomega.Equal(1.2))
	for _, invalid := range []float64{-1, math.NaN()} {
		r.receiveLimit(state.TargetLimit{Host: "i1", StartID: 1, Rate: invalid})
		rate, _ = r.managed.Limit("i1", 1)
		g.Expect(rate).To(gomega.Equal(1.2))
	}
	r.receiveLimit(state.TargetLimit{Host: "i1", StartID: 1, Ended: true})
	g.Expect(r.managed.TargetLimits).To(gomega.BeEmpty())
}

// TestLimitEndsWithItsProcess guards against a limit that outlives its process, or that no
// answer has confirmed for a long time.
func TestLimitEndsWithItsProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newLimitRig()
	r.answer(3.6, r.now)
	r.feedChanges(state.InstanceTable, 140, processRow("i1", 2, 140, nil))
	_, limited := r.managed.Limit("i1", 2)
	g.Expect(limited).To(gomega.BeFalse())
	r.advance(2 * departurePurgePeriod)
	g.Expect(r.managed.TargetLimits).To(gomega.BeEmpty())

	r = newLimitRig()
	r.answer(3.6, r.now)
	r.advance(limitRetention)
	g.Expect(r.managed.TargetLimits).NotTo(gomega.BeEmpty())
	r.advance(2 * departurePurgePeriod)
	g.Expect(r.managed.TargetLimits).To(gomega.BeEmpty())
}
