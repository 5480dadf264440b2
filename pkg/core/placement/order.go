package placement

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// orderTTL is for how long an order may still take effect.
	orderTTL    = 5 * time.Second
	orderPeriod = 250 * time.Millisecond
	// unloadProbePeriod is between probes of a free host whose engine may
	// still hold weights. It is long because such a host may be gone for good.
	unloadProbePeriod = 5 * time.Second
)

// sentOrder is an order of this node to an engine.
type sentOrder struct {
	id           uint64
	fencingToken state.FencingToken
	sentAt       time.Duration
	// answered is set once the engine answered the order.
	answered bool
	// acceptedAt is when the engine accepted it; never until then.
	acceptedAt time.Duration
	// matchedBefore is set when the engine showed the same state before the order, so
	// that its state cannot show the effect of the order.
	matchedBefore bool
}

// sendOrdersIfDue sees to it that engines do what the rows say.
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

// loadingGroups returns the groups that have not loaded, in order, and probes
// the members of those and of groups that are not whole.
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

// isLoadStarted reports whether a member has loaded, or is loading, what its group
// asks for.
func (g *group) isLoadStarted(h *host) bool {
	answer := &h.answer
	if (answer.Phase != state.PhaseLoading && answer.Phase != state.PhaseReady) || !g.matchesAnswer(answer) {
		return false
	}
	if answer.FencingToken != 0 || answer.ChecksFencingToken {
		return answer.FencingToken == g.row.FencingToken
	}
	// An engine that reports no number shows the effect of an order only in an
	// answer to a probe that followed it.
	order := &h.order
	if order.fencingToken != g.row.FencingToken || h.probeOKAt <= order.sentAt {
		return false
	}
	return !order.matchedBefore || (order.acceptedAt != never && h.probeOKAt > order.acceptedAt)
}

// matchesAnswer reports whether an engine holds what its group asks for, whatever the
// order that made it do so.
func (g *group) matchesAnswer(answer *state.ProbeAnswer) bool {
	return answer.Group == g.id && answer.Model == g.row.Model && answer.Version == g.row.Version &&
		slices.Equal(answer.Adapters, g.row.Adapters)
}

// allLoaded reports whether all members have loaded.
func (s *System) allLoaded(now time.Duration, g *group) bool {
	for _, m := range g.row.Members {
		if h := s.host(m); !h.isAlive(now) || h.answer.Phase != state.PhaseReady || !g.isLoadStarted(h) {
			return false
		}
	}
	return true
}

// newLoadOrder returns the order of a group, but for the host.
func (s *System) newLoadOrder(g *group) state.EngineOrder {
	return state.EngineOrder{
		Kind: g.row.Order, Group: g.id, Members: g.row.Members, FencingToken: g.row.FencingToken,
		Model: g.row.Model, Version: g.row.Version, Adapters: g.row.Adapters, Role: g.row.Role,
	}
}

// sendOrder gives an order to one host if that is safe now.
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

// canSendOrder reports whether an order to a host cannot cross an earlier one. An
// order is repeated only after it has expired and a later answer showed that it
// had no effect. An engine that ignores fencing numbers may still act on an
// expired holder's order, so it must be quiet first; one that checks them
// refuses such an order itself.
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

// handleOrderResult notes the answer to an order.
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

// findUnloadCandidates lists the free hosts that were assigned before: their engines
// may still hold the weights of a former group.
func (s *System) findUnloadCandidates(c *dataCentre) {
	for _, id := range c.hosts {
		if h := s.host(id); h.revision != 0 && h.row.Group == "" {
			c.term.unloadCandidates[id] = struct{}{}
		}
	}
}

// unloadFreeHosts orders the engines of freed hosts to drop what they hold.
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
