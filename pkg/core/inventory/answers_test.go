package inventory

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// holderID is the node that relays the list of instances.
const holderID = state.NodeID("n00")

// relayInstances delivers a change of the list of instances that the holder has relayed.
func (r *rig) relayInstances(rows ...state.RowUpdate) {
	revision := r.managed.Tables[state.InstanceTable].Revision
	r.step(state.PeerMessage{From: holderID, Message: state.Message{TableUpdate: &state.TableUpdate{
		Table: state.InstanceTable, BaseRevision: revision, Revision: revision + 1, Rows: rows,
	}}})
}

// followHolder lets the holder relay the list of instances for a time, while calls of this node for the
// tables given fail.
func (r *rig) followHolder(d time.Duration, failing ...state.TableKind) {
	for end := r.now + d; r.now < end; {
		r.receivePeerStatus(holderID, state.PeerStatus{StoreReplyAge: 0, InstancesAge: 0})
		r.relayInstances(instanceRow("i2", r.managed.Tables[state.InstanceTable].Revision+1))
		for _, table := range failing {
			r.step(state.TableUpdate{Table: table, SentAt: r.now, Failed: true})
		}
		r.advance(state.PeerStatusPeriod)
	}
}

func removal(id string, revision uint64) state.RowUpdate {
	return state.RowUpdate{Key: id, Revision: revision, Removed: true}
}

// leaseOf returns the row of the formation lease with a holder.
func leaseOf(holder state.NodeID) state.RowUpdate {
	return state.RowUpdate{Key: state.KeyFormationLease, Revision: 101, Lease: &state.LeaseRow{Holder: holder, FencingToken: 1}}
}

// TestRemovalCountsAfterCutOfOneNode guards against a node that was cut off from the store for
// a while, begins to watch the list when its holder is lost, takes the first answer for the end
// of an outage and uses an instance that has left for longer than it may.
func TestRemovalCountsAfterCutOfOneNode(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n01", 3)
	r.feedChanges(state.NodeTable, 101, leaseOf(holderID))
	r.followHolder(4*time.Second, state.OperatorTable, state.NodeTable)
	r.followHolder(7 * time.Second)
	for range 17 {
		r.receivePeerStatus(holderID, state.PeerStatus{StoreReplyAge: -1, InstancesAge: -1})
		r.advance(state.PeerStatusPeriod)
	}
	r.feedChanges(state.InstanceTable, 500, removal("i1", 500))
	g.Expect(r.managed.Instances.Get("i1")).To(gomega.BeNil())
}

// TestCutOffNodeFollowsRelayedRemoval guards against a node that is cut off from the store and
// defers the removals that a peer relays, and against one that does so after the cut.
func TestCutOffNodeFollowsRelayedRemoval(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n01", 3)
	r.feedChanges(state.InstanceTable, 110, instanceRow("i3", 110))
	r.feedChanges(state.NodeTable, 101, leaseOf("n01"))
	r.followHolder(4*time.Second, state.InstanceTable, state.OperatorTable, state.NodeTable)
	r.relayInstances(removal("i1", 400))
	g.Expect(r.managed.Instances.Get("i1")).To(gomega.BeNil(), "during the cut")
	r.feedChanges(state.InstanceTable, 500, removal("i3", 500))
	g.Expect(r.managed.Instances.Get("i3")).To(gomega.BeNil(), "after the cut")
}

// TestRemovalIsDeferredAfterOutage guards against removing instances whose entries expired in
// an outage of the store for all nodes, whether this node reads of it itself or a peer relays it.
func TestRemovalIsDeferredAfterOutage(t *testing.T) {
	for name, returns := range map[string]func(*rig){
		"own answer":  func(r *rig) { r.feedChanges(state.InstanceTable, 500, removal("i1", 500)) },
		"relayed row": func(r *rig) { r.relayInstances(removal("i1", 500)) },
		"status, then a relayed row": func(r *rig) {
			r.receivePeerStatus(holderID, state.PeerStatus{ListAnswers: &state.ListAnswers{Age: 0}})
			r.relayInstances(removal("i1", 500))
		},
	} {
		g := gomega.NewWithT(t)
		r := newRig("n01", 2)
		r.followHolder(time.Second)
		for range 80 {
			r.receivePeerStatus(holderID, state.PeerStatus{StoreReplyAge: -1, InstancesAge: -1, ListAnswers: &state.ListAnswers{Age: 10 * time.Second}})
			r.failStore()
			r.advance(state.PeerStatusPeriod)
		}
		returns(r)
		r.advance(entryReturnTime - 2*state.TickPeriod)
		g.Expect(r.managed.Instances.Get("i1")).NotTo(gomega.BeNil(), name)
		r.advance(4 * state.TickPeriod)
		g.Expect(r.managed.Instances.Get("i1")).To(gomega.BeNil(), name)
	}
}

