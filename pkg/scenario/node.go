package scenario

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// drainNotice is the drain notice of the nodes of a world.
const drainNotice = time.Second

// Node hosts the decision core of one entry daemon.
type Node struct {
	ID         state.NodeID
	DataCentre state.DataCentre
	Core       *core.Node
	Alive      bool
	Paused     bool
	Ready      bool
	Accepting  bool
	Draining   bool
	// Starts counts the lives of the node.
	Starts state.Incarnation

	world   *World
	startAt time.Duration
	// offset makes the clocks of nodes differ.
	offset  time.Duration
	peers   []state.NodeEntry
	links   map[state.NodeID]bool
	silent  map[state.NodeID]time.Duration
	held    []state.Input
	op      uint64
	replies map[uint64]func(state.OperatorReply)
}

// Start starts a node that keeps nothing of its former life.
func (n *Node) Start() {
	w := n.world
	n.Kill()
	n.Starts++
	n.Alive, n.Paused, n.Ready, n.Accepting, n.Draining = true, false, false, true, false
	n.startAt, n.offset = w.Now, time.Duration(w.Rand.Int64N(int64(time.Hour)))
	n.links, n.silent = map[state.NodeID]bool{}, map[state.NodeID]time.Duration{}
	n.peers, n.held = nil, nil
	n.replies = map[uint64]func(state.OperatorReply){}
	self := state.Self{
		ID: n.ID, DataCentre: n.DataCentre, Address: string(n.ID), Incarnation: n.Starts, DrainNotice: drainNotice,
	}
	n.Core = core.New(self, w.Options.Switches, w.Rand.Uint64())
	w.Checks.started(n)
	w.Log("start %s", n.ID)
	// Ticks of nodes are spread over the tick period.
	life := n.Starts
	w.After(time.Duration(w.Rand.Int64N(int64(state.TickPeriod))), func() { n.tick(life) })
}

func (n *Node) tick(life state.Incarnation) {
	if n.Starts != life || !n.Alive {
		return
	}
	if !n.Paused {
		n.Feed(state.Tick{})
	}
	n.world.After(state.TickPeriod, func() { n.tick(life) })
}

// Clock returns the node's monotonic time.
func (n *Node) Clock() time.Duration { return n.world.Now - n.startAt + n.offset }

// Kill stops a node at once.
func (n *Node) Kill() {
	if !n.Alive {
		return
	}
	n.world.Log("kill %s", n.ID)
	n.stop()
}

func (n *Node) stop() {
	w := n.world
	n.Alive, n.Ready, n.Accepting = false, false, false
	for _, peer := range w.Nodes {
		if w.Network.Passes(string(n.ID), string(peer.ID)) {
			// The peers' connections are reset at once.
			w.After(w.delay(n.DataCentre, peer.DataCentre), func() { peer.setLink(n, false) })
		}
	}
	w.nodeGone(n)
}

// Pause stops a node as SIGSTOP does: its inputs wait.
func (n *Node) Pause() {
	n.Paused = true
	n.world.Log("pause %s", n.ID)
}

// Resume lets a paused node go on with what waited.
func (n *Node) Resume() {
	n.Paused = false
	n.world.Log("resume %s", n.ID)
	for _, r := range n.world.order {
		if r.Node == n.ID && r.attempt != nil && r.attempt.generation != nil {
			r.attempt.passOn()
		}
	}
	held := n.held
	n.held = nil
	for _, in := range held {
		n.Feed(in)
	}
}

// Shutdown asks for a graceful shutdown.
func (n *Node) Shutdown() {
	n.Draining = true
	n.world.Log("shutdown %s", n.ID)
	n.Feed(state.Shutdown{})
}

// Feed gives an input to the core and carries out the outputs.
func (n *Node) Feed(in state.Input) {
	if !n.Alive {
		return
	}
	if n.Paused {
		n.held = append(n.held, in)
		return
	}
	life := n.Starts
	for _, out := range n.Core.Step(n.Clock(), in) {
		if n.Alive && n.Starts == life {
			n.carryOut(out)
		}
	}
	if n.Alive {
		n.world.Checks.afterStep(n)
	}
}

