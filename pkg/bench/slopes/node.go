package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

func (n *node) tick() {
	n.feed(state.Tick{})
	n.c.after(state.TickPeriod, n.tick)
}

// arrive sends a request, so that counts in flight and usage change as they do
// under load.
func (n *node) arrive() {
	n.arrived++
	n.feed(state.RequestArrived{
		ID:      state.RequestID(fmt.Sprintf("%s-%d", n.id, n.arrived)),
		Account: accountName(n.c.rand.IntN(n.c.load.Accounts)), Model: "m", Stream: true,
		Timeout: 30 * time.Second, CostTokens: 100,
	})
	n.c.after(time.Second/requestsPerNode, n.arrive)
}

// feed gives an input to the core and carries out what it wants.
func (n *node) feed(in state.Input) {
	var outputs []state.Output
	n.c.inNode(func() { outputs = n.core.Step(n.c.now, in) })
	for _, out := range outputs {
		n.carryOut(out)
	}
}

func (n *node) carryOut(out state.Output) {
	c := n.c
	switch out := out.(type) {
	case state.SendPeer:
		n.send(out)
	case state.StoreRequest:
		n.useStore(out)
	case state.SetPeers:
		n.setPeers(out.Peers)
	case state.FetchHosts:
		c.after(storeDelay, n.listHosts)
	case state.Probe:
		c.meter.probes++
		c.after(probeDelay, func() {
			e := c.engines[state.HostID(out.Address)]
			answer := e.answer
			answer.Latency = probeDelay
			n.feed(state.ProbeResult{Host: out.Host, SentAt: out.SentAt, OK: true, Answer: answer})
		})
	case state.FetchLoad:
		c.meter.loads++
		c.after(probeDelay, func() {
			n.feed(state.LoadReport{Target: out.Target, SentAt: out.SentAt, OK: true, Answer: c.engines[state.HostID(out.Address)].load})
		})
	case state.EngineOrder:
		c.after(probeDelay, func() { n.feed(c.order(out)) })
	case state.StartAttempt:
		n.attempt(out)
	}
}

// send carries a message over a link, with its real encoding.
func (n *node) send(out state.SendPeer) {
	c, to := n.c, n.c.byID[out.To]
	var frame []byte
	c.inNode(func() { frame = encodeFrame(out.Message) })
	size := int64(len(frame) + frameHeader(len(frame), n.id < out.To))
	c.meter.peerBytes += size
	c.meter.peerFrames++
	c.meter.largestFrame = max(c.meter.largestFrame, size)
	c.after(peerDelay, func() {
		var m state.Message
		var err error
		c.inNode(func() { err = cbor.Unmarshal(frame, &m) })
		if err == nil {
			to.feed(state.PeerMessage{From: n.id, Message: m})
		}
	})
}

func (n *node) setPeers(peers []state.NodeEntry) {
	n.accepted, n.dialled = 0, 0
	for _, p := range peers {
		if p.ID < n.id {
			n.accepted++
		} else {
			n.dialled++
		}
	}
}

// pingBytes returns the bytes a second of the pings that a node sends on its
// links and of the pongs with which it answers those of its peers.
func (n *node) pingBytes() float64 {
	return 2 / pingPeriod.Seconds() * float64(n.accepted*frameHeader(0, false)+n.dialled*frameHeader(0, true))
}

// frameHeader returns the size of the header of a WebSocket frame (RFC 6455,
// section 5.2). Only the node that dialled masks its frames.
func frameHeader(payload int, masked bool) int {
	size := 2
	switch {
	case payload > math.MaxUint16:
		size += 8
	case payload > 125:
		size += 2
	}
	if masked {
		size += 4
	}
	return size
}

// useStore carries out a store request, with the encoding of the platform's
// client.
func (n *node) useStore(req state.StoreRequest) {
	c := n.c
	if req.Transact != nil {
		var body []byte
		c.inNode(func() { body = encodeJSON(req.Transact) })
		c.meter.tableBytes += int64(len(body))
	}
	c.after(storeDelay, func() {
		reply := c.execute(req)
		body := encodeJSON(reply.Rows)
		c.meter.tableBytes += int64(len(body))
		var rows []state.StoreRow
		var err error
		c.inNode(func() { err = json.Unmarshal(body, &rows) })
		if err != nil {
			reply.Result = state.StoreUnknown
		}
		reply.Rows = rows
		n.feed(reply)
	})
}

func (c *cluster) execute(req state.StoreRequest) state.StoreReply {
	ctx := context.Background()
	reply := state.StoreReply{ID: req.ID}
	if c.down {
		reply.Result = state.StoreUnavailable
		return reply
	}
	switch {
	case req.Transact != nil:
		c.meter.writes++
		res, err := c.store.Transact(ctx, *req.Transact)
		if err != nil {
			reply.Result = state.StoreUnknown
			return reply
		}
		reply.Result, reply.Rows = res.Result, res.Rows
	case req.Scan != "":
		c.meter.reads++
		reply.Rows, _ = c.store.Scan(ctx, req.Scan)
	default:
		c.meter.reads++
		reply.Rows, _ = c.store.Read(ctx, req.Read)
	}
	return reply
}

func (n *node) listHosts() {
	c := n.c
	if c.down {
		return
	}
	c.meter.hostLists++
	body := encodeJSON(c.list)
	c.meter.tableBytes += int64(len(body))
	var list []state.ListedHost
	var err error
	c.inNode(func() { err = json.Unmarshal(body, &list) })
	if err == nil {
		n.feed(state.HostList{Hosts: list})
	}
}

// order makes an engine load, which takes loadTime.
func (c *cluster) order(o state.EngineOrder) state.EngineOrderResult {
	e := c.engines[o.Host]
	res := state.EngineOrderResult{ID: o.ID, Host: o.Host}
	if o.FencingToken < e.answer.FencingToken {
		res.Refused, res.FencingToken = true, e.answer.FencingToken
		return res
	}
	a := &e.answer
	a.Phase, a.Group, a.FencingToken = state.PhaseLoading, o.Group, o.FencingToken
	a.Model, a.Version, a.Adapters = o.Model, o.Version, o.Adapters
	if o.Kind == state.OrderUnload {
		a.Phase = state.PhaseEmpty
	} else {
		c.after(loadTime, func() {
			if a.FencingToken == o.FencingToken {
				a.Phase = state.PhaseReady
			}
		})
	}
	res.OK, res.FencingToken = true, o.FencingToken
	return res
}

// attempt serves a request.
func (n *node) attempt(out state.StartAttempt) {
	c := n.c
	e := c.engines[state.HostID(out.Address)]
	if e == nil {
		return
	}
	e.load.Running++
	event := state.AttemptEvent{Request: out.Request, Attempt: out.Attempt, Generation: string(out.Request), AnswerStarted: true}
	c.after(firstToken, func() {
		first := event
		first.Stage, first.Outcome = state.AttemptFirstByte, apierror.Unknown
		n.feed(first)
	})
	c.after(requestTime, func() {
		e.load.Running--
		e.load.Completed++
		last := event
		last.Stage, last.Outcome, last.Status = state.AttemptEnded, apierror.Done, 200
		n.feed(last)
	})
}
