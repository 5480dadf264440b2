package inventory

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// eraRevision is a revision after the store has come back from a copy once.
func eraRevision(version uint64) uint64 { return state.NewRevision(1, version) }

func processRow(id string, startID int64, revision uint64, change func(*state.Instance)) state.RowUpdate {
	row := instanceRow(id, revision)
	row.Instance.StartID = startID
	if change != nil {
		change(row.Instance)
	}
	return row
}

func draining(i *state.Instance) { i.Draining = true }

func inGroup(epoch uint64, phase state.MemberPhase) func(*state.Instance) {
	return func(i *state.Instance) {
		i.Membership = state.Membership{Group: "g", Epoch: epoch, Phase: phase}
	}
}

// TestRevisionsAreOrderedByEra guards against comparing versions that the store has
// assigned twice.
func TestRevisionsAreOrderedByEra(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(state.NewRevision(2, 5)).To(gomega.BeNumerically(">", state.NewRevision(1, 1<<40)))
	g.Expect(state.NewRevision(1, 6)).To(gomega.BeNumerically(">", state.NewRevision(1, 5)))
	g.Expect(state.NewRevision(3, 0)).To(gomega.BeZero())
	g.Expect(state.EraOf(state.NewRevision(7, 9))).To(gomega.Equal(uint64(7)))
	g.Expect(state.VersionOf(state.NewRevision(7, 9))).To(gomega.Equal(uint64(9)))
}

// TestRestoredStoreRevertsNothing guards against taking an old configuration, an
// ended evacuation or a lost departure from a store that came back from a copy.
func TestRestoredStoreRevertsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 1)
	key := state.PrefixEvacuated + "north"
	r.feedChanges(state.OperatorTable, 130, configRow(9, 129), state.RowUpdate{Key: key, Revision: 130, Evacuated: "north"})
	r.feedChanges(state.InstanceTable, 140, processRow("i1", 1, 140, draining))
	// The copy is older than all of these rows.
	r.feedTable(state.OperatorTable, eraRevision(110), configRow(7, eraRevision(105)))
	r.feedTable(state.InstanceTable, eraRevision(110), processRow("i1", 1, eraRevision(50), nil))
	g.Expect(r.managed.PlatformConfig.Version).To(gomega.Equal(uint64(9)))
	g.Expect(r.managed.Evacuated).To(gomega.HaveKey(state.DataCentre("north")))
	r.advance(6 * time.Second)
	g.Expect(r.managed.Instances.Get("i1").Draining).To(gomega.BeTrue())
	g.Expect(r.managed.Evacuated).To(gomega.HaveKey(state.DataCentre("north")))
	// The operator writes the row again and removes it later.
	r.feedChanges(state.OperatorTable, eraRevision(120), state.RowUpdate{Key: key, Revision: eraRevision(120), Evacuated: "north"})
	r.advance(evacuationHoldTime)
	g.Expect(r.managed.Evacuated).To(gomega.HaveKey(state.DataCentre("north")))
	r.feedChanges(state.OperatorTable, eraRevision(121), state.RowUpdate{Key: key, Revision: eraRevision(121), Removed: true})
	g.Expect(r.managed.Evacuated).To(gomega.BeEmpty())
}

// TestLostEvacuationEndsInTime guards against a data centre that stays out of use for
// ever because the operator ended its evacuation while the row was lost.
func TestLostEvacuationEndsInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 1)
	r.feedChanges(state.OperatorTable, 110, state.RowUpdate{Key: state.PrefixEvacuated + "north", Revision: 110, Evacuated: "north"})
	r.feedTable(state.OperatorTable, eraRevision(90), configRow(5, eraRevision(80)))
	r.feedTable(state.OperatorTable, eraRevision(91), configRow(5, eraRevision(80)))
	r.advance(evacuationHoldTime - time.Second)
	g.Expect(r.managed.Evacuated).NotTo(gomega.BeEmpty())
	r.advance(2 * time.Second)
	g.Expect(r.managed.Evacuated).To(gomega.BeEmpty())
}

