package placement

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// orderTTL is how long an order may take effect after it was sent.
	orderTTL    = 5 * time.Second
	orderPeriod = 250 * time.Millisecond
	// unloadProbePeriod is the time between probes of a free host whose engine
	// may still hold weights. It is long because such a host may never come
	// back.
	unloadProbePeriod = 5 * time.Second
)

// sentOrder is an order that this node sent to an engine.
type sentOrder struct {
	id           uint64
	fencingToken state.FencingToken
	sentAt       time.Duration
	// answered is set once the engine has accepted or refused the order.
	answered bool
	// acceptedAt is when the engine accepted the order, or never.
	acceptedAt time.Duration
	// matchedBefore is set when the engine reported the ordered state before
	// the order, so that its state does not show whether the order took
	// effect.
	matchedBefore bool
}

// sendOrdersIfDue sends the orders that bring the engines to the state of the
// rows.
func (s *System) sendOrdersIfDue(now time.Duration, c *dataCentre, out *state.Outbox) {
	if now < c.term.nextOrderAt {
		return
	}
	c.term.nextOrderAt = now + orderPeriod
	s.probeFreeHosts(now, c, out)
	loading := s.loadingGroups(now, c, out)
	for _, g := range s.admitLoads(now, c, loading) {
		for _, m := range g.row.Members {
			if h := s.host(m); !g.isLoadStarted(h) {
				s.sendOrder(now, c, h, s.newLoadOrder(g), out)
			}
		}
	}
	s.unloadFreeHosts(now, c, out)
}

// loadingGroups returns the groups that are still loading, in id order. It
// probes the members of these groups and of groups without a recent report that
// they are healthy.
func (s *System) loadingGroups(now time.Duration, c *dataCentre, out *state.Outbox) []*group {
	var loading []*group
	for _, id := range s.groupIDs {
		g := s.groups[id]
		if !g.hasMembers() || g.row.DataCentre != c.id {
			continue
		}
		if g.row.Phase == state.GroupLoading {
			loading = append(loading, g)
		} else if sharedGroup := s.tables.Groups.Get(id); sharedGroup != nil && sharedGroup.Healthy && now-sharedGroup.HealthyAt < healthyValidity {
			continue
		}
		for _, m := range g.row.Members {
			s.probe(now, s.host(m), memberProbePeriod, out)
		}
	}
	return loading
}

// isLoadStarted reports whether a member is loading, or has loaded, what its
// group specifies.
func (g *group) isLoadStarted(h *host) bool {
	answer := &h.answer
	if (answer.Phase != state.PhaseLoading && answer.Phase != state.PhaseReady) || !g.matchesAnswer(answer) {
		return false
	}
	if answer.FencingToken != 0 || answer.ChecksFencingToken {
		return answer.FencingToken == g.row.FencingToken
	}
	// An engine that reports no fencing token shows the effect of an order
	// only in the answer to a probe sent after the order.
	order := &h.order
	if order.fencingToken != g.row.FencingToken || h.probeOKAt <= order.sentAt {
		return false
	}
	return !order.matchedBefore || (order.acceptedAt != never && h.probeOKAt > order.acceptedAt)
}

// matchesAnswer reports whether an engine holds what the group specifies,
// regardless of the order that caused it.
func (g *group) matchesAnswer(answer *state.ProbeAnswer) bool {
	return answer.Group == g.id && answer.Model == g.row.Model && answer.Version == g.row.Version &&
		slices.Equal(answer.Adapters, g.row.Adapters)
}

// allLoaded reports whether all members are alive and have loaded.
func (s *System) allLoaded(now time.Duration, g *group) bool {
	for _, m := range g.row.Members {
		if h := s.host(m); !h.isAlive(now) || h.answer.Phase != state.PhaseReady || !g.isLoadStarted(h) {
			return false
		}
	}
	return true
}

// newLoadOrder returns the order of a group without the fields that depend on
// the host.
func (s *System) newLoadOrder(g *group) state.EngineOrder {
	return state.EngineOrder{
		Kind: g.row.Order, Group: g.id, Members: g.row.Members, FencingToken: g.row.FencingToken,
		Model: g.row.Model, Version: g.row.Version, Adapters: g.row.Adapters, Role: g.row.Role,
	}
}

