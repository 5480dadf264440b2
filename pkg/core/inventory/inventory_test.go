package inventory

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// rig drives one node's inventory system.
type rig struct {
	tables *state.Tables
	m      *state.ManagedState
	system *System
	now    time.Duration
	out    []state.Output
}

func newRig(id string, nodes int) *rig {
	tables := state.NewTables(state.Self{ID: state.NodeID(id), DataCentre: "a", Address: id}, state.Switches{}, 1)
	tables.Managed = state.NewManagedState()
	r := &rig{tables: tables, m: tables.Managed, system: New(tables), now: time.Second}
	var rows []state.RowUpdate
	for i := range nodes {
		id := state.NodeID(fmt.Sprintf("n%02d", i))
		rows = append(rows, state.RowUpdate{Key: state.PrefixNode + string(id), Revision: uint64(i + 1), Node: &state.RegisteredNode{
			Entry: state.NodeEntry{ID: id, DataCentre: "a", Address: string(id)}, Revision: uint64(i + 1),
		}})
	}
	r.whole(state.NodeTable, 100, rows...)
	r.whole(state.OperatorTable, 100, config(5, 100))
	r.whole(state.InstanceTable, 100, instance("i1", 50))
	return r
}

func config(version, revision uint64) state.RowUpdate {
	return state.RowUpdate{Key: "config", Revision: revision, PlatformConfig: &state.PlatformConfig{Version: version}}
}

func instance(id string, revision uint64) state.RowUpdate {
	return state.RowUpdate{Key: id, Revision: revision, Instance: &state.Instance{ID: state.HostID(id), Service: "pool", Revision: revision}}
}

func (r *rig) step(in state.Input) []state.Output {
	var out state.Outbox
	r.system.Step(r.now, in, &out)
	r.out = append(r.out, out.Outputs...)
	return out.Outputs
}

func (r *rig) whole(table state.TableKind, revision uint64, rows ...state.RowUpdate) {
	r.step(state.TableUpdate{Table: table, Snapshot: true, Revision: revision, Rows: rows, SentAt: r.now})
}

func (r *rig) changes(table state.TableKind, revision uint64, rows ...state.RowUpdate) {
	r.step(state.TableUpdate{Table: table, Revision: revision, Rows: rows, SentAt: r.now})
}

func (r *rig) after(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += state.TickPeriod
		r.step(state.Tick{})
	}
}

// hear links a peer and feeds its bulletin.
func (r *rig) hear(id state.NodeID, b state.PeerStatus) {
	if !r.system.linked[id] {
		r.step(state.PeerLinkChanged{Peer: id, Up: true})
	}
	r.step(state.PeerMessage{From: id, Message: state.Message{PeerStatus: &b}})
}

func (r *rig) sent(to state.NodeID) []state.Message {
	var out []state.Message
	for _, o := range r.out {
		if s, ok := o.(state.SendPeer); ok && s.To == to {
			out = append(out, s.Message)
		}
	}
	return out
}

// TestConfigurationNeverReverts guards against an older version that comes late,
// from the store or from a peer.
func TestConfigurationNeverReverts(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 1)
	r.changes(state.OperatorTable, 110, config(9, 110))
	r.changes(state.OperatorTable, 120, config(7, 105))
	r.whole(state.OperatorTable, 90, config(4, 90))
	r.step(state.PeerMessage{From: "n01", Message: state.Message{TableUpdate: &state.TableUpdate{
		Table: state.OperatorTable, Snapshot: true, Revision: 95, Rows: []state.RowUpdate{config(3, 95)},
	}}})
	g.Expect(r.m.PlatformConfig.Version).To(gomega.Equal(uint64(9)))
}

// TestEvacuation guards against a data centre that stays out, or comes back too
// early, when its row is removed or absent from the whole table.
func TestEvacuation(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 1)
	key := state.PrefixEvacuated + "north"
	r.changes(state.OperatorTable, 110, state.RowUpdate{Key: key, Revision: 110, Evacuated: "north"})
	g.Expect(r.m.Evacuated).To(gomega.HaveKey(state.DataCentre("north")))
	r.changes(state.OperatorTable, 111, state.RowUpdate{Key: key, Revision: 111, Removed: true})
	g.Expect(r.m.Evacuated).To(gomega.BeEmpty())
	r.changes(state.OperatorTable, 112, state.RowUpdate{Key: key, Revision: 112, Evacuated: "north"})
	r.whole(state.OperatorTable, 120, config(5, 100))
	g.Expect(r.m.Evacuated).To(gomega.BeEmpty())
}

// TestLapsedEntryAfterAnOutage guards against instances that are dropped because
// they could not renew their entries: they have 2 s from the store's return, and
// are gone after that.
func TestLapsedEntryAfterAnOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 1)
	r.step(state.TableUpdate{Table: state.InstanceTable, Failed: true})
	r.now += 500 * time.Millisecond
	r.changes(state.InstanceTable, 130, state.RowUpdate{Key: "i1", Revision: 130, Removed: true})
	g.Expect(r.m.Instances.Get("i1")).NotTo(gomega.BeNil())
	r.after(1900 * time.Millisecond)
	g.Expect(r.m.Instances.Get("i1")).NotTo(gomega.BeNil())
	r.after(300 * time.Millisecond)
	g.Expect(r.m.Instances.Get("i1")).To(gomega.BeNil())
}

