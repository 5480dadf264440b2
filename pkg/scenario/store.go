package scenario

import (
	"context"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/store/memory"
)

const (
	storeRoundTrip = 2 * time.Millisecond
	// storeTimeout is the time after which a node gives up a store call.
	storeTimeout  = 2 * time.Second
	listRoundTrip = 2 * time.Millisecond
	percent       = 100
)

// Store simulates the table service and the object store of the platform with faults.
type Store struct {
	Memory *memory.Store
	// Down refuses each call. Silent drops each call, so that the node gives up after
	// storeTimeout.
	Down, Silent bool
	// ExtraLatency is added to the round trip of each call.
	ExtraLatency time.Duration
	// LostAnswerPercent is the percentage of transactions whose reply is lost after
	// they have taken effect.
	LostAnswerPercent int
	// Reads and Writes count the calls that the store executed.
	Reads, Writes int

	sim *Simulation
}

// writeInitialRows writes the head and the document of the first configuration.
func (s *Store) writeInitialRows(doc state.Document) {
	head := state.Head{Version: 1, Op: "seed", Preset: "ordinary", DocumentVersion: 1, Nodes: s.sim.nodeEntries()}
	tx := state.Transaction{Writes: []state.Write{
		{Key: state.KeyHead, Value: state.Encode(head)},
		{Key: state.KeyDocument(1), Value: state.Encode(doc)},
	}}
	_, _ = s.Memory.Transact(context.Background(), tx)
	s.sim.Checks.recordTransaction(&tx)
}

// nodeEntries returns the node registry with all nodes of the simulation.
func (sim *Simulation) nodeEntries() []state.NodeEntry {
	var entries []state.NodeEntry
	for i := range sim.Options.Nodes {
		entries = append(entries, state.NodeEntry{
			ID: nodeID(i), DataCentre: dataCentre(i % sim.Options.DataCentres), Address: string(nodeID(i)), Incarnation: 1,
		})
	}
	return entries
}

func (s *Store) handle(n *Node, req state.StoreRequest) {
	sim := s.sim
	if s.Down {
		n.feedAfter(storeRoundTrip, state.StoreReply{ID: req.ID, Result: state.StoreUnavailable})
		return
	}
	if s.Silent || !sim.Network.CanReach(string(n.ID), EndpointTable) {
		n.feedAfter(storeTimeout, state.StoreReply{ID: req.ID, Result: state.StoreUnknown})
		return
	}
	incarnation := n.Incarnation
	latency := (storeRoundTrip+s.ExtraLatency)/2 + sim.Network.ExtraLatency
	sim.ScheduleAfter(latency, func() {
		reply, answerLost := s.apply(n, req)
		if n.Incarnation != incarnation {
			return
		}
		if answerLost || 2*latency >= storeTimeout {
			n.feedAfter(max(0, storeTimeout-latency), state.StoreReply{ID: req.ID, Result: state.StoreUnknown})
			return
		}
		n.feedAfter(latency, reply)
	})
}

// apply executes a call that has reached the store, and reports whether its reply is
// lost. A call that arrives during an outage has no effect.
func (s *Store) apply(n *Node, req state.StoreRequest) (state.StoreReply, bool) {
	if s.Down || s.Silent {
		return state.StoreReply{}, true
	}
	reply := s.execute(req)
	answerLost := !s.sim.Network.CanReach(EndpointTable, string(n.ID)) ||
		req.Transact != nil && s.sim.Rand.IntN(percent) < s.LostAnswerPercent
	return reply, answerLost
}

func (s *Store) execute(req state.StoreRequest) state.StoreReply {
	ctx := context.Background()
	reply := state.StoreReply{ID: req.ID}
	switch {
	case req.Transact != nil:
		s.Writes++
		res, _ := s.Memory.Transact(ctx, *req.Transact)
		reply.Result, reply.Rows = res.Result, res.Rows
		if res.Result == state.StoreOK {
			s.sim.Checks.recordTransaction(req.Transact)
		}
	case req.Scan != "":
		s.Reads++
		reply.Rows, _ = s.Memory.Scan(ctx, req.Scan)
	case req.Read != nil:
		s.Reads++
		reply.Rows, _ = s.Memory.Read(ctx, req.Read)
	case req.PutObject != nil:
		s.Writes++
		_ = s.Memory.Put(ctx, req.PutObject.Key, req.PutObject.Value)
	default:
		s.Reads++
		reply.Object, _ = s.Memory.Get(ctx, req.GetObject)
	}
	return reply
}

func (sim *Simulation) listHosts(n *Node) {
	if !sim.Network.CanReach(string(n.ID), EndpointList) {
		return
	}
	hosts, _ := sim.Store.Memory.List(context.Background())
	n.feedAfter(listRoundTrip, state.HostList{Hosts: hosts})
}
