package quarantine

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// lift feeds a command that lifts the quarantine of a trait.
func (f *fleet) lift(i int, trait state.Trait) {
	f.step(i, state.OperatorCommand{ID: 7, Operator: "ann", Action: state.ActionLift, Trait: trait, AtUnixMilli: 5})
}

// answer feeds the answer to the last store request of a node.
func (f *fleet) answer(i int, result state.StoreResult, rows ...state.StoreRow) {
	f.step(i, state.StoreReply{ID: f.lastRequest.ID, Result: result, Rows: rows})
}

func headRow(version state.Version, revision uint64) state.StoreRow {
	return state.StoreRow{Key: state.KeyHead, Revision: revision, Value: state.Encode(state.Head{Version: version})}
}

// auditRecord returns the audit record that the last store request of a node writes.
func (f *fleet) auditRecord(g *gomega.WithT) state.AuditRecord {
	var record state.AuditRecord
	g.ExpectWithOffset(1, f.lastRequest.Transact).NotTo(gomega.BeNil())
	g.ExpectWithOffset(1, state.Decode(f.lastRequest.Transact.Writes[1].Value, &record)).To(gomega.Succeed())
	return record
}

// quarantined returns a fleet that has put the faulty trait into quarantine.
func quarantined(g *gomega.WithT) *fleet {
	f := newFleet(3)
	for i := range minCrashes {
		f.attempt(0, i, crashed, faulty)
	}
	f.expectQuarantined(g, true)
	return f
}

// TestOperatorLiftsQuarantine guards against a lift that some nodes do not learn of, that a row
// or a restart undoes, or that leaves no audit record.
func TestOperatorLiftsQuarantine(t *testing.T) {
	g := gomega.NewWithT(t)
	f := quarantined(g)
	f.lift(1, faulty)
	g.Expect(f.lastRequest.Read).To(gomega.Equal([]string{state.KeyHead}))
	f.answer(1, state.StoreOK, headRow(4, 90))
	g.Expect(f.lastRequest.Transact.Conditions).To(gomega.Equal([]state.Condition{{Key: state.KeyHead, Revision: 90}}))
	g.Expect(f.lastRequest.Transact.Writes).To(gomega.ContainElement(state.Write{Key: state.QuarantineKey(faulty)}))
	g.Expect(f.lastRequest.Transact.Writes[1].Key).To(gomega.Equal(state.KeyAudit(5)))
	record := f.auditRecord(g)
	g.Expect(record.Op).NotTo(gomega.BeEmpty())
	record.Op = ""
	g.Expect(record).To(gomega.Equal(state.AuditRecord{Version: 5, Operator: "ann", Action: "lift", Before: faulty.Name() + " in quarantine", AtUnixMilli: 5}))
	f.expectQuarantined(g, true)
	f.answer(1, state.StoreOK)
	f.expectQuarantined(g, false)
	g.Expect(f.replies).To(gomega.HaveLen(1))
	g.Expect(f.replies[0].Error).To(gomega.BeNil())
	g.Expect(f.replies[0].Version).To(gomega.Equal(state.Version(5)))
	g.Expect(f.nodes[1].events).To(gomega.ContainElement(event.QuarantineLifted))
	// The targets still end with the trait.
	for i := range minCrashes {
		f.attempt(2, 10+i, crashed, faulty)
	}
	f.expectQuarantined(g, true)
}

// TestLiftWithoutAnAnswer guards against a lift that is recorded twice or not at all after the
// answer of the store was lost, and against a concurrent change that it overwrites.
func TestLiftWithoutAnAnswer(t *testing.T) {
	for name, takesEffect := range map[string]bool{"written": true, "not written": false} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := quarantined(g)
			f.lift(0, faulty)
			f.answer(0, state.StoreOK)
			g.Expect(f.auditRecord(g).Version).To(gomega.Equal(state.Version(1)))
			f.answer(0, state.StoreConflict, headRow(1, 91))
			f.answer(0, state.StoreOK, headRow(1, 91))
			record := f.auditRecord(g)
			g.Expect(record.Version).To(gomega.Equal(state.Version(2)))
			f.answer(0, state.StoreUnknown)
			g.Expect(f.lastRequest.Read).To(gomega.Equal([]string{state.KeyHead, state.KeyAudit(2)}))
			f.answer(0, state.StoreUnavailable)
			g.Expect(f.replies).To(gomega.BeEmpty())
			if takesEffect {
				// Another change has come since.
				f.answer(0, state.StoreOK, headRow(3, 95), state.StoreRow{Key: state.KeyAudit(2), Revision: 92, Value: state.Encode(record)})
			} else {
				f.answer(0, state.StoreOK, headRow(1, 91))
				g.Expect(f.auditRecord(g)).To(gomega.Equal(record))
				f.answer(0, state.StoreOK)
			}
			g.Expect(f.replies).To(gomega.HaveLen(1))
			g.Expect(f.replies[0].Version).To(gomega.Equal(state.Version(2)))
			f.expectQuarantined(g, false)
		})
	}
}

// TestLiftIsRefused guards against a lift that changes something although it is refused, and
// against one that waits for a store that does not answer.
func TestLiftIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	f := quarantined(g)
	f.lift(0, first)
	g.Expect(f.replies[0].Error.Code).To(gomega.Equal("not_quarantined"))
	f.lift(0, faulty)
	f.lift(0, faulty)
	g.Expect(f.replies[1].Error.Code).To(gomega.Equal("lift_in_progress"))
	f.answer(0, state.StoreUnavailable)
	g.Expect(f.replies[2].Error.Kind).To(gomega.Equal(apierror.KindStoreDown))
	g.Expect(f.replies[2].Error.Outcome).To(gomega.Equal(apierror.NotRun))
	f.lift(0, faulty)
	for range maxLiftReads {
		f.answer(0, state.StoreOK)
		f.answer(0, state.StoreUnknown)
	}
	g.Expect(f.replies).To(gomega.HaveLen(4))
	g.Expect(f.replies[3].Error.Outcome).To(gomega.Equal(apierror.Unknown))
	f.expectQuarantined(g, true)
	f.lift(0, faulty)
	f.now += liftTimeout
	f.lift(0, faulty)
	g.Expect(f.replies).To(gomega.HaveLen(4), "the store has not answered the first one in time")
}
