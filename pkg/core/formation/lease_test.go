package formation

import (
	"fmt"
	"testing"

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
