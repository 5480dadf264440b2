package inventory

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// failStore lets the store leave the calls for all tables unanswered.
func (r *rig) failStore() {
	for _, table := range []state.TableKind{state.OperatorTable, state.InstanceTable, state.NodeTable} {
		r.step(state.TableUpdate{Table: table, SentAt: r.now, Failed: true})
	}
}

// TestOutageRequiresAllNodesWithoutStore guards against a node that takes itself for cut off with all others,
// while one of them has the store's answers, and against one that hears too few
// peers to tell.
func TestOutageRequiresAllNodesWithoutStore(t *testing.T) {
	silent, answered := state.PeerStatus{StoreReplyAge: -1, InstancesAge: -1}, state.PeerStatus{StoreReplyAge: time.Second, InstancesAge: -1}
	for _, c := range []struct {
		name   string
		heard  []state.PeerStatus
		outage bool
	}{
		{"all silent", []state.PeerStatus{silent, silent, silent}, true},
		{"one peer is answered", []state.PeerStatus{silent, silent, answered}, false},
		{"old answers", []state.PeerStatus{{StoreReplyAge: 5 * time.Second, InstancesAge: 3 * time.Second}, silent, silent}, true},
		{"half of the peers heard", []state.PeerStatus{silent, silent}, true},
		{"too few peers heard", []state.PeerStatus{silent}, false},
	} {
		g := gomega.NewWithT(t)
		r := newRig("n00", 5)
		r.advance(maxStoreReplyAge)
		r.failStore()
		for i, b := range c.heard {
			r.receivePeerStatus(state.NodeID("n0"+string(rune('1'+i))), b)
		}
		r.advance(state.TickPeriod)
		g.Expect(r.now < r.managed.StoreOutageUntil).To(gomega.Equal(c.outage), c.name)
	}
}

// TestOutageEndsWithStoreAnswer guards against orders that rest on the outage after
// the store has answered this node, and after a pause of the process.
func TestOutageEndsWithStoreAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 1)
	r.advance(maxStoreReplyAge)
	r.failStore()
	r.advance(state.TickPeriod)
	g.Expect(r.now).To(gomega.BeNumerically("<", r.managed.StoreOutageUntil))
	g.Expect(r.now + time.Second).To(gomega.BeNumerically(">", r.managed.StoreOutageUntil))
	r.feedChanges(state.InstanceTable, 110, instanceRow("i1", 110))
	r.advance(2 * outageVerdictTime)
	g.Expect(r.now).To(gomega.BeNumerically(">=", r.managed.StoreOutageUntil))
	g.Expect(r.managed.StoreRecoveredAt).To(gomega.BeNumerically(">", 0))
}

// TestHostReportsReplaceListInOutage guards against nodes that send nothing to a
// group that was formed while the store was down, and against a report that
// outlives what the store says later.
func TestHostReportsReplaceListInOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 2)
	open := state.HostState{Host: "i1", LoadedModel: "m", Membership: state.Membership{Group: "g1", Epoch: 7, Phase: state.MemberOpen}}
	r.advance(state.TickPeriod)
	r.step(state.HostReport{Host: "i1", OK: true, SentAt: r.now, State: open})
	g.Expect(r.managed.Instances.Get("i1").Membership.Group).To(gomega.BeEmpty(), "the store answers")

	r.advance(maxStoreReplyAge)
	r.failStore()
	r.receivePeerStatus("n01", state.PeerStatus{StoreReplyAge: -1, InstancesAge: -1})
	r.advance(state.TickPeriod)
	old := r.managed.Instances.Get("i1").RevisionSeenAt + state.MaxReportLag
	r.step(state.HostReport{Host: "i1", OK: true, SentAt: old, State: open})
	g.Expect(r.managed.Instances.Get("i1").Membership.Group).To(gomega.BeEmpty(), "may be older than the entry")
	other := open
	other.StartID = 2
	r.step(state.HostReport{Host: "i1", OK: true, SentAt: r.now, State: other})
	g.Expect(r.managed.Instances.Get("i1").Membership.Group).To(gomega.BeEmpty(), "another life")
	r.step(state.HostReport{Host: "i1", OK: true, SentAt: r.now, State: open})
	g.Expect(r.managed.Instances.Get("i1").Membership).To(gomega.Equal(open.Membership))
	sent := r.messagesTo("n01")
	g.Expect(sent[len(sent)-1].HostState).To(gomega.Equal(&open))

	r.now += time.Second
	r.feedChanges(state.InstanceTable, 120, instanceRow("i1", 120))
	g.Expect(r.managed.Instances.Get("i1").Membership.Group).To(gomega.BeEmpty())
}

// TestRelayedReportDoesNotReplaceRecentStoreRow guards against a peer's word on a host that replaces what
// the store has just said to this node.
func TestRelayedReportDoesNotReplaceRecentStoreRow(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 2)
	open := state.HostState{Host: "i1", LoadedModel: "m", Membership: state.Membership{Group: "g1", Epoch: 7, Phase: state.MemberOpen}}
	in := state.PeerMessage{From: "n01", Message: state.Message{HostState: &open}}
	r.advance(state.TickPeriod)
	r.step(in)
	g.Expect(r.managed.Instances.Get("i1").Membership.Group).To(gomega.BeEmpty())
	r.advance(maxStoreReplyAge)
	r.step(in)
	g.Expect(r.managed.Instances.Get("i1").Membership).To(gomega.Equal(open.Membership))
}

// TestLeafReleasesLeaseToHub guards against a leaf that holds the formation lease
// while its hub reaches the store: the other hubs do not hear it, and each follows
// the list of instances itself. Without such a hub it keeps the lease.
func TestLeafReleasesLeaseToHub(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, c := range []struct {
		self   string
		nodes  int
		age    time.Duration
		yields bool
	}{{"n11", 12, time.Second, true}, {"n11", 12, -1, false}, {"n01", 12, time.Second, false}, {"n03", 4, time.Second, false}} {
		r := newRig(c.self, c.nodes)
		r.receivePeerStatus("n00", state.PeerStatus{StoreReplyAge: c.age, InstancesAge: -1})
		r.advance(state.TickPeriod)
		g.Expect(r.managed.ShouldReleaseLease).To(gomega.Equal(c.yields), "%v", c)
	}
}
