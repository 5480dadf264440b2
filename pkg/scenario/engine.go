package scenario

import (
	"fmt"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	probeTimeout = 500 * time.Millisecond
	// loadLag is the age of a load report when it is given.
	loadLag = 300 * time.Millisecond
	// warmAfter is after how many completed requests per unit of its limit an
	// engine bears twice as much.
	warmAfter = 4
	// domainHosts is the number of hosts in a fabric domain.
	domainHosts = 32
)

// Engine is the model engine of one host.
type Engine struct {
	Host  state.ListedHost
	Alive bool
	// Paused engines answer nothing; Slow delays every answer.
	Paused bool
	Slow   time.Duration
	Answer state.ProbeAnswer
	Load   state.LoadAnswer
	// Overloads counts starts beyond what the engine bears.
	Overloads int

	attempts []*attempt
	world    *World
	// reported is the load that the engine reports, which lags.
	reported state.LoadAnswer
	coldAt   time.Duration
}

func (w *World) buildHosts() {
	var list []state.ListedHost
	perCentre := w.Options.Groups / w.Options.DataCentres * w.Options.Members
	for dc := range w.Options.DataCentres {
		for i := range perCentre + w.Options.Spares {
			id := len(list) + 1
			host := state.ListedHost{
				ID: state.HostID(fmt.Sprintf("h%d", id)), Address: fmt.Sprintf("h%d", id), DataCentre: dataCentre(dc),
				Domain: state.DomainID(fmt.Sprintf("%s-%d", dataCentre(dc), i/domainHosts)),
			}
			list = append(list, host)
			e := &Engine{Host: host, Alive: true, world: w}
			e.Answer.ChecksFencingToken = !w.Options.Unfenced || id%2 == 0
			e.reset(1)
			w.Engines = append(w.Engines, e)
		}
	}
	w.Store.Memory.SetHosts(list)
}

func (e *Engine) reset(incarnation state.Incarnation) {
	checks := e.Answer.ChecksFencingToken
	e.Answer = state.ProbeAnswer{Incarnation: incarnation, Phase: state.PhaseEmpty, ChecksFencingToken: checks}
	e.Load = state.LoadAnswer{Incarnation: incarnation}
	e.reported = e.Load
}

// Kill stops the engine. What its group runs breaks.
func (e *Engine) Kill() {
	if !e.Alive {
		return
	}
	e.Alive = false
	e.world.Checks.memberLost(e)
	e.world.Log("kill %s", e.Host.ID)
	e.breakGroup()
}

// Restart starts the engine anew with nothing loaded.
func (e *Engine) Restart() {
	if e.Alive {
		e.world.Checks.memberLost(e)
	}
	e.breakGroup()
	e.Alive, e.Paused, e.Slow = true, false, 0
	e.reset(e.Answer.Incarnation + 1)
	e.world.Log("restart %s", e.Host.ID)
}

// Pause stops the engine as a frozen host does. Its group makes no progress.
func (e *Engine) Pause() {
	e.Paused = true
	e.world.Checks.memberLost(e)
	e.world.Log("pause %s", e.Host.ID)
}

// Resume lets a paused engine go on.
func (e *Engine) Resume() {
	e.Paused = false
	e.world.Checks.observe()
	e.world.Log("resume %s", e.Host.ID)
}

// TurnCold makes the engine bear only its cold limit again, without notice.
func (e *Engine) TurnCold() {
	e.Load.Completed = 0
	e.coldAt = e.world.Now
	e.world.Log("cold %s", e.Host.ID)
}

func (e *Engine) breakGroup() {
	if e.Answer.Group == "" {
		e.breakAttempts()
		return
	}
	for _, m := range e.world.members(e.Answer.Group, e.Answer.FencingToken) {
		m.breakAttempts()
	}
}

// Limit is what the engine bears now.
func (e *Engine) Limit() int {
	opts := e.world.Options
	limit, done := opts.ColdLimit, e.Load.Completed
	step := int64(opts.ColdLimit * warmAfter)
	for limit < opts.WarmLimit && done >= step {
		done -= step
		limit *= 2
	}
	return min(limit, opts.WarmLimit)
}

// members returns the engines that hold an order of a group's fencing number.
func (w *World) members(group state.GroupID, fence state.FencingToken) []*Engine {
	var list []*Engine
	for _, e := range w.Engines {
		if e.Answer.Group == group && e.Answer.FencingToken == fence {
			list = append(list, e)
		}
	}
	return list
}

// whole reports whether an engine's group can run a request now.
func (e *Engine) whole(size int) bool {
	members := e.world.members(e.Answer.Group, e.Answer.FencingToken)
	ready := 0
	for _, m := range members {
		if m.Alive && !m.Paused && m.Answer.Phase == state.PhaseReady {
			ready++
		}
	}
	return ready >= size
}

