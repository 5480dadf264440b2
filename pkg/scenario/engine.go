package scenario

import (
	"fmt"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	probeTimeout = 500 * time.Millisecond
	// loadReportLag is the time until a change of load appears in load reports.
	loadReportLag = 300 * time.Millisecond
	// requestsPerDoubling is the number of completed requests, per unit of the cold
	// limit, after which the limit of an engine doubles.
	requestsPerDoubling = 4
	hostsPerDomain      = 32
)

// Engine is the model engine of one host.
type Engine struct {
	Host  state.ListedHost
	Alive bool
	// Paused is set while the engine is frozen and answers nothing. AnswerDelay is
	// added to the latency of each probe.
	Paused      bool
	AnswerDelay time.Duration
	Answer      state.ProbeAnswer
	Load        state.LoadAnswer
	// Overloads counts attempts that started above the limit of the engine.
	Overloads int

	attempts []*attempt
	sim      *Simulation
	// reportedLoad is the load in load reports. It lags behind Load.
	reportedLoad state.LoadAnswer
	// coldSince is when ResetToColdLimit was last called, or 0.
	coldSince time.Duration
}

func (sim *Simulation) createEngines() {
	var hosts []state.ListedHost
	groupHostsPerCentre := sim.Options.Groups / sim.Options.DataCentres * sim.Options.Members
	for dc := range sim.Options.DataCentres {
		for i := range groupHostsPerCentre + sim.Options.Spares {
			id := len(hosts) + 1
			host := state.ListedHost{
				ID: state.HostID(fmt.Sprintf("h%d", id)), Address: fmt.Sprintf("h%d", id), DataCentre: dataCentre(dc),
				Domain: state.DomainID(fmt.Sprintf("%s-%d", dataCentre(dc), i/hostsPerDomain)),
			}
			hosts = append(hosts, host)
			e := &Engine{Host: host, Alive: true, sim: sim}
			e.Answer.ChecksFencingToken = !sim.Options.Unfenced || id%2 == 0
			e.reset(1)
			sim.Engines = append(sim.Engines, e)
		}
	}
	sim.Store.Memory.SetHosts(hosts)
}

func (e *Engine) reset(incarnation state.Incarnation) {
	checksToken := e.Answer.ChecksFencingToken
	e.Answer = state.ProbeAnswer{Incarnation: incarnation, Phase: state.PhaseEmpty, ChecksFencingToken: checksToken}
	e.Load = state.LoadAnswer{Incarnation: incarnation}
	e.reportedLoad = e.Load
}

// Kill stops the engine and aborts the attempts of its group.
func (e *Engine) Kill() {
	if !e.Alive {
		return
	}
	e.Alive = false
	e.sim.Checks.recordMemberLoss(e)
	e.sim.Log("kill host %s", e.Host.ID)
	e.abortGroupAttempts()
}

// Restart starts a new incarnation of the engine with nothing loaded.
func (e *Engine) Restart() {
	if e.Alive {
		e.sim.Checks.recordMemberLoss(e)
	}
	e.abortGroupAttempts()
	e.Alive, e.Paused, e.AnswerDelay = true, false, 0
	e.reset(e.Answer.Incarnation + 1)
	e.sim.Log("restart host %s", e.Host.ID)
}

// Pause freezes the engine. Its group makes no progress until Resume.
func (e *Engine) Pause() {
	e.Paused = true
	e.sim.Checks.recordMemberLoss(e)
	e.sim.Log("pause host %s", e.Host.ID)
}

// Resume ends a pause.
func (e *Engine) Resume() {
	e.Paused = false
	e.sim.Checks.updateMissing()
	e.sim.Log("resume host %s", e.Host.ID)
}

// ResetToColdLimit resets the engine to its cold limit without a new incarnation.
func (e *Engine) ResetToColdLimit() {
	e.Load.Completed = 0
	e.coldSince = e.sim.Now
	e.sim.Log("host %s is reset to its cold limit", e.Host.ID)
}

// abortGroupAttempts aborts the attempts of all members of the engine's group,
// because a group cannot run without one of its members.
func (e *Engine) abortGroupAttempts() {
	if e.Answer.Group == "" {
		e.abortAttempts()
		return
	}
	for _, m := range e.sim.groupMembers(e.Answer.Group, e.Answer.FencingToken) {
		m.abortAttempts()
	}
}

// Limit returns the number of requests that the engine can run at once. It doubles
// from the cold to the warm limit as requests complete.
func (e *Engine) Limit() int {
	opts := e.sim.Options
	limit, completed := opts.ColdLimit, e.Load.Completed
	step := int64(opts.ColdLimit * requestsPerDoubling)
	for limit < opts.WarmLimit && completed >= step {
		completed -= step
		limit *= 2
	}
	return min(limit, opts.WarmLimit)
}

// groupMembers returns the engines whose current assignment has the ID and the fencing
// token of a group.
func (sim *Simulation) groupMembers(group state.GroupID, fencingToken state.FencingToken) []*Engine {
	var engines []*Engine
	for _, e := range sim.Engines {
		if e.Answer.Group == group && e.Answer.FencingToken == fencingToken {
			engines = append(engines, e)
		}
	}
	return engines
}

// isGroupReady reports whether enough members of the engine's group are ready to run
// a request.
func (e *Engine) isGroupReady(memberCount int) bool {
	members := e.sim.groupMembers(e.Answer.Group, e.Answer.FencingToken)
	ready := 0
	for _, m := range members {
		if m.Alive && !m.Paused && m.Answer.Phase == state.PhaseReady {
			ready++
		}
	}
	return ready >= memberCount
}

