package formation

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// changeSet holds what one input has changed: the plans and groups whose next step may be due,
// and the domains whose hosts may have become free.
type changeSet struct {
	plans   map[state.GroupID]*plan
	groups  map[state.GroupID]*group
	domains map[state.DomainID]bool
}

func newChangeSet() changeSet {
	return changeSet{plans: map[state.GroupID]*plan{}, groups: map[state.GroupID]*group{}, domains: map[state.DomainID]bool{}}
}

func (c *changeSet) clear() {
	clear(c.plans)
	clear(c.groups)
	clear(c.domains)
}

func (c *changeSet) isEmpty() bool { return len(c.domains) == 0 }

// add adds a host with its plan and its last group. The members of a group are of one domain.
func (c *changeSet) add(h *host) {
	c.domains[h.domain] = true
	if h.plan != nil {
		c.plans[h.plan.id] = h.plan
	}
	if h.lastGroup != nil {
		c.groups[h.lastGroup.id] = h.lastGroup
	}
}

// reconcileChanges is reconcile for what one input has changed. Whatever depends on the time, or
// on the whole fleet, waits for the next tick.
func (s *System) reconcileChanges(now time.Duration, out *state.Outbox) {
	for _, id := range state.SortedKeys(s.changes.plans) {
		if p := s.plans[id]; p != nil && p == s.changes.plans[id] {
			s.advancePlan(now, p, out)
		}
	}
	for _, id := range state.SortedKeys(s.changes.groups) {
		if g := s.groups[id]; g != nil && g == s.changes.groups[id] {
			s.maintainGroup(now, g, out)
		}
	}
	var hosts []*host
	for _, domain := range state.SortedKeys(s.changes.domains) {
		hosts = append(hosts, s.hosts.inDomain(domain)...)
	}
	for i := range s.managed.PlatformConfig.Services {
		service := &s.managed.PlatformConfig.Services[i]
		if service.Engine != nil && s.isHostCountStable(now, s.hostCount) {
			s.formGroups(now, service, s.freeHosts(now, service.Name, hosts), out)
		}
	}
	for _, id := range state.SortedKeys(s.changes.groups) {
		s.probeUnconfirmed(now, s.changes.groups[id], out)
	}
}
