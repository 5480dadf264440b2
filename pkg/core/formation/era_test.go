package formation

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// restoreStore brings the store back from a copy with the given row of the lease.
func (r *rig) restoreStore(row state.LeaseRow, absent bool) {
	m := r.tables.Managed
	m.StoreEra++
	m.StoreRecoveredAt = r.now
	r.revision = state.FirstRevision(m.StoreEra) + 50
	m.Tables[state.NodeTable].Revision = r.revision
	r.leaseValue = state.Encode(row)
	m.Lease = state.FormationLease{Row: row, Revision: r.revision, RenewalSeenAt: r.now}
	if absent {
		m.Lease.Revision = 0
	}
}

// TestHolderProvesItselfInNewEra guards against a holder that sends orders under a
// lease which the store has lost, and against a fencing token or a group epoch that is
// used again.
func TestHolderProvesItselfInNewEra(t *testing.T) {
	for name, absent := range map[string]bool{"old row": false, "no row": true} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newRig(t)
			r.startTraffic()
			token, epochs := r.system.lease.row.FencingToken, map[uint64]bool{}
			for _, order := range r.orders {
				epochs[order.Epoch] = true
			}
			r.restoreStore(state.LeaseRow{Holder: "n2", FencingToken: 1}, absent)
			var out state.Outbox
			r.system.checkLeaseEra(r.now, &out)
			g.Expect(r.system.holdsLease(r.now)).To(gomega.BeFalse())
			r.run(200 * time.Millisecond)
			g.Expect(r.system.holdsLease(r.now)).To(gomega.BeTrue(), "the former holder acquires the lease before others")
			g.Expect(r.system.lease.row.FencingToken).To(gomega.BeNumerically(">", token))
			g.Expect(r.system.lease.row.Era).To(gomega.Equal(uint64(1)))
			n := len(r.orders)
			r.loseHost(r.memberOf(large, 1))
			r.run(10 * time.Second)
			g.Expect(r.violations).To(gomega.BeEmpty())
			g.Expect(len(r.openGroups(large))).To(gomega.BeNumerically(">=", 5))
			for _, order := range r.orders[n:] {
				if order.Operation == state.HostJoin {
					g.Expect(epochs).NotTo(gomega.HaveKey(order.Epoch))
				}
				g.Expect(order.FencingToken).To(gomega.BeNumerically(">", token))
			}
		})
	}
}

// TestTokensGrowWithoutTheLostRow guards against a new holder that uses the token of a
// holder whose row the store has lost before any other node has seen it.
func TestTokensGrowWithoutTheLostRow(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.startTraffic()
	r.system.lease.highestToken, r.system.lease.row.FencingToken = 0, 0
	highest := uint64(0)
	for _, h := range r.hosts {
		highest = max(highest, h.row.Membership.Epoch)
	}
	g.Expect(uint64(r.system.nextToken())).To(gomega.BeNumerically(">", highest>>epochBits), "the token of groups that exist")
	r.tables.Managed.StoreEra = 3
	g.Expect(r.system.nextToken()).To(gomega.BeNumerically(">=", state.FencingToken(3)<<eraTokenBits), "the tokens of all earlier eras")
}

// TestLeaseOfEarlierEraIsNotHeld guards against a node that takes its own lost row, or
// a write of the last era that took effect late, for a valid lease.
func TestLeaseOfEarlierEraIsNotHeld(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.startTraffic()
	own := r.system.lease.row
	r.restoreStore(own, false)
	// This node learns of the new era with the row of the copy.
	var out state.Outbox
	r.system.handleLeaseConflict(r.now, []state.StoreRow{{Key: state.KeyFormationLease, Revision: r.revision, Value: state.Encode(own)}}, &out)
	g.Expect(r.system.holdsLease(r.now)).To(gomega.BeFalse())
	r.run(300 * time.Millisecond)
	g.Expect(r.system.holdsLease(r.now)).To(gomega.BeTrue())
	g.Expect(r.system.lease.row.FencingToken).To(gomega.BeNumerically(">", own.FencingToken))
}

// TestLateWriteOfTheLeaseIsNotHeld guards against a lease that was requested in an era of the store
// which ended before the store took the call. Its token may be that of another holder.
func TestLateWriteOfTheLeaseIsNotHeld(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.startTraffic()
	late := r.system.lease.row
	late.FencingToken++
	r.restoreStore(late, false)
	var out state.Outbox
	r.system.checkLeaseEra(r.now, &out)
	r.system.applyLeaseRow(late, r.revision, r.now, &out)
	g.Expect(r.system.holdsLease(r.now)).To(gomega.BeFalse())
	r.run(300 * time.Millisecond)
	g.Expect(r.system.holdsLease(r.now)).To(gomega.BeTrue())
	g.Expect(r.system.lease.row.FencingToken).To(gomega.BeNumerically(">", late.FencingToken))
}

