package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/inventory"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// fleet runs the inventory and quarantine systems of nodes that are linked as the
// inventory system requests it.
type fleet struct {
	nodes []*fleetNode
	now   time.Duration
	// reports counts the messages with evidence.
	reports  int
	requests int
	// transactions holds those of the current tick.
	transactions []state.Transaction
	// lastRequest is the last store request, and replies are those to operators.
	lastRequest state.StoreRequest
	replies     []state.OperatorReply
	// route is that of the requests, and resumed is set if these go on with earlier answers.
	route   *state.Route
	resumed bool
}

type fleetNode struct {
	tables  *state.Tables
	systems []state.System
	peers   map[state.NodeID]bool
	down    bool
	events  []event.ID
}

// newFleet returns a fleet of nodes in two data centres.
func newFleet(count int) *fleet {
	f := &fleet{now: time.Second}
	for i := range count {
		f.nodes = append(f.nodes, f.newNode(i))
	}
	for i := range count {
		f.learnNodes(i)
	}
	f.link()
	return f
}

func nodeID(i int) state.NodeID { return state.NodeID(fmt.Sprintf("n%02d", i)) }

func nodeEntry(i int) state.NodeEntry {
	return state.NodeEntry{ID: nodeID(i), DataCentre: state.DataCentre("ab"[i%2 : i%2+1]), Address: string(nodeID(i))}
}

func (f *fleet) newNode(i int) *fleetNode {
	entry := nodeEntry(i)
	tables := state.NewTables(state.Self{ID: entry.ID, DataCentre: entry.DataCentre, Address: entry.Address}, state.Switches{}, 1)
	tables.Managed = state.NewManagedState()
	return &fleetNode{tables: tables, systems: []state.System{inventory.New(tables), New(tables)}, peers: map[state.NodeID]bool{}}
}

func (f *fleet) learnNodes(i int) { f.learnNodesAt(i, 100) }

// learnNodesAt feeds a snapshot of the table of the nodes to a node.
func (f *fleet) learnNodesAt(i int, revision uint64) {
	var rows []state.RowUpdate
	for j := range f.nodes {
		rows = append(rows, state.RowUpdate{Key: state.PrefixNode + string(nodeID(j)), Revision: uint64(j + 1), Node: &state.RegisteredNode{Entry: nodeEntry(j), Revision: uint64(j + 1)}})
	}
	f.step(i, state.TableUpdate{Table: state.NodeTable, Snapshot: true, Revision: revision, Rows: rows, SentAt: f.now})
}

// link brings up all links that one of its ends has requested and whose ends run.
func (f *fleet) link() {
	for i, a := range f.nodes {
		for j, b := range f.nodes[:i] {
			if (a.peers[nodeID(j)] || b.peers[nodeID(i)]) && !a.down && !b.down && !a.tables.Managed.LinkedPeers[nodeID(j)] {
				f.step(i, state.PeerLinkChanged{Peer: nodeID(j), Up: true})
				f.step(j, state.PeerLinkChanged{Peer: nodeID(i), Up: true})
			}
		}
	}
}

// stop takes a node down.
func (f *fleet) stop(i int) {
	f.nodes[i].down = true
	for j, n := range f.nodes {
		if n.tables.Managed.LinkedPeers[nodeID(i)] {
			f.step(j, state.PeerLinkChanged{Peer: nodeID(i)})
		}
	}
}

// restart starts a node that remembers nothing.
func (f *fleet) restart(i int) {
	f.nodes[i] = f.newNode(i)
	f.learnNodes(i)
	f.link()
}

// step feeds an input to a node and delivers the messages that follow from it.
func (f *fleet) step(i int, in state.Input) {
	n := f.nodes[i]
	var out state.Outbox
	for _, s := range n.systems {
		s.Step(f.now, in, &out)
	}
	for _, o := range out.Outputs {
		switch o := o.(type) {
		case state.SetPeers:
			for _, p := range o.Peers {
				n.peers[p.ID] = true
			}
		case state.LogEvent:
			n.events = append(n.events, o.Event)
		case state.SendPeer:
			f.deliver(i, o)
		case state.OperatorReply:
			f.replies = append(f.replies, o)
		case state.StoreRequest:
			f.lastRequest = o
			if o.Transact != nil {
				f.transactions = append(f.transactions, *o.Transact)
			}
		}
	}
}

func (f *fleet) deliver(from int, message state.SendPeer) {
	if message.Message.TraitReport == nil {
		return
	}
	f.reports++
	for j := range f.nodes {
		if nodeID(j) == message.To && !f.nodes[j].down && f.nodes[j].tables.Managed.LinkedPeers[nodeID(from)] {
			f.step(j, state.PeerMessage{From: nodeID(from), Message: message.Message})
		}
	}
}

