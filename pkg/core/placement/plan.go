package placement

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	planPeriod = 250 * time.Millisecond
	// abandonAfter is for how long a group without a remedy keeps its hosts.
	abandonAfter = 60 * time.Second
	// freeProbePeriod is between probes of a free host while hosts are needed.
	freeProbePeriod = 2 * time.Second
	// aliveFor is for how long an answer shows that a free host is alive.
	aliveFor = 5 * time.Second
	// probeWait is for how long a plan waits for the answer of a free host, so
	// that the largest group does not lose its place to a smaller one because
	// some hosts answered first.
	probeWait = time.Second
	// wholeFor is the age at which a verdict no longer tells that a group is
	// whole.
	wholeFor = 3 * time.Second
	// drainFor bounds the wait for running requests before engines are ordered
	// to load something else.
	drainFor = 30 * time.Second
)

// need is a group that needs hosts.
type need struct {
	spec *state.GroupSpec
	g    *group
	// lost are the members that are dead or leaving.
	lost []state.HostID
	dead bool
}

// planIfDue sends the next change, if there is one. Changes of a data centre
// are made one at a time: each one is planned on the rows that the one before
// it left.
func (s *System) planIfDue(now time.Duration, c *centre, out *state.Outbox) {
	if c.call.kind != callNone || c.unsettled || now < c.nextTry || now < c.tenure.nextPlan {
		return
	}
	c.tenure.nextPlan = now + planPeriod
	if !s.t.Config.Fresh {
		return
	}
	if ch := s.plan(now, c, out); ch != nil {
		s.commit(now, c, ch, out)
	}
}

// plan returns the most urgent change, or nil.
func (s *System) plan(now time.Duration, c *centre, out *state.Outbox) *change {
	var broken, waiting []need
	for _, id := range s.groupIDs {
		g := s.groups[id]
		if !g.placed() || g.row.DataCentre != c.dc {
			continue
		}
		spec := s.specs[id]
		if spec == nil || spec.DataCentre != c.dc {
			return s.dissolve(g)
		}
		if ch := s.update(now, g, spec); ch != nil {
			return ch
		}
		if n, ok := s.brokenNeed(now, c, g, spec); ok {
			broken = append(broken, n)
		}
	}
	for i := range s.t.Config.Document.Groups {
		spec := &s.t.Config.Document.Groups[i]
		if g := s.groups[spec.Name]; spec.DataCentre == c.dc && (g == nil || !g.placed()) {
			waiting = append(waiting, need{spec: spec, g: s.group(spec.Name)})
		}
	}
	return s.fill(now, c, broken, waiting, out)
}

// dissolve frees the hosts of a group that is no longer declared here.
func (s *System) dissolve(g *group) *change {
	ch := &change{event: event.GroupDissolved, group: g.id, drain: g.row.Phase == state.GroupServing}
	ch.row = state.GroupRow{Phase: state.GroupDissolved}
	ch.setMembers(g.row.Members, nil)
	return ch
}

// update returns the change of a group whose members stay: it loads something
// else, loads again, or has loaded.
func (s *System) update(now time.Duration, g *group, spec *state.GroupSpec) *change {
	row := &g.row
	same := row.Model == spec.Model && row.Version == spec.Version && slices.Equal(row.Adapters, spec.Adapters)
	switch {
	case !same || row.Role != spec.Role:
		ch := s.reload(g, spec)
		ch.drain = row.Phase == state.GroupServing
		if same && row.Phase == state.GroupServing {
			ch.row.Order = state.OrderRole
		}
		return ch
	case g.renumber >= row.FencingToken && g.renumber != 0:
		return s.reload(g, spec)
	case row.Phase == state.GroupServing && s.lostLoad(now, g):
		return s.reload(g, spec)
	case row.Phase == state.GroupLoading && s.allLoaded(now, g):
		ch := &change{event: event.GroupLoaded, group: g.id, row: *row}
		ch.row.Phase = state.GroupServing
		return ch
	}
	return nil
}

func (s *System) reload(g *group, spec *state.GroupSpec) *change {
	ch := &change{event: event.GroupReloading, group: g.id, row: freshRow(spec, g.row.Domain)}
	ch.setMembers(g.row.Members, g.row.Members)
	return ch
}

// lostLoad reports whether a member of a group that has loaded answers that
// it holds something else: it restarted, or a stray order reached an engine that
// ignores fencing numbers.
func (s *System) lostLoad(now time.Duration, g *group) bool {
	shared := s.t.Groups.Get(g.id)
	if shared == nil || (shared.Healthy && now-shared.HealthyAt < wholeFor) {
		return false
	}
	return slices.ContainsFunc(g.row.Members, func(m state.HostID) bool {
		h := s.host(m)
		if h.okAt <= g.touchedAt {
			return false
		}
		a := &h.answer
		return a.Phase == state.PhaseEmpty || (a.Phase == state.PhaseReady &&
			(!g.alike(a) || !a.MatchesFencingToken(g.row.FencingToken)))
	})
}