// TestRowOfCopyWaitsForTheInstance guards against acting on the membership that a host
// had when the copy was made.
func TestRowOfCopyWaitsForTheInstance(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 1)
	r.feedChanges(state.InstanceTable, 140, processRow("i1", 1, 139, inGroup(7, state.MemberOpen)), processRow("i2", 1, 140, inGroup(8, state.MemberOpen)))
	r.feedTable(state.InstanceTable, eraRevision(110), processRow("i1", 1, eraRevision(50), inGroup(3, state.MemberOpen)), processRow("i2", 1, eraRevision(51), nil))
	g.Expect(r.managed.Instances.Get("i1").Membership.Epoch).To(gomega.Equal(uint64(7)))
	// The watch may read the table again, and the instance may write its row.
	r.feedTable(state.InstanceTable, eraRevision(111), processRow("i1", 1, eraRevision(50), inGroup(3, state.MemberOpen)), processRow("i2", 1, eraRevision(51), nil))
	g.Expect(r.managed.Instances.Get("i1").Membership.Epoch).To(gomega.Equal(uint64(7)))
	r.feedChanges(state.InstanceTable, eraRevision(112), processRow("i1", 1, eraRevision(112), inGroup(7, state.MemberClosing)))
	g.Expect(r.managed.Instances.Get("i1").Membership.Phase).To(gomega.Equal(state.MemberClosing))
	r.advance(entryReturnTime + time.Second)
	g.Expect(r.managed.Instances.Get("i1").Membership.Phase).To(gomega.Equal(state.MemberClosing))
	// Nothing contradicted the other row, which is no base for orders all the same.
	g.Expect(r.managed.Instances.Get("i2").Membership).To(gomega.BeZero())
	g.Expect(r.managed.Instances.Get("i2").RevisionSeenAt).To(gomega.Equal(r.managed.StoreRecoveredAt))
}

// TestRowOfCopyIsNotAppliedWhileTheStoreFails guards against acting on the membership that
// a host had when the copy was made, because the store failed again before the host could
// write its row, or although the host has reported its membership meanwhile.
func TestRowOfCopyIsNotAppliedWhileTheStoreFails(t *testing.T) {
	restored := func() *rig {
		r := newRig("n00", 1)
		r.feedChanges(state.InstanceTable, 140, processRow("i1", 1, 139, inGroup(7, state.MemberOpen)))
		r.feedTable(state.InstanceTable, eraRevision(110), processRow("i1", 1, eraRevision(50), inGroup(3, state.MemberOpen)))
		r.advance(entryReturnTime / 2)
		r.failStore()
		return r
	}
	epoch := func(r *rig) uint64 { return r.managed.Instances.Get("i1").Membership.Epoch }

	g := gomega.NewWithT(t)
	r := restored()
	for range 8 {
		r.advance(entryReturnTime / 2)
		r.failStore()
	}
	g.Expect(epoch(r)).To(gomega.Equal(uint64(7)), "the store fails")
	r.feedChanges(state.InstanceTable, eraRevision(112), processRow("i2", 1, eraRevision(112), nil))
	r.advance(entryReturnTime - 2*state.TickPeriod)
	g.Expect(epoch(r)).To(gomega.Equal(uint64(7)), "the host has not had the time to write")
	r.advance(4 * state.TickPeriod)
	g.Expect(epoch(r)).To(gomega.Equal(uint64(3)))

	r = restored()
	r.advance(maxStoreReplyAge)
	r.failStore()
	r.advance(state.TickPeriod)
	r.step(state.HostReport{Host: "i1", OK: true, SentAt: r.now, State: state.HostState{
		Host: "i1", StartID: 1, Membership: state.Membership{Group: "g", Epoch: 8, Phase: state.MemberReady},
	}})
	g.Expect(epoch(r)).To(gomega.Equal(uint64(8)))
	r.feedChanges(state.InstanceTable, eraRevision(112), processRow("i2", 1, eraRevision(112), nil))
	r.advance(2 * entryReturnTime)
	g.Expect(epoch(r)).To(gomega.Equal(uint64(8)), "the host has reported it")
}

// TestInstanceThatLeftStaysAway guards against using an instance again whose row came
// back with a copy of the store.
func TestInstanceThatLeftStaysAway(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 1)
	r.advance(5 * time.Second)
	r.feedChanges(state.InstanceTable, 140, processRow("i1", 1, 120, nil), processRow("i2", 1, 121, nil), processRow("i3", 1, 122, nil))
	for _, id := range []string{"i1", "i2", "i3"} {
		r.feedChanges(state.InstanceTable, 150, state.RowUpdate{Key: id, Revision: 150, Removed: true})
	}
	r.feedTable(state.InstanceTable, eraRevision(130), processRow("i1", 1, eraRevision(120), nil), processRow("i2", 1, eraRevision(121), nil),
		processRow("i3", 2, eraRevision(122), nil))
	g.Expect(r.managed.Instances.Keys()).To(gomega.Equal([]state.HostID{"i3"}), "another process with the same ID is used at once")
	r.feedChanges(state.InstanceTable, eraRevision(140), state.RowUpdate{Key: "i1", Revision: eraRevision(140), Removed: true})
	r.advance(departedReturnTime + time.Second)
	g.Expect(r.managed.Instances.Keys()).To(gomega.Equal([]state.HostID{"i2", "i3"}), "a row that is renewed belongs to a running instance")
}

