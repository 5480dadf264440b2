package inventory

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// failStore makes the store calls for all tables fail.
func (r *rig) failStore() {
	for _, table := range []state.TableKind{state.OperatorTable, state.InstanceTable, state.NodeTable} {
		r.step(state.TableUpdate{Table: table, SentAt: r.now, Failed: true})
	}
}

// TestOutageRequiresAllNodesWithoutStore guards against detecting an outage
// while a peer has recent store replies, or while this node receives status
// from too few peers to decide.
func TestOutageRequiresAllNodesWithoutStore(t *testing.T) {
	noReply, recentReply := state.PeerStatus{StoreReplyAge: -1, InstancesAge: -1}, state.PeerStatus{StoreReplyAge: time.Second, InstancesAge: -1}
	for _, c := range []struct {
		name         string
		peerStatuses []state.PeerStatus
		outage       bool
	}{
		{"no node has a store reply", []state.PeerStatus{noReply, noReply, noReply}, true},
		{"one peer has a store reply", []state.PeerStatus{noReply, noReply, recentReply}, false},
		{"old store replies", []state.PeerStatus{{StoreReplyAge: 5 * time.Second, InstancesAge: 3 * time.Second}, noReply, noReply}, true},
		{"status from half of the peers", []state.PeerStatus{noReply, noReply}, true},
		{"status from too few peers", []state.PeerStatus{noReply}, false},
	} {
		g := gomega.NewWithT(t)
		r := newRig("n00", 5)
		r.advance(maxStoreReplyAge)
		r.failStore()
		for i, status := range c.peerStatuses {
			r.receivePeerStatus(state.NodeID("n0"+string(rune('1'+i))), status)
		}
		r.advance(state.TickPeriod)
		g.Expect(r.now < r.managed.StoreOutageUntil).To(gomega.Equal(c.outage), c.name)
	}
}

// TestOutageEndsWithStoreAnswer guards against orders that are based on the
// outage after the store has answered this node, and after a pause of the
// process.
func TestOutageEndsWithStoreAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 1)
	r.advance(maxStoreReplyAge)
	r.failStore()
	r.advance(state.TickPeriod)
	g.Expect(r.now).To(gomega.BeNumerically("<", r.managed.StoreOutageUntil))
	g.Expect(r.now + time.Second).To(gomega.BeNumerically(">", r.managed.StoreOutageUntil))
	r.feedChanges(state.InstanceTable, 110, instanceRow("i1", 110))
	r.advance(2 * outageValidity)
	g.Expect(r.now).To(gomega.BeNumerically(">=", r.managed.StoreOutageUntil))
	g.Expect(r.managed.StoreRecoveredAt).To(gomega.BeNumerically(">", 0))
}

// TestHostReportsReplaceListInOutage guards against nodes that send nothing to
// a group that was formed during a store outage, and against a report that
// overrides later rows of the store.
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
	g.Expect(r.managed.Instances.Get("i1").Membership.Group).To(gomega.BeEmpty(), "another process start")
	r.step(state.HostReport{Host: "i1", OK: true, SentAt: r.now, State: open})
	g.Expect(r.managed.Instances.Get("i1").Membership).To(gomega.Equal(open.Membership))
	sent := r.messagesTo("n01")
	g.Expect(sent[len(sent)-1].HostState).To(gomega.Equal(&open))

	r.now += time.Second
	r.feedChanges(state.InstanceTable, 120, instanceRow("i1", 120))
	g.Expect(r.managed.Instances.Get("i1").Membership.Group).To(gomega.BeEmpty())
}

// TestRelayedReportDoesNotReplaceRecentStoreRow guards against a relayed host
// state that replaces a row which the store has just sent to this node.
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

// TestLeafReleasesLeaseToHub guards against a leaf that holds the formation
// lease while its hub reaches the store. The other hubs receive no status from
// it, and each watches the list of instances itself. Without such a hub the
// leaf keeps the lease.
func TestLeafReleasesLeaseToHub(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, c := range []struct {
		self          string
		nodes         int
		age           time.Duration
		releasesLease bool
	}{{"n11", 12, time.Second, true}, {"n11", 12, -1, false}, {"n01", 12, time.Second, false}, {"n03", 4, time.Second, false}} {
		r := newRig(c.self, c.nodes)
		r.receivePeerStatus("n00", state.PeerStatus{StoreReplyAge: c.age, InstancesAge: -1})
		r.advance(state.TickPeriod)
		g.Expect(r.managed.ShouldReleaseLease).To(gomega.Equal(c.releasesLease), "%v", c)
	}
}
