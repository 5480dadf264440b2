package controltest

import (
	"context"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

func (c *cluster) carryOut(n *node, o state.Output) {
	switch o := o.(type) {
	case state.StoreRequest:
		c.serve(n, o)
	case state.SendPeer:
		if o.Message.PollReply != nil {
			c.polled[n.self.ID] = o.Message.PollReply
		}
		if !n.links[o.To] || c.isCut(n.self.ID, o.To) {
			return
		}
		to := c.nodes[o.To]
		lag := peerDelay + c.peerLag[[2]state.NodeID{n.self.ID, o.To}]
		c.after(lag, func() {
			if n.alive && to.links[n.self.ID] {
				to.feed(state.PeerMessage{From: n.self.ID, Message: o.Message})
			}
		})
	case state.SetPeers:
		n.wants = nil
		for _, p := range o.Peers {
			n.wants = append(n.wants, p.ID)
		}
	case state.Probe:
		c.probe(n, o)
	case state.FetchHosts:
		if !c.storeDown && !c.storeCut[n.self.ID] && c.listed != nil {
			c.after(storeDelay, func() { n.feed(state.HostList{Hosts: c.listed}) })
		}
	case state.OperatorReply:
		c.replies[o.ID] = o
	case state.SetReadiness:
		n.ready = o.Ready
	case state.StopAccepting:
		n.closed = true
	case state.ExitReady:
		n.exited = true
	case state.LogEvent:
		n.logs = append(n.logs, o.Event)
	}
}

func (c *cluster) serve(n *node, req state.StoreRequest) {
	if c.storeDown || c.storeCut[n.self.ID] {
		c.after(storeDelay, func() { n.feed(state.StoreReply{ID: req.ID, Result: state.StoreUnavailable}) })
		return
	}
	if req.Transact != nil && c.late > 0 {
		c.late--
		c.after(storeDelay, func() { n.feed(state.StoreReply{ID: req.ID, Result: state.StoreUnknown}) })
		c.after(300*time.Millisecond, func() { _, _ = c.store.Transact(context.Background(), *req.Transact) })
		return
	}
	c.after(c.storeDelay/2, func() {
		reply := state.StoreReply{ID: req.ID}
		if req.Transact != nil {
			res, _ := c.store.Transact(context.Background(), *req.Transact)
			reply.Result, reply.Rows = res.Result, res.Rows
			if c.lose > 0 && res.Result == state.StoreOK {
				c.lose--
				reply = state.StoreReply{ID: req.ID, Result: state.StoreUnknown}
			}
		} else {
			reply.Rows, _ = c.store.Read(context.Background(), req.Read)
		}
		c.after(c.storeDelay/2, func() { n.feed(reply) })
	})
}

func (c *cluster) probe(n *node, p state.Probe) {
	if c.probes[p.Host] == nil {
		c.probes[p.Host] = map[state.NodeID]int{}
	}
	c.probes[p.Host][n.self.ID]++
	h := c.hosts[p.Host]
	if h == nil || h.dead || h.cut[n.self.ID] {
		c.after(time.Second, func() { n.feed(state.ProbeResult{Host: p.Host, SentAt: p.SentAt}) })
		return
	}
	answer := h.answer
	if answer.Latency == 0 {
		answer.Latency = time.Millisecond
	}
	c.after(answer.Latency, func() { n.feed(state.ProbeResult{Host: p.Host, SentAt: p.SentAt, OK: true, Answer: answer}) })
}

// keepLinks dials the links that are wanted and closes those that are silent.
func (c *cluster) keepLinks() {
	for i, a := range c.ids {
		for _, b := range c.ids[i+1:] {
			c.keepLink(c.nodes[a], c.nodes[b])
		}
	}
	c.after(linkPeriod, c.keepLinks)
}

func (c *cluster) keepLink(a, b *node) {
	if a == nil || b == nil || !a.alive || !b.alive {
		return
	}
	ab, ba := [2]state.NodeID{a.self.ID, b.self.ID}, [2]state.NodeID{b.self.ID, a.self.ID}
	cut := c.isCut(ab[0], ab[1]) || c.isCut(ba[0], ba[1])
	if a.links[b.self.ID] {
		if cut && c.now-max(c.cut[ab], c.cut[ba]) > linkTimeout {
			c.linkDown(a, b.self.ID)
			c.linkDown(b, a.self.ID)
		}
		return
	}
	if cut || a.paused || b.paused || !slices.Contains(a.wants, b.self.ID) && !slices.Contains(b.wants, a.self.ID) {
		return
	}
	a.links[b.self.ID], b.links[a.self.ID] = true, true
	a.feed(state.PeerLinkChanged{Peer: b.self.ID, Incarnation: b.self.Incarnation, Up: true})
	b.feed(state.PeerLinkChanged{Peer: a.self.ID, Incarnation: a.self.Incarnation, Up: true})
}

func (c *cluster) linkDown(n *node, peer state.NodeID) {
	n.links[peer] = false
	n.feed(state.PeerLinkChanged{Peer: peer})
}

func (c *cluster) isCut(from, to state.NodeID) bool {
	_, ok := c.cut[[2]state.NodeID{from, to}]
	return ok
}

// cutOneWay drops what one node sends to another.
func (c *cluster) cutOneWay(from, to state.NodeID) { c.cut[[2]state.NodeID{from, to}] = c.now }

// split cuts the nodes given off from all others, in both directions.
func (c *cluster) split(part ...state.NodeID) {
	for _, a := range part {
		for _, b := range c.ids {
			if !slices.Contains(part, b) {
				c.cutOneWay(a, b)
				c.cutOneWay(b, a)
			}
		}
	}
}

func (c *cluster) heal() { clear(c.cut) }