// later feeds an input after a delay, unless the node has died since.
func (n *Node) later(d time.Duration, in state.Input) {
	life := n.Starts
	n.world.After(d, func() {
		if n.Starts == life {
			n.Feed(in)
		}
	})
}

func (n *Node) carryOut(out state.Output) {
	w := n.world
	switch out := out.(type) {
	case state.SetPeers:
		n.peers = out.Peers
	case state.SendPeer:
		n.send(out)
	case state.StoreRequest:
		w.Store.request(n, out)
	case state.FetchHosts:
		w.listHosts(n)
	case state.Probe:
		w.probe(n, out)
	case state.FetchLoad:
		w.fetchLoad(n, out)
	case state.EngineOrder:
		w.engineOrder(n, out)
	case state.FetchLookup:
		w.lookup(n, out)
	case state.StartAttempt:
		w.startAttempt(n, out)
	case state.CancelAttempt:
		w.cancelAttempt(out)
	case state.Reply:
		w.reply(n, out)
	case state.OperatorReply:
		n.operatorReply(out)
	case state.SetReadiness:
		n.Ready = out.Ready
	case state.StopAccepting:
		n.Accepting = false
	case state.ExitReady:
		w.Checks.exiting(n)
		w.Log("exit %s", n.ID)
		n.stop()
	case state.LogEvent:
		n.logEvent(out)
	}
}

func (n *Node) logEvent(out state.LogEvent) {
	entry, _ := event.Find(out.Event)
	line := ""
	for _, a := range out.Attrs {
		line += " " + a.String()
	}
	n.world.Log("%s event %d %s%s", n.ID, out.Event, entry.Message, line)
}

func (n *Node) wants(peer state.NodeID) bool {
	return slices.ContainsFunc(n.peers, func(e state.NodeEntry) bool { return e.ID == peer })
}

func (n *Node) setLink(peer *Node, up bool) {
	if n.links[peer.ID] == up || !n.Alive {
		return
	}
	n.links[peer.ID] = up
	n.Feed(state.PeerLinkChanged{Peer: peer.ID, Incarnation: peer.Starts, Up: up})
}

func (n *Node) send(out state.SendPeer) {
	w := n.world
	peer := w.Node(out.To)
	w.countMessage(out.Message)
	if peer == nil || !n.links[out.To] || !w.Network.Passes(string(n.ID), string(out.To)) {
		return
	}
	way := w.delay(n.DataCentre, peer.DataCentre) + w.Network.lateness(string(n.ID), string(peer.ID))
	peer.later(way, state.PeerMessage{From: n.ID, Message: out.Message})
}

// Operate gives a change of an operator and calls back with the reply.
func (n *Node) Operate(cmd state.OperatorCommand, done func(state.OperatorReply)) {
	n.op++
	cmd.ID, cmd.AtUnixMilli = n.op, n.world.Now.Milliseconds()
	if cmd.Operator == "" {
		cmd.Operator = "operator"
	}
	if done != nil {
		n.replies[cmd.ID] = done
	}
	n.world.Log("%s operator command %d", n.ID, cmd.Action)
	n.Feed(cmd)
}

func (n *Node) operatorReply(out state.OperatorReply) {
	w := n.world
	if out.Error != nil {
		w.Log("%s operator reply error %s: %s", n.ID, out.Error.Code, out.Error.Message)
	} else {
		w.Log("%s operator reply version %d accepted %t missing %v", n.ID, out.Version, out.Accepted, out.UnconfirmedNodes)
	}
	if out.Accepted {
		w.Checks.accepted(out.Version)
	}
	if done := n.replies[out.ID]; done != nil {
		delete(n.replies, out.ID)
		done(out)
	}
}
