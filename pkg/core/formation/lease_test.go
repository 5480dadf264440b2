package formation

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// TestHubsComeFirstForTheLease guards against a free lease that a leaf acquires, only to release
// it again, because its name comes before those of the hubs.
func TestHubsComeFirstForTheLease(t *testing.T) {
	g := gomega.NewWithT(t)
	rankOf := func(self state.NodeID, hubs ...state.NodeID) int {
		r := newRig(t)
		r.tables.Self.ID = self
		for i := range 12 {
			id := state.NodeID(fmt.Sprintf("n%02d", i))
			r.tables.Managed.Nodes.Put(id, &state.RegisteredNode{Entry: state.NodeEntry{ID: id}})
		}
		for _, id := range hubs {
			if r.tables.Managed.Hubs == nil {
				r.tables.Managed.Hubs = map[state.NodeID]bool{}
			}
			r.tables.Managed.Hubs[id] = true
		}
		return r.system.rank()
	}
	g.Expect(rankOf("n03")).To(gomega.Equal(3))
	g.Expect(rankOf("n09", "n09", "n10", "n11")).To(gomega.Equal(0))
	g.Expect(rankOf("n11", "n09", "n10", "n11")).To(gomega.Equal(2))
	g.Expect(rankOf("n00", "n09", "n10", "n11")).To(gomega.Equal(maxRank))
}

// TestLargerHubsComeFirstForTheLease guards against a hub that acquires a free lease before one
// with a larger processor share, to which it would release it.
func TestLargerHubsComeFirstForTheLease(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.tables.Managed.Hubs = map[state.NodeID]bool{"n01": true, "n02": true, "n03": true}
	for id, share := range map[state.NodeID]float64{"n01": 0.2, "n02": 0.2, "n03": 0.8} {
		r.tables.Managed.Nodes.Put(id, &state.RegisteredNode{Entry: state.NodeEntry{ID: id, ProcessorShare: share}})
	}
	for rank, id := range []state.NodeID{"n03", "n01", "n02"} {
		r.tables.Self.ID = id
		g.Expect(r.system.rank()).To(gomega.Equal(rank), string(id))
	}
}

// TestHubThatDoesNotWatchTakesReleasedLease guards against a released lease that nobody acquires:
// the nodes that watch the store leave it to hubs with larger processor shares, and none of these
// watches the store.
func TestHubThatDoesNotWatchTakesReleasedLease(t *testing.T) {
	released := state.LeaseRow{FencingToken: 5}
	held := state.LeaseRow{Holder: "n09", FencingToken: 5}
	for name, c := range map[string]struct {
		row      state.LeaseRow
		revision uint64
		isHub    bool
		acquires bool
	}{
		"released":         {released, 80, true, true},
		"released, leaf":   {released, 80, false, false},
		"held by a node":   {held, 80, true, false},
		"never held":       {state.LeaseRow{}, 0, true, false},
		"better hub comes": {released, 80, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newRig(t)
			m, self := r.tables.Managed, r.tables.Self.ID
			m.WatchesStore = false
			m.Hubs = map[state.NodeID]bool{"n00": true, self: c.isHub}
			m.Lease = state.FormationLease{Row: c.row, Revision: c.revision, RenewalSeenAt: r.now}
			m.PeerStatusAt["n09"] = r.now
			share := 0.8
			if name == "better hub comes" {
				share = 0.2
			}
			for id, share := range map[state.NodeID]float64{"n00": 0.4, self: share} {
				m.Nodes.Put(id, &state.RegisteredNode{Entry: state.NodeEntry{ID: id, ProcessorShare: share}})
			}
			g.Expect(r.system.mayAcquireLease(r.now)).To(gomega.Equal(c.acquires && share > 0.4), "at once")
			g.Expect(r.system.mayAcquireLease(r.now+rankDelay)).To(gomega.Equal(c.acquires), "after the better hub")
			m.ShouldReleaseLease = true
			g.Expect(r.system.mayAcquireLease(r.now + time.Second)).To(gomega.BeFalse())
		})
	}
}