// TestEntryThatComesBack guards against an instance that is dropped though its
// entry is back.
func TestEntryThatComesBack(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 1)
	r.step(state.TableUpdate{Table: state.InstanceTable, Failed: true})
	r.changes(state.InstanceTable, 130, state.RowUpdate{Key: "i1", Revision: 130, Removed: true})
	r.changes(state.InstanceTable, 140, instance("i1", 140))
	r.after(5 * time.Second)
	g.Expect(r.m.Instances.Get("i1")).NotTo(gomega.BeNil())
}

// TestRemovedInstanceIsGone guards against work for an instance that left while
// the store was well.
func TestRemovedInstanceIsGone(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 1)
	r.changes(state.InstanceTable, 130, state.RowUpdate{Key: "i1", Revision: 130, Removed: true})
	g.Expect(r.m.Instances.Get("i1")).To(gomega.BeNil())
}

// TestCutOffNode guards against a node without any evidence that takes new work,
// and against all nodes that stop when only the store is down.
func TestCutOffNode(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 2)
	r.after(state.TickPeriod)
	g.Expect(r.tables.Config.Fresh).To(gomega.BeTrue())
	for range 60 {
		r.hear("n01", state.PeerStatus{StoreReplyAge: 10 * time.Second, InstancesAge: 10 * time.Second})
		r.after(100 * time.Millisecond)
	}
	g.Expect(r.tables.Config.Fresh).To(gomega.BeTrue())
	r.after(isolatedAfter + heardFor)
	g.Expect(r.tables.Config.Fresh).To(gomega.BeFalse())
}

// TestNewConfigurationFromAPeer guards against a node that the store turns away
// and that keeps an old configuration: a peer's rows bring the new one.
func TestNewConfigurationFromAPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 2)
	r.hear("n01", state.PeerStatus{TableRevisions: []uint64{150, 100, 100}})
	r.after(relayDelay + 2*state.PeerStatusPeriod)
	asked := false
	for _, m := range r.sent("n01") {
		asked = asked || m.TableRequest != nil && m.TableRequest.Table == state.OperatorTable
	}
	g.Expect(asked).To(gomega.BeTrue())
	r.step(state.PeerMessage{From: "n01", Message: state.Message{TableUpdate: &state.TableUpdate{
		Table: state.OperatorTable, Snapshot: true, Revision: 150, Rows: []state.RowUpdate{config(8, 150)},
	}}})
	g.Expect(r.m.PlatformConfig.Version).To(gomega.Equal(uint64(8)))
}

// TestRowsAfterAGap guards against rows passed on that are taken though others
// before them are missing.
func TestRowsAfterAGap(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 2)
	r.step(state.PeerMessage{From: "n01", Message: state.Message{TableUpdate: &state.TableUpdate{
		Table: state.InstanceTable, BaseRevision: 140, Revision: 150, Rows: []state.RowUpdate{instance("i2", 150)},
	}}})
	g.Expect(r.m.Instances.Get("i2")).To(gomega.BeNil())
	r.step(state.PeerMessage{From: "n01", Message: state.Message{TableUpdate: &state.TableUpdate{
		Table: state.InstanceTable, BaseRevision: 50, Revision: 140, Rows: []state.RowUpdate{instance("i3", 140)},
	}}})
	g.Expect(r.m.Instances.Get("i3")).NotTo(gomega.BeNil())
}

// TestOneNodeOfADataCentreFollows guards against calls of the store that grow
// with the nodes, and against nobody who follows once that node is lost.
func TestOneNodeOfADataCentreFollows(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n01", 2)
	r.after(state.TickPeriod)
	g.Expect(r.m.WatchesStore).To(gomega.BeTrue())
	r.hear("n00", state.PeerStatus{StoreReplyAge: time.Second, InstancesAge: time.Second})
	r.after(state.TickPeriod)
	g.Expect(r.m.WatchesStore).To(gomega.BeFalse())
	r.hear("n00", state.PeerStatus{StoreReplyAge: 3 * time.Second, InstancesAge: time.Second})
	r.after(state.TickPeriod)
	g.Expect(r.m.WatchesStore).To(gomega.BeTrue())
	r.hear("n00", state.PeerStatus{StoreReplyAge: time.Second, InstancesAge: time.Second})
	r.after(heardFor + state.TickPeriod)
	g.Expect(r.m.WatchesStore).To(gomega.BeTrue())
}

// TestRowsArePassedOn guards against a peer that does not follow and learns of a
// change only with the next bulletin.
func TestRowsArePassedOn(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 2)
	r.hear("n01", state.PeerStatus{StoreReplyAge: -1})
	r.changes(state.OperatorTable, 110, config(9, 110))
	var rows *state.TableUpdate
	for _, m := range r.sent("n01") {
		if m.TableUpdate != nil {
			rows = m.TableUpdate
		}
	}
	g.Expect(rows).NotTo(gomega.BeNil())
	g.Expect(rows.BaseRevision).To(gomega.Equal(uint64(100)))
	g.Expect(rows.Rows[0].PlatformConfig.Version).To(gomega.Equal(uint64(9)))
}