// sendOrder sends an order to a host if canSendOrder allows it.
func (s *System) sendOrder(now time.Duration, c *dataCentre, h *host, order state.EngineOrder, out *state.Outbox) {
	row := s.tables.Hosts.Get(h.id)
	if row == nil || !s.canSendOrder(now, c, h, order.FencingToken) {
		return
	}
	s.lastOrderID++
	order.ID, order.Host, order.Address, order.TTL = s.lastOrderID, h.id, row.Address, orderTTL
	g := s.groups[order.Group]
	h.order = sentOrder{
		id: order.ID, fencingToken: order.FencingToken, sentAt: now, acceptedAt: never,
		matchedBefore: g != nil && g.matchesAnswer(&h.answer),
	}
	out.Add(order)
}

// canSendOrder reports whether no earlier order to a host can take effect after
// a new one. An order is repeated only after it has expired and a later answer
// has shown that it had no effect. An engine that ignores fencing tokens may
// still follow an order of the previous holder, so it must have answered after
// those orders expired. An engine that checks the tokens refuses such an order.
func (s *System) canSendOrder(now time.Duration, c *dataCentre, h *host, fencingToken state.FencingToken) bool {
	if now < h.drainUntil || h.probeOKAt < c.term.startedAt || !h.isAlive(now) {
		return false
	}
	checksFence := h.answer.ChecksFencingToken
	if !checksFence && h.probeOKAt < c.term.oldOrdersExpireAt && !s.tables.Switches.IgnoreOrderExpiry {
		return false
	}
	if h.order.id == 0 || (h.order.fencingToken != fencingToken && (checksFence || h.order.answered)) {
		return true
	}
	return h.probeOKAt >= h.order.sentAt+orderTTL || s.tables.Switches.IgnoreOrderExpiry
}

// handleOrderResult records the response of an engine to an order.
func (s *System) handleOrderResult(now time.Duration, res state.EngineOrderResult, out *state.Outbox) {
	h := s.hosts[res.Host]
	if h == nil || h.order.id != res.ID {
		return
	}
	h.order.answered = res.OK || res.Refused
	if res.OK {
		h.order.acceptedAt = now
	}
	if !res.Refused {
		return
	}
	out.Log(event.EngineOrderFenced, slog.String("host", string(h.id)),
		slog.Uint64("sent", uint64(h.order.fencingToken)), slog.Uint64("held", uint64(res.FencingToken)))
	if g := s.groups[h.assignedGroup]; g != nil && g.row.FencingToken == h.order.fencingToken {
		g.engineFencingToken = max(g.engineFencingToken, res.FencingToken)
	}
}

// findUnloadCandidates collects the free hosts that were assigned before. Their
// engines may still hold the weights of an earlier group.
func (s *System) findUnloadCandidates(c *dataCentre) {
	for _, id := range c.hosts {
		if h := s.host(id); h.revision != 0 && h.row.Group == "" {
			c.term.unloadCandidates[id] = struct{}{}
		}
	}
}

// unloadFreeHosts orders the engines of freed hosts to unload their weights.
func (s *System) unloadFreeHosts(now time.Duration, c *dataCentre, out *state.Outbox) {
	if len(c.term.unloadCandidates) == 0 {
		return
	}
	for _, id := range c.hosts {
		if _, ok := c.term.unloadCandidates[id]; !ok {
			continue
		}
		h := s.host(id)
		if h.row.Group != "" || (h.probeOKAt > max(h.rowAppliedAt, c.term.startedAt) && h.answer.Phase == state.PhaseEmpty) {
			delete(c.term.unloadCandidates, id)
			continue
		}
		s.probe(now, h, unloadProbePeriod, out)
		if h.isAlive(now) && h.probeOKAt > h.rowAppliedAt {
			s.sendOrder(now, c, h, state.EngineOrder{Kind: state.OrderUnload, FencingToken: h.row.FencingToken}, out)
		}
	}
}
