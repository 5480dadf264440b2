package formation

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// TestImplausibleEpochDoesNotStopFormation guards against groups that can never be formed
// again: an entry of another writer names the largest epoch, and the tokens and epochs above
// it do not fit their types.
func TestImplausibleEpochDoesNotStopFormation(t *testing.T) {
	for _, epoch := range []uint64{math.MaxUint64, math.MaxUint64 >> 1, 1 << 53, 1 << 32} {
		g := gomega.NewWithT(t)
		r := newRig(t)
		r.addHost("odd", "d0")
		r.hosts["odd"].refusing = true
		// The entry names a sound group as well.
		r.startTraffic()
		sound := r.hosts[r.memberOf(large, 0)].row.Membership
		r.hosts["odd"].row.Membership = state.Membership{Group: sound.Group, Epoch: epoch, Phase: state.MemberOpen}
		r.hosts["odd"].row.LoadedModel = large
		r.publish(r.hosts["odd"])
		r.restart()
		r.run(2 * time.Second)
		serving := len(r.openGroups(large)) + len(r.openGroups(small))
		id := r.memberOf(large, 1)
		r.loseHost(id)
		r.run(4 * time.Second)
		g.Expect(r.tables.Managed.Lease.Row.FencingToken).To(gomega.BeNumerically("<", 1<<eraTokenBits), "epoch %d", epoch)
		g.Expect(len(r.openGroups(large)) + len(r.openGroups(small))).To(gomega.BeNumerically(">=", serving-1))
		g.Expect(len(r.idleHosts(r.hosts[id].row.Domain))).To(gomega.BeNumerically("<=", 2), "epoch %d", epoch)
		g.Expect(r.violations).To(gomega.BeEmpty())
	}
}