// TestMissingRowsAreWrittenAgain guards against losing instances and nodes that have
// to write their rows again after the store came back without them.
func TestMissingRowsAreWrittenAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 3)
	r.managed.Nodes.Put("n00", &state.RegisteredNode{Revision: 1, Entry: state.NodeEntry{ID: "n00", DataCentre: "a", Address: "n00"}})
	r.advance(time.Second)
	r.outputs = nil
	r.feedTable(state.NodeTable, eraRevision(10))
	r.feedTable(state.InstanceTable, eraRevision(10))
	g.Expect(r.managed.Instances.Len()).To(gomega.Equal(1))
	g.Expect(r.managed.Nodes.Len()).To(gomega.Equal(3))
	r.advance(time.Second)
	registrations := 0
	for _, o := range r.outputs {
		if request, ok := o.(state.StoreRequest); ok && request.Transact != nil && request.Transact.Writes[0].Key == state.PrefixNode+"n00" {
			registrations++
		}
	}
	g.Expect(registrations).To(gomega.Equal(1))
	r.advance(2 * time.Second)
	g.Expect(r.managed.Instances.Len()).To(gomega.BeZero())
	g.Expect(r.managed.Nodes.Len()).To(gomega.Equal(3))
	r.advance(3 * time.Second)
	g.Expect(r.managed.Nodes.Len()).To(gomega.BeZero())
}

// TestAnswersOfAnEndedEraAreDropped guards against late rows of the era before the
// store came back, whose versions may have been assigned again.
func TestAnswersOfAnEndedEraAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 1)
	r.feedTable(state.InstanceTable, eraRevision(40), processRow("i1", 0, eraRevision(40), nil))
	r.feedChanges(state.InstanceTable, 500, state.RowUpdate{Key: "i1", Revision: 500, Removed: true}, instanceRow("i9", 499))
	r.feedTable(state.InstanceTable, 501, instanceRow("i9", 499))
	g.Expect(r.managed.Instances.Keys()).To(gomega.Equal([]state.HostID{"i1"}))
}

// TestPeerTellsOfNewEra guards against watch calls and conditions of an era that a
// peer already knows to have ended.
func TestPeerTellsOfNewEra(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 2)
	r.advance(time.Second)
	r.outputs = nil
	r.receivePeerStatus("n01", state.PeerStatus{TableRevisions: []uint64{eraRevision(3), 0, 0}, StoreReplyAge: -1, InstancesAge: -1})
	g.Expect(r.managed.StoreRecoveredAt).To(gomega.Equal(r.now))
	var watches []state.WatchTables
	for _, o := range r.outputs {
		if w, ok := o.(state.WatchTables); ok {
			watches = append(watches, w)
		}
	}
	g.Expect(watches).To(gomega.HaveLen(1))
	g.Expect(watches[0].Era).To(gomega.Equal(uint64(1)))
}

// startingNode returns a node that has read the store, next to a running peer.
func startingNode() *rig {
	r := &rig{tables: state.NewTables(state.Self{ID: "n00", DataCentre: "a", Address: "n00"}, state.Switches{}, 1), now: time.Second}
	r.tables.Managed = state.NewManagedState()
	r.managed, r.system = r.tables.Managed, New(r.tables)
	r.feedTable(state.NodeTable, eraRevision(100), state.RowUpdate{Key: state.PrefixNode + "n01", Revision: eraRevision(2), Node: &state.RegisteredNode{
		Entry: state.NodeEntry{ID: "n01", DataCentre: "a", Address: "n01"}, Revision: eraRevision(2),
	}})
	r.feedTable(state.OperatorTable, eraRevision(100), configRow(7, eraRevision(90)))
	r.feedTable(state.InstanceTable, eraRevision(100), processRow("i1", 1, eraRevision(50), nil), processRow("i2", 1, eraRevision(51), nil))
	return r
}

