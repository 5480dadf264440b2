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
	// abandonAfter is how long a group with dead members that cannot be
	// repaired keeps its hosts.
	abandonAfter = 60 * time.Second
	// freeProbePeriod is the time between probes of a free host while groups
	// need hosts.
	freeProbePeriod = 2 * time.Second
	// probeValidity is how long a probe answer shows that a host is alive.
	probeValidity = 5 * time.Second
	// probeWait is how long a plan waits for the probe answer of a free host,
	// so that the largest group does not lose its domain to a smaller one
	// because some hosts answered first.
	probeWait = time.Second
	// healthyValidity is the age at which a health report no longer shows that
	// a group is healthy.
	healthyValidity = 3 * time.Second
	// drainTimeout limits the wait for running requests before engines are
	// ordered to load something else.
	drainTimeout = 30 * time.Second
)

// hostNeed describes a group that needs hosts.
type hostNeed struct {
	spec  *state.GroupSpec
	group *group
	// lostMembers are the members that are dead or leaving.
	lostMembers   []state.HostID
	hasDeadMember bool
}

// planIfDue plans and commits the next change, if there is one. The changes of
// a data centre are made one at a time: each is planned on the rows that the
// previous one left.
func (s *System) planIfDue(now time.Duration, c *dataCentre, out *state.Outbox) {
	if c.call.kind != callNone || c.outcomeUnknown || now < c.retryAt || now < c.term.nextPlanAt {
		return
	}
	c.term.nextPlanAt = now + planPeriod
	if !s.tables.Config.Fresh {
		return
	}
	if ch := s.plan(now, c, out); ch != nil {
		s.commit(now, c, ch, out)
	}
}

// plan returns the most urgent change, or nil.
func (s *System) plan(now time.Duration, c *dataCentre, out *state.Outbox) *change {
	var repairNeeds, formationNeeds []hostNeed
	for _, id := range s.groupIDs {
		g := s.groups[id]
		if !g.hasMembers() || g.row.DataCentre != c.id {
			continue
		}
		spec := s.specs[id]
		if spec == nil || spec.DataCentre != c.id {
			return s.planDissolution(g)
		}
		if ch := s.planUpdate(now, g, spec); ch != nil {
			return ch
		}
		if need, ok := s.repairNeed(now, c, g, spec); ok {
			repairNeeds = append(repairNeeds, need)
		}
	}
	for i := range s.tables.Config.Document.Groups {
		spec := &s.tables.Config.Document.Groups[i]
		if g := s.groups[spec.Name]; spec.DataCentre == c.id && (g == nil || !g.hasMembers()) {
			formationNeeds = append(formationNeeds, hostNeed{spec: spec, group: s.group(spec.Name)})
		}
	}
	return s.planAssignment(now, c, repairNeeds, formationNeeds, out)
}

// planDissolution returns a change that frees the hosts of a group that is no
// longer declared in the data centre.
func (s *System) planDissolution(g *group) *change {
	ch := &change{event: event.GroupDissolved, group: g.id, drain: g.row.Phase == state.GroupServing}
	ch.row = state.GroupRow{Phase: state.GroupDissolved}
	ch.setMembers(g.row.Members, nil)
	return ch
}

// planUpdate returns a change for a group whose members stay: it must load
// something else or load again, or it has loaded. It returns nil if no change
// is needed.
func (s *System) planUpdate(now time.Duration, g *group, spec *state.GroupSpec) *change {
	row := &g.row
	sameModel := row.Model == spec.Model && row.Version == spec.Version && slices.Equal(row.Adapters, spec.Adapters)
	switch {
	case !sameModel || row.Role != spec.Role:
		ch := s.planReload(g, spec)
		ch.drain = row.Phase == state.GroupServing
		if sameModel && row.Phase == state.GroupServing {
			ch.row.Order = state.OrderRole
		}
		return ch
	case g.engineFencingToken >= row.FencingToken && g.engineFencingToken != 0:
		return s.planReload(g, spec)
	case row.Phase == state.GroupServing && s.hasLostLoad(now, g):
		return s.planReload(g, spec)
	case row.Phase == state.GroupLoading && s.allLoaded(now, g):
		ch := &change{event: event.GroupLoaded, group: g.id, row: *row}
		ch.row.Phase = state.GroupServing
		return ch
	}
	return nil
}

