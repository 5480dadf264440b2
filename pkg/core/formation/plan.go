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

// largestModelShare is the fraction of its proportional number of groups that
// the largest model gets. The remaining hosts form groups of smaller models,
// whose members can complete a large group that loses a member.
const largestModelShare = 0.75

// warmth ranks how soon a host can serve a model, soonest first.
type warmth int

const (
	// A warm host served the model last. A staged host holds its weights.
	warm warmth = iota
	staged
	cold
)

// freeHost is a host that may join a group.
type freeHost struct {
	id     state.HostID
	domain state.DomainID
	// lastModel is the model that the host served last.
	lastModel string
	staged    []string
	// reservedFor is the model that the hosts of the domain are reserved for,
	// empty for none.
	reservedFor string
}

func (f *freeHost) warmth(model string) warmth {
	switch {
	case f.lastModel == model:
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

// chooseGroup returns the next group to be formed, or false if there is none.
// Models are tried in order of pressure, highest first. A group stays inside a
// fabric domain, because it runs several times slower across domains. Before
// traffic starts any host may load the weights, and no model gets more than its
// desired number of groups. After that, hosts that would have to load are left
// out and all others are used.
//
// Load pattern: a group loses a member every few seconds, so the survivors and
// the free hosts of the domain must form a group again at once.
func chooseGroup(free []freeHost, models []state.ModelProfile, liveGroups, desired map[string]int, demand map[string]float64, trafficStarted bool) (choice, bool) {
	ranked := slices.Clone(models)
	slices.SortStableFunc(ranked, func(a, b state.ModelProfile) int {
		if !trafficStarted {
			// Small groups must not fragment the domains first.
			return cmp.Compare(b.GroupSize, a.GroupSize)
		}
		return cmp.Or(cmp.Compare(pressure(liveGroups, demand, b.Name), pressure(liveGroups, demand, a.Name)), cmp.Compare(b.GroupSize, a.GroupSize))
	})
	for i := range ranked {
		m := ranked[i]
		if !trafficStarted && liveGroups[m.Name] >= desired[m.Name] {
			continue
		}
		if c, ok := chooseMembers(availableFor(free, m.Name), &m, models, !trafficStarted); ok {
			return c, true
		}
	}
	return choice{}, false
}

// pressure returns the demand per group of a model.
func pressure(liveGroups map[string]int, demand map[string]float64, model string) float64 {
	return demand[model] / max(float64(liveGroups[model]), 0.5)
}

// availableFor returns the hosts that are not reserved for another model.
func availableFor(free []freeHost, model string) []freeHost {
	return slices.DeleteFunc(slices.Clone(free), func(f freeHost) bool { return f.reservedFor != "" && f.reservedFor != model })
}

// chooseMembers returns the warmest hosts of one domain. The largest model
// takes the domain with the most free hosts, so that its groups are spread and
// smaller groups beside each can provide hosts. Any other model takes the
// domain with the fewest, which leaves room for large groups.
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

// desiredGroups returns the number of groups of each model at the start. The
// numbers are proportional to the demand, reduced by largestModelShare for
// models larger than the smallest one. The smallest model gets the remaining
// hosts.
func desiredGroups(models []state.ModelProfile, demand map[string]float64, hostCount int) map[string]int {
	hostDemand := 0.0
	for _, m := range models {
		hostDemand += demand[m.Name] * float64(m.GroupSize)
	}
	desired := map[string]int{}
	if hostDemand <= 0 {
		return desired
	}
	ranked := slices.Clone(models)
	slices.SortStableFunc(ranked, func(a, b state.ModelProfile) int { return cmp.Compare(b.GroupSize, a.GroupSize) })
	remaining := hostCount
	for i, m := range ranked {
		n := float64(hostCount) * demand[m.Name] / hostDemand
		switch {
		case i == len(ranked)-1:
			n = float64(remaining / max(m.GroupSize, 1))
		case m.GroupSize > ranked[len(ranked)-1].GroupSize:
			n *= largestModelShare
		}
		desired[m.Name] = max(int(n+0.5), 1)
		remaining -= desired[m.Name] * m.GroupSize
	}
	return desired
}

// formGroups forms groups from free hosts and returns the remaining ones.
func (s *System) formGroups(now time.Duration, service *state.ServiceProfile, free []freeHost, out *state.Outbox) []freeHost {
	models := service.Engine.Models
	if !slices.ContainsFunc(models, func(m state.ModelProfile) bool { return m.GroupSize <= len(free) }) {
		return free
	}
	liveGroups, demand := s.countGroups(now, service.Name), s.modelDemand(now, models)
	desired := desiredGroups(models, demand, s.hostCount)
	for {
		c, ok := chooseGroup(free, models, liveGroups, desired, demand, s.managed.TrafficStarted)
		if !ok {
			return free
		}
		s.startPlan(now, service, c, out)
		liveGroups[c.model.Name]++
		free = slices.DeleteFunc(free, func(f freeHost) bool {
			return slices.ContainsFunc(c.members, func(m freeHost) bool { return m.id == f.id })
		})
	}
}

// reassignHosts lets the hosts of groups serve another model where they are more useful, and
// logs the hosts that stay idle.
func (s *System) reassignHosts(now time.Duration, service *state.ServiceProfile, free []freeHost, out *state.Outbox) {
	models := service.Engine.Models
	liveGroups, demand := s.countGroups(now, service.Name), s.modelDemand(now, models)
	s.convert(now, service, free, liveGroups, demand, out)
	s.logIdleHosts(now, models, free, liveGroups, demand, out)
}

// hostCountStableTime is how long the number of hosts must be unchanged before
// the first groups are formed. Hosts register within their first heartbeat of
// 1.2 s, and groups formed of the first hosts leave no room for large groups.
const hostCountStableTime = 800 * time.Millisecond

// isHostCountStable reports whether all hosts are assumed to have registered.
// It is always true once traffic has started.
func (s *System) isHostCountStable(now time.Duration, hostCount int) bool {
	if hostCount != s.hostCount {
		s.hostCount, s.hostCountSince = hostCount, now
	}
	return s.managed.TrafficStarted || now-s.hostCountSince >= hostCountStableTime
}

// idleLogPeriod is the interval between log lines on idle hosts.
const idleLogPeriod = 2 * time.Second

// logIdleHosts logs the number of groups, the demand and the free hosts.
func (s *System) logIdleHosts(now time.Duration, models []state.ModelProfile, free []freeHost, liveGroups map[string]int, demand map[string]float64, out *state.Outbox) {
	if now < s.nextIdleLogAt || len(free) == 0 {
		return
	}
	s.nextIdleLogAt = now + idleLogPeriod
	domains := map[string][]string{}
	for _, f := range free {
		domains[string(f.domain)] = append(domains[string(f.domain)], f.lastModel+"|"+strings.Join(f.staged, "+"))
	}
	attrs := []slog.Attr{slog.Int("free", len(free)), slog.Any("domains", domains)}
	for _, m := range models {
		attrs = append(attrs, slog.Group(m.Name, slog.Int("groups", liveGroups[m.Name]), slog.Float64("need", demand[m.Name])))
	}
	out.Log(event.GroupUnplaceable, attrs...)
}

// startPlan starts to form a group.
func (s *System) startPlan(now time.Duration, service *state.ServiceProfile, c choice, out *state.Outbox) {
	p := &plan{
		epoch: s.newEpoch(), service: service.Name, model: c.model, joinAccepted: map[state.HostID]bool{}, startedAt: now,
		expectedTime: service.Engine.GroupOpenTime + s.expectedJoinTime(c, service.Engine),
	}
	p.id = state.GroupID("g" + strconv.FormatUint(p.epoch, 36))
	for _, m := range c.members {
		p.members = append(p.members, m.id)
		s.hosts.get(m.id).plan = p
	}
	s.plans[p.id] = p
	out.Log(event.GroupJoining, slog.String("group", string(p.id)), slog.Uint64("epoch", p.epoch), slog.String("model", p.model.Name),
		slog.String("leader", string(p.members[0])), slog.Int("coldest", int(c.coldest)))
	s.advancePlan(now, p, out)
}

// expectedJoinTime returns how long the slowest member is expected to take to
// join.
func (s *System) expectedJoinTime(c choice, engine *state.EngineProfile) time.Duration {
	switch c.coldest {
	case warm:
		return rejoinTime
	case staged:
		return c.model.StagedLoadTime
	}
	// Loads beyond the maximum of concurrent loads take proportionally longer.
	loadBatches := max(s.hosts.len()/max(engine.MaxConcurrentLoads, 1), 1)
	if s.managed.TrafficStarted {
		return c.model.FullLoadTime * 2
	}
	return time.Duration(float64(c.model.FullLoadTime) * preTrafficLoadFactor * float64(loadBatches))
}

// freeHosts returns those of some hosts that are of a service and may join a group.
func (s *System) freeHosts(now time.Duration, service string, hosts []*host) []freeHost {
	var free []freeHost
	for _, h := range hosts {
		if !s.isFree(now, h, service) || s.managed.Evacuated[h.dataCentre] {
			continue
		}
		f := freeHost{id: h.id, domain: h.domain, lastModel: h.model, staged: h.row.StagedModels}
		if c := s.conversions[h.domain]; now < c.until {
			f.reservedFor = c.model
		}
		free = append(free, f)
	}
	return free
}

// isFree reports whether a host may join a group: the leader of its last group
// can no longer serve.
func (s *System) isFree(now time.Duration, h *host, service string) bool {
	if h.row == nil || h.row.Service != service || h.row.Draining || h.dead || h.plan != nil || now < h.backoffUntil {
		return false
	}
	return h.lastGroup == nil || s.isEnded(now, h.lastGroup)
}

// isEnded reports whether a group can no longer serve. If that follows from a
// leader entry that may be stale, the leader is probed first.
func (s *System) isEnded(now time.Duration, g *group) bool {
	phase, known := s.leaderPhase(now, g)
	if !known || phase == state.MemberOpen || phase == state.MemberClosing || s.mayOpenLate(g) {
		return false
	}
	confirmed, ended := s.confirmEnded(g)
	g.needsConfirmation = !confirmed
	return confirmed && ended
}

// confirmEnded reports whether the state of a leader was learned during the
// current lease of this node, and not from entries that the hosts could not
// update during a store outage. It also reports whether the group has ended
// according to that state.
func (s *System) confirmEnded(g *group) (confirmed, ended bool) {
	leader := s.hosts.get(g.leader())
	if leader == nil || leader.dead || g.leaderGone || s.wasNeverOpened(g) || leader.row != nil && leader.startID != g.leaderStartID {
		return true, true
	}
	returnedAt := s.managed.StoreReturnedAt()
	since := max(s.lease.acquiredAt, returnedAt)
	entriesCurrent := returnedAt < 0 || leader.row != nil && leader.row.RevisionSeenAt-returnedAt > entryCatchUpTime
	if leader.row != nil && leader.row.RevisionSeenAt > since && entriesCurrent {
		return true, true
	}
	membership := &leader.reportedMembership
	serves := membership.Group == g.id && membership.Epoch == g.epoch && (membership.Phase == state.MemberOpen || membership.Phase == state.MemberClosing)
	return leader.reportedAt-state.MaxReportLag > since, !serves
}

// countHosts returns the number of hosts that can be members of groups. Those of evacuated
// data centres are not counted.
func (s *System) countHosts(service string) (count int) {
	for _, h := range s.hosts.all() {
		if h.row != nil && h.row.Service == service && !h.row.Draining && !h.dead && !s.managed.Evacuated[h.dataCentre] {
			count++
		}
	}
	return count
}

// countGroups returns the number of groups of each model that serve or are
// being formed. Those of evacuated data centres are not counted.
func (s *System) countGroups(now time.Duration, service string) map[string]int {
	liveGroups := map[string]int{}
	for _, g := range s.groups {
		leader := s.hosts.get(g.leader())
		if g.service != service || g.retiring || leader == nil || leader.row == nil || s.plans[g.id] != nil || s.managed.Evacuated[leader.dataCentre] {
			continue
		}
		if phase, _ := s.leaderPhase(now, g); phase == state.MemberOpen {
			liveGroups[g.model]++
		}
	}
	for _, p := range s.plans {
		if p.service == service && !s.managed.Evacuated[s.hosts.get(p.members[0]).dataCentre] {
			liveGroups[p.model.Name]++
		}
	}
	return liveGroups
}
