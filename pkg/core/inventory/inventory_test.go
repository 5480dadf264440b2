package inventory

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// rig runs the inventory system of one node.
type rig struct {
	tables  *state.Tables
	managed *state.ManagedState
	system  *System
	now     time.Duration
	outputs []state.Output
}

func newRig(id string, nodes int) *rig {
	tables := state.NewTables(state.Self{ID: state.NodeID(id), DataCentre: "a", Address: id}, state.Switches{}, 1)
	tables.Managed = state.NewManagedState()
	r := &rig{tables: tables, managed: tables.Managed, system: New(tables), now: time.Second}
	var rows []state.RowUpdate
	for i := range nodes {
		id := state.NodeID(fmt.Sprintf("n%02d", i))
		rows = append(rows, state.RowUpdate{Key: state.PrefixNode + string(id), Revision: uint64(i + 1), Node: &state.RegisteredNode{
			Entry: state.NodeEntry{ID: id, DataCentre: "a", Address: string(id)}, Revision: uint64(i + 1),
		}})
	}
	r.feedTable(state.NodeTable, 100, rows...)
	r.feedTable(state.OperatorTable, 100, configRow(5, 100))
	r.feedTable(state.InstanceTable, 100, instanceRow("i1", 50))
	for i := range nodes {
		// All nodes start at the same time, so no peer has a history.
		r.step(state.PeerMessage{From: state.NodeID(fmt.Sprintf("n%02d", i)), Message: state.Message{History: &state.History{RecoveredAge: -1}}})
	}
	return r
}

func configRow(version, revision uint64) state.RowUpdate {
	return state.RowUpdate{Key: "config", Revision: revision, PlatformConfig: &state.PlatformConfig{Version: version}}
}

func instanceRow(id string, revision uint64) state.RowUpdate {
	return state.RowUpdate{Key: id, Revision: revision, Instance: &state.Instance{ID: state.HostID(id), Service: "pool", Revision: revision}}
}

func (r *rig) step(in state.Input) []state.Output {
	var out state.Outbox
	r.system.Step(r.now, in, &out)
	r.outputs = append(r.outputs, out.Outputs...)
	return out.Outputs
}

func (r *rig) feedTable(table state.TableKind, revision uint64, rows ...state.RowUpdate) {
	r.step(state.TableUpdate{Table: table, Snapshot: true, Revision: revision, Rows: rows, SentAt: r.now})
}

func (r *rig) feedChanges(table state.TableKind, revision uint64, rows ...state.RowUpdate) {
	r.step(state.TableUpdate{Table: table, Revision: revision, Rows: rows, SentAt: r.now})
}

func (r *rig) advance(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += state.TickPeriod
		r.step(state.Tick{})
	}
}

// receivePeerStatus links a peer if necessary and delivers its status.
func (r *rig) receivePeerStatus(id state.NodeID, status state.PeerStatus) {
	if !r.system.linkedPeers[id] {
		r.step(state.PeerLinkChanged{Peer: id, Up: true})
	}
	r.step(state.PeerMessage{From: id, Message: state.Message{PeerStatus: &status}})
}

func (r *rig) messagesTo(to state.NodeID) []state.Message {
	var out []state.Message
	for _, o := range r.outputs {
		if send, ok := o.(state.SendPeer); ok && send.To == to {
			out = append(out, send.Message)
		}
	}
	return out
}

// TestConfigurationNeverReverts guards against applying an older version that
// arrives late from the store or from a peer.
func TestConfigurationNeverReverts(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 1)
	r.feedChanges(state.OperatorTable, 110, configRow(9, 110))
	r.feedChanges(state.OperatorTable, 120, configRow(7, 105))
	r.feedTable(state.OperatorTable, 90, configRow(4, 90))
	r.step(state.PeerMessage{From: "n01", Message: state.Message{TableUpdate: &state.TableUpdate{
		Table: state.OperatorTable, Snapshot: true, Revision: 95, Rows: []state.RowUpdate{configRow(3, 95)},
	}}})
	g.Expect(r.managed.PlatformConfig.Version).To(gomega.Equal(uint64(9)))
}

