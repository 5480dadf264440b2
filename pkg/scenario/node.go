package scenario

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const drainNotice = time.Second

// Node simulates one entry daemon and contains its decision core.
type Node struct {
	ID         state.NodeID
	DataCentre state.DataCentre
	Core       *core.Node
	Alive      bool
	Paused     bool
	Ready      bool
	Accepting  bool
	Draining   bool
	// Incarnation is the number of starts of the node.
	Incarnation state.Incarnation

	sim       *Simulation
	startedAt time.Duration
	// clockOffset is random for each start, so that the clocks of nodes differ.
	clockOffset time.Duration
	// peers holds the nodes to which the core wants links.
	peers            []state.NodeEntry
	linksUp          map[state.NodeID]bool
	unreachableSince map[state.NodeID]time.Duration
	queuedInputs     []state.Input
	lastCommandID    uint64
	replyHandlers    map[uint64]func(state.OperatorReply)
}

// Start starts a new incarnation of the node without any former state.
func (n *Node) Start() {
	sim := n.sim
	n.Kill()
	n.Incarnation++
	n.Alive, n.Paused, n.Ready, n.Accepting, n.Draining = true, false, false, true, false
	n.startedAt, n.clockOffset = sim.Now, time.Duration(sim.Rand.Int64N(int64(time.Hour)))
	n.linksUp, n.unreachableSince = map[state.NodeID]bool{}, map[state.NodeID]time.Duration{}
	n.peers, n.queuedInputs = nil, nil
	n.replyHandlers = map[uint64]func(state.OperatorReply){}
	self := state.Self{
		ID: n.ID, DataCentre: n.DataCentre, Address: string(n.ID), Incarnation: n.Incarnation, DrainNotice: drainNotice,
	}
	n.Core = core.New(self, sim.Options.Switches, sim.Rand.Uint64())
	sim.Checks.forgetNodeVersion(n)
	sim.Log("start node %s", n.ID)
	// A random delay spreads the ticks of the nodes over the tick period.
	incarnation := n.Incarnation
	sim.ScheduleAfter(time.Duration(sim.Rand.Int64N(int64(state.TickPeriod))), func() { n.tick(incarnation) })
}

func (n *Node) tick(incarnation state.Incarnation) {
	if n.Incarnation != incarnation || !n.Alive {
		return
	}
	if !n.Paused {
		n.Feed(state.Tick{})
	}
	n.sim.ScheduleAfter(state.TickPeriod, func() { n.tick(incarnation) })
}

// Clock returns the node's monotonic time.
func (n *Node) Clock() time.Duration { return n.sim.Now - n.startedAt + n.clockOffset }

// Kill stops the node without a graceful shutdown.
func (n *Node) Kill() {
	if !n.Alive {
		return
	}
	n.sim.Log("kill node %s", n.ID)
	n.stop()
}

func (n *Node) stop() {
	sim := n.sim
	n.Alive, n.Ready, n.Accepting = false, false, false
	for _, peer := range sim.Nodes {
		if sim.Network.CanReach(string(n.ID), string(peer.ID)) {
			// The peers see a connection reset after the network latency.
			sim.ScheduleAfter(sim.latency(n.DataCentre, peer.DataCentre), func() { peer.setLink(n, false) })
		}
	}
	sim.disconnectCallers(n)
}

// Pause freezes the node as SIGSTOP does. Inputs are queued until Resume.
func (n *Node) Pause() {
	n.Paused = true
	n.sim.Log("pause node %s", n.ID)
}

// Resume ends a pause and feeds the queued inputs to the core.
func (n *Node) Resume() {
	n.Paused = false
	n.sim.Log("resume node %s", n.ID)
	for _, r := range n.sim.submitted {
		if r.Node == n.ID && r.attempt != nil && r.attempt.generation != nil {
			r.attempt.forwardTokens()
		}
	}
	inputs := n.queuedInputs
	n.queuedInputs = nil
	for _, in := range inputs {
		n.Feed(in)
	}
}

// Shutdown starts a graceful shutdown.
func (n *Node) Shutdown() {
	n.Draining = true
	n.sim.Log("shutdown node %s", n.ID)
	n.Feed(state.Shutdown{})
}

