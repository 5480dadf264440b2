package controltest

import (
	"context"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

func (c *cluster) perform(n *node, o state.Output) {
	switch o := o.(type) {
	case state.StoreRequest:
		c.serveStore(n, o)
	case state.SendPeer:
		if o.Message.PollReply != nil {
			c.lastPollReplies[n.self.ID] = o.Message.PollReply
		}
		if !n.links[o.To] || c.isCut(n.self.ID, o.To) {
			return
		}
		to := c.nodes[o.To]
		latency := peerLatency + c.linkDelay[[2]state.NodeID{n.self.ID, o.To}]
		c.scheduleAfter(latency, func() {
			if n.alive && to.links[n.self.ID] {
				to.feed(state.PeerMessage{From: n.self.ID, Message: o.Message})
			}
		})
	case state.SetPeers:
		n.desiredPeers = nil
		for _, p := range o.Peers {
			n.desiredPeers = append(n.desiredPeers, p.ID)
		}
	case state.Probe:
		c.answerProbe(n, o)
	case state.FetchHosts:
		if !c.storeDown && !c.storeUnreachable[n.self.ID] && c.listedHosts != nil {
			c.scheduleAfter(storeLatency, func() { n.feed(state.HostList{Hosts: c.listedHosts}) })
		}
	case state.OperatorReply:
		c.operatorReplies[o.ID] = o
	case state.SetReadiness:
		n.ready = o.Ready
	case state.StopAccepting:
		n.listenersClosed = true
	case state.ExitReady:
		n.exited = true
	case state.LogEvent:
		n.loggedEvents = append(n.loggedEvents, o.Event)
	}
}

func (c *cluster) serveStore(n *node, req state.StoreRequest) {
	if c.storeDown || c.storeUnreachable[n.self.ID] {
		c.scheduleAfter(storeLatency, func() { n.feed(state.StoreReply{ID: req.ID, Result: state.StoreUnavailable}) })
		return
	}
	if req.Transact != nil && c.delayedTransactions > 0 {
		c.delayedTransactions--
		c.scheduleAfter(storeLatency, func() { n.feed(state.StoreReply{ID: req.ID, Result: state.StoreUnknown}) })
		c.scheduleAfter(300*time.Millisecond, func() { _, _ = c.store.Transact(context.Background(), *req.Transact) })
		return
	}
	c.scheduleAfter(c.storeLatency/2, func() {
		reply := state.StoreReply{ID: req.ID}
		if req.Transact != nil {
			result, _ := c.store.Transact(context.Background(), *req.Transact)
			reply.Result, reply.Rows = result.Result, result.Rows
			if c.repliesToLose > 0 && result.Result == state.StoreOK {
				c.repliesToLose--
				reply = state.StoreReply{ID: req.ID, Result: state.StoreUnknown}
			}
		} else {
			reply.Rows, _ = c.store.Read(context.Background(), req.Read)
		}
		c.scheduleAfter(c.storeLatency/2, func() { n.feed(reply) })
	})
}

func (c *cluster) answerProbe(n *node, p state.Probe) {
	if c.probeCounts[p.Host] == nil {
		c.probeCounts[p.Host] = map[state.NodeID]int{}
	}
	c.probeCounts[p.Host][n.self.ID]++
	h := c.hosts[p.Host]
	if h == nil || h.dead || h.unreachableFrom[n.self.ID] {
		c.scheduleAfter(time.Second, func() { n.feed(state.ProbeResult{Host: p.Host, SentAt: p.SentAt}) })
		return
	}
	answer := h.probeAnswer
	if answer.Latency == 0 {
		answer.Latency = time.Millisecond
	}
	c.scheduleAfter(answer.Latency, func() { n.feed(state.ProbeResult{Host: p.Host, SentAt: p.SentAt, OK: true, Answer: answer}) })
}

// maintainLinks opens the links that a node requests, and closes those that have
// been cut for longer than linkTimeout.
func (c *cluster) maintainLinks() {
	for i, a := range c.ids {
		for _, b := range c.ids[i+1:] {
			c.maintainLink(c.nodes[a], c.nodes[b])
		}
	}
	c.scheduleAfter(linkCheckPeriod, c.maintainLinks)
}

func (c *cluster) maintainLink(a, b *node) {
	if a == nil || b == nil || !a.alive || !b.alive {
		return
	}
	ab, ba := [2]state.NodeID{a.self.ID, b.self.ID}, [2]state.NodeID{b.self.ID, a.self.ID}
	cut := c.isCut(ab[0], ab[1]) || c.isCut(ba[0], ba[1])
	if a.links[b.self.ID] {
		if cut && c.now-max(c.cutSince[ab], c.cutSince[ba]) > linkTimeout {
			c.closeLink(a, b.self.ID)
			c.closeLink(b, a.self.ID)
		}
		return
	}
	if cut || a.paused || b.paused || !slices.Contains(a.desiredPeers, b.self.ID) && !slices.Contains(b.desiredPeers, a.self.ID) {
		return
	}
	a.links[b.self.ID], b.links[a.self.ID] = true, true
	a.feed(state.PeerLinkChanged{Peer: b.self.ID, Incarnation: b.self.Incarnation, Up: true})
	b.feed(state.PeerLinkChanged{Peer: a.self.ID, Incarnation: a.self.Incarnation, Up: true})
}

func (c *cluster) closeLink(n *node, peer state.NodeID) {
	n.links[peer] = false
	n.feed(state.PeerLinkChanged{Peer: peer})
}

func (c *cluster) isCut(from, to state.NodeID) bool {
	_, ok := c.cutSince[[2]state.NodeID{from, to}]
	return ok
}

// cutOneWay drops all messages from one node to another.
func (c *cluster) cutOneWay(from, to state.NodeID) { c.cutSince[[2]state.NodeID{from, to}] = c.now }

// isolate cuts all links between the given nodes and the others, in both
// directions.
func (c *cluster) isolate(isolated ...state.NodeID) {
	for _, a := range isolated {
		for _, b := range c.ids {
			if !slices.Contains(isolated, b) {
				c.cutOneWay(a, b)
				c.cutOneWay(b, a)
			}
		}
	}
}

func (c *cluster) heal() { clear(c.cutSince) }
