package quarantine

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// holdLease makes a node the holder of the formation lease.
func (f *fleet) holdLease(i int) {
	f.nodes[i].tables.Leases.Put(state.FormationLeaseName, &state.Lease{ValidUntil: f.now + time.Hour})
}

// tick feeds a tick to a node after a second, and returns the transactions that it sends.
func (f *fleet) tick(i int) []state.Transaction {
	f.now += time.Second
	f.transactions = nil
	f.step(i, state.Tick{})
	var own []state.Transaction
	for _, t := range f.transactions {
		if len(t.Conditions) > 0 {
			own = append(own, t)
		}
	}
	return own
}

// feedRow feeds a row of a quarantine, or its removal, to a node.
func (f *fleet) feedRow(i int, key string, revision uint64, row *state.QuarantineRow) {
	f.step(i, state.TableUpdate{Table: state.NodeTable, Revision: revision, SentAt: f.now, Rows: []state.RowUpdate{
		{Key: key, Revision: revision, Removed: row == nil, Quarantine: row},
	}})
}

// TestHolderOfTheLeaseKeepsRowsOfQuarantines guards against a quarantine that all nodes
// forget if they end at the same moment, and against rows that each node writes, that stay
// after the evidence has turned out to be wrong, or that a restored store has lost.
func TestHolderOfTheLeaseKeepsRowsOfQuarantines(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(3)
	f.holdLease(1)
	g.Expect(f.tick(1)).To(gomega.BeEmpty())
	for i := range minCrashes {
		f.attempt(0, i, crashed, faulty)
	}
	key := state.QuarantineKey(faulty)
	g.Expect(f.tick(0)).To(gomega.BeEmpty(), "not the holder")
	written := f.tick(1)
	g.Expect(written).To(gomega.HaveLen(1))
	g.Expect(written[0].Conditions).To(gomega.Equal([]state.Condition{{Key: key}}))
	var row state.QuarantineRow
	g.Expect(state.Decode(written[0].Writes[0].Value, &row)).To(gomega.Succeed())
	g.Expect(row.Crashes).To(gomega.HaveLen(minCrashes))
	f.feedRow(1, key, 200, &row)
	g.Expect(f.tick(1)).To(gomega.BeEmpty(), "the row exists")

	// All nodes start again, and the table is all that they have.
	for i := range f.nodes {
		f.stop(i)
	}
	for i := range f.nodes {
		f.nodes[i] = f.newNode(i)
		f.learnNodes(i)
		f.feedRow(i, key, 200, &row)
	}
	f.link()
	f.expectQuarantined(g, true)

	// A snapshot without the row releases nothing, and the row is written again.
	f.holdLease(2)
	f.learnNodesAt(2, 300)
	f.expectQuarantined(g, true)
	written = f.tick(2)
	g.Expect(written).To(gomega.HaveLen(1))
	g.Expect(written[0].Writes[0].Value).NotTo(gomega.BeEmpty())
	f.feedRow(2, key, 310, &row)

	// A start elsewhere ends the quarantine, and the holder deletes the row.
	f.attempt(0, 9, started, faulty)
	f.expectQuarantined(g, false)
	written = f.tick(2)
	g.Expect(written).To(gomega.HaveLen(1))
	g.Expect(written[0]).To(gomega.Equal(state.Transaction{Conditions: []state.Condition{{Key: key, Revision: 310}}, Writes: []state.Write{{Key: key}}}))
	f.feedRow(2, key, 320, nil)
	g.Expect(f.tick(2)).To(gomega.BeEmpty())
}

// TestRemovalOfTheRowReleasesATrait guards against a quarantine that an operator cannot end.
func TestRemovalOfTheRowReleasesATrait(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(3)
	key, row := state.QuarantineKey(faulty), state.QuarantineRow{Trait: faulty}
	for i := range minCrashes {
		row.Crashes = append(row.Crashes, state.TraitCrash{Trait: faulty, Host: process(i).Host, StartID: 1})
	}
	for i := range f.nodes {
		f.feedRow(i, key, 200, &row)
	}
	f.expectQuarantined(g, true)
	f.feedRow(1, key, 210, nil)
	f.step(1, state.Tick{})
	f.expectQuarantined(g, false)
}

// TestForeignEvidenceInARowIsIgnored guards against a row of another writer that puts a
// trait into quarantine which is not its own.
func TestForeignEvidenceInARowIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(1)
	row := state.QuarantineRow{Trait: first}
	for i := range minCrashes {
		row.Crashes = append(row.Crashes, state.TraitCrash{Trait: faulty, Host: process(i).Host, StartID: 1})
	}
	f.feedRow(0, state.QuarantineKey(first), 200, &row)
	f.feedRow(0, state.QuarantineKey(faulty), 201, &row)
	f.step(0, state.Tick{})
	f.expectQuarantined(g, false)
	g.Expect(f.nodes[0].tables.Managed.Quarantined).To(gomega.BeEmpty())
}