// TestEvacuationFollowsItsRow guards against a data centre that remains
// evacuated after its row is removed or missing from a snapshot, or that
// receives work while the row exists.
func TestEvacuationFollowsItsRow(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 1)
	key := state.PrefixEvacuated + "north"
	r.feedChanges(state.OperatorTable, 110, state.RowUpdate{Key: key, Revision: 110, Evacuated: "north"})
	g.Expect(r.managed.Evacuated).To(gomega.HaveKey(state.DataCentre("north")))
	r.feedChanges(state.OperatorTable, 111, state.RowUpdate{Key: key, Revision: 111, Removed: true})
	g.Expect(r.managed.Evacuated).To(gomega.BeEmpty())
	r.feedChanges(state.OperatorTable, 112, state.RowUpdate{Key: key, Revision: 112, Evacuated: "north"})
	r.feedTable(state.OperatorTable, 120, configRow(5, 100))
	g.Expect(r.managed.Evacuated).To(gomega.BeEmpty())
}

// TestExpiredEntryMayReturnAfterOutage guards against removing instances that
// could not renew their entries. They have 2 s after the recovery of the store
// and are removed after that.
func TestExpiredEntryMayReturnAfterOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 1)
	r.step(state.TableUpdate{Table: state.InstanceTable, Failed: true})
	r.now += 500 * time.Millisecond
	r.feedChanges(state.InstanceTable, 130, state.RowUpdate{Key: "i1", Revision: 130, Removed: true})
	g.Expect(r.managed.Instances.Get("i1")).NotTo(gomega.BeNil())
	r.advance(1900 * time.Millisecond)
	g.Expect(r.managed.Instances.Get("i1")).NotTo(gomega.BeNil())
	r.advance(300 * time.Millisecond)
	g.Expect(r.managed.Instances.Get("i1")).To(gomega.BeNil())
}

// TestReturnedEntryIsKept guards against removing an instance whose expired
// entry has been written again.
func TestReturnedEntryIsKept(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 1)
	r.step(state.TableUpdate{Table: state.InstanceTable, Failed: true})
	r.feedChanges(state.InstanceTable, 130, state.RowUpdate{Key: "i1", Revision: 130, Removed: true})
	r.feedChanges(state.InstanceTable, 140, instanceRow("i1", 140))
	r.advance(5 * time.Second)
	g.Expect(r.managed.Instances.Get("i1")).NotTo(gomega.BeNil())
}

// TestRemovedInstanceIsDropped guards against sending work to an instance that
// left while the store was available.
func TestRemovedInstanceIsDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 1)
	r.feedChanges(state.InstanceTable, 130, state.RowUpdate{Key: "i1", Revision: 130, Removed: true})
	g.Expect(r.managed.Instances.Get("i1")).To(gomega.BeNil())
}

// TestIsolatedNodeTakesNoNewWork guards against a node that takes new work
// without recent information from the store or a peer, and against all nodes
// refusing work when only the store is down.
func TestIsolatedNodeTakesNoNewWork(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 2)
	r.advance(state.TickPeriod)
	g.Expect(r.tables.Config.Fresh).To(gomega.BeTrue())
	for range 60 {
		r.receivePeerStatus("n01", state.PeerStatus{StoreReplyAge: 10 * time.Second, InstancesAge: 10 * time.Second})
		r.advance(100 * time.Millisecond)
	}
	g.Expect(r.tables.Config.Fresh).To(gomega.BeTrue())
	r.advance(isolationTimeout + peerStatusTimeout)
	g.Expect(r.tables.Config.Fresh).To(gomega.BeFalse())
}

