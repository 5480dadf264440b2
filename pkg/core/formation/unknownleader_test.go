package formation

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// hostFreeTime is how long the hosts of an unknown leader may take to be free: until its entry
// can no longer return, and until it has broken after they have left.
const hostFreeTime = unknownLeaderTimeout + leaderBreakTime + time.Second

// TestHostsOfLostLeaderServeAfterRestart guards against members that are never used again,
// because the leader of their group and all nodes that knew it were lost.
func TestHostsOfLostLeaderServeAfterRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.startTraffic()
	leader := r.memberOf(large, 0)
	r.hosts[leader].refusing = true
	r.expireEntry(leader)
	r.restart()
	r.run(hostFreeTime + 3*time.Second)
	g.Expect(len(r.idleHosts(r.hosts[leader].row.Domain))).To(gomega.BeNumerically("<=", 2), "the lost leader and one that is left over")
	g.Expect(r.violations).To(gomega.BeEmpty())
}

// TestIdleHostsWithFormerGroupServeAfterRestart guards against idle hosts that are never used
// again by nodes that start: they name their former group, whose leader is in another one.
func TestIdleHostsWithFormerGroupServeAfterRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.startTraffic()
	for rank, id := range []state.HostID{"idle-1", "idle-2"} {
		r.addHost(id, "d-idle")
		h := r.hosts[id]
		h.row.LoadedModel, h.row.StagedModels = small, []string{small}
		h.row.Membership = state.Membership{Group: "former", Epoch: 1, Rank: rank + 2, Phase: state.MemberReady}
		r.publish(h)
	}
	r.restart()
	r.run(hostFreeTime + 2*time.Second)
	g.Expect(r.idleHosts("d-idle")).To(gomega.BeEmpty())
	g.Expect(r.violations).To(gomega.BeEmpty())
}

// TestMembersWaitForEntryOfLeader guards against ending a group whose leader is cut off from the
// store when a node starts, and registers again in time, and against members that join another
// group before a leader that nobody knows must have broken.
func TestMembersWaitForEntryOfLeader(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.startTraffic()
	leader := r.memberOf(large, 0)
	group := r.hosts[leader].row.Membership
	r.expireEntry(leader)
	r.tables.Managed.Instances.Delete(leader)
	r.restart()
	ordersBefore := len(r.orders)
	ordersOfMembers := func() (operations []state.HostOperation) {
		for _, o := range r.orders[ordersBefore:] {
			if o.Group == group.Group || r.wasMember(o.Host, group) {
				operations = append(operations, o.Operation)
			}
		}
		return operations
	}
	r.run(entryCatchUpTime)
	g.Expect(ordersOfMembers()).To(gomega.BeEmpty())
	r.run(unknownLeaderTimeout - entryCatchUpTime + leaderBreakTime - 100*time.Millisecond)
	g.Expect(ordersOfMembers()).To(gomega.HaveEach(state.HostLeave))
	g.Expect(ordersOfMembers()).To(gomega.HaveLen(3))

	r = newRig(t)
	r.startTraffic()
	leader = r.memberOf(large, 0)
	group = r.hosts[leader].row.Membership
	r.expireEntry(leader)
	r.restart()
	r.run(entryCatchUpTime)
	ordersBefore = len(r.orders)
	r.hosts[leader].listed = true
	r.publish(r.hosts[leader])
	r.run(hostFreeTime)
	g.Expect(ordersOfMembers()).To(gomega.BeEmpty())
	g.Expect(r.openGroups(large)).To(gomega.HaveKey(leader))
}

// unassignedHosts returns the hosts that the node has reported as not used.
func (r *rig) unassignedHosts() (ids []state.HostID) {
	for _, h := range r.system.hosts.all() {
		if h.unassignedReported {
			ids = append(ids, h.id)
		}
	}
	return ids
}

// TestUnassignedHostIsReported guards against capacity that is lost without a word: the leader of
// a ready group does not answer, so that its members wait for it.
func TestUnassignedHostIsReported(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.startTraffic()
	leader := r.memberOf(large, 0)
	r.hosts[leader].unresponsive = true
	r.hosts[leader].row.Membership.Phase = state.MemberReady
	r.publish(r.hosts[leader])
	r.restart()
	r.run(unassignedHostTimeout + 3*time.Second)
	g.Expect(r.unassignedHosts()).To(gomega.HaveLen(3))
	r.hosts[leader].unresponsive = false
	r.run(2 * time.Second)
	g.Expect(r.unassignedHosts()).To(gomega.BeEmpty())
}
