package placement

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// orderExpiry is for how long an order may still take effect.
	orderExpiry = 5 * time.Second
	orderPeriod = 250 * time.Millisecond
	// unloadProbePeriod is between probes of a free host whose engine may
	// still hold weights. It is long because such a host may be gone for good.
	unloadProbePeriod = 5 * time.Second
)

// sentOrder is an order of this node to an engine.
type sentOrder struct {
	id     uint64
	fence  state.FencingToken
	sentAt time.Duration
	// ended is set once the engine answered the order.
	ended bool
	// ackedAt is when the engine accepted it; never until then.
	ackedAt time.Duration
	// alike is set when the engine showed the same state before the order, so
	// that its state cannot show the effect of the order.
	alike bool
}

// orderIfDue sees to it that engines do what the rows say.
func (s *System) orderIfDue(now time.Duration, c *centre, out *state.Outbox) {
	if now < c.tenure.nextOrder {
		return
	}
	c.tenure.nextOrder = now + orderPeriod
	s.probeFreeHosts(now, c, out)
	loading := s.loadingGroups(now, c, out)
	for _, g := range s.admit(now, c, loading) {
		for _, m := range g.row.Members {
			if h := s.host(m); !g.loads(h) {
				s.sendOrder(now, c, h, s.loadOrder(g), out)
			}
		}
	}
	s.unload(now, c, out)
}

// loadingGroups returns the groups that have not loaded, in order, and probes
// the members of those and of groups that are not whole.
func (s *System) loadingGroups(now time.Duration, c *centre, out *state.Outbox) []*group {
	var loading []*group
	for _, id := range s.groupIDs {
		g := s.groups[id]
		if !g.placed() || g.row.DataCentre != c.dc {
			continue
		}
		if g.row.Phase == state.GroupLoading {
			loading = append(loading, g)
		} else if shared := s.t.Groups.Get(id); shared != nil && shared.Healthy && now-shared.HealthyAt < wholeFor {
			continue
		}
		for _, m := range g.row.Members {
			s.probe(now, s.host(m), memberProbePeriod, out)
		}
	}
	return loading
}

// loads reports whether a member has loaded, or is loading, what its group
// asks for.
func (g *group) loads(h *host) bool {
	a := &h.answer
	if (a.Phase != state.PhaseLoading && a.Phase != state.PhaseReady) || !g.alike(a) {
		return false
	}
	if a.FencingToken != 0 || a.ChecksFencingToken {
		return a.FencingToken == g.row.FencingToken
	}
	// An engine that reports no number shows the effect of an order only in an
	// answer to a probe that followed it.
	o := &h.order
	if o.fence != g.row.FencingToken || h.okAt <= o.sentAt {
		return false
	}
	return !o.alike || (o.ackedAt != never && h.okAt > o.ackedAt)
}

// alike reports whether an engine holds what its group asks for, whatever the
// order that made it do so.
func (g *group) alike(a *state.ProbeAnswer) bool {
	return a.Group == g.id && a.Model == g.row.Model && a.Version == g.row.Version &&
		slices.Equal(a.Adapters, g.row.Adapters)
}

// allLoaded reports whether all members have loaded.
func (s *System) allLoaded(now time.Duration, g *group) bool {
	for _, m := range g.row.Members {
		if h := s.host(m); !h.alive(now) || h.answer.Phase != state.PhaseReady || !g.loads(h) {
			return false
		}
	}
	return true
}

// loadOrder returns the order of a group, but for the host.
func (s *System) loadOrder(g *group) state.EngineOrder {
	return state.EngineOrder{
		Kind: g.row.Order, Group: g.id, Members: g.row.Members, FencingToken: g.row.FencingToken,
		Model: g.row.Model, Version: g.row.Version, Adapters: g.row.Adapters, Role: g.row.Role,
	}
}

// sendOrder gives an order to one host if that is safe now.
func (s *System) sendOrder(now time.Duration, c *centre, h *host, o state.EngineOrder, out *state.Outbox) {
	row := s.t.Hosts.Get(h.id)
	if row == nil || !s.mayOrder(now, c, h, o.FencingToken) {
		return
	}
	s.lastOrder++
	o.ID, o.Host, o.Address, o.TTL = s.lastOrder, h.id, row.Address, orderExpiry
	g := s.groups[o.Group]
	h.order = sentOrder{
		id: o.ID, fence: o.FencingToken, sentAt: now, ackedAt: never,
		alike: g != nil && g.alike(&h.answer),
	}
	out.Add(o)
}

// mayOrder reports whether an order to a host cannot cross an earlier one. An
// order is repeated only after it has expired and a later answer showed that it
// had no effect. An engine that ignores fencing numbers may still act on an
// expired holder's order, so it must be quiet first; one that checks them
// refuses such an order itself.
func (s *System) mayOrder(now time.Duration, c *centre, h *host, fence state.FencingToken) bool {
	if now < h.drainUntil || h.okAt < c.tenure.since || !h.alive(now) {
		return false
	}
	checks := h.answer.ChecksFencingToken
	if !checks && h.okAt < c.tenure.ordersFrom && !s.t.Switches.IgnoreOrderExpiry {
		return false
	}
	if h.order.id == 0 || (h.order.fence != fence && (checks || h.order.ended)) {
		return true
	}
	return h.okAt >= h.order.sentAt+orderExpiry || s.t.Switches.IgnoreOrderExpiry
}

// ordered notes the answer to an order.
func (s *System) ordered(now time.Duration, res state.EngineOrderResult, out *state.Outbox) {
	h := s.hosts[res.Host]
	if h == nil || h.order.id != res.ID {
		return
	}
	h.order.ended = res.OK || res.Refused
	if res.OK {
		h.order.ackedAt = now
	}
	if !res.Refused {
		return
	}
	out.Log(event.EngineOrderFenced, slog.String("host", string(h.id)),
		slog.Uint64("sent", uint64(h.order.fence)), slog.Uint64("held", uint64(res.FencingToken)))
	if g := s.groups[h.group]; g != nil && g.row.FencingToken == h.order.fence {
		g.renumber = max(g.renumber, res.FencingToken)
	}
}

// findLeftovers lists the free hosts that were assigned before: their engines
// may still hold the weights of a former group.
func (s *System) findLeftovers(c *centre) {
	for _, id := range c.hosts {
		if h := s.host(id); h.revision != 0 && h.row.Group == "" {
			c.tenure.unloading[id] = struct{}{}
		}
	}
}

// unload orders the engines of freed hosts to drop what they hold.
func (s *System) unload(now time.Duration, c *centre, out *state.Outbox) {
	if len(c.tenure.unloading) == 0 {
		return
	}
	for _, id := range c.hosts {
		if _, ok := c.tenure.unloading[id]; !ok {
			continue
		}
		h := s.host(id)
		if h.row.Group != "" || (h.okAt > max(h.touchedAt, c.tenure.since) && h.answer.Phase == state.PhaseEmpty) {
			delete(c.tenure.unloading, id)
			continue
		}
		s.probe(now, h, unloadProbePeriod, out)
		if h.alive(now) && h.okAt > h.touchedAt {
			s.sendOrder(now, c, h, state.EngineOrder{Kind: state.OrderUnload, FencingToken: h.row.FencingToken}, out)
		}
	}
}