func (s *System) planReload(g *group, spec *state.GroupSpec) *change {
	ch := &change{event: event.GroupReloading, group: g.id, row: newGroupRow(spec, g.row.Domain)}
	ch.setMembers(g.row.Members, g.row.Members)
	return ch
}

// hasLostLoad reports whether a member of a loaded group reports other
// contents: it has restarted, or a late order reached an engine that ignores
// fencing tokens.
func (s *System) hasLostLoad(now time.Duration, g *group) bool {
	sharedGroup := s.tables.Groups.Get(g.id)
	if sharedGroup == nil || (sharedGroup.Healthy && now-sharedGroup.HealthyAt < healthyValidity) {
		return false
	}
	return slices.ContainsFunc(g.row.Members, func(m state.HostID) bool {
		h := s.host(m)
		if h.probeOKAt <= g.rowAppliedAt {
			return false
		}
		answer := &h.answer
		return answer.Phase == state.PhaseEmpty || (answer.Phase == state.PhaseReady &&
			(!g.matchesAnswer(answer) || !answer.MatchesFencingToken(g.row.FencingToken)))
	})
}

// repairNeed returns the need of a group and whether it has lost members or its
// declared number of members has changed. Groups of a disabled data centre keep
// their hosts, because hosts there are expected to stop and come back.
func (s *System) repairNeed(now time.Duration, c *dataCentre, g *group, spec *state.GroupSpec) (hostNeed, bool) {
	if slices.Contains(s.tables.Config.Head.DisabledDataCentres, c.id) {
		g.brokenSince = 0
		return hostNeed{}, false
	}
	need := hostNeed{spec: spec, group: g}
	sharedGroup := s.tables.Groups.Get(g.id)
	for _, m := range g.row.Members {
		switch row := s.tables.Hosts.Get(m); {
		case sharedGroup != nil && slices.Contains(sharedGroup.DeadMembers, m) && !s.tables.Switches.IgnoreRepair:
			need.lostMembers, need.hasDeadMember = append(need.lostMembers, m), true
		case row != nil && row.Leaving:
			need.lostMembers = append(need.lostMembers, m)
		}
	}
	if !need.hasDeadMember {
		g.brokenSince, g.abandoned = 0, false
	} else if g.brokenSince == 0 {
		g.brokenSince = now
	}
	return need, len(need.lostMembers) > 0 || len(g.row.Members) != spec.Members
}

// planAssignment returns a change that assigns hosts to a group that needs
// some. Broken groups come before new ones, and within each kind the largest
// group comes first, so that small groups do not break up the domains that
// large ones need.
func (s *System) planAssignment(now time.Duration, c *dataCentre, repairNeeds, formationNeeds []hostNeed, out *state.Outbox) *change {
	if len(repairNeeds)+len(formationNeeds) == 0 {
		return nil
	}
	c.term.probeFreeUntil = now + 2*planPeriod
	if !s.freeHostsKnown(now, c) {
		return nil
	}
	freeHosts := s.freeHosts(now, c)
	for _, needs := range [][]hostNeed{repairNeeds, formationNeeds} {
		slices.SortFunc(needs, func(a, b hostNeed) int {
			return cmp.Or(cmp.Compare(b.spec.Members, a.spec.Members), cmp.Compare(a.spec.Name, b.spec.Name))
		})
	}
	for _, need := range repairNeeds {
		if ch := s.planRepair(need, freeHosts); ch != nil {
			return ch
		}
	}
	for _, need := range formationNeeds {
		if i := bestFit(freeHosts, need.spec.Members); i >= 0 {
			return s.planFormation(need, freeHosts[i])
		}
		if _, ok := c.term.unplaceableGroups[need.spec.Name]; !ok {
			c.term.unplaceableGroups[need.spec.Name] = struct{}{}
			out.Log(event.GroupUnplaceable, slog.String("group", string(need.spec.Name)),
				slog.String("data_centre", string(c.id)), slog.Int("members", need.spec.Members))
		}
	}
	return s.planAbandonment(now, repairNeeds, formationNeeds, freeHosts, out)
}

