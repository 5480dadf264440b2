package formation

import (
	"cmp"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// largeShare is the part of the groups of the largest model that its share of
// the work asks for. What is left goes to groups of smaller models, whose members
// can make up a large group when one loses a member.
const largeShare = 0.75

// warmth ranks how soon a host can serve a model.
type warmth int

const (
	// warm hosts served the model last, staged ones have its weights.
	warm warmth = iota
	staged
	cold
)

// freeHost is a host that may join a group.
type freeHost struct {
	id     state.HostID
	domain state.DomainID
	// model is the one that the host served last.
	model  string
	staged []string
	// keptFor is the model for which the hosts of the domain are collected; empty
	// for any.
	keptFor string
}

func (f *freeHost) warmth(model string) warmth {
	switch {
	case f.model == model:
		return warm
	case slices.Contains(f.staged, model):
		return staged
	}
	return cold
}

// choice is a group to be formed.
type choice struct {
	model   *state.ModelProfile
	members []freeHost
	// coldest is the warmth of the slowest member.
	coldest warmth
}

// chooseGroup returns the next group to be formed, or false. The model whose
// groups have the most work comes first. Groups stay inside a fabric domain,
// across which they run several times slower. Before traffic any host may load
// the weights, and no model gets more groups than wanted; later hosts that would
// have to load are left out, and every host that can serve does.
//
// Load pattern: a member of a group is lost every few seconds, so the survivors
// and what is free in the domain must make up a group again at once.
func chooseGroup(free []freeHost, models []state.ModelProfile, live, wanted map[string]int, needs map[string]float64, traffic bool) (choice, bool) {
	ranked := slices.Clone(models)
	slices.SortStableFunc(ranked, func(a, b state.ModelProfile) int {
		if !traffic {
			// Small groups must not break up the domains first.
			return cmp.Compare(b.GroupSize, a.GroupSize)
		}
		return cmp.Or(cmp.Compare(pressure(live, needs, b.Name), pressure(live, needs, a.Name)), cmp.Compare(b.GroupSize, a.GroupSize))
	})
	for i := range ranked {
		m := ranked[i]
		if !traffic && live[m.Name] >= wanted[m.Name] {
			continue
		}
		if c, ok := chooseMembers(usableFor(free, m.Name), &m, models, !traffic); ok {
			return c, true
		}
	}
	return choice{}, false
}

// pressure is the work for each group of a model.
func pressure(live map[string]int, needs map[string]float64, model string) float64 {
	return needs[model] / max(float64(live[model]), 0.5)
}

// usableFor leaves out the hosts that are kept for another model.
func usableFor(free []freeHost, model string) []freeHost {
	return slices.DeleteFunc(slices.Clone(free), func(f freeHost) bool { return f.keptFor != "" && f.keptFor != model })
}

// chooseMembers returns the warmest hosts of one domain. The largest model takes
// the domain with the most free hosts, so that its groups are spread and smaller
// ones beside each can give it hosts; any other takes the one with the fewest, so
// that large groups still find room.
func chooseMembers(free []freeHost, m *state.ModelProfile, models []state.ModelProfile, allowCold bool) (choice, bool) {
	byDomain := map[state.DomainID][]freeHost{}
	for _, f := range free {
		if allowCold || f.warmth(m.Name) < cold {
			byDomain[f.domain] = append(byDomain[f.domain], f)
		}
	}
	isLargest := !slices.ContainsFunc(models, func(o state.ModelProfile) bool { return o.GroupSize > m.GroupSize })
	var best choice
	bestFree := 0
	for _, domain := range state.SortedKeys(byDomain) {
		hosts := byDomain[domain]
		if len(hosts) < m.GroupSize {
			continue
		}
		slices.SortStableFunc(hosts, func(a, b freeHost) int { return cmp.Compare(a.warmth(m.Name), b.warmth(m.Name)) })
		members := hosts[:m.GroupSize]
		c := choice{model: m, members: members, coldest: members[m.GroupSize-1].warmth(m.Name)}
		better := len(hosts) < bestFree
		if isLargest {
			better = len(hosts) > bestFree
		}
		if best.model == nil || c.coldest < best.coldest || c.coldest == best.coldest && better {
			best, bestFree = c, len(hosts)
		}
	}
	return best, best.model != nil
}

// wantedGroups returns how many groups of each model the hosts are to make up at
// the start: the groups of all models are in proportion to the needs, less a part
// of the largest model's, and the smallest model takes the rest.
func wantedGroups(models []state.ModelProfile, needs map[string]float64, hosts int) map[string]int {
	perNeed := 0.0
	for _, m := range models {
		perNeed += needs[m.Name] * float64(m.GroupSize)
	}
	wanted := map[string]int{}
	if perNeed <= 0 {
		return wanted
	}
	ranked := slices.Clone(models)
	slices.SortStableFunc(ranked, func(a, b state.ModelProfile) int { return cmp.Compare(b.GroupSize, a.GroupSize) })
	left := hosts
	for i, m := range ranked {
		n := float64(hosts) * needs[m.Name] / perNeed
		switch {
		case i == len(ranked)-1:
			n = float64(left / max(m.GroupSize, 1))
		case m.GroupSize > ranked[len(ranked)-1].GroupSize:
			n *= largeShare
		}
		wanted[m.Name] = max(int(n+0.5), 1)
		left -= wanted[m.Name] * m.GroupSize
	}
	return wanted
}

// formGroups forms groups from the free hosts.
func (s *System) formGroups(now time.Duration, service *state.ServiceProfile, out *state.Outbox) {
	models := service.Engine.Models
	free := s.freeHosts(now, service.Name)
	live, hosts := s.count(now, service.Name)
	if !s.isSettled(now, hosts) {
		return
	}
	needs := s.needs(now, models)
	wanted := wantedGroups(models, needs, hosts)
	for {
		c, ok := chooseGroup(free, models, live, wanted, needs, s.m.TrafficStarted)
		if !ok {
			s.convert(now, service, free, live, needs, out)
			s.logWaiting(now, models, free, live, needs, out)
			return
		}
		s.begin(now, service, c, out)
		live[c.model.Name]++
		free = slices.DeleteFunc(free, func(f freeHost) bool {
			return slices.ContainsFunc(c.members, func(m freeHost) bool { return m.id == f.id })
		})
	}
}

// settleTime is for how long the number of hosts must stay the same before the
// first groups are formed. Hosts register within their first heartbeat of 1.2 s,
// and groups formed of the first ones leave no room for large groups.
const settleTime = 800 * time.Millisecond

// isSettled reports whether all hosts of the first start are there.
func (s *System) isSettled(now time.Duration, hosts int) bool {
	if s.m.TrafficStarted {
		return true
	}
	if hosts != s.hostCount {
		s.hostCount, s.hostCountAt = hosts, now
	}
	return now-s.hostCountAt >= settleTime
}

// idleLog is the period of lines on hosts that serve nobody.
const idleLog = 2 * time.Second

// logWaiting says how many groups there are and which hosts are free.
func (s *System) logWaiting(now time.Duration, models []state.ModelProfile, free []freeHost, live map[string]int, needs map[string]float64, out *state.Outbox) {
	if now < s.nextLog || len(free) == 0 {
		return
	}
	s.nextLog = now + idleLog
	domains := map[string][]string{}
	for _, f := range free {
		domains[string(f.domain)] = append(domains[string(f.domain)], f.model+"|"+strings.Join(f.staged, "+"))
	}
	attrs := []slog.Attr{slog.Int("free", len(free)), slog.Any("domains", domains)}
	for _, m := range models {
		attrs = append(attrs, slog.Group(m.Name, slog.Int("groups", live[m.Name]), slog.Float64("need", needs[m.Name])))
	}
	out.Log(event.GroupUnplaceable, attrs...)
}

// begin starts the formation of a group.
func (s *System) begin(now time.Duration, service *state.ServiceProfile, c choice, out *state.Outbox) {
	p := &plan{
		epoch: s.newEpoch(), service: service.Name, model: c.model, joined: map[state.HostID]bool{}, since: now,
		expect: service.Engine.GroupOpenTime + s.joinTime(c, service.Engine),
	}
	p.id = state.GroupID("g" + strconv.FormatUint(p.epoch, 36))
	for _, m := range c.members {
		p.members = append(p.members, m.id)
		s.hosts[m.id].plan = p
	}
	s.plans[p.id] = p
	out.Log(event.GroupJoining, slog.String("group", string(p.id)), slog.Uint64("epoch", p.epoch), slog.String("model", p.model.Name),
		slog.String("leader", string(p.members[0])), slog.Int("coldest", int(c.coldest)))
	s.advance(now, p, out)
}

// joinTime is how long the slowest member is expected to take.
func (s *System) joinTime(c choice, engine *state.EngineProfile) time.Duration {
	switch c.coldest {
	case warm:
		return rejoinTime
	case staged:
		return c.model.StagedLoadTime
	}
	// Loads beyond those at once take proportionally longer.
	crowd := max(len(s.hosts)/max(engine.MaxConcurrentLoads, 1), 1)
	if s.m.TrafficStarted {
		return c.model.FullLoadTime * 2
	}
	return time.Duration(float64(c.model.FullLoadTime) * loadsBeforeTraffic * float64(crowd))
}

// freeHosts returns the hosts of a service that may join a group, in order.
func (s *System) freeHosts(now time.Duration, service string) []freeHost {
	var free []freeHost
	for _, id := range state.SortedKeys(s.hosts) {
		h := s.hosts[id]
		if !s.isFree(now, h, service) || s.m.Evacuated[h.dc] {
			continue
		}
		f := freeHost{id: id, domain: h.domain, model: h.model, staged: h.row.StagedModels}
		if c := s.conversions[h.domain]; now < c.until {
			f.keptFor = c.model
		}
		free = append(free, f)
	}
	return free
}

// isFree reports whether a host may join a group: the leader of the last one
// that it was in cannot serve any more.
func (s *System) isFree(now time.Duration, h *host, service string) bool {
	if h.row == nil || h.row.Service != service || h.row.Draining || h.dead || h.plan != nil || now < h.waitUntil {
		return false
	}
	return h.last == nil || s.isOver(now, h.last)
}

// isOver reports whether a group cannot serve any more. Where that rests on an
// entry of the leader that may be behind, the leader is asked first.
func (s *System) isOver(now time.Duration, g *group) bool {
	phase, known := s.phase(now, g)
	if !known || phase == state.MemberOpen || phase == state.MemberClosing || s.mayOpenLate(g) {
		return false
	}
	confirmed, over := s.confirm(g)
	g.doubted = !confirmed
	return confirmed && over
}

// confirm reports whether what this node knows of the leader of a group is from
// its own time as the holder of the lease, and not from entries that the hosts
// could not write in an outage of the store; and whether the group is over by it.
func (s *System) confirm(g *group) (confirmed, over bool) {
	h := s.hosts[g.leader()]
	if h == nil || h.dead || g.over || s.wasNeverOpened(g) || h.row != nil && h.born != g.leaderBorn {
		return true, true
	}
	since := max(s.lease.takenAt, s.m.StoreRecoveredAt)
	entriesBack := s.m.StoreRecoveredAt < 0 || h.row != nil && h.row.RevisionSeenAt-s.m.StoreRecoveredAt > entriesTime
	if h.row != nil && h.row.RevisionSeenAt > since && entriesBack {
		return true, true
	}
	m := &h.reported
	serves := m.Group == g.id && m.Epoch == g.epoch && (m.Phase == state.MemberOpen || m.Phase == state.MemberClosing)
	return h.reportedAt-state.MaxReportLag > since, !serves
}

// count returns the groups of each model that serve or will soon, and the hosts
// that can be members. Data centres without new work count for nothing.
func (s *System) count(now time.Duration, service string) (live map[string]int, hosts int) {
	live = map[string]int{}
	for _, h := range s.hosts {
		if h.row != nil && h.row.Service == service && !h.row.Draining && !h.dead && !s.m.Evacuated[h.dc] {
			hosts++
		}
	}
	for _, g := range s.groups {
		leader := s.hosts[g.leader()]
		if g.service != service || g.retiring || leader == nil || leader.row == nil || s.plans[g.id] != nil || s.m.Evacuated[leader.dc] {
			continue
		}
		if phase, _ := s.phase(now, g); phase == state.MemberOpen {
			live[g.model]++
		}
	}
	for _, p := range s.plans {
		if p.service == service && !s.m.Evacuated[s.hosts[p.members[0]].dc] {
			live[p.model.Name]++
		}
	}
	return live, hosts
}
