package inventory

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// addNode registers a node with a part of a processor core.
func (r *rig) addNode(id string, dc state.DataCentre, share float64) {
	r.managed.Nodes.Put(state.NodeID(id), &state.RegisteredNode{
		Revision: 1, Entry: state.NodeEntry{ID: state.NodeID(id), DataCentre: dc, Address: id, ProcessorShare: share},
	})
}

// TestHubsHaveTheLargestProcessorShares guards against a fleet whose smallest machines relay the
// messages of all others and form all groups, because their names come first.
func TestHubsHaveTheLargestProcessorShares(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("a-1", 1)
	for _, dc := range []state.DataCentre{"a", "b"} {
		for i := 1; i <= 20; i++ {
			share := 0.192
			if i == 2 || i == 7 || i == 15 {
				share = 0.8
			}
			r.addNode(fmt.Sprintf("%s-%d", dc, i), dc, share)
		}
	}
	g.Expect(state.SortedKeys(chooseHubs(r.managed.Nodes))).To(gomega.Equal([]state.NodeID{"a-15", "a-2", "a-7", "b-15", "b-2", "b-7"}))
	for _, id := range []string{"a-2", "a-7", "a-15"} {
		r.addNode(id, "a", 0.192)
	}
	g.Expect(state.SortedKeys(chooseHubs(r.managed.Nodes))).To(gomega.ContainElements(state.NodeID("a-1"), state.NodeID("a-10"), state.NodeID("a-11")))
}

// TestSmallHubLeavesLeaseToLargerOnes guards against groups that are repaired late because the
// formation lease is held by a small machine while larger ones are reachable, and against a lease
// that is left to a single machine, which may be shutting down.
func TestSmallHubLeavesLeaseToLargerOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n10", 12)
	for id, share := range map[string]float64{"n08": 0.8, "n09": 0.8, "n10": 0.192} {
		r.addNode(id, "a", share)
	}
	r.step(state.TableUpdate{Table: state.NodeTable, Revision: 101, SentAt: r.now, Rows: []state.RowUpdate{{Key: "x", Revision: 101, Removed: true}}})
	g.Expect(r.system.hubs["n10"]).To(gomega.BeTrue())
	recent := state.PeerStatus{StoreReplyAge: 100 * time.Millisecond}
	r.receivePeerStatus("n08", recent)
	r.advance(state.PeerStatusPeriod)
	g.Expect(r.managed.ShouldReleaseLease).To(gomega.BeFalse())
	r.receivePeerStatus("n08", recent)
	r.receivePeerStatus("n09", recent)
	r.advance(state.PeerStatusPeriod)
	g.Expect(r.managed.ShouldReleaseLease).To(gomega.BeTrue())
	r.receivePeerStatus("n09", state.PeerStatus{StoreReplyAge: -1})
	r.advance(state.PeerStatusPeriod)
	g.Expect(r.managed.ShouldReleaseLease).To(gomega.BeFalse())
}

// TestLeafBeforeItsHubsDoesNotWatchStore guards against leaves that all read the store because
// their names come before those of their hubs.
func TestLeafBeforeItsHubsDoesNotWatchStore(t *testing.T) {
	g := gomega.NewWithT(t)
	hub, leaf := newRig("n10", 12), newRig("n00", 12)
	for _, r := range []*rig{hub, leaf} {
		for _, id := range []string{"n09", "n10", "n11"} {
			r.addNode(id, "a", 0.8)
		}
		r.step(state.TableUpdate{Table: state.NodeTable, Revision: 101, SentAt: r.now, Rows: []state.RowUpdate{{Key: "x", Revision: 101, Removed: true}}})
	}
	g.Expect(hub.system.hubs["n10"]).To(gomega.BeTrue())
	g.Expect(leaf.system.hubs["n00"]).To(gomega.BeFalse())
	hub.step(state.PeerLinkChanged{Peer: "n00", Up: true})
	leaf.step(state.PeerLinkChanged{Peer: "n10", Up: true})
	watched := 0
	for i := range 60 {
		hub.receivePeerStatus("n09", state.PeerStatus{StoreReplyAge: time.Second, InstancesAge: time.Second})
		exchangeMessages(hub, leaf)
		if leaf.managed.WatchesStore && i >= 30 {
			watched++
		}
	}
	g.Expect(watched).To(gomega.BeZero())
}
