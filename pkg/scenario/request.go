package scenario

import (
	"fmt"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	defaultTimeout = 30 * time.Second
	// answerTokens is the length of a complete answer of a model.
	answerTokens      = 100
	requestCostTokens = answerTokens
	// reconnectDelay is the time after which a caller that lost its node connects
	// to another one.
	reconnectDelay = 200 * time.Millisecond
	maxReconnects  = 10
)

// Request is a request together with the state that its caller sees.
type Request struct {
	Arrival state.RequestArrived
	Node    state.NodeID
	SentAt  time.Duration
	// Ended is set when the caller has its final answer.
	Ended   bool
	EndedAt time.Duration
	// Complete is set when the caller has got the complete answer.
	Complete bool
	Refusal  *apierror.Error
	Answer   *state.Answer
	// Executions counts the attempts that a target executed.
	Executions int
	// Disconnected is set when the caller lost its node before the final answer, or
	// found none.
	Disconnected bool

	body string
	// generationID and receivedTokens describe the stream that the caller has read.
	generationID   string
	receivedTokens int64
	attempt        *attempt
	reconnects     int
	// previous is the request that this one replaces after a reconnect, or nil.
	previous *Request
}

// Key returns the account and the idempotency key, separated by a slash.
func (r *Request) Key() string { return string(r.Arrival.Account) + "/" + r.Arrival.IdempotencyKey }

// Chat sends a streamed model request through a node.
func (sim *Simulation) Chat(n *Node, account state.AccountID) *Request {
	return sim.submit(n, &Request{Arrival: state.RequestArrived{
		Account: account, Kind: state.KindModel, Model: ModelName, Method: "POST", Path: "/v1/chat/completions",
		Stream: true, Timeout: defaultTimeout, CostTokens: requestCostTokens,
	}})
}

// Order sends a service order through a node. It must execute at most once.
func (sim *Simulation) Order(n *Node, account state.AccountID, key, body string) *Request {
	return sim.submit(n, &Request{body: body, Arrival: state.RequestArrived{
		Account: account, Kind: state.KindService, Service: ServiceName, Method: "POST", Path: "/orders",
		AtMostOnce: true, IdempotencyKey: key, BodyHash: body, Timeout: defaultTimeout, CostTokens: 1,
	}})
}

func (sim *Simulation) submit(n *Node, r *Request) *Request {
	r.Arrival.ID = state.RequestID(fmt.Sprintf("r%d", len(sim.submitted)+1))
	r.SentAt = sim.Now
	sim.submitted = append(sim.submitted, r)
	sim.requests[r.Arrival.ID] = r
	if n == nil || !n.Alive || !n.Accepting {
		sim.disconnect(r)
		return r
	}
	r.Node = n.ID
	n.feedAfter(sameCentreLatency, r.Arrival)
	return r
}

// Requests returns all requests in the order of their submission.
func (sim *Simulation) Requests() []*Request { return sim.submitted }

// PickReadyNode picks a random node that accepts callers and is ready, as the load balancer
// of the platform does, or returns nil.
func (sim *Simulation) PickReadyNode() *Node {
	var ready []*Node
	for _, n := range sim.Nodes {
		if n.Alive && n.Accepting && n.Ready {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[sim.Rand.IntN(len(ready))]
}

// StartLoad sends model requests of all accounts in turn at a rate per second for a
// duration, through one node, or through the load balancer if node is nil.
func (sim *Simulation) StartLoad(perSecond int, d time.Duration, node *Node) {
	interval := time.Second / time.Duration(perSecond)
	end := sim.Now + d
	var next func()
	i := 0
	next = func() {
		if sim.Now >= end {
			return
		}
		n := node
		if n == nil {
			n = sim.PickReadyNode()
		}
		if n != nil {
			sim.Chat(n, accountID(i%sim.Options.Accounts))
			i++
		}
		sim.ScheduleAfter(interval, next)
	}
	next()
}

// deliverReply passes the final answer to the caller and checks it.
func (sim *Simulation) deliverReply(n *Node, reply state.Reply) {
	r := sim.requests[reply.Request]
	if r == nil || r.Node != n.ID || r.Ended || r.Disconnected {
		return
	}
	r.Ended, r.EndedAt, r.Refusal, r.Answer = true, sim.Now, reply.Refusal, reply.Answer
	switch {
	case reply.Refusal != nil:
		sim.Log("%s refuses %s with code %s and outcome %s", n.ID, r.Arrival.ID, reply.Refusal.Code, reply.Refusal.Outcome)
		sim.Checks.checkRefusal(r)
	case r.Arrival.AtMostOnce:
		r.Complete = reply.Answer != nil
		sim.Checks.checkServiceAnswer(r)
	default:
		r.Complete = r.receivedTokens == answerTokens
		sim.Checks.checkModelAnswer(r)
	}
	sim.Metrics.recordEnd(r)
}

// disconnectCallers ends the connections of a stopped node to its callers and targets.
func (sim *Simulation) disconnectCallers(n *Node) {
	for _, r := range sim.submitted {
		if r.Node != n.ID || r.Ended || r.Disconnected {
			continue
		}
		if r.attempt != nil {
			r.attempt.discard()
		}
		sim.disconnect(r)
	}
}

// disconnect marks a request as disconnected and makes its caller reconnect. The
// caller resumes a stream that has started and sends any other request again with the
// same idempotency key.
func (sim *Simulation) disconnect(r *Request) {
	r.Disconnected = true
	if r.reconnects >= maxReconnects {
		return
	}
	sim.ScheduleAfter(reconnectDelay, func() { sim.reconnect(r) })
}

func (sim *Simulation) reconnect(r *Request) {
	next := &Request{Arrival: r.Arrival, body: r.body, reconnects: r.reconnects + 1, previous: r}
	if r.Arrival.Resume != nil {
		next.generationID, next.receivedTokens = r.generationID, r.receivedTokens
	}
	if r.receivedTokens > 0 && r.attempt != nil {
		next.generationID, next.receivedTokens = r.generationID, r.receivedTokens
		next.Arrival.Resume = &state.ResumePoint{
			Target: r.attempt.start.Target, Generation: r.generationID, Offset: r.receivedTokens,
		}
	}
	sim.submit(sim.PickReadyNode(), next)
}

// FinalRequest returns the last request that replaced r after reconnects, or r itself.
func (sim *Simulation) FinalRequest(r *Request) *Request {
	for i := len(sim.submitted) - 1; i >= 0; i-- {
		for c := sim.submitted[i]; c != nil; c = c.previous {
			if c == r {
				return sim.submitted[i]
			}
		}
	}
	return r
}