// isStalled reports whether the engine or a member of its group is paused. The group
// then makes no progress.
func (e *Engine) isStalled() bool {
	if e.Paused {
		return true
	}
	for _, m := range e.sim.groupMembers(e.Answer.Group, e.Answer.FencingToken) {
		if m.Paused {
			return true
		}
	}
	return false
}

func (sim *Simulation) probe(n *Node, probe state.Probe) {
	failure := state.ProbeResult{Host: probe.Host, SentAt: probe.SentAt}
	e := sim.Engine(probe.Host)
	if e == nil || !sim.Network.CanReach(string(n.ID), string(probe.Host)) {
		n.feedAfter(probeTimeout, failure)
		return
	}
	latency := sim.latency(n.DataCentre, e.Host.DataCentre)
	incarnation := n.Incarnation
	sim.ScheduleAfter(latency, func() {
		if n.Incarnation != incarnation {
			return
		}
		if !e.Alive || e.Paused || e.AnswerDelay > probeTimeout || !sim.Network.CanReach(string(probe.Host), string(n.ID)) {
			n.feedAfter(probeTimeout-latency, failure)
			return
		}
		answer := e.Answer
		answer.Adapters = slices.Clone(answer.Adapters)
		answer.Latency = 2*latency + e.AnswerDelay
		n.feedAfter(latency+e.AnswerDelay, state.ProbeResult{Host: probe.Host, SentAt: probe.SentAt, OK: true, Answer: answer})
	})
}

func (sim *Simulation) fetchLoad(n *Node, fetch state.FetchLoad) {
	report := state.LoadReport{Target: fetch.Target, SentAt: fetch.SentAt}
	if e := sim.Engine(state.HostID(fetch.Address)); e != nil {
		if e.Alive && !e.Paused && sim.Network.CanReach(string(n.ID), string(e.Host.ID)) {
			report.OK, report.Answer = true, e.reportedLoad
			n.feedAfter(2*sameCentreLatency, report)
			return
		}
		n.feedAfter(probeTimeout, report)
		return
	}
	svc := sim.Service(fetch.Target)
	if svc != nil && svc.Alive && sim.Network.CanReach(string(n.ID), string(svc.ID)) {
		report.OK, report.Answer = true, svc.Load
		n.feedAfter(2*sameCentreLatency, report)
		return
	}
	n.feedAfter(probeTimeout, report)
}

// scheduleLoadReport makes the current load appear in load reports after
// loadReportLag.
func (e *Engine) scheduleLoadReport() {
	load := e.Load
	load.Running = len(e.attempts)
	e.sim.ScheduleAfter(loadReportLag, func() {
		if e.reportedLoad.Incarnation == load.Incarnation {
			e.reportedLoad = load
		}
	})
}

func (sim *Simulation) sendEngineOrder(n *Node, order state.EngineOrder) {
	failure := state.EngineOrderResult{ID: order.ID, Host: order.Host}
	e := sim.Engine(order.Host)
	if e == nil || !e.Alive || e.Paused || !sim.Network.CanReach(string(n.ID), string(order.Host)) {
		n.feedAfter(probeTimeout, failure)
		return
	}
	latency := sim.latency(n.DataCentre, e.Host.DataCentre)
	incarnation, orderDelay := n.Incarnation, sim.Network.linkDelay(string(n.ID), string(order.Host))
	sim.ScheduleAfter(latency+orderDelay, func() {
		result := state.EngineOrderResult{}
		if orderDelay < order.TTL && e.Alive && !e.Paused {
			result = e.apply(order)
		}
		result.ID, result.Host = order.ID, order.Host
		if n.Incarnation != incarnation {
			return
		}
		if !sim.Network.CanReach(string(order.Host), string(n.ID)) {
			n.feedAfter(probeTimeout, failure)
			return
		}
		n.feedAfter(latency, result)
	})
}

// apply performs an order, unless it carries an older fencing token than the last one
// and the engine checks tokens.
func (e *Engine) apply(order state.EngineOrder) state.EngineOrderResult {
	if e.Answer.ChecksFencingToken && order.FencingToken < e.Answer.FencingToken {
		return state.EngineOrderResult{Refused: true, FencingToken: e.Answer.FencingToken}
	}
	e.sim.Checks.checkEngineOrder(e, order)
	e.sim.Log("order of kind %d to host %s for group %s with fencing token %d", order.Kind, e.Host.ID, order.Group, order.FencingToken)
	e.abortGroupAttempts()
	incarnation, checksToken := e.Answer.Incarnation, e.Answer.ChecksFencingToken
	e.Load, e.reportedLoad = state.LoadAnswer{Incarnation: incarnation}, state.LoadAnswer{Incarnation: incarnation}
	if order.Kind == state.OrderUnload {
		e.Answer = state.ProbeAnswer{Incarnation: incarnation, Phase: state.PhaseEmpty, FencingToken: order.FencingToken, ChecksFencingToken: checksToken}
		return state.EngineOrderResult{OK: true, FencingToken: order.FencingToken}
	}
	e.Answer = state.ProbeAnswer{
		Incarnation: incarnation, Phase: state.PhaseLoading, Group: order.Group, FencingToken: order.FencingToken,
		Model: order.Model, Version: order.Version, Adapters: order.Adapters, ChecksFencingToken: checksToken,
	}
	e.sim.ScheduleAfter(e.sim.Options.LoadTime, func() {
		if e.Answer.Incarnation == incarnation && e.Answer.FencingToken == order.FencingToken && e.Answer.Phase == state.PhaseLoading {
			e.Answer.Phase = state.PhaseReady
		}
	})
	return state.EngineOrderResult{OK: true, FencingToken: order.FencingToken}
}