// stalled reports whether a member of the engine's group is paused, so that the
// group makes no progress.
func (e *Engine) stalled() bool {
	if e.Paused {
		return true
	}
	for _, m := range e.world.members(e.Answer.Group, e.Answer.FencingToken) {
		if m.Paused {
			return true
		}
	}
	return false
}

func (w *World) probe(n *Node, p state.Probe) {
	fail := state.ProbeResult{Host: p.Host, SentAt: p.SentAt}
	e := w.Engine(p.Host)
	if e == nil || !w.Network.Passes(string(n.ID), string(p.Host)) {
		n.later(probeTimeout, fail)
		return
	}
	way := w.delay(n.DataCentre, e.Host.DataCentre)
	life := n.Starts
	w.After(way, func() {
		if n.Starts != life {
			return
		}
		if !e.Alive || e.Paused || e.Slow > probeTimeout || !w.Network.Passes(string(p.Host), string(n.ID)) {
			n.later(probeTimeout-way, fail)
			return
		}
		answer := e.Answer
		answer.Adapters = slices.Clone(answer.Adapters)
		answer.Latency = 2*way + e.Slow
		n.later(way+e.Slow, state.ProbeResult{Host: p.Host, SentAt: p.SentAt, OK: true, Answer: answer})
	})
}

func (w *World) fetchLoad(n *Node, f state.FetchLoad) {
	report := state.LoadReport{Target: f.Target, SentAt: f.SentAt}
	if e := w.Engine(state.HostID(f.Address)); e != nil {
		if e.Alive && !e.Paused && w.Network.Passes(string(n.ID), string(e.Host.ID)) {
			report.OK, report.Answer = true, e.reported
			n.later(2*sameCentre, report)
			return
		}
		n.later(probeTimeout, report)
		return
	}
	svc := w.Service(f.Target)
	if svc != nil && svc.Alive && w.Network.Passes(string(n.ID), string(svc.ID)) {
		report.OK, report.Answer = true, svc.Load
		n.later(2*sameCentre, report)
		return
	}
	n.later(probeTimeout, report)
}

// changed lets the engine report its load after the lag of reports.
func (e *Engine) changed() {
	now := e.Load
	now.Running = len(e.attempts)
	e.world.After(loadLag, func() {
		if e.reported.Incarnation == now.Incarnation {
			e.reported = now
		}
	})
}

func (w *World) engineOrder(n *Node, o state.EngineOrder) {
	fail := state.EngineOrderResult{ID: o.ID, Host: o.Host}
	e := w.Engine(o.Host)
	if e == nil || !e.Alive || e.Paused || !w.Network.Passes(string(n.ID), string(o.Host)) {
		n.later(probeTimeout, fail)
		return
	}
	way := w.delay(n.DataCentre, e.Host.DataCentre)
	life, late := n.Starts, w.Network.lateness(string(n.ID), string(o.Host))
	w.After(way+late, func() {
		res := state.EngineOrderResult{}
		if late < o.TTL && e.Alive && !e.Paused {
			res = e.take(o)
		}
		res.ID, res.Host = o.ID, o.Host
		if n.Starts != life {
			return
		}
		if !w.Network.Passes(string(o.Host), string(n.ID)) {
			n.later(probeTimeout, fail)
			return
		}
		n.later(way, res)
	})
}

// take carries out an order.
func (e *Engine) take(o state.EngineOrder) state.EngineOrderResult {
	if e.Answer.ChecksFencingToken && o.FencingToken < e.Answer.FencingToken {
		return state.EngineOrderResult{Refused: true, FencingToken: e.Answer.FencingToken}
	}
	e.world.Checks.ordered(e, o)
	e.world.Log("order %d to %s group %s fence %d", o.Kind, e.Host.ID, o.Group, o.FencingToken)
	e.breakGroup()
	incarnation, checks := e.Answer.Incarnation, e.Answer.ChecksFencingToken
	e.Load, e.reported = state.LoadAnswer{Incarnation: incarnation}, state.LoadAnswer{Incarnation: incarnation}
	if o.Kind == state.OrderUnload {
		e.Answer = state.ProbeAnswer{Incarnation: incarnation, Phase: state.PhaseEmpty, FencingToken: o.FencingToken, ChecksFencingToken: checks}
		return state.EngineOrderResult{OK: true, FencingToken: o.FencingToken}
	}
	e.Answer = state.ProbeAnswer{
		Incarnation: incarnation, Phase: state.PhaseLoading, Group: o.Group, FencingToken: o.FencingToken,
		Model: o.Model, Version: o.Version, Adapters: o.Adapters, ChecksFencingToken: checks,
	}
	e.world.After(e.world.Options.LoadTime, func() {
		if e.Answer.Incarnation == incarnation && e.Answer.FencingToken == o.FencingToken && e.Answer.Phase == state.PhaseLoading {
			e.Answer.Phase = state.PhaseReady
		}
	})
	return state.EngineOrderResult{OK: true, FencingToken: o.FencingToken}
}
