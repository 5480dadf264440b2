package scenario

import (
	"fmt"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// tokenTime is between two tokens of a generation.
	tokenTime = 10 * time.Millisecond
	// prefillTime is until the first token.
	prefillTime = 50 * time.Millisecond
	// inactivity is after how long a silent attempt ends.
	inactivity  = 5 * time.Second
	dialTimeout = time.Second
)

// attempt is one attempt on its way through a target.
type attempt struct {
	world  *World
	node   *Node
	life   state.Incarnation
	req    *Request
	start  state.StartAttempt
	engine *Engine
	// generation is the running generation at the engine.
	generation *generation
	// base is the offset from which the attempt delivers.
	base int64
	done bool
	// silent is set when the connection has gone silent.
	silent bool
	// buffered is the end of what has reached the node's socket.
	buffered int64
}

// generation is the work of an engine on one request. It goes on without a
// connection, so that it can be resumed.
type generation struct {
	id      string
	engine  *Engine
	life    state.Incarnation
	fence   state.FencingToken
	request state.RequestID
	beganAt time.Duration
	pace    time.Duration
	broken  bool
	brokeAt time.Duration
}

// offset is the number of tokens that exist now.
func (g *generation) offset(now time.Duration) int64 {
	if g.broken {
		now = g.brokeAt
	}
	n := int64((now - g.beganAt - prefillTime) / g.pace)
	return min(max(n, 0), answerTokens)
}

func (g *generation) endsAt() time.Duration {
	return g.beganAt + prefillTime + answerTokens*g.pace
}

func (w *World) startAttempt(n *Node, s state.StartAttempt) {
	r := w.requests[s.Request]
	if r == nil {
		return
	}
	w.Checks.sent(n, r, s)
	w.Metrics.Attempts++
	a := &attempt{world: w, node: n, life: n.Starts, req: r, start: s}
	r.attempt = a
	if !w.Network.Passes(string(n.ID), s.Address) || !w.Network.Passes(s.Address, string(n.ID)) {
		w.After(dialTimeout, func() { a.end(state.FailureConnect, apierror.NotRun) })
		return
	}
	if svc := w.Service(state.TargetID(s.Address)); svc != nil {
		w.After(w.delay(n.DataCentre, svc.DataCentre), func() { a.atService(svc) })
		return
	}
	e := w.Engine(state.HostID(s.Address))
	if e == nil {
		a.end(state.FailureConnect, apierror.NotRun)
		return
	}
	a.engine = e
	w.After(w.delay(n.DataCentre, e.Host.DataCentre), a.atEngine)
}

// end reports the end of an attempt once.
func (a *attempt) end(failure state.AttemptFailure, outcome apierror.Outcome) {
	if a.done {
		return
	}
	a.done = true
	a.leave()
	received := a.req.received
	if a.generation != nil && a.req.generation == a.generation.id && !a.req.Lost && a.node.Paused {
		// A paused node reads what is in its socket before it sees the end.
		received = max(received, a.buffered)
	}
	ev := state.AttemptEvent{
		Request: a.start.Request, Attempt: a.start.Attempt, Stage: state.AttemptEnded,
		Failure: failure, Outcome: outcome, Offset: received, AnswerStarted: received > 0,
	}
	if a.generation != nil {
		ev.Generation = a.generation.id
	}
	if failure != state.FailureNone {
		a.world.Log("attempt %d of %s at %s ends with failure %d", a.start.Attempt, a.start.Request, a.start.Target, failure)
	}
	a.feed(ev)
}

func (a *attempt) feed(ev state.AttemptEvent) {
	if a.node.Starts == a.life {
		a.node.Feed(ev)
	}
}

// drop forgets an attempt whose node has died.
func (a *attempt) drop() { a.done = true; a.leave() }

func (a *attempt) leave() {
	if a.engine == nil {
		return
	}
	a.engine.attempts = slices.DeleteFunc(a.engine.attempts, func(other *attempt) bool { return other == a })
}

func (a *attempt) atEngine() {
	if a.done {
		return
	}
	e, w := a.engine, a.world
	switch {
	case !e.Alive:
		a.end(state.FailureConnect, apierror.NotRun)
		return
	case e.stalled():
		w.After(inactivity, func() { a.end(state.FailureInactivityTimeout, apierror.Unknown) })
		return
	case e.Answer.Phase != state.PhaseReady:
		a.end(state.FailureTargetRefused, apierror.NotRun)
		return
	}
	if !e.whole(w.Options.Members) {
		// The engine of a group that has lost a member accepts and breaks.
		w.After(sameCentre, func() { a.end(state.FailureConnectionLost, apierror.Unknown) })
		return
	}
	if a.start.Resume != nil && a.resume() {
		return
	}
	if a.start.Resume != nil {
		a.end(state.FailureTargetRefused, apierror.NotRun)
		return
	}
	w.Checks.arrived(e, a)
	a.req.Ran++
	a.req.generation = fmt.Sprintf("%s-%d", a.start.Request, a.start.Attempt)
	a.req.received = 0
	pace := tokenTime
	if e.Load.Completed == 0 {
		pace *= 2
	}
	a.generation = &generation{
		id: a.req.generation, engine: e, life: e.Answer.Incarnation, fence: e.Answer.FencingToken,
		request: a.start.Request, beganAt: w.Now, pace: pace,
	}
	w.generations[a.generation.id] = a.generation
	a.follow()
}