// attempt feeds an event of an attempt that a node has just sent to a target. An answer that begins
// comes to its end.
func (f *fleet) attempt(node, target int, ev state.AttemptEvent, parts ...state.Trait) {
	f.now += disturbanceTime
	f.requests++
	id := state.RequestID(fmt.Sprint(f.requests))
	f.nodes[node].tables.Requests.Put(id, &state.Request{
		Arrival: state.RequestArrived{ID: id}, Phase: state.RequestSent, Attempt: 1, SentAt: f.now,
		Target: state.TargetID(process(target).Host), TargetStartID: 1, Traits: parts, Route: f.route,
	})
	ev.Request, ev.Attempt = id, 1
	f.step(node, ev)
	if ev.Stage == state.AttemptFirstByte {
		f.now += beginningTime
		ev.Stage, ev.Status, ev.EventCount = state.AttemptEnded, 200, 5
		f.step(node, ev)
	}
}

var (
	crashed = state.AttemptEvent{Stage: state.AttemptEnded, Failure: state.FailureConnectionLost, Status: 200}
	started = state.AttemptEvent{Stage: state.AttemptFirstByte}
)

func (f *fleet) expectQuarantined(g *gomega.WithT, quarantined bool) {
	for i, n := range f.nodes {
		if _, ok := n.tables.Managed.Quarantined[faulty]; !n.down {
			g.Expect(ok).To(gomega.Equal(quarantined), "node %d", i)
		}
	}
}

// TestEvidenceReachesAllNodes guards against a node that goes on sending requests with a
// part at fault because it has not seen the crashes itself, and against a quarantine
// that goes on at a node after a start elsewhere, with a full mesh and with hubs.
func TestEvidenceReachesAllNodes(t *testing.T) {
	for _, count := range []int{4, state.MaxFullMeshNodes + 20} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFleet(count)
			for i := range minCrashes {
				f.expectQuarantined(g, false)
				f.attempt(count-1-i, i, crashed, first, faulty)
				f.attempt(i%2, 9, started, first)
			}
			f.expectQuarantined(g, true)
			t.Logf("%d nodes: %d messages for %d crashes and as many clears", count, f.reports, minCrashes)
			perNode := 1
			if count > state.MaxFullMeshNodes {
				// A leaf is linked with two hubs.
				perNode = 2
			}
			g.Expect(f.reports).To(gomega.BeNumerically("<=", 2*minCrashes*perNode*(count-1)), "nothing is sent back or in circles")
			g.Expect(f.nodes[0].events).To(gomega.ContainElement(event.PromptPartQuarantined))
			f.attempt(count-1, 10, started, faulty)
			f.expectQuarantined(g, false)
			g.Expect(f.nodes[0].events).To(gomega.ContainElement(event.PromptPartReleased))
		})
	}
}

// TestRelayTargets guards against messages that are sent back, in circles or not to all.
func TestRelayTargets(t *testing.T) {
	g := gomega.NewWithT(t)
	m := state.NewManagedState()
	for _, id := range []state.NodeID{"h2", "h3", "l1", "l2"} {
		m.LinkedPeers[id] = true
	}
	g.Expect(m.RelayTargets("h1", "l1")).To(gomega.BeEmpty(), "a full mesh")
	m.Hubs = map[state.NodeID]bool{"h1": true, "h2": true, "h3": true}
	g.Expect(m.RelayTargets("h1", "")).To(gomega.Equal([]state.NodeID{"h2", "h3", "l1", "l2"}))
	g.Expect(m.RelayTargets("h1", "l1")).To(gomega.Equal([]state.NodeID{"h2", "h3", "l2"}))
	g.Expect(m.RelayTargets("h1", "h2")).To(gomega.Equal([]state.NodeID{"l1", "l2"}))
	g.Expect(m.RelayTargets("l3", "h1")).To(gomega.BeEmpty(), "a leaf")
}

// TestLateNodeLearnsOfQuarantine guards against a node that starts or was cut off
// meanwhile, and lets requests with a part at fault through.
func TestLateNodeLearnsOfQuarantine(t *testing.T) {
	for _, count := range []int{4, state.MaxFullMeshNodes + 20} {
		g := gomega.NewWithT(t)
		f := newFleet(count)
		f.stop(count - 1)
		for i := range minCrashes {
			f.attempt(i, i, crashed, first, faulty)
		}
		f.restart(count - 1)
		f.expectQuarantined(g, true)
		// A start that a node missed ends the quarantine there too.
		f.nodes[count-1].down = true
		f.stop(count - 1)
		late := f.nodes[count-1]
		f.attempt(0, 9, started, faulty)
		late.down = false
		for j := range f.nodes {
			delete(late.tables.Managed.LinkedPeers, nodeID(j))
		}
		f.link()
		f.expectQuarantined(g, false)
	}
}

