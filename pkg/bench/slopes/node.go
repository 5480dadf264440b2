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
	n.cluster.scheduleAfter(state.TickPeriod, n.tick)
}

// injectRequest feeds a request to the core and schedules the next one, so that
// in-flight counts and usage change as they do under load.
func (n *node) injectRequest() {
	n.requestCount++
	n.feed(state.RequestArrived{
		ID:      state.RequestID(fmt.Sprintf("%s-%d", n.id, n.requestCount)),
		Account: accountName(n.cluster.rand.IntN(n.cluster.load.Accounts)), Model: "m", Stream: true,
		Timeout: 30 * time.Second, CostTokens: 100,
	})
	n.cluster.scheduleAfter(time.Second/requestRatePerNode, n.injectRequest)
}

// feed passes an input to the core and performs the returned outputs.
func (n *node) feed(in state.Input) {
	var outputs []state.Output
	n.cluster.measureNodeTime(func() { outputs = n.core.Step(n.cluster.now, in) })
	for _, out := range outputs {
		n.perform(out)
	}
}

func (n *node) perform(out state.Output) {
	c := n.cluster
	switch out := out.(type) {
	case state.SendPeer:
		n.sendPeer(out)
	case state.StoreRequest:
		n.sendStoreRequest(out)
	case state.SetPeers:
		n.setPeers(out.Peers)
	case state.FetchHosts:
		c.scheduleAfter(storeLatency, n.fetchHosts)
	case state.Probe:
		c.meter.probes++
		c.scheduleAfter(probeDelay, func() {
			e := c.engines[state.HostID(out.Address)]
			answer := e.probeAnswer
			answer.Latency = probeDelay
			n.feed(state.ProbeResult{Host: out.Host, SentAt: out.SentAt, OK: true, Answer: answer})
		})
	case state.FetchLoad:
		c.meter.loads++
		c.scheduleAfter(probeDelay, func() {
			n.feed(state.LoadReport{Target: out.Target, SentAt: out.SentAt, OK: true, Answer: c.engines[state.HostID(out.Address)].loadAnswer})
		})
	case state.EngineOrder:
		c.scheduleAfter(probeDelay, func() { n.feed(c.executeEngineOrder(out)) })
	case state.StartAttempt:
		n.startAttempt(out)
	}
}

// sendPeer delivers a message to another node after peerLatency, in the encoding of
// real links.
func (n *node) sendPeer(out state.SendPeer) {
	c, recipient := n.cluster, n.cluster.byID[out.To]
	var frame []byte
	c.measureNodeTime(func() { frame = encodeFrame(out.Message) })
	size := int64(len(frame) + frameHeaderSize(len(frame), n.id < out.To))
	c.meter.peerBytes += size
	c.meter.peerFrames++
	c.meter.largestFrame = max(c.meter.largestFrame, size)
	c.scheduleAfter(peerLatency, func() {
		var m state.Message
		var err error
		c.measureNodeTime(func() { err = cbor.Unmarshal(frame, &m) })
		if err == nil {
			recipient.feed(state.PeerMessage{From: n.id, Message: m})
		}
	})
}

// setPeers counts the links that the node accepts and dials.
func (n *node) setPeers(peers []state.NodeEntry) {
	n.acceptedLinks, n.dialledLinks = 0, 0
	for _, p := range peers {
		if p.ID < n.id {
			n.acceptedLinks++
		} else {
			n.dialledLinks++
		}
	}
}

// pingBytes returns the bytes per second of the pings that a node sends on its
// links and of the pongs with which it answers the pings of its peers.
func (n *node) pingBytes() float64 {
	return 2 / pingPeriod.Seconds() * float64(n.acceptedLinks*frameHeaderSize(0, false)+n.dialledLinks*frameHeaderSize(0, true))
}

// frameHeaderSize returns the size in bytes of the header of a WebSocket frame
// (RFC 6455, section 5.2). Only the dialling node masks its frames.
func frameHeaderSize(payload int, masked bool) int {
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

// sendStoreRequest executes a store request after storeLatency and feeds the reply,
// in the encoding of the platform's client.
func (n *node) sendStoreRequest(req state.StoreRequest) {
	c := n.cluster
	if req.Transact != nil {
		var body []byte
		c.measureNodeTime(func() { body = encodeJSON(req.Transact) })
		c.meter.tableBytes += int64(len(body))
	}
	c.scheduleAfter(storeLatency, func() {
		reply := c.executeStoreRequest(req)
		body := encodeJSON(reply.Rows)
		c.meter.tableBytes += int64(len(body))
		var rows []state.StoreRow
		var err error
		c.measureNodeTime(func() { err = json.Unmarshal(body, &rows) })
		if err != nil {
			reply.Result = state.StoreUnknown
		}
		reply.Rows = rows
		n.feed(reply)
	})
}

// executeStoreRequest executes a store request on the in-memory store.
func (c *cluster) executeStoreRequest(req state.StoreRequest) state.StoreReply {
	ctx := context.Background()
	reply := state.StoreReply{ID: req.ID}
	if c.platformDown {
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

// fetchHosts feeds the host list of the platform, if the platform answers.
func (n *node) fetchHosts() {
	c := n.cluster
	if c.platformDown {
		return
	}
	c.meter.hostLists++
	body := encodeJSON(c.hosts)
	c.meter.tableBytes += int64(len(body))
	var list []state.ListedHost
	var err error
	c.measureNodeTime(func() { err = json.Unmarshal(body, &list) })
	if err == nil {
		n.feed(state.HostList{Hosts: list})
	}
}

// executeEngineOrder makes an engine load, which takes loadTime, or unload. An
// order with a lower fencing token than the engine's last one is refused.
func (c *cluster) executeEngineOrder(order state.EngineOrder) state.EngineOrderResult {
	e := c.engines[order.Host]
	res := state.EngineOrderResult{ID: order.ID, Host: order.Host}
	if order.FencingToken < e.probeAnswer.FencingToken {
		res.Refused, res.FencingToken = true, e.probeAnswer.FencingToken
		return res
	}
	answer := &e.probeAnswer
	answer.Phase, answer.Group, answer.FencingToken = state.PhaseLoading, order.Group, order.FencingToken
	answer.Model, answer.Version, answer.Adapters = order.Model, order.Version, order.Adapters
	if order.Kind == state.OrderUnload {
		answer.Phase = state.PhaseEmpty
	} else {
		c.scheduleAfter(loadTime, func() {
			if answer.FencingToken == order.FencingToken {
				answer.Phase = state.PhaseReady
			}
		})
	}
	res.OK, res.FencingToken = true, order.FencingToken
	return res
}

// startAttempt simulates an attempt that succeeds: a first byte after
// firstTokenDelay and the end after requestDuration.
func (n *node) startAttempt(out state.StartAttempt) {
	c := n.cluster
	e := c.engines[state.HostID(out.Address)]
	if e == nil {
		return
	}
	e.loadAnswer.Running++
	event := state.AttemptEvent{Request: out.Request, Attempt: out.Attempt, Generation: string(out.Request), AnswerStarted: true}
	c.scheduleAfter(firstTokenDelay, func() {
		first := event
		first.Stage, first.Outcome = state.AttemptFirstByte, apierror.Unknown
		n.feed(first)
	})
	c.scheduleAfter(requestDuration, func() {
		e.loadAnswer.Running--
		e.loadAnswer.Completed++
		last := event
		last.Stage, last.Outcome, last.Status = state.AttemptEnded, apierror.Done, 200
		n.feed(last)
	})
}
