package scenario

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/store/memory"
)

// Options sets the size of a world.
type Options struct {
	Seed        uint64
	Nodes       int
	DataCentres int
	Groups      int
	Members     int
	// Spares is the number of hosts that no group needs, per data centre.
	Spares    int
	Accounts  int
	ColdLimit int
	WarmLimit int
	LoadTime  time.Duration
	Switches  state.Switches
	// Unfenced makes every second engine ignore fencing numbers.
	Unfenced bool
	// MeasureBytes encodes each message between nodes to count its bytes, which
	// takes several percent of the time of a run.
	MeasureBytes bool
}

// DefaultOptions returns a world of 6 nodes and 6 groups in three data centres.
func DefaultOptions() Options {
	return Options{
		Seed: 1, Nodes: 6, DataCentres: 3, Groups: 6, Members: 2, Spares: 1, Accounts: 2,
		ColdLimit: 6, WarmLimit: 24, LoadTime: 2 * time.Second,
	}
}

// World is a system in virtual time. It is not safe for concurrent use.
type World struct {
	Options Options
	Now     time.Duration
	Rand    *rand.Rand

	Nodes    []*Node
	Engines  []*Engine
	Services []*Service
	Store    *Store
	Network  *Network
	Checks   *Checks
	Metrics  Metrics
	Trace    []string

	events   eventHeap
	seq      uint64
	requests map[state.RequestID]*Request
	order    []*Request
	// generations holds what engines work on, by generation id.
	generations map[string]*generation
}

// New returns a world whose nodes have started and whose first configuration
// is in the table service.
func New(opts Options) *World {
	w := &World{
		Options:  opts,
		Rand:     rand.New(rand.NewPCG(opts.Seed, 1)),
		Network:  newNetwork(),
		requests: map[state.RequestID]*Request{},

		generations: map[string]*generation{},
	}
	w.Checks = newChecks(w)
	w.Store = &Store{world: w, Memory: memory.New()}
	w.buildHosts()
	w.buildServices()
	w.Store.seed(w.document())
	for i := range opts.Nodes {
		n := &Node{world: w, ID: nodeID(i), DataCentre: dataCentre(i % opts.DataCentres)}
		w.Nodes = append(w.Nodes, n)
	}
	for _, n := range w.Nodes {
		n.Start()
	}
	w.every(linkPeriod, w.checkLinks)
	w.every(measurePeriod, w.measure)
	return w
}

// At runs a function at a time of the world.
func (w *World) At(at time.Duration, f func()) {
	w.seq++
	heap.Push(&w.events, &worldEvent{at: max(at, w.Now), seq: w.seq, run: f})
}

// After runs a function after a delay.
func (w *World) After(d time.Duration, f func()) { w.At(w.Now+d, f) }

func (w *World) every(period time.Duration, f func()) {
	w.After(period, func() {
		f()
		w.every(period, f)
	})
}

// Run advances the world by a duration.
func (w *World) Run(d time.Duration) {
	end := w.Now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(*worldEvent)
		w.Now = e.at
		e.run()
	}
	w.Now = end
}

// RunUntil advances the world until a condition holds, for at most a duration.
// It reports whether the condition held.
func (w *World) RunUntil(limit time.Duration, holds func() bool) bool {
	end := w.Now + limit
	for w.Now < end {
		if holds() {
			return true
		}
		w.Run(state.TickPeriod)
	}
	return holds()
}

// Log adds a line to the trace.
func (w *World) Log(format string, args ...any) {
	w.Trace = append(w.Trace, fmt.Sprintf("%9.3f ", w.Now.Seconds())+fmt.Sprintf(format, args...))
}

// Node returns a node by name, or nil.
func (w *World) Node(id state.NodeID) *Node {
	for _, n := range w.Nodes {
		if n.ID == id {
			return n
		}
	}
	return nil
}

// Engine returns the engine of a host, or nil.
func (w *World) Engine(id state.HostID) *Engine {
	for _, e := range w.Engines {
		if e.Host.ID == id {
			return e
		}
	}
	return nil
}

func nodeID(i int) state.NodeID { return state.NodeID(fmt.Sprintf("n%d", i+1)) }

func dataCentre(i int) state.DataCentre {
	return state.DataCentre([]string{"north", "coast", "inland", "west", "east", "south", "middle"}[i])
}

type worldEvent struct {
	at  time.Duration
	seq uint64
	run func()
}

type eventHeap []*worldEvent

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(*worldEvent)) }

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