// resume continues a generation that the engine still has.
func (a *attempt) resume() bool {
	g := a.world.generations[a.start.Resume.Generation]
	e := a.engine
	if g == nil || g.broken || g.engine != e || g.life != e.Answer.Incarnation || g.fence != e.Answer.FencingToken {
		return false
	}
	a.generation, a.base = g, a.start.Resume.Offset
	a.world.Checks.resumed(a)
	a.follow()
	return true
}

// follow delivers tokens until the generation ends.
func (a *attempt) follow() {
	e, w := a.engine, a.world
	e.attempts = append(e.attempts, a)
	e.changed()
	first := max(w.Now, a.generation.beganAt+prefillTime+a.generation.pace)
	w.At(first, func() {
		if a.live() {
			a.deliver()
			a.feed(state.AttemptEvent{
				Request: a.start.Request, Attempt: a.start.Attempt, Stage: state.AttemptFirstByte,
				Generation: a.generation.id, Offset: a.req.received, AnswerStarted: true,
			})
		}
	})
	w.At(a.generation.endsAt()+sameCentre, func() {
		if !a.live() || a.generation.broken {
			return
		}
		a.deliver()
		e.Load.Completed++
		e.changed()
		a.end(state.FailureNone, apierror.Done)
	})
}

func (a *attempt) live() bool { return !a.done && !a.silent && !a.engine.stalled() }

// deliver passes on to the caller what the generation has by now.
func (a *attempt) deliver() {
	a.buffered = max(a.buffered, a.generation.offset(a.world.Now))
	a.passOn()
}

// passOn passes on to the caller what has reached the node. A paused node
// keeps it in its socket.
func (a *attempt) passOn() {
	if a.req.Lost || a.node.Paused || a.req.generation != a.generation.id {
		return
	}
	a.req.received = max(a.req.received, a.buffered)
}

// breakAttempts ends everything that an engine runs.
func (e *Engine) breakAttempts() {
	for _, g := range e.world.sortedGenerations() {
		if g.engine == e && !g.broken {
			g.broken, g.brokeAt = true, e.world.Now
		}
	}
	for len(e.attempts) > 0 {
		a := e.attempts[0]
		a.deliver()
		if a.silent {
			a.leave()
			continue
		}
		a.end(state.FailureConnectionLost, apierror.Unknown)
	}
}

// SilenceConnections lets all present connections between a node and a target
// go silent for good. New ones work.
func (w *World) SilenceConnections(n *Node, target state.TargetID) {
	w.Log("silence %s %s", n.ID, target)
	for _, r := range w.order {
		a := r.attempt
		if a == nil || a.done || a.silent || a.node != n || (target != "" && a.start.Target != target) {
			continue
		}
		if a.generation != nil {
			a.deliver()
		}
		a.fallSilent()
	}
}

func (a *attempt) fallSilent() {
	a.silent = true
	a.world.After(inactivity, func() { a.end(state.FailureInactivityTimeout, apierror.Unknown) })
}

// LateConnections holds back what comes over the present connections between a
// node and its targets. The ends of generations arrive after the delay, whether
// their attempt is still the present one or not.
func (w *World) LateConnections(n *Node, d time.Duration) {
	w.Log("late %s %v", n.ID, d)
	for _, r := range w.order {
		a := r.attempt
		if a == nil || a.done || a.silent || a.node != n || a.generation == nil {
			continue
		}
		a.deliver()
		a.fallSilent()
		w.After(d, func() {
			if a.generation.broken || a.generation.endsAt() > w.Now {
				return
			}
			w.Log("late end of attempt %d of %s", a.start.Attempt, a.start.Request)
			a.feed(state.AttemptEvent{
				Request: a.start.Request, Attempt: a.start.Attempt, Stage: state.AttemptEnded,
				Outcome: apierror.Done, Generation: a.generation.id, Offset: answerTokens, AnswerStarted: true,
			})
		})
	}
}

func (w *World) cancelAttempt(c state.CancelAttempt) {
	r := w.requests[c.Request]
	if r != nil && r.attempt != nil && r.attempt.start.Attempt == c.Attempt {
		a := r.attempt
		w.After(0, func() { a.end(state.FailureCancelled, apierror.Unknown) })
	}
}

func (a *attempt) atService(svc *Service) {
	w := a.world
	if !svc.Alive {
		a.end(state.FailureConnect, apierror.NotRun)
		return
	}
	a.req.Ran++
	w.Checks.executed(a.req)
	answer := orderAnswer(a.req.Key(), a.req.body)
	switch svc.Mode {
	case ServiceResets:
		w.After(sameCentre, func() { a.end(state.FailureConnectionLost, apierror.Unknown) })
	case ServiceSilent:
		w.After(inactivity, func() { a.end(state.FailureInactivityTimeout, apierror.Unknown) })
	case ServiceGood:
		w.After(serviceTime, func() { a.serviceAnswers(answer) })
	}
}

func (a *attempt) serviceAnswers(answer *state.Answer) {
	if a.done || a.silent {
		return
	}
	a.done = true
	a.feed(state.AttemptEvent{
		Request: a.start.Request, Attempt: a.start.Attempt, Stage: state.AttemptEnded,
		Outcome: apierror.Done, Status: answer.Status, Answer: answer,
	})
}

// sortedGenerations returns all generations in the order of their ids.
func (w *World) sortedGenerations() []*generation {
	list := make([]*generation, 0, len(w.generations))
	for _, id := range state.SortedKeys(w.generations) {
		list = append(list, w.generations[id])
	}
	return list
}