// TestNewerConfigurationIsRequestedFromPeer guards against a node that the
// store does not answer and that keeps an old configuration. It receives the
// new one from a peer.
func TestNewerConfigurationIsRequestedFromPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 2)
	r.receivePeerStatus("n01", state.PeerStatus{TableRevisions: []uint64{150, 100, 100}})
	r.advance(tableRequestDelay + 2*state.PeerStatusPeriod)
	requested := false
	for _, m := range r.messagesTo("n01") {
		requested = requested || m.TableRequest != nil && m.TableRequest.Table == state.OperatorTable
	}
	g.Expect(requested).To(gomega.BeTrue())
	r.step(state.PeerMessage{From: "n01", Message: state.Message{TableUpdate: &state.TableUpdate{
		Table: state.OperatorTable, Snapshot: true, Revision: 150, Rows: []state.RowUpdate{configRow(8, 150)},
	}}})
	g.Expect(r.managed.PlatformConfig.Version).To(gomega.Equal(uint64(8)))
}

// TestRelayedRowsAfterGapAreIgnored guards against applying relayed rows
// although earlier rows are missing.
func TestRelayedRowsAfterGapAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 2)
	r.step(state.PeerMessage{From: "n01", Message: state.Message{TableUpdate: &state.TableUpdate{
		Table: state.InstanceTable, BaseRevision: 140, Revision: 150, Rows: []state.RowUpdate{instanceRow("i2", 150)},
	}}})
	g.Expect(r.managed.Instances.Get("i2")).To(gomega.BeNil())
	r.step(state.PeerMessage{From: "n01", Message: state.Message{TableUpdate: &state.TableUpdate{
		Table: state.InstanceTable, BaseRevision: 50, Revision: 140, Rows: []state.RowUpdate{instanceRow("i3", 140)},
	}}})
	g.Expect(r.managed.Instances.Get("i3")).NotTo(gomega.BeNil())
}

// TestOneNodePerDataCentreWatchesStore guards against store calls that grow
// with the number of nodes, and against a data centre in which no node watches
// the store after that node has failed.
func TestOneNodePerDataCentreWatchesStore(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n01", 2)
	r.advance(state.TickPeriod)
	g.Expect(r.managed.WatchesStore).To(gomega.BeTrue())
	r.receivePeerStatus("n00", state.PeerStatus{StoreReplyAge: time.Second, InstancesAge: time.Second})
	r.advance(state.TickPeriod)
	g.Expect(r.managed.WatchesStore).To(gomega.BeFalse())
	r.receivePeerStatus("n00", state.PeerStatus{StoreReplyAge: 3 * time.Second, InstancesAge: time.Second})
	r.advance(state.TickPeriod)
	g.Expect(r.managed.WatchesStore).To(gomega.BeTrue())
	r.receivePeerStatus("n00", state.PeerStatus{StoreReplyAge: time.Second, InstancesAge: time.Second})
	r.advance(peerStatusTimeout + state.TickPeriod)
	g.Expect(r.managed.WatchesStore).To(gomega.BeTrue())
}

// exchangeMessages advances a hub and a leaf by one status period and delivers the messages
// that they send to each other.
func exchangeMessages(hub, leaf *rig) {
	hubID, leafID := hub.tables.Self.ID, leaf.tables.Self.ID
	hub.outputs, leaf.outputs = nil, nil
	hub.advance(state.PeerStatusPeriod)
	for _, m := range hub.messagesTo(leafID) {
		leaf.step(state.PeerMessage{From: hubID, Message: m})
	}
	leaf.advance(state.PeerStatusPeriod)
	for _, m := range leaf.messagesTo(hubID) {
		hub.step(state.PeerMessage{From: leafID, Message: m})
	}
}

// TestLeavesOfAnyHubDoNotWatchStore replays the start of a fleet in which the leaves of a
// data centre were linked first with a hub that does not watch the store itself, because
// another hub does. Each of them watched the store for as long as this hub was up: 22 of
// 62 nodes on one day.
func TestLeavesOfAnyHubDoNotWatchStore(t *testing.T) {
	g := gomega.NewWithT(t)
	hub, leaf := newRig("n01", 12), newRig("n09", 12)
	hub.step(state.PeerLinkChanged{Peer: "n09", Up: true})
	leaf.step(state.PeerLinkChanged{Peer: "n01", Up: true})
	watched := 0
	for range 100 {
		hub.receivePeerStatus("n00", state.PeerStatus{StoreReplyAge: 2 * time.Second, InstancesAge: time.Second})
		exchangeMessages(hub, leaf)
		if leaf.managed.WatchesStore {
			watched++
		}
	}
	g.Expect(hub.managed.WatchesStore).To(gomega.BeFalse())
	g.Expect(watched).To(gomega.BeNumerically("<", 10), "only until the first status of the hub")
}