// brokenNeed returns the need of a group that has lost members or whose number
// of members changed. Groups of a data centre that is out keep their hosts:
// there, hosts are expected to go and to come back.
func (s *System) brokenNeed(now time.Duration, c *centre, g *group, spec *state.GroupSpec) (need, bool) {
	if slices.Contains(s.t.Config.Head.DisabledDataCentres, c.dc) {
		g.brokenSince = 0
		return need{}, false
	}
	n := need{spec: spec, g: g}
	shared := s.t.Groups.Get(g.id)
	for _, m := range g.row.Members {
		switch row := s.t.Hosts.Get(m); {
		case shared != nil && slices.Contains(shared.DeadMembers, m) && !s.t.Switches.IgnoreRepair:
			n.lost, n.dead = append(n.lost, m), true
		case row != nil && row.Leaving:
			n.lost = append(n.lost, m)
		}
	}
	if !n.dead {
		g.brokenSince, g.abandoned = 0, false
	} else if g.brokenSince == 0 {
		g.brokenSince = now
	}
	return n, len(n.lost) > 0 || len(g.row.Members) != spec.Members
}

// fill returns a change that gives hosts to a group that needs some: broken
// groups first, each kind with the largest group first, so that small groups do
// not break up the domains that large ones need.
func (s *System) fill(now time.Duration, c *centre, broken, waiting []need, out *state.Outbox) *change {
	if len(broken)+len(waiting) == 0 {
		return nil
	}
	c.tenure.probeFree = now + 2*planPeriod
	if !s.freeHostsKnown(now, c) {
		return nil
	}
	free := s.freeHosts(now, c)
	for _, needs := range [][]need{broken, waiting} {
		slices.SortFunc(needs, func(a, b need) int {
			return cmp.Or(cmp.Compare(b.spec.Members, a.spec.Members), cmp.Compare(a.spec.Name, b.spec.Name))
		})
	}
	for _, n := range broken {
		if ch := s.repair(n, free); ch != nil {
			return ch
		}
	}
	for _, n := range waiting {
		if i := bestFit(free, n.spec.Members); i >= 0 {
			return s.form(n, free[i])
		}
		if _, ok := c.tenure.waiting[n.spec.Name]; !ok {
			c.tenure.waiting[n.spec.Name] = struct{}{}
			out.Log(event.GroupUnplaceable, slog.String("group", string(n.spec.Name)),
				slog.String("data_centre", string(c.dc)), slog.Int("members", n.spec.Members))
		}
	}
	return s.abandon(now, broken, waiting, free, out)
}

func (s *System) form(n need, d domainHosts) *change {
	ch := &change{event: event.GroupFormed, group: n.spec.Name, row: freshRow(n.spec, d.domain)}
	ch.setMembers(nil, slices.Clone(d.hosts[:n.spec.Members]))
	return ch
}

// repair replaces the lost members by spare hosts of the same domain, or moves
// the whole group to another domain. It returns nil when neither can be done.
func (s *System) repair(n need, free []domainHosts) *change {
	ch := &change{event: event.GroupRepaired, group: n.g.id, row: freshRow(n.spec, n.g.row.Domain)}
	ch.drain = !n.dead && n.g.row.Phase == state.GroupServing
	var spares []state.HostID
	for _, d := range free {
		if d.domain == n.g.row.Domain {
			spares = d.hosts
		}
	}
	var members []state.HostID
	for _, m := range n.g.row.Members {
		if !slices.Contains(n.lost, m) {
			members = append(members, m)
		} else if len(spares) > 0 {
			members = append(members, spares[0])
			spares = spares[1:]
		}
	}
	for len(members) < n.spec.Members && len(spares) > 0 {
		members = append(members, spares[0])
		spares = spares[1:]
	}
	if len(members) >= n.spec.Members {
		ch.setMembers(n.g.row.Members, members[:n.spec.Members])
		return ch
	}
	others := slices.DeleteFunc(slices.Clone(free), func(d domainHosts) bool { return d.domain == n.g.row.Domain })
	if i := bestFit(others, n.spec.Members); i >= 0 {
		ch.event, ch.row.Domain = event.GroupMoved, others[i].domain
		ch.setMembers(n.g.row.Members, slices.Clone(others[i].hosts[:n.spec.Members]))
		return ch
	}
	return nil
}

// abandon gives up groups that have had no remedy for long, and frees the hosts
// of one when another group can be helped by them.
func (s *System) abandon(now time.Duration, broken, waiting []need, free []domainHosts, out *state.Outbox) *change {
	for _, n := range broken {
		if n.dead && !n.g.abandoned && now-n.g.brokenSince >= abandonAfter {
			n.g.abandoned = true
			out.Log(event.GroupAbandoned, slog.String("group", string(n.g.id)))
		}
	}
	// The smallest abandoned group goes first: it is the easiest to place again.
	for _, n := range slices.Backward(broken) {
		if !n.g.abandoned || !s.helps(n, broken, waiting, free) {
			continue
		}
		ch := &change{event: event.AbandonedHostsFreed, group: n.g.id}
		ch.row = state.GroupRow{Phase: state.GroupPending}
		ch.setMembers(n.g.row.Members, nil)
		return ch
	}
	return nil
}

// helps reports whether the live hosts of an abandoned group would let another
// group of need be formed or repaired.
func (s *System) helps(n need, broken, waiting []need, free []domainHosts) bool {
	var live []state.HostID
	for _, m := range n.g.row.Members {
		if !slices.Contains(n.lost, m) {
			live = append(live, m)
		}
	}
	domain := domainHosts{domain: n.g.row.Domain, hosts: live}
	for _, d := range free {
		if d.domain == domain.domain {
			domain.hosts = append(domain.hosts, d.hosts...)
		}
	}
	for _, other := range waiting {
		if other.g != n.g && other.spec.Members <= len(domain.hosts) {
			return true
		}
	}
	for _, other := range broken {
		if other.g != n.g && s.repair(other, []domainHosts{domain}) != nil {
			return true
		}
	}
	return false
}