// Feed passes an input to the core, performs the outputs and checks the configuration.
func (n *Node) Feed(in state.Input) {
	if !n.Alive {
		return
	}
	if n.Paused {
		n.queuedInputs = append(n.queuedInputs, in)
		return
	}
	incarnation := n.Incarnation
	for _, out := range n.Core.Step(n.Clock(), in) {
		if n.Alive && n.Incarnation == incarnation {
			n.perform(out)
		}
	}
	if n.Alive {
		n.sim.Checks.checkConfiguration(n)
	}
}

// feedAfter feeds an input after a delay, unless the node has restarted since.
func (n *Node) feedAfter(d time.Duration, in state.Input) {
	incarnation := n.Incarnation
	n.sim.ScheduleAfter(d, func() {
		if n.Incarnation == incarnation {
			n.Feed(in)
		}
	})
}

func (n *Node) perform(out state.Output) {
	sim := n.sim
	switch out := out.(type) {
	case state.SetPeers:
		n.peers = out.Peers
	case state.SendPeer:
		n.sendPeer(out)
	case state.StoreRequest:
		sim.Store.handle(n, out)
	case state.FetchHosts:
		sim.listHosts(n)
	case state.Probe:
		sim.probe(n, out)
	case state.FetchLoad:
		sim.fetchLoad(n, out)
	case state.EngineOrder:
		sim.sendEngineOrder(n, out)
	case state.FetchLookup:
		sim.fetchLookup(n, out)
	case state.StartAttempt:
		sim.startAttempt(n, out)
	case state.CancelAttempt:
		sim.cancelAttempt(out)
	case state.Reply:
		sim.deliverReply(n, out)
	case state.OperatorReply:
		n.deliverOperatorReply(out)
	case state.SetReadiness:
		n.Ready = out.Ready
	case state.StopAccepting:
		n.Accepting = false
	case state.ExitReady:
		sim.Checks.checkExit(n)
		sim.Log("exit node %s", n.ID)
		n.stop()
	case state.LogEvent:
		n.traceEvent(out)
	}
}

func (n *Node) traceEvent(out state.LogEvent) {
	entry, _ := event.Find(out.Event)
	attrs := ""
	for _, a := range out.Attrs {
		attrs += " " + a.String()
	}
	n.sim.Log("%s event %d %s%s", n.ID, out.Event, entry.Message, attrs)
}

func (n *Node) hasPeer(peer state.NodeID) bool {
	return slices.ContainsFunc(n.peers, func(e state.NodeEntry) bool { return e.ID == peer })
}

func (n *Node) setLink(peer *Node, up bool) {
	if n.linksUp[peer.ID] == up || !n.Alive {
		return
	}
	n.linksUp[peer.ID] = up
	n.Feed(state.PeerLinkChanged{Peer: peer.ID, Incarnation: peer.Incarnation, Up: up})
}

func (n *Node) sendPeer(out state.SendPeer) {
	sim := n.sim
	peer := sim.Node(out.To)
	sim.countMessage(out.Message)
	if peer == nil || !n.linksUp[out.To] || !sim.Network.CanReach(string(n.ID), string(out.To)) {
		return
	}
	latency := sim.latency(n.DataCentre, peer.DataCentre) + sim.Network.linkDelay(string(n.ID), string(peer.ID))
	peer.feedAfter(latency, state.PeerMessage{From: n.ID, Message: out.Message})
}

// SubmitCommand submits a command of an operator and passes the reply to onReply unless
// that is nil.
func (n *Node) SubmitCommand(cmd state.OperatorCommand, onReply func(state.OperatorReply)) {
	n.lastCommandID++
	cmd.ID, cmd.AtUnixMilli = n.lastCommandID, n.sim.Now.Milliseconds()
	if cmd.Operator == "" {
		cmd.Operator = "operator"
	}
	if onReply != nil {
		n.replyHandlers[cmd.ID] = onReply
	}
	n.sim.Log("%s operator command with action %d", n.ID, cmd.Action)
	n.Feed(cmd)
}

func (n *Node) deliverOperatorReply(out state.OperatorReply) {
	sim := n.sim
	if out.Error != nil {
		sim.Log("%s operator reply error %s: %s", n.ID, out.Error.Code, out.Error.Message)
	} else {
		sim.Log("%s operator reply version %d accepted %t unconfirmed nodes %v", n.ID, out.Version, out.Accepted, out.UnconfirmedNodes)
	}
	if out.Accepted {
		sim.Checks.recordAcceptance(out.Version)
	}
	if onReply := n.replyHandlers[out.ID]; onReply != nil {
		delete(n.replyHandlers, out.ID)
		onReply(out)
	}
}