// TestStartingNodeLearnsWhatTheStoreForgot guards against a node that starts after the
// store came back from a copy and accepts a withdrawn key, a data centre that was
// taken out or an instance that left.
func TestStartingNodeLearnsWhatTheStoreForgot(t *testing.T) {
	g := gomega.NewWithT(t)
	peer := newRig("n01", 2)
	peer.feedChanges(state.OperatorTable, 130, configRow(9, 129), state.RowUpdate{Key: state.PrefixEvacuated + "north", Revision: 130, Evacuated: "north"})
	peer.feedChanges(state.InstanceTable, 140, processRow("i1", 1, 139, draining), processRow("i2", 1, 140, nil))
	peer.advance(3 * time.Second)
	peer.feedChanges(state.InstanceTable, 150, state.RowUpdate{Key: "i2", Revision: 150, Removed: true})
	r := startingNode()
	g.Expect(r.tables.Config.Fresh).To(gomega.BeFalse())
	r.step(state.PeerLinkChanged{Peer: "n01", Up: true})
	g.Expect(r.messagesTo("n01")).To(gomega.ContainElement(state.Message{HistoryRequest: &state.HistoryRequest{}}))
	peer.step(state.PeerMessage{From: "n00", Message: state.Message{HistoryRequest: &state.HistoryRequest{}}})
	answers := peer.messagesTo("n00")
	r.step(state.PeerMessage{From: "n01", Message: answers[len(answers)-1]})
	g.Expect(r.tables.Config.Fresh).To(gomega.BeTrue())
	g.Expect(r.managed.PlatformConfig.Version).To(gomega.Equal(uint64(9)))
	g.Expect(r.managed.Evacuated).To(gomega.HaveKey(state.DataCentre("north")))
	g.Expect(r.managed.Instances.Get("i1").Draining).To(gomega.BeTrue())
	g.Expect(r.managed.Instances.Get("i2")).To(gomega.BeNil())
}

// TestStartingNodeWaitsForHistoryInVain guards against a node that never serves
// because its peers are gone, or that waits although they are starting as well.
func TestStartingNodeWaitsForHistoryInVain(t *testing.T) {
	g := gomega.NewWithT(t)
	r := startingNode()
	r.advance(historyTimeout - 100*time.Millisecond)
	g.Expect(r.tables.Config.Fresh).To(gomega.BeFalse())
	r.advance(200 * time.Millisecond)
	g.Expect(r.tables.Config.Fresh).To(gomega.BeTrue())
	r = startingNode()
	r.step(state.PeerMessage{From: "n01", Message: state.Message{History: &state.History{RecoveredAge: -1}}})
	g.Expect(r.tables.Config.Fresh).To(gomega.BeTrue())
}

// TestNodesStartAtOnceAfterPowerFailure guards against nodes that wait for the history of
// peers which all lost theirs, although the lease shows that the store has lost nothing.
func TestNodesStartAtOnceAfterPowerFailure(t *testing.T) {
	for settledEra, fresh := range map[uint64]bool{1: true, 0: false} {
		g := gomega.NewWithT(t)
		r := startingNode()
		g.Expect(r.tables.Config.Fresh).To(gomega.BeFalse())
		lease := state.LeaseRow{Holder: "n01", FencingToken: 1, Era: settledEra, EraSettled: true}
		r.feedChanges(state.NodeTable, eraRevision(110), state.RowUpdate{Key: state.KeyFormationLease, Revision: eraRevision(110), Lease: &lease})
		r.advance(state.TickPeriod)
		g.Expect(r.tables.Config.Fresh).To(gomega.Equal(fresh))
	}
}

// TestRowOfACopyIsMarkedUntilTheHostReports guards against the row of a copy that passes for the
// state of its host, here or at a peer, and against one that still does after the host has
// reported.
func TestRowOfACopyIsMarkedUntilTheHostReports(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newRig("n00", 3)
	r.receivePeerStatus("n01", state.PeerStatus{StoreReplyAge: -1, InstancesAge: -1})
	older := instanceRow("i1", state.FirstRevision(1)+50)
	older.Instance.LoadedModel = "m0"
	r.feedTable(state.InstanceTable, state.FirstRevision(1)+60, older)
	g.Expect(r.managed.Instances.Get("i1").FromCopy).To(gomega.BeFalse())
	r.advance(entryReturnTime + time.Second)
	row := r.managed.Instances.Get("i1")
	g.Expect(row.LoadedModel).To(gomega.Equal("m0"))
	g.Expect(row.FromCopy).To(gomega.BeTrue())
	relayed := false
	for _, m := range r.messagesTo("n01") {
		if m.TableUpdate != nil {
			for _, update := range m.TableUpdate.Rows {
				relayed = relayed || update.Instance != nil && update.Instance.FromCopy
			}
		}
	}
	g.Expect(relayed).To(gomega.BeTrue())
	g.Expect(r.system.applyHostState(r.now, &state.HostState{Host: "i1", LoadedModel: "m1"})).To(gomega.BeTrue())
	g.Expect(r.managed.Instances.Get("i1").FromCopy).To(gomega.BeFalse())
}
