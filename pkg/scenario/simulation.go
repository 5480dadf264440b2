package scenario

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/store/memory"
)

// Options sets the size and the behaviour of a simulated system.
type Options struct {
	Seed        uint64
	Nodes       int
	DataCentres int
	Groups      int
	Members     int
	// Spares is the number of hosts per data centre beyond those that the groups
	// need.
	Spares    int
	Accounts  int
	ColdLimit int
	WarmLimit int
	LoadTime  time.Duration
	Switches  state.Switches
	// Unfenced makes every second engine ignore fencing tokens.
	Unfenced bool
	// MeasureBytes encodes each message between nodes to count its bytes. It is off
	// by default because it takes several percent of the time of a run.
	MeasureBytes bool
}

// DefaultOptions describes a system of 6 nodes and 6 groups in three data centres.
func DefaultOptions() Options {
	return Options{
		Seed: 1, Nodes: 6, DataCentres: 3, Groups: 6, Members: 2, Spares: 1, Accounts: 2,
		ColdLimit: 6, WarmLimit: 24, LoadTime: 2 * time.Second,
	}
}

// Simulation runs a system in virtual time. It is not safe for concurrent use.
type Simulation struct {
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

	events    eventHeap
	sequence  uint64
	requests  map[state.RequestID]*Request
	submitted []*Request
	// generations holds all generations of the engines by ID, ended ones included.
	generations map[string]*generation
}

// New returns a simulation whose nodes have started and whose first configuration
// is in the table service.
func New(opts Options) *Simulation {
	sim := &Simulation{
		Options:  opts,
		Rand:     rand.New(rand.NewPCG(opts.Seed, 1)),
		Network:  newNetwork(),
		requests: map[state.RequestID]*Request{},

		generations: map[string]*generation{},
	}
	sim.Checks = newChecks(sim)
	sim.Store = &Store{sim: sim, Memory: memory.New()}
	sim.createEngines()
	sim.createServices()
	sim.Store.writeInitialRows(sim.initialDocument())
	for i := range opts.Nodes {
		n := &Node{sim: sim, ID: nodeID(i), DataCentre: dataCentre(i % opts.DataCentres)}
		sim.Nodes = append(sim.Nodes, n)
	}
	for _, n := range sim.Nodes {
		n.Start()
	}
	sim.schedulePeriodic(linkCheckPeriod, sim.maintainLinks)
	sim.schedulePeriodic(samplePeriod, sim.sampleHealth)
	return sim
}

// ScheduleAt runs a function at a point in virtual time, or now if that has passed.
func (sim *Simulation) ScheduleAt(at time.Duration, f func()) {
	sim.sequence++
	heap.Push(&sim.events, &scheduledEvent{at: max(at, sim.Now), sequence: sim.sequence, run: f})
}

// ScheduleAfter runs a function after a delay in virtual time.
func (sim *Simulation) ScheduleAfter(d time.Duration, f func()) { sim.ScheduleAt(sim.Now+d, f) }

func (sim *Simulation) schedulePeriodic(period time.Duration, f func()) {
	sim.ScheduleAfter(period, func() {
		f()
		sim.schedulePeriodic(period, f)
	})
}

// Run advances the virtual time by a duration and runs the events that are due.
func (sim *Simulation) Run(d time.Duration) {
	end := sim.Now + d
	for len(sim.events) > 0 && sim.events[0].at <= end {
		e := heap.Pop(&sim.events).(*scheduledEvent)
		sim.Now = e.at
		e.run()
	}
	sim.Now = end
}

// RunUntil advances the virtual time tick by tick until a condition holds, for at
// most limit. It reports whether the condition held.
func (sim *Simulation) RunUntil(limit time.Duration, condition func() bool) bool {
	end := sim.Now + limit
	for sim.Now < end {
		if condition() {
			return true
		}
		sim.Run(state.TickPeriod)
	}
	return condition()
}

// Log adds a line with the virtual time to the trace.
func (sim *Simulation) Log(format string, args ...any) {
	sim.Trace = append(sim.Trace, fmt.Sprintf("%9.3f ", sim.Now.Seconds())+fmt.Sprintf(format, args...))
}

// Node returns a node by ID, or nil.
func (sim *Simulation) Node(id state.NodeID) *Node {
	for _, n := range sim.Nodes {
		if n.ID == id {
			return n
		}
	}
	return nil
}

// Engine returns the engine of a host, or nil.
func (sim *Simulation) Engine(id state.HostID) *Engine {
	for _, e := range sim.Engines {
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

type scheduledEvent struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventHeap []*scheduledEvent

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *eventHeap) Push(x any) { *h = append(*h, x.(*scheduledEvent)) }

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