// TestOnlyBegunAnswersAreEvidence guards against a quarantine of sound parts whose
// requests waited at a target that ended, were cancelled or had events.
func TestOnlyBegunAnswersAreEvidence(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(1)
	for i := range 20 {
		for _, ev := range []state.AttemptEvent{
			{Stage: state.AttemptEnded, Failure: state.FailureConnectionLost},
			{Stage: state.AttemptEnded, Failure: state.FailureConnectionLost, Status: 200, EventCount: 1},
			{Stage: state.AttemptEnded, Failure: state.FailureConnectionLost, Status: 503},
			{Stage: state.AttemptEnded, Failure: state.FailureCancelled, Status: 200},
			{Stage: state.AttemptEnded, Failure: state.FailureInactivityTimeout, Status: 200},
			{Stage: state.AttemptEnded, Failure: state.FailureConnect},
			{Stage: state.AttemptStalled},
		} {
			f.attempt(0, i, ev, faulty)
		}
		// An event of an earlier attempt.
		f.requests++
		id := state.RequestID(fmt.Sprint(f.requests))
		f.nodes[0].tables.Requests.Put(id, &state.Request{Attempt: 2, Target: state.TargetID(process(i).Host), Traits: parts(faulty)})
		late := crashed
		late.Request, late.Attempt = id, 1
		f.step(0, late)
	}
	g.Expect(f.nodes[0].systems[1].(*System).ledger.records).To(gomega.BeEmpty())
	for i := range minCrashes {
		f.attempt(0, i, crashed, faulty)
	}
	f.attempt(0, 9, state.AttemptEvent{Stage: state.AttemptEnded, AnswerBuffered: true, Status: 404}, faulty)
	f.attempt(0, 9, state.AttemptEvent{Stage: state.AttemptEnded, AnswerBuffered: true, Status: 500, Failure: state.FailureTargetError}, faulty)
	f.expectQuarantined(g, true)
	// A complete answer that is not a stream ends it as well.
	f.attempt(0, 9, state.AttemptEvent{Stage: state.AttemptEnded, AnswerBuffered: true, Status: 200}, faulty)
	f.expectQuarantined(g, false)
}

// TestReportsAreBounded guards against a frame that exceeds the limit of a link.
func TestReportsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(2)
	f.stop(1)
	for i := range 3 * maxCrashesAtLinkUp {
		f.attempt(0, i, crashed, part(i%100))
	}
	f.reports = 0
	f.restart(1)
	g.Expect(f.reports).To(gomega.BeNumerically(">=", maxCrashesAtLinkUp/maxCrashesPerMessage))
	g.Expect(f.reports).To(gomega.BeNumerically("<=", 4*maxCrashesAtLinkUp/maxCrashesPerMessage))
}

// TestRequestThatEndsPlainReplicasReachesAllNodes guards against evidence on a request that
// is missed because the replicas of a plain service send no head before they end, that a
// server error does not clear, or that stays at one node.
func TestRequestThatEndsPlainReplicasReachesAllNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(4)
	f.route = &state.Route{}
	lost := state.AttemptEvent{Stage: state.AttemptEnded, Failure: state.FailureConnectionLost}
	faultyRequest, sound := request(1), request(2)
	quarantined := func(trait state.Trait) (nodes int) {
		for _, n := range f.nodes {
			if _, ok := n.tables.Managed.Quarantined[trait]; ok {
				nodes++
			}
		}
		return nodes
	}
	for i := range minCrashes {
		g.Expect(quarantined(faultyRequest)).To(gomega.BeZero())
		f.attempt(i, i, lost, faultyRequest)
		f.attempt(3-i, i, lost, sound)
		f.attempt(3-i, 9, state.AttemptEvent{Stage: state.AttemptEnded, Failure: state.FailureTargetError, AnswerBuffered: true, Status: 500}, sound)
	}
	g.Expect(quarantined(faultyRequest)).To(gomega.Equal(4))
	g.Expect(quarantined(sound)).To(gomega.BeZero())
	g.Expect(f.nodes[3].events).To(gomega.ContainElement(event.RequestQuarantined))
	f.stop(3)
	f.restart(3)
	g.Expect(quarantined(faultyRequest)).To(gomega.Equal(4), "a node that has just started")
	// A garbled answer or one that is broken off is no end of its target for a stream
	// without a head.
	f.route = &state.Route{Stream: true}
	for i := range 2 * minCrashes {
		f.attempt(0, 20+i, lost, request(3))
		f.attempt(0, 20+i, state.AttemptEvent{Stage: state.AttemptEnded, Failure: state.FailureConnectionLost, Status: 200, InvalidAnswer: true}, request(3))
	}
	g.Expect(quarantined(request(3))).To(gomega.BeZero())
}
