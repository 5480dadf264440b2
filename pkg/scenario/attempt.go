package scenario

import (
	"fmt"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// tokenInterval is the time between two tokens of a warm engine. An engine that
	// has completed no request takes twice as long.
	tokenInterval = 10 * time.Millisecond
	// prefillTime is the time from the start of a generation until it produces tokens.
	prefillTime = 50 * time.Millisecond
	// inactivityTimeout is the time after which a node ends an attempt without
	// progress.
	inactivityTimeout = 5 * time.Second
	dialTimeout       = time.Second
)

// attempt is the execution of one attempt of a node at a target.
type attempt struct {
	sim         *Simulation
	node        *Node
	incarnation state.Incarnation
	request     *Request
	start       state.StartAttempt
	engine      *Engine
	// generation is what the engine runs for the attempt, or nil.
	generation *generation
	// resumeOffset is the token offset from which the attempt resumes a generation.
	resumeOffset int64
	ended        bool
	// connectionSilent is set once the connection delivers no more data.
	connectionSilent bool
	// socketOffset is the number of tokens that have reached the node's socket.
	socketOffset int64
}

// generation is the token stream that an engine produces for one request. It
// continues when the connection is lost; a later attempt can resume it.
type generation struct {
	id            string
	engine        *Engine
	incarnation   state.Incarnation
	fencingToken  state.FencingToken
	requestID     state.RequestID
	startedAt     time.Duration
	tokenInterval time.Duration
	aborted       bool
	abortedAt     time.Duration
}

// tokenCount returns the number of tokens that the engine has produced.
func (g *generation) tokenCount(now time.Duration) int64 {
	if g.aborted {
		now = g.abortedAt
	}
	n := int64((now - g.startedAt - prefillTime) / g.tokenInterval)
	return min(max(n, 0), answerTokens)
}

func (g *generation) endsAt() time.Duration {
	return g.startedAt + prefillTime + answerTokens*g.tokenInterval
}

func (sim *Simulation) startAttempt(n *Node, start state.StartAttempt) {
	r := sim.requests[start.Request]
	if r == nil {
		return
	}
	sim.Checks.checkAttemptStart(n, r, start)
	sim.Metrics.Attempts++
	a := &attempt{sim: sim, node: n, incarnation: n.Incarnation, request: r, start: start}
	r.attempt = a
	if !sim.Network.CanReach(string(n.ID), start.Address) || !sim.Network.CanReach(start.Address, string(n.ID)) {
		sim.ScheduleAfter(dialTimeout, func() { a.end(state.FailureConnect, apierror.NotRun) })
		return
	}
	if svc := sim.Service(state.TargetID(start.Address)); svc != nil {
		sim.ScheduleAfter(sim.latency(n.DataCentre, svc.DataCentre), func() { a.arriveAtService(svc) })
		return
	}
	e := sim.Engine(state.HostID(start.Address))
	if e == nil {
		a.end(state.FailureConnect, apierror.NotRun)
		return
	}
	a.engine = e
	sim.ScheduleAfter(sim.latency(n.DataCentre, e.Host.DataCentre), a.arriveAtEngine)
}

// end reports the end of the attempt to the node. Further calls have no effect.
func (a *attempt) end(failure state.AttemptFailure, outcome apierror.Outcome) {
	if a.ended {
		return
	}
	a.ended = true
	a.detach()
	received := a.request.receivedTokens
	if a.generation != nil && a.request.generationID == a.generation.id && !a.request.Disconnected && a.node.Paused {
		// A paused node reads the tokens in its socket before it detects the end.
		received = max(received, a.socketOffset)
	}
	ev := state.AttemptEvent{
		Request: a.start.Request, Attempt: a.start.Attempt, Stage: state.AttemptEnded,
		Failure: failure, Outcome: outcome, Offset: received, AnswerStarted: received > 0,
	}
	if a.generation != nil {
		ev.Generation = a.generation.id
	}
	if failure != state.FailureNone {
		a.sim.Log("attempt %d of %s at %s ends with failure %d", a.start.Attempt, a.start.Request, a.start.Target, failure)
	}
	a.feed(ev)
}

// feed passes an event to the node, unless the node has restarted since.
func (a *attempt) feed(ev state.AttemptEvent) {
	if a.node.Incarnation == a.incarnation {
		a.node.Feed(ev)
	}
}