// TestHubsTakeOverBeforeTheirLeaves replays the pause of the node that watches the list of
// instances. It guards against leaves that all read the whole list, because their hubs
// notice the pause no sooner than they do.
func TestHubsTakeOverBeforeTheirLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	hub, leaf := newRig("n01", 12), newRig("n09", 12)
	for _, r := range []*rig{hub, leaf} {
		r.managed.Lease.Row.Holder = "n00"
	}
	hub.step(state.PeerLinkChanged{Peer: "n09", Up: true})
	leaf.step(state.PeerLinkChanged{Peer: "n01", Up: true})
	hubWatches, leafWatches := 0, 0
	for i := range 80 {
		if i < 50 {
			// The holder's watch call has found no change for almost two seconds.
			hub.receivePeerStatus("n00", state.PeerStatus{StoreReplyAge: 1900 * time.Millisecond, InstancesAge: 1900 * time.Millisecond})
		}
		if hub.system.watching.Instances && i >= 50 {
			hubWatches++
			// The hub reads the list as soon as it watches it.
			hub.feedTable(state.InstanceTable, 100, instanceRow("i1", 50))
		}
		exchangeMessages(hub, leaf)
		if leaf.system.watching.Instances && i >= 5 {
			leafWatches++
		}
	}
	g.Expect(hubWatches).To(gomega.BeNumerically(">", 20))
	g.Expect(leafWatches).To(gomega.BeZero())
}

// TestFailedCallOfHubDoesNotAlarmLeaves replays a store that turns one hub away. It guards
// against leaves that all watch the store as soon as a call of their hub fails, although
// another hub takes over.
func TestFailedCallOfHubDoesNotAlarmLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	hub, leaf := newRig("n00", 12), newRig("n09", 12)
	for _, r := range []*rig{hub, leaf} {
		r.managed.Lease.Row.Holder = "n00"
	}
	hub.step(state.PeerLinkChanged{Peer: "n09", Up: true})
	leaf.step(state.PeerLinkChanged{Peer: "n00", Up: true})
	for i := range 100 {
		switch {
		case i < 20:
			hub.feedChanges(state.OperatorTable, 100)
			hub.feedChanges(state.InstanceTable, 100)
		default:
			for table := range state.NodeTable {
				hub.step(state.TableUpdate{Table: table, SentAt: hub.now, Failed: true})
			}
		}
		if i > 25 {
			hub.receivePeerStatus("n01", state.PeerStatus{StoreReplyAge: time.Second, InstancesAge: time.Second})
		}
		exchangeMessages(hub, leaf)
		if i >= 5 {
			g.Expect(leaf.system.watching.Configuration).To(gomega.BeFalse(), "round %d", i)
			g.Expect(leaf.system.watching.Instances).To(gomega.BeFalse(), "round %d", i)
		}
	}
}

// TestLeafLeavesPausedHub guards against a leaf that goes on sending its status to a hub
// which is paused, although its link to another hub works.
func TestLeafLeavesPausedHub(t *testing.T) {
	g := gomega.NewWithT(t)
	leaf := newRig("n09", 12)
	leaf.step(state.PeerLinkChanged{Peer: "n00", Up: true})
	leaf.step(state.PeerLinkChanged{Peer: "n01", Up: true})
	leaf.receivePeerStatus("n00", state.PeerStatus{})
	g.Expect(leaf.system.primaryHub(leaf.now)).To(gomega.Equal(state.NodeID("n00")))
	leaf.now += peerStatusTimeout
	g.Expect(leaf.system.primaryHub(leaf.now)).To(gomega.Equal(state.NodeID("n01")))
	leaf.receivePeerStatus("n01", state.PeerStatus{})
	g.Expect(leaf.system.primaryHub(leaf.now)).To(gomega.Equal(state.NodeID("n01")))
}