// TestHandoverEndsWithTheEra guards against a lease that is handed over in an outage
// from which the store has come back without it.
func TestHandoverEndsWithTheEra(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.tables.Managed.StoreEra = 1
	var out state.Outbox
	handover := &state.LeaseHandover{FencingToken: 1 << 30, Revision: 900}
	r.system.handleLeaseHandover(r.now, "n2", handover, &out)
	g.Expect(r.system.lease.isHolder).To(gomega.BeFalse())
	handover.Revision = state.NewRevision(1, 900)
	r.system.handleLeaseHandover(r.now, "n2", handover, &out)
	g.Expect(r.system.lease.isHolder).To(gomega.BeTrue())
}

// TestPausedHostGetsNoOrders guards against orders and probes to a host that has asked
// this node for a pause.
func TestPausedHostGetsNoOrders(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.startTraffic()
	for id, h := range r.hosts {
		r.tables.Managed.PausedTargets[id] = state.TargetPause{StartID: h.row.StartID, Until: r.now + 3*time.Second}
	}
	orders, reports := len(r.orders), r.reports
	r.loseHost(r.memberOf(large, 1))
	r.run(2 * time.Second)
	g.Expect(r.orders[orders:]).To(gomega.BeEmpty())
	g.Expect(r.reports).To(gomega.Equal(reports))
	r.run(8 * time.Second)
	g.Expect(len(r.orders)).To(gomega.BeNumerically(">", orders))
}

// TestLeaseShowsWhetherTheEraIsSettled guards against a lease that says too early that
// the store holds again what it had lost, or that forgets it with a new holder.
func TestLeaseShowsWhetherTheEraIsSettled(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.startTraffic()
	r.tables.Managed.EraSince = r.now
	r.restoreStore(state.LeaseRow{Holder: "n2", FencingToken: 1, EraSettled: true}, false)
	r.run(state.EraSettleTime - time.Second)
	g.Expect(r.tables.Managed.Lease.Row.EraSettled).To(gomega.BeFalse())
	r.run(3 * time.Second)
	g.Expect(r.tables.Managed.Lease.Row.EraSettled).To(gomega.BeTrue())
	r.tables.Managed.EraSince = r.now
	r.run(2 * time.Second)
	g.Expect(r.tables.Managed.Lease.Row.EraSettled).To(gomega.BeTrue())
}

// TestHandedOverLeaseGetsItsOwnToken guards against two nodes that have held the lease
// under one fencing token according to the store.
func TestHandedOverLeaseGetsItsOwnToken(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig(t)
	r.startTraffic()
	lease := r.tables.Managed.Lease
	r.system.lease.isHolder = false
	lease.Row.Holder, lease.Row.Incarnation = "n2", 9
	r.tables.Managed.Lease, r.leaseValue = lease, state.Encode(lease.Row)
	r.startOutage()
	r.inputs = append(r.inputs, state.PeerMessage{From: "n2", Message: state.Message{LeaseHandover: &state.LeaseHandover{
		FencingToken: lease.Row.FencingToken, Renewal: lease.Row.Renewal, Revision: lease.Revision, IssuedEpochs: 90,
	}}})
	r.run(time.Second)
	g.Expect(r.system.holdsLease(r.now)).To(gomega.BeTrue())
	r.outage = false
	r.run(3 * time.Second)
	g.Expect(r.system.holdsLease(r.now)).To(gomega.BeTrue())
	g.Expect(r.tables.Managed.Lease.Row.Holder).To(gomega.Equal(state.NodeID("n1")))
	g.Expect(r.tables.Managed.Lease.Row.FencingToken).To(gomega.BeNumerically(">", lease.Row.FencingToken))
	r.loseHost(r.memberOf(large, 1))
	r.run(10 * time.Second)
	g.Expect(r.violations).To(gomega.BeEmpty())
}

// TestCopyOfLeaderEntryDoesNotEndGroup guards against members that join another group while their
// leader, which this node does not reach, serves: a store that came back from a copy has an entry
// of the leader from before the group was opened.
func TestCopyOfLeaderEntryDoesNotEndGroup(t *testing.T) {
	for name, copied := range map[string]func(group state.Membership) state.Membership{
		"older group": func(state.Membership) state.Membership {
			return state.Membership{Group: "older", Epoch: 1, Phase: state.MemberOpen}
		},
		"no group":   func(state.Membership) state.Membership { return state.Membership{} },
		"not opened": func(m state.Membership) state.Membership { m.Phase = state.MemberReady; return m },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := newRig(t)
			r.startTraffic()
			leader := r.memberOf(large, 0)
			group := r.hosts[leader].row.Membership
			r.hosts[leader].unresponsive = true
			r.restoreStore(r.system.lease.row, false)
			stale := r.hosts[leader].row
			stale.Membership, stale.Revision, stale.RevisionSeenAt, stale.FromCopy = copied(group), r.revision, r.now, true
			r.tables.Managed.Instances.Put(leader, &stale)
			r.tables.Managed.TargetInputsVersion++
			r.run(leaderBreakTime)
			r.expectMembersToLeave(g, group)
			r.run(4 * time.Second)
			g.Expect(len(r.idleHosts(stale.Domain))).To(gomega.BeNumerically("<=", 1), "the members serve again")
		})
	}
}