// discard drops the attempt without a report because its node has stopped.
func (a *attempt) discard() { a.ended = true; a.detach() }

func (a *attempt) detach() {
	if a.engine == nil {
		return
	}
	a.engine.attempts = slices.DeleteFunc(a.engine.attempts, func(other *attempt) bool { return other == a })
}

func (a *attempt) arriveAtEngine() {
	if a.ended {
		return
	}
	e, sim := a.engine, a.sim
	switch {
	case !e.Alive:
		a.end(state.FailureConnect, apierror.NotRun)
		return
	case e.isStalled():
		sim.ScheduleAfter(inactivityTimeout, func() { a.end(state.FailureInactivityTimeout, apierror.Unknown) })
		return
	case e.Answer.Phase != state.PhaseReady:
		a.end(state.FailureTargetRefused, apierror.NotRun)
		return
	}
	if !e.isGroupReady(sim.Options.Members) {
		// An engine whose group has lost a member accepts the request and then
		// breaks the connection.
		sim.ScheduleAfter(sameCentreLatency, func() { a.end(state.FailureConnectionLost, apierror.Unknown) })
		return
	}
	if a.start.Resume != nil && a.resumeGeneration() {
		return
	}
	if a.start.Resume != nil {
		a.end(state.FailureTargetRefused, apierror.NotRun)
		return
	}
	sim.Checks.checkEngineLoad(e, a)
	a.request.Executions++
	a.request.generationID = fmt.Sprintf("%s-%d", a.start.Request, a.start.Attempt)
	a.request.receivedTokens = 0
	interval := tokenInterval
	if e.Load.Completed == 0 {
		interval *= 2
	}
	a.generation = &generation{
		id: a.request.generationID, engine: e, incarnation: e.Answer.Incarnation, fencingToken: e.Answer.FencingToken,
		requestID: a.start.Request, startedAt: sim.Now, tokenInterval: interval,
	}
	sim.generations[a.generation.id] = a.generation
	a.streamTokens()
}

// resumeGeneration resumes a generation if the engine still has it, and reports whether
// it does.
func (a *attempt) resumeGeneration() bool {
	g := a.sim.generations[a.start.Resume.Generation]
	e := a.engine
	if g == nil || g.aborted || g.engine != e || g.incarnation != e.Answer.Incarnation || g.fencingToken != e.Answer.FencingToken {
		return false
	}
	a.generation, a.resumeOffset = g, a.start.Resume.Offset
	a.sim.Checks.checkResume(a)
	a.streamTokens()
	return true
}

// streamTokens schedules the first byte and the end of the generation.
func (a *attempt) streamTokens() {
	e, sim := a.engine, a.sim
	e.attempts = append(e.attempts, a)
	e.scheduleLoadReport()
	firstTokenAt := max(sim.Now, a.generation.startedAt+prefillTime+a.generation.tokenInterval)
	sim.ScheduleAt(firstTokenAt, func() {
		if a.isStreaming() {
			a.deliverTokens()
			a.feed(state.AttemptEvent{
				Request: a.start.Request, Attempt: a.start.Attempt, Stage: state.AttemptFirstByte,
				Generation: a.generation.id, Offset: a.request.receivedTokens, AnswerStarted: true,
			})
		}
	})
	sim.ScheduleAt(a.generation.endsAt()+sameCentreLatency, func() {
		if !a.isStreaming() || a.generation.aborted {
			return
		}
		a.deliverTokens()
		e.Load.Completed++
		e.scheduleLoadReport()
		a.end(state.FailureNone, apierror.Done)
	})
}

func (a *attempt) isStreaming() bool { return !a.ended && !a.connectionSilent && !a.engine.isStalled() }

// deliverTokens sends the tokens produced so far to the node and on to the caller.
func (a *attempt) deliverTokens() {
	a.socketOffset = max(a.socketOffset, a.generation.tokenCount(a.sim.Now))
	a.forwardTokens()
}

// forwardTokens passes the tokens that have reached the node to the caller. With a
// paused node they stay in its socket.
func (a *attempt) forwardTokens() {
	if a.request.Disconnected || a.node.Paused || a.request.generationID != a.generation.id {
		return
	}
	a.request.receivedTokens = max(a.request.receivedTokens, a.socketOffset)
}