// TestUpdatesAreRelayedToPeers guards against a peer that does not watch the
// store and learns of a change only with the next peer status.
func TestUpdatesAreRelayedToPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 2)
	r.receivePeerStatus("n01", state.PeerStatus{StoreReplyAge: -1})
	r.feedChanges(state.OperatorTable, 110, configRow(9, 110))
	var rows *state.TableUpdate
	for _, m := range r.messagesTo("n01") {
		if m.TableUpdate != nil {
			rows = m.TableUpdate
		}
	}
	g.Expect(rows).NotTo(gomega.BeNil())
	g.Expect(rows.BaseRevision).To(gomega.Equal(uint64(100)))
	g.Expect(rows.Rows[0].PlatformConfig.Version).To(gomega.Equal(uint64(9)))
}

// TestHubsAggregatePeerStatus guards against links and status messages that
// grow with the square of the number of nodes. A leaf sends its status to one
// hub, which aggregates its leaves and returns the sums over all nodes.
func TestHubsAggregatePeerStatus(t *testing.T) {
	g := gomega.NewWithT(t)
	leaf := newRig("n09", 12)
	g.Expect(leaf.system.peers).To(gomega.HaveLen(leafLinks))
	leaf.managed.Loads["t"] = &state.TargetLoad{Target: "t", Running: 2}
	leaf.step(state.PeerLinkChanged{Peer: "n00", Up: true})
	leaf.step(state.PeerLinkChanged{Peer: "n01", Up: true})
	leaf.advance(state.PeerStatusPeriod)
	g.Expect(leaf.messagesTo("n00")).NotTo(gomega.BeEmpty())
	g.Expect(leaf.messagesTo("n01")).To(gomega.BeEmpty())
	leaf.receivePeerStatus("n00", state.PeerStatus{ClusterTotals: true, Loads: []state.TargetLoad{{Target: "t", Running: 5}}})
	g.Expect(leaf.managed.PeerLoads["n00"]).To(gomega.Equal([]state.TargetLoad{{Target: "t", Running: 3}}))

	hub := newRig("n00", 12)
	g.Expect(hub.system.peers).To(gomega.HaveLen(hubsPerDataCentre - 1))
	hub.managed.Loads["t"] = &state.TargetLoad{Target: "t", Running: 1}
	hub.receivePeerStatus("n09", state.PeerStatus{Loads: []state.TargetLoad{{Target: "t", Running: 2}}, StalledTargets: []state.HostID{"s"}})
	hub.receivePeerStatus("n01", state.PeerStatus{Loads: []state.TargetLoad{{Target: "t", Running: 4}}})
	hub.outputs = nil
	hub.advance(state.PeerStatusPeriod)
	toHub, toLeaf := hub.messagesTo("n01")[0].PeerStatus, hub.messagesTo("n09")[0].PeerStatus
	g.Expect(toHub.Loads).To(gomega.Equal([]state.TargetLoad{{Target: "t", Running: 3}}))
	g.Expect(toHub.StalledTargets).To(gomega.Equal([]state.HostID{"s"}))
	g.Expect(toLeaf.Loads).To(gomega.Equal([]state.TargetLoad{{Target: "t", Running: 7}}))
	g.Expect(toLeaf.ClusterTotals).To(gomega.BeTrue())
}

// TestLoadsOfTwoHubsCountOnce guards against a leaf that counts each request twice after it has
// changed its hub, because both have reported the sums over all nodes.
func TestLoadsOfTwoHubsCountOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	leaf := newRig("n09", 12)
	totals := state.PeerStatus{ClusterTotals: true, Loads: []state.TargetLoad{{Target: "t", Running: 5}}}
	leaf.receivePeerStatus("n00", totals)
	leaf.receivePeerStatus("n01", totals)
	g.Expect(leaf.managed.PeerLoads).To(gomega.Equal(map[state.NodeID][]state.TargetLoad{"n01": totals.Loads}))
	leaf.receivePeerStatus("n00", totals)
	g.Expect(leaf.managed.PeerLoads).To(gomega.Equal(map[state.NodeID][]state.TargetLoad{"n00": totals.Loads}))
}

