package formation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// TestGroupIsNotOpenedBeforeLateJoinOfMember guards against a host in two groups: an
// earlier lease holder has left a group ready, and a member carries out the join of a later
// group after the first one was opened.
func TestGroupIsNotOpenedBeforeLateJoinOfMember(t *testing.T) {
	for rank := range 4 {
		g := gomega.NewWithT(t)
		r := newRig(t)
		r.startTraffic()
		ready := r.hosts[r.memberOf(large, 0)].row.Membership
		for _, id := range state.SortedKeys(r.hosts) {
			h := r.hosts[id]
			if h.row.Membership.Group != ready.Group || h.row.Membership.Epoch != ready.Epoch {
				continue
			}
			h.row.Membership.Group, h.row.Membership.Phase = "ready", state.MemberReady
			r.publish(h)
			if h.row.Membership.Rank == rank {
				h.delayOrder(r.now+3*time.Second, state.HostOrder{
					Host: id, Operation: state.HostJoin, Group: "late", Epoch: ready.Epoch + 1, Model: large,
					Members: []state.HostID{id}, ExpectedSequence: h.sequence, FencingToken: h.fencingToken,
				})
			}
		}
		r.restart()
		serving := len(r.openGroups(large))
		r.run(6 * time.Second)
		g.Expect(r.violations).To(gomega.BeEmpty(), "late join of the member with rank %d", rank)
		g.Expect(len(r.openGroups(large))).To(gomega.BeNumerically(">", serving))
	}
}

// restart replaces the process of the node. The new one holds no lease and knows no orders
// of the former one.
func (r *rig) restart() {
	r.tables.Self.Incarnation++
	r.system, r.inputs = New(r.tables), nil
}

// TestHostsServeInOneGroupUnderLateOrders guards against a host in two groups while hosts
// leave orders unanswered and carry them out seconds later, hosts are lost and the lease
// holder restarts, and against hosts that are never used again. It plays the disruptions at
// random times.
func TestHostsServeInOneGroupUnderLateOrders(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			r := newRig(t)
			rng := rand.New(rand.NewPCG(seed, 0))
			var lateUntil time.Duration
			r.orderDelay = func(state.HostOrder) time.Duration {
				if r.now > lateUntil || rng.Float64() > lateShare {
					return 0
				}
				return minLateTime + time.Duration(rng.Int64N(int64(maxLateTime-minLateTime)))
			}
			var lost state.HostID
			for step := range 120 {
				r.run(500 * time.Millisecond)
				r.tables.Managed.TrafficStarted = step > 20
				g.Expect(r.unassignedHosts()).To(gomega.BeEmpty(), "at %v", r.now)
				switch action := rng.IntN(12); {
				case action == 0:
					lateUntil = r.now + 11*time.Second
				case action == 1:
					r.restart()
				case action < 4 && lost != "":
					r.hosts[lost].unresponsive = false
					r.restartHost(r.hosts[lost])
					lost = ""
				case action < 7 && lost == "":
					ids := state.SortedKeys(r.hosts)
					lost = ids[rng.IntN(len(ids))]
					r.loseHost(lost)
				}
			}
			g.Expect(r.violations).To(gomega.BeEmpty())
		})
	}
}

// Late orders as the platform describes them: the share of the orders, and how late they
// take effect.
const (
	lateShare   = 0.5
	minLateTime = 2 * time.Second
	maxLateTime = 12 * time.Second
)

// restartHost starts the process of a lost host again. It is in no group and has accepted
// no order.
func (r *rig) restartHost(h *fakeHost) {
	h.row.StartID++
	h.row.Membership, h.row.LoadedModel = state.Membership{}, ""
	h.sequence, h.fencingToken, h.joinUntil, h.openUntil, h.staging = 0, 0, 0, 0, ""
	r.publish(h)
}