// TestIsolatedNodeWithdrawsOutage guards against a node that lost the store and all peers and
// defers removals although a peer was answered all the while, and against doing so on the word
// of a peer that cannot know.
func TestIsolatedNodeWithdrawsOutage(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers *state.ListAnswers
		present bool
	}{
		{"the peer was answered", &state.ListAnswers{Age: 100 * time.Millisecond, UnbrokenFor: 20 * time.Second}, false},
		{"the peer has started since", &state.ListAnswers{Age: 100 * time.Millisecond, UnbrokenFor: 2 * time.Second}, true},
		{"the peer has no recent answer", &state.ListAnswers{Age: 6 * time.Second}, true},
		{"the peer says nothing", nil, true},
	} {
		g := gomega.NewWithT(t)
		r := newRig("n01", 2)
		r.advance(time.Second)
		r.feedChanges(state.InstanceTable, 110, instanceRow("i2", 110))
		for range 50 {
			r.failStore()
			r.advance(100 * time.Millisecond)
		}
		r.feedChanges(state.InstanceTable, 120, removal("i1", 120))
		g.Expect(r.managed.Instances.Get("i1")).NotTo(gomega.BeNil(), c.name)
		r.receivePeerStatus(holderID, state.PeerStatus{TableRevisions: []uint64{1, 1, 1}, ListAnswers: c.answers})
		g.Expect(r.managed.Instances.Get("i1") != nil).To(gomega.Equal(c.present), c.name)
		g.Expect(r.managed.StoreRecoveredAt >= 0).To(gomega.Equal(c.present), c.name)
	}
}

// TestWithdrawalKeepsTheOutageBefore guards against removals that are carried out at once after an
// outage, because a failed call that followed it turned out to be one of this node alone.
func TestWithdrawalKeepsTheOutageBefore(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n01", 2)
	r.feedChanges(state.InstanceTable, 110, instanceRow("i2", 110))
	fail := func(d time.Duration) {
		r.failStore()
		r.advance(d)
	}
	fail(5 * time.Second)
	r.feedChanges(state.InstanceTable, 120, instanceRow("i2", 120))
	fail(500 * time.Millisecond)
	r.feedChanges(state.InstanceTable, 130, removal("i1", 130))
	r.receivePeerStatus("n00", state.PeerStatus{TableRevisions: []uint64{1, 1, 1}, ListAnswers: &state.ListAnswers{Age: 0, UnbrokenFor: 500 * time.Millisecond}})
	g.Expect(r.managed.Instances.Get("i1")).NotTo(gomega.BeNil())
	r.advance(entryReturnTime - 500*time.Millisecond)
	g.Expect(r.managed.Instances.Get("i1")).To(gomega.BeNil())
}

// TestOutageOfEarlierEraIsNotWithdrawn guards against taking back that the store came back from
// a copy on the word of a peer.
func TestOutageOfEarlierEraIsNotWithdrawn(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n01", 2)
	r.feedTable(state.InstanceTable, eraRevision(110), instanceRow("i1", eraRevision(50)))
	recoveredAt := r.managed.StoreRecoveredAt
	g.Expect(recoveredAt).To(gomega.Equal(r.now))
	r.advance(100 * time.Millisecond)
	for _, revision := range []uint64{100, eraRevision(110)} {
		r.receivePeerStatus(holderID, state.PeerStatus{
			TableRevisions: []uint64{revision, revision, revision}, ListAnswers: &state.ListAnswers{UnbrokenFor: time.Minute},
		})
		g.Expect(r.managed.StoreRecoveredAt).To(gomega.Equal(recoveredAt))
	}
}

// TestLeavesLearnOfAnswersFromTheirHub guards against a leaf that takes an outage for a cut or the
// reverse, because its hub tells it of its own answers alone, and against hubs that take what
// they have told for what others were answered.
func TestLeavesLearnOfAnswersFromTheirHub(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 12)
	r.advance(3 * time.Second)
	r.receivePeerStatus("n01", state.PeerStatus{ListAnswers: &state.ListAnswers{Age: 200 * time.Millisecond}})
	r.receivePeerStatus("n05", state.PeerStatus{})
	r.outputs = nil
	r.advance(state.PeerStatusPeriod)
	statusTo := func(id state.NodeID) *state.ListAnswers {
		messages := r.messagesTo(id)
		g.Expect(messages).NotTo(gomega.BeEmpty())
		return messages[len(messages)-1].PeerStatus.ListAnswers
	}
	g.Expect(statusTo("n05").Age).To(gomega.BeNumerically("<", time.Second))
	g.Expect(statusTo("n01").Age).To(gomega.BeNumerically(">=", 3*time.Second))
}
