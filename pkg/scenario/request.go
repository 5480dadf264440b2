package scenario

import (
	"fmt"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	defaultTimeout = 30 * time.Second
	// answerTokens is the length of a whole answer of a model.
	answerTokens = 100
	requestCost  = answerTokens
	// reconnectDelay is how long a caller waits before it turns to another node.
	reconnectDelay = 200 * time.Millisecond
	maxReconnects  = 10
)

// Request is a request of a caller with what the caller sees of it.
type Request struct {
	Arrival state.RequestArrived
	Node    state.NodeID
	SentAt  time.Duration
	// Ended is set once the caller has its final answer.
	Ended   bool
	EndedAt time.Duration
	Whole   bool
	Refusal *apierror.Error
	Answer  *state.Answer
	// Ran counts attempts that a target executed.
	Ran int
	// Lost is set when the node died before the answer was whole.
	Lost bool

	body       string
	generation string
	received   int64
	attempt    *attempt
	reconnects int
	resumes    *Request
}

// Key returns the idempotency key with its account.
func (r *Request) Key() string { return string(r.Arrival.Account) + "/" + r.Arrival.IdempotencyKey }

// Chat sends a streamed model request through a node.
func (w *World) Chat(n *Node, account state.AccountID) *Request {
	return w.submit(n, &Request{Arrival: state.RequestArrived{
		Account: account, Kind: state.KindModel, Model: ModelName, Method: "POST", Path: "/v1/chat/completions",
		Stream: true, Timeout: defaultTimeout, CostTokens: requestCost,
	}})
}

// Order sends an order, which may not be repeated, through a node.
func (w *World) Order(n *Node, account state.AccountID, key, body string) *Request {
	return w.submit(n, &Request{body: body, Arrival: state.RequestArrived{
		Account: account, Kind: state.KindService, Service: ServiceName, Method: "POST", Path: "/orders",
		AtMostOnce: true, IdempotencyKey: key, BodyHash: body, Timeout: defaultTimeout, CostTokens: 1,
	}})
}

func (w *World) submit(n *Node, r *Request) *Request {
	r.Arrival.ID = state.RequestID(fmt.Sprintf("r%d", len(w.order)+1))
	r.SentAt = w.Now
	w.order = append(w.order, r)
	w.requests[r.Arrival.ID] = r
	if n == nil || !n.Alive || !n.Accepting {
		w.lose(r)
		return r
	}
	r.Node = n.ID
	n.later(sameCentre, r.Arrival)
	return r
}

// Requests returns all requests in the order of their arrival.
func (w *World) Requests() []*Request { return w.order }

// Balance returns a node to which the platform's balancer would send a caller,
// or nil.
func (w *World) Balance() *Node {
	var ready []*Node
	for _, n := range w.Nodes {
		if n.Alive && n.Accepting && n.Ready {
			ready = append(ready, n)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	return ready[w.Rand.IntN(len(ready))]
}

// Load sends chats at a rate per second over all accounts for a duration,
// through one node, or through the balancer when node is nil.
func (w *World) Load(perSecond int, d time.Duration, node *Node) {
	period := time.Second / time.Duration(perSecond)
	end := w.Now + d
	var next func()
	i := 0
	next = func() {
		if w.Now >= end {
			return
		}
		n := node
		if n == nil {
			n = w.Balance()
		}
		if n != nil {
			w.Chat(n, accountID(i%w.Options.Accounts))
			i++
		}
		w.After(period, next)
	}
	next()
}

// reply gives the final answer to the caller.
func (w *World) reply(n *Node, out state.Reply) {
	r := w.requests[out.Request]
	if r == nil || r.Node != n.ID || r.Ended || r.Lost {
		return
	}
	r.Ended, r.EndedAt, r.Refusal, r.Answer = true, w.Now, out.Refusal, out.Answer
	switch {
	case out.Refusal != nil:
		w.Log("%s refuses %s: %s outcome %s", n.ID, r.Arrival.ID, out.Refusal.Code, out.Refusal.Outcome)
		w.Checks.refused(r)
	case r.Arrival.AtMostOnce:
		r.Whole = out.Answer != nil
		w.Checks.answeredOnce(r)
	default:
		r.Whole = r.received == answerTokens
		w.Checks.answered(r)
	}
	w.Metrics.ended(r)
}

// nodeGone breaks the connections of a node's callers and attempts.
func (w *World) nodeGone(n *Node) {
	for _, r := range w.order {
		if r.Node != n.ID || r.Ended || r.Lost {
			continue
		}
		if r.attempt != nil {
			r.attempt.drop()
		}
		w.lose(r)
	}
}

// lose lets a caller turn to another node: it resumes a stream, and repeats
// everything else with the same key.
func (w *World) lose(r *Request) {
	r.Lost = true
	if r.reconnects >= maxReconnects {
		return
	}
	w.After(reconnectDelay, func() { w.reconnect(r) })
}

func (w *World) reconnect(r *Request) {
	next := &Request{Arrival: r.Arrival, body: r.body, reconnects: r.reconnects + 1, resumes: r}
	if r.Arrival.Resume != nil {
		next.generation, next.received = r.generation, r.received
	}
	if r.received > 0 && r.attempt != nil {
		next.generation, next.received = r.generation, r.received
		next.Arrival.Resume = &state.ResumePoint{
			Target: r.attempt.start.Target, Generation: r.generation, Offset: r.received,
		}
	}
	w.submit(w.Balance(), next)
}

// Final returns the request that a caller ended up with after reconnecting.
func (w *World) Final(r *Request) *Request {
	for i := len(w.order) - 1; i >= 0; i-- {
		for c := w.order[i]; c != nil; c = c.resumes {
			if c == r {
				return w.order[i]
			}
		}
	}
	return r
}