func (s *System) planFormation(need hostNeed, d domainHosts) *change {
	ch := &change{event: event.GroupFormed, group: need.spec.Name, row: newGroupRow(need.spec, d.domain)}
	ch.setMembers(nil, slices.Clone(d.hosts[:need.spec.Members]))
	return ch
}

// planRepair replaces the lost members with spare hosts of the same domain, or
// moves the whole group to another domain. It returns nil if neither is
// possible.
func (s *System) planRepair(need hostNeed, freeHosts []domainHosts) *change {
	ch := &change{event: event.GroupRepaired, group: need.group.id, row: newGroupRow(need.spec, need.group.row.Domain)}
	ch.drain = !need.hasDeadMember && need.group.row.Phase == state.GroupServing
	var spares []state.HostID
	for _, d := range freeHosts {
		if d.domain == need.group.row.Domain {
			spares = d.hosts
		}
	}
	var members []state.HostID
	for _, m := range need.group.row.Members {
		if !slices.Contains(need.lostMembers, m) {
			members = append(members, m)
		} else if len(spares) > 0 {
			members = append(members, spares[0])
			spares = spares[1:]
		}
	}
	for len(members) < need.spec.Members && len(spares) > 0 {
		members = append(members, spares[0])
		spares = spares[1:]
	}
	if len(members) >= need.spec.Members {
		ch.setMembers(need.group.row.Members, members[:need.spec.Members])
		return ch
	}
	otherDomains := slices.DeleteFunc(slices.Clone(freeHosts), func(d domainHosts) bool { return d.domain == need.group.row.Domain })
	if i := bestFit(otherDomains, need.spec.Members); i >= 0 {
		ch.event, ch.row.Domain = event.GroupMoved, otherDomains[i].domain
		ch.setMembers(need.group.row.Members, slices.Clone(otherDomains[i].hosts[:need.spec.Members]))
		return ch
	}
	return nil
}

// planAbandonment abandons groups that could not be repaired for abandonAfter.
// It returns a change that frees the hosts of an abandoned group if another
// group can use them, or nil.
func (s *System) planAbandonment(now time.Duration, repairNeeds, formationNeeds []hostNeed, freeHosts []domainHosts, out *state.Outbox) *change {
	for _, need := range repairNeeds {
		if need.hasDeadMember && !need.group.abandoned && now-need.group.brokenSince >= abandonAfter {
			need.group.abandoned = true
			out.Log(event.GroupAbandoned, slog.String("group", string(need.group.id)))
		}
	}
	// The smallest abandoned group is freed first, because it is the easiest
	// to place again.
	for _, need := range slices.Backward(repairNeeds) {
		if !need.group.abandoned || !s.unblocksOther(need, repairNeeds, formationNeeds, freeHosts) {
			continue
		}
		ch := &change{event: event.AbandonedHostsFreed, group: need.group.id}
		ch.row = state.GroupRow{Phase: state.GroupPending}
		ch.setMembers(need.group.row.Members, nil)
		return ch
	}
	return nil
}

// unblocksOther reports whether another group could be formed or repaired with
// the live hosts of an abandoned group.
func (s *System) unblocksOther(need hostNeed, repairNeeds, formationNeeds []hostNeed, freeHosts []domainHosts) bool {
	var liveMembers []state.HostID
	for _, m := range need.group.row.Members {
		if !slices.Contains(need.lostMembers, m) {
			liveMembers = append(liveMembers, m)
		}
	}
	domain := domainHosts{domain: need.group.row.Domain, hosts: liveMembers}
	for _, d := range freeHosts {
		if d.domain == domain.domain {
			domain.hosts = append(domain.hosts, d.hosts...)
		}
	}
	for _, other := range formationNeeds {
		if other.group != need.group && other.spec.Members <= len(domain.hosts) {
			return true
		}
	}
	for _, other := range repairNeeds {
		if other.group != need.group && s.planRepair(other, []domainHosts{domain}) != nil {
			return true
		}
	}
	return false
}
