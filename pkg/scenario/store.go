package scenario

import (
	"context"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/store/memory"
)

const (
	storeDelay = 2 * time.Millisecond
	// storeTimeout is after how long a node gives up a store call.
	storeTimeout = 2 * time.Second
	listDelay    = 2 * time.Millisecond
	percent      = 100
)

// Store is the platform's table service and object store with faults.
type Store struct {
	Memory *memory.Store
	// Down refuses every call at once; Silent drops every call.
	Down, Silent bool
	// Slow delays every call.
	Slow time.Duration
	// LoseAnswers is the share of writes whose answer is lost after the write
	// has taken effect, in percent.
	LoseAnswers int
	// Reads and Writes count calls that took effect.
	Reads, Writes int

	world *World
}

func (s *Store) seed(doc state.Document) {
	head := state.Head{Version: 1, Op: "seed", Preset: "ordinary", DocumentVersion: 1, Nodes: s.world.entries()}
	tx := state.Transaction{Writes: []state.Write{
		{Key: state.KeyHead, Value: state.Encode(head)},
		{Key: state.KeyDocument(1), Value: state.Encode(doc)},
	}}
	_, _ = s.Memory.Transact(context.Background(), tx)
	s.world.Checks.written(&tx)
}

// entries returns the registry of a world in which all nodes are known.
func (w *World) entries() []state.NodeEntry {
	var entries []state.NodeEntry
	for i := range w.Options.Nodes {
		entries = append(entries, state.NodeEntry{
			ID: nodeID(i), DataCentre: dataCentre(i % w.Options.DataCentres), Address: string(nodeID(i)), Incarnation: 1,
		})
	}
	return entries
}

func (s *Store) request(n *Node, req state.StoreRequest) {
	w := s.world
	if s.Down {
		n.later(storeDelay, state.StoreReply{ID: req.ID, Result: state.StoreUnavailable})
		return
	}
	if s.Silent || !w.Network.Passes(string(n.ID), EndpointTable) {
		n.later(storeTimeout, state.StoreReply{ID: req.ID, Result: state.StoreUnknown})
		return
	}
	life := n.Starts
	way := (storeDelay+s.Slow)/2 + w.Network.Extra
	w.After(way, func() {
		reply, lost := s.apply(n, req)
		if n.Starts != life {
			return
		}
		if lost || 2*way >= storeTimeout {
			n.later(max(0, storeTimeout-way), state.StoreReply{ID: req.ID, Result: state.StoreUnknown})
			return
		}
		n.later(way, reply)
	})
}

// apply carries a call out. The second result says that its answer is lost.
func (s *Store) apply(n *Node, req state.StoreRequest) (state.StoreReply, bool) {
	if s.Down || s.Silent {
		return state.StoreReply{}, true
	}
	reply := s.run(req)
	lost := !s.world.Network.Passes(EndpointTable, string(n.ID)) ||
		req.Transact != nil && s.world.Rand.IntN(percent) < s.LoseAnswers
	return reply, lost
}

func (s *Store) run(req state.StoreRequest) state.StoreReply {
	ctx := context.Background()
	reply := state.StoreReply{ID: req.ID}
	switch {
	case req.Transact != nil:
		s.Writes++
		res, _ := s.Memory.Transact(ctx, *req.Transact)
		reply.Result, reply.Rows = res.Result, res.Rows
		if res.Result == state.StoreOK {
			s.world.Checks.written(req.Transact)
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

func (w *World) listHosts(n *Node) {
	if !w.Network.Passes(string(n.ID), EndpointList) {
		return
	}
	hosts, _ := w.Store.Memory.List(context.Background())
	n.later(listDelay, state.HostList{Hosts: hosts})
}