// TestOneStalledNodeKeepsNoOtherAway guards against a target that gets no requests of other
// nodes because one node has lost a connection to it, while streams of others go on there.
func TestOneStalledNodeKeepsNoOtherAway(t *testing.T) {
	g := gomega.NewWithT(t)
	hub := newRig("n00", 12)
	loads := []state.TargetLoad{{Target: "t", Running: 2}}
	stalledFor := func(other state.PeerStatus) []state.HostID {
		hub.receivePeerStatus("n09", state.PeerStatus{Loads: loads, StalledTargets: []state.HostID{"t"}})
		hub.receivePeerStatus("n10", other)
		hub.outputs = nil
		hub.advance(state.PeerStatusPeriod)
		return hub.messagesTo("n11")[0].PeerStatus.StalledTargets
	}
	hub.receivePeerStatus("n11", state.PeerStatus{})
	g.Expect(stalledFor(state.PeerStatus{Loads: loads})).To(gomega.BeEmpty())
	g.Expect(stalledFor(state.PeerStatus{Loads: loads, StalledTargets: []state.HostID{"t"}})).To(gomega.Equal([]state.HostID{"t"}))
	g.Expect(stalledFor(state.PeerStatus{})).To(gomega.Equal([]state.HostID{"t"}))
}

// TestLeafSwitchesToNextHub guards against a leaf that exchanges no status any
// more after its hub has failed.
func TestLeafSwitchesToNextHub(t *testing.T) {
	g := gomega.NewWithT(t)
	leaf := newRig("n09", 12)
	leaf.receivePeerStatus("n00", state.PeerStatus{ClusterTotals: true})
	leaf.step(state.PeerLinkChanged{Peer: "n01", Up: true})
	leaf.step(state.PeerLinkChanged{Peer: "n00"})
	leaf.outputs = nil
	leaf.advance(2 * state.PeerStatusPeriod)
	g.Expect(leaf.messagesTo("n01")).NotTo(gomega.BeEmpty())
}

// TestOperatorChangesAreRefused guards against a change by an operator at a
// node while the platform holds the configuration.
func TestOperatorChangesAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 1)
	out := r.step(state.OperatorCommand{ID: 4})
	g.Expect(out).To(gomega.HaveLen(1))
	g.Expect(out[0].(state.OperatorReply).Error.Code).To(gomega.Equal("platform_holds_configuration"))
}

// TestOneSlowNodeDoesNotMarkTargetStalled guards against ending groups on the
// report of one node. A node that is slow, or whose links lose packets, finds
// all its targets stalled. On a recorded day this ended ten groups that served
// other nodes well.
func TestOneSlowNodeDoesNotMarkTargetStalled(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 3)
	load := []state.TargetLoad{{Target: "t", Running: 2}}
	r.receivePeerStatus("n01", state.PeerStatus{Loads: load, StalledTargets: []state.HostID{"t"}})
	r.receivePeerStatus("n02", state.PeerStatus{Loads: load})
	r.advance(state.PeerStatusPeriod)
	g.Expect(r.managed.GloballyStalledTargets).To(gomega.BeEmpty())
	r.receivePeerStatus("n02", state.PeerStatus{Loads: load, StalledTargets: []state.HostID{"t"}})
	r.advance(state.PeerStatusPeriod)
	g.Expect(r.managed.GloballyStalledTargets).To(gomega.HaveKey(state.HostID("t")))
	r.receivePeerStatus("n01", state.PeerStatus{Loads: load})
	r.advance(state.PeerStatusPeriod)
	g.Expect(r.managed.GloballyStalledTargets).To(gomega.BeEmpty())
}

// TestOneReporterDoesNotMarkTargetStalled guards against marking a target as
// stalled when only one node has streams to it and that node is slow.
func TestOneReporterDoesNotMarkTargetStalled(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 3)
	r.receivePeerStatus("n01", state.PeerStatus{Loads: []state.TargetLoad{{Target: "t", Running: 2}}, StalledTargets: []state.HostID{"t"}})
	r.advance(state.PeerStatusPeriod)
	g.Expect(r.managed.GloballyStalledTargets).To(gomega.BeEmpty())
}