// TestHubs guards against links and bulletins that grow with the square of the
// nodes: leaves talk to one hub, which speaks for them and tells them the sums.
func TestHubs(t *testing.T) {
	g := gomega.NewWithT(t)
	leaf := newRig("n09", 12)
	g.Expect(leaf.system.peers).To(gomega.HaveLen(leafLinks))
	leaf.m.Loads["t"] = &state.TargetLoad{Target: "t", Running: 2}
	leaf.step(state.PeerLinkChanged{Peer: "n00", Up: true})
	leaf.step(state.PeerLinkChanged{Peer: "n01", Up: true})
	leaf.after(state.PeerStatusPeriod)
	g.Expect(leaf.sent("n00")).NotTo(gomega.BeEmpty())
	g.Expect(leaf.sent("n01")).To(gomega.BeEmpty())
	leaf.hear("n00", state.PeerStatus{ClusterTotals: true, Loads: []state.TargetLoad{{Target: "t", Running: 5}}})
	g.Expect(leaf.m.PeerLoads["n00"]).To(gomega.Equal([]state.TargetLoad{{Target: "t", Running: 3}}))

	hub := newRig("n00", 12)
	g.Expect(hub.system.peers).To(gomega.HaveLen(hubsPerDataCentre - 1))
	hub.m.Loads["t"] = &state.TargetLoad{Target: "t", Running: 1}
	hub.hear("n09", state.PeerStatus{Loads: []state.TargetLoad{{Target: "t", Running: 2}}, StalledTargets: []state.HostID{"s"}})
	hub.hear("n01", state.PeerStatus{Loads: []state.TargetLoad{{Target: "t", Running: 4}}})
	hub.out = nil
	hub.after(state.PeerStatusPeriod)
	toHub, toLeaf := hub.sent("n01")[0].PeerStatus, hub.sent("n09")[0].PeerStatus
	g.Expect(toHub.Loads).To(gomega.Equal([]state.TargetLoad{{Target: "t", Running: 3}}))
	g.Expect(toHub.StalledTargets).To(gomega.Equal([]state.HostID{"s"}))
	g.Expect(toLeaf.Loads).To(gomega.Equal([]state.TargetLoad{{Target: "t", Running: 7}}))
	g.Expect(toLeaf.ClusterTotals).To(gomega.BeTrue())
}

// TestLeafChangesItsHub guards against a leaf that hears nothing any more once
// its hub is lost.
func TestLeafChangesItsHub(t *testing.T) {
	g := gomega.NewWithT(t)
	leaf := newRig("n09", 12)
	leaf.hear("n00", state.PeerStatus{ClusterTotals: true})
	leaf.step(state.PeerLinkChanged{Peer: "n01", Up: true})
	leaf.step(state.PeerLinkChanged{Peer: "n00"})
	leaf.out = nil
	leaf.after(2 * state.PeerStatusPeriod)
	g.Expect(leaf.sent("n01")).NotTo(gomega.BeEmpty())
}

// TestOperatorChangesAreRefused guards against a change that an operator makes at
// a node while the platform holds the configuration.
func TestOperatorChangesAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 1)
	out := r.step(state.OperatorCommand{ID: 4})
	g.Expect(out).To(gomega.HaveLen(1))
	g.Expect(out[0].(state.OperatorReply).Error.Code).To(gomega.Equal("platform_holds_configuration"))
}

// TestOneSlowNodeIsNoSilentGroup replays a node that is slow, or whose links lose
// packets: it finds all its targets silent. On a recorded day its word alone
// ended ten groups that served others well.
func TestOneSlowNodeIsNoSilentGroup(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 3)
	load := []state.TargetLoad{{Target: "t", Running: 2}}
	r.hear("n01", state.PeerStatus{Loads: load, StalledTargets: []state.HostID{"t"}})
	r.hear("n02", state.PeerStatus{Loads: load})
	r.after(state.PeerStatusPeriod)
	g.Expect(r.m.GloballyStalledTargets).To(gomega.BeEmpty())
	r.hear("n02", state.PeerStatus{Loads: load, StalledTargets: []state.HostID{"t"}})
	r.after(state.PeerStatusPeriod)
	g.Expect(r.m.GloballyStalledTargets).To(gomega.HaveKey(state.HostID("t")))
	r.hear("n01", state.PeerStatus{Loads: load})
	r.after(state.PeerStatusPeriod)
	g.Expect(r.m.GloballyStalledTargets).To(gomega.BeEmpty())
}

// TestOneWitnessIsNotEnough guards against a target at which only one node has
// streams, and that node is the slow one.
func TestOneWitnessIsNotEnough(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 3)
	r.hear("n01", state.PeerStatus{Loads: []state.TargetLoad{{Target: "t", Running: 2}}, StalledTargets: []state.HostID{"t"}})
	r.after(state.PeerStatusPeriod)
	g.Expect(r.m.GloballyStalledTargets).To(gomega.BeEmpty())
}
