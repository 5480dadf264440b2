package inventory

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// continueFrom returns the revisions in the last output that enables watchers.
func (r *rig) continueFrom() [3]uint64 {
	var revisions [3]uint64
	for _, o := range r.outputs {
		if w, ok := o.(state.WatchTables); ok && w.Nodes {
			revisions = w.ContinueFrom
		}
	}
	return revisions
}

// TestWatchContinuesFromRelayedRows guards against whole reads by a node that has received
// all rows from peers, and against continuing from a revision after a gap.
func TestWatchContinuesFromRelayedRows(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n01", 2)
	r.receivePeerStatus("n00", state.PeerStatus{})
	r.advance(state.TickPeriod)
	relay := func(base, revision uint64) {
		r.step(state.PeerMessage{From: "n00", Message: state.Message{TableUpdate: &state.TableUpdate{
			Table: state.InstanceTable, BaseRevision: base, Revision: revision, Rows: []state.RowUpdate{instanceRow("i2", revision)},
		}}})
	}
	relay(50, 140)
	relay(150, 160)
	r.advance(2 * time.Second)
	g.Expect(r.managed.WatchesStore).To(gomega.BeTrue())
	g.Expect(r.continueFrom()).To(gomega.Equal([3]uint64{100, 140, 2}))
}

// TestWatchReadsWholeTablesAfterRestoration guards against continuing from a revision of
// an earlier era, or from a copy of a table whose rows peers may hold back.
func TestWatchReadsWholeTablesAfterRestoration(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n01", 2)
	takeOver := func() [3]uint64 {
		r.receivePeerStatus("n00", state.PeerStatus{})
		r.advance(state.TickPeriod)
		g.Expect(r.managed.WatchesStore).To(gomega.BeFalse())
		r.outputs = nil
		r.advance(peerStatusTimeout + state.TickPeriod)
		g.Expect(r.managed.WatchesStore).To(gomega.BeTrue())
		return r.continueFrom()
	}
	g.Expect(takeOver()).To(gomega.Equal([3]uint64{100, 50, 2}))
	r.feedTable(state.OperatorTable, eraRevision(90), configRow(5, eraRevision(80)))
	r.feedTable(state.InstanceTable, eraRevision(90), instanceRow("i1", eraRevision(50)))
	g.Expect(takeOver()).To(gomega.Equal([3]uint64{}))
	r.feedTable(state.NodeTable, eraRevision(90), state.RowUpdate{Key: state.PrefixNode + "n00", Revision: eraRevision(7), Node: &state.RegisteredNode{
		Entry: state.NodeEntry{ID: "n00", DataCentre: "a", Address: "n00"}, Revision: eraRevision(7),
	}})
	r.advance(state.EraSettleTime)
	g.Expect(takeOver()).To(gomega.Equal([3]uint64{eraRevision(80), eraRevision(50), eraRevision(7)}))
}

// TestLateAnswerRestoresNoRemovedRow guards against an instance that stays in the list for
// ever: a call of a disabled watcher is answered late, after a peer has relayed the
// removal of a row in the answer, and no whole read follows.
func TestLateAnswerRestoresNoRemovedRow(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n01", 2)
	r.step(state.PeerMessage{From: "n00", Message: state.Message{TableUpdate: &state.TableUpdate{
		Table: state.InstanceTable, BaseRevision: 50, Revision: 130, Rows: []state.RowUpdate{instanceRow("i2", 120), {Key: "i2", Revision: 130, Removed: true}},
	}}})
	r.feedChanges(state.InstanceTable, 125, instanceRow("i2", 120))
	g.Expect(r.managed.Instances.Get("i2")).To(gomega.BeNil())
}

// TestSnapshotInPartsIsCompleteUpToItsFirstPart guards against continuing from the
// revision of a row in a later part of a snapshot. Changes between the parts are missing
// in the earlier ones.
func TestSnapshotInPartsIsCompleteUpToItsFirstPart(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 1)
	r.feedTable(state.InstanceTable, 200, instanceRow("i1", 50), instanceRow("i2", 205))
	g.Expect(r.managed.Tables[state.InstanceTable].Revision).To(gomega.Equal(uint64(200)))
	r.feedChanges(state.InstanceTable, 210, instanceRow("i1", 203), instanceRow("i2", 205))
	g.Expect(r.managed.Instances.Get("i1").Revision).To(gomega.Equal(uint64(203)))
	g.Expect(r.managed.Tables[state.InstanceTable].Revision).To(gomega.Equal(uint64(205)))
}

// TestLeafWaitsForItsOtherHub replays the end of a hub. It guards against leaves that all
// watch the store although another hub relays the rows to them, and against a leaf that
// waits for a hub which sends nothing, or after the only hub has gone.
func TestLeafWaitsForItsOtherHub(t *testing.T) {
	g := gomega.NewWithT(t)
	status := state.PeerStatus{StoreReplyAge: time.Second, InstancesAge: time.Second, ClusterTotals: true}
	leaf := newRig("n09", 12)
	leaf.step(state.PeerLinkChanged{Peer: "n01", Up: true})
	leaf.receivePeerStatus("n00", status)
	leaf.advance(state.TickPeriod)
	leaf.step(state.PeerLinkChanged{Peer: "n00"})
	leaf.advance(300 * time.Millisecond)
	g.Expect(leaf.system.watching.Configuration || leaf.system.watching.Instances).To(gomega.BeFalse())
	leaf.advance(peerStatusTimeout)
	g.Expect(leaf.system.watching.Configuration && leaf.system.watching.Instances).To(gomega.BeTrue(), "the other hub sends nothing")

	leaf = newRig("n09", 12)
	leaf.receivePeerStatus("n00", status)
	leaf.advance(state.TickPeriod)
	leaf.step(state.PeerLinkChanged{Peer: "n00"})
	g.Expect(leaf.system.watching.Configuration && leaf.system.watching.Instances).To(gomega.BeTrue(), "no other hub is linked")
}