// abortAttempts aborts all generations and ends all attempts of an engine.
func (e *Engine) abortAttempts() {
	for _, g := range e.sim.sortedGenerations() {
		if g.engine == e && !g.aborted {
			g.aborted, g.abortedAt = true, e.sim.Now
		}
	}
	for len(e.attempts) > 0 {
		a := e.attempts[0]
		a.deliverTokens()
		if a.connectionSilent {
			a.detach()
			continue
		}
		a.end(state.FailureConnectionLost, apierror.Unknown)
	}
}

// SilenceConnections permanently silences the open connections between a node and a
// target, or all targets if target is empty. New connections work.
func (sim *Simulation) SilenceConnections(n *Node, target state.TargetID) {
	sim.Log("silence connections of %s, target %s", n.ID, target)
	for _, r := range sim.submitted {
		a := r.attempt
		if a == nil || a.ended || a.connectionSilent || a.node != n || (target != "" && a.start.Target != target) {
			continue
		}
		if a.generation != nil {
			a.deliverTokens()
		}
		a.silenceConnection()
	}
}

func (a *attempt) silenceConnection() {
	a.connectionSilent = true
	a.sim.ScheduleAfter(inactivityTimeout, func() { a.end(state.FailureInactivityTimeout, apierror.Unknown) })
}

// DelayConnections silences the open connections between a node and its targets. The
// ends of completed generations arrive after the delay, whether or not their attempt
// is still the current one.
func (sim *Simulation) DelayConnections(n *Node, d time.Duration) {
	sim.Log("delay connections of %s by %v", n.ID, d)
	for _, r := range sim.submitted {
		a := r.attempt
		if a == nil || a.ended || a.connectionSilent || a.node != n || a.generation == nil {
			continue
		}
		a.deliverTokens()
		a.silenceConnection()
		sim.ScheduleAfter(d, func() {
			if a.generation.aborted || a.generation.endsAt() > sim.Now {
				return
			}
			sim.Log("delayed end of attempt %d of %s", a.start.Attempt, a.start.Request)
			a.feed(state.AttemptEvent{
				Request: a.start.Request, Attempt: a.start.Attempt, Stage: state.AttemptEnded,
				Outcome: apierror.Done, Generation: a.generation.id, Offset: answerTokens, AnswerStarted: true,
			})
		})
	}
}

func (sim *Simulation) cancelAttempt(cancel state.CancelAttempt) {
	r := sim.requests[cancel.Request]
	if r != nil && r.attempt != nil && r.attempt.start.Attempt == cancel.Attempt {
		a := r.attempt
		sim.ScheduleAfter(0, func() { a.end(state.FailureCancelled, apierror.Unknown) })
	}
}

func (a *attempt) arriveAtService(svc *Service) {
	sim := a.sim
	if !svc.Alive {
		a.end(state.FailureConnect, apierror.NotRun)
		return
	}
	a.request.Executions++
	sim.Checks.recordExecution(a.request)
	answer := orderAnswer(a.request.Key(), a.request.body)
	switch svc.Mode {
	case ServiceResets:
		sim.ScheduleAfter(sameCentreLatency, func() { a.end(state.FailureConnectionLost, apierror.Unknown) })
	case ServiceSilent:
		sim.ScheduleAfter(inactivityTimeout, func() { a.end(state.FailureInactivityTimeout, apierror.Unknown) })
	case ServiceHealthy:
		sim.ScheduleAfter(orderExecutionTime, func() { a.answerFromService(answer) })
	}
}

func (a *attempt) answerFromService(answer *state.Answer) {
	if a.ended || a.connectionSilent {
		return
	}
	a.ended = true
	a.feed(state.AttemptEvent{
		Request: a.start.Request, Attempt: a.start.Attempt, Stage: state.AttemptEnded,
		Outcome: apierror.Done, Status: answer.Status, Answer: answer,
	})
}

// sortedGenerations returns all generations sorted by ID.
func (sim *Simulation) sortedGenerations() []*generation {
	sorted := make([]*generation, 0, len(sim.generations))
	for _, id := range state.SortedKeys(sim.generations) {
		sorted = append(sorted, sim.generations[id])
	}
	return sorted
}
