package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// loadWindow is the time within which the weight store must be able to
	// deliver all loads in progress of a data centre.
	loadWindow = 60 * time.Second
	// observationPeriod is how long a new holder observes the loads in
	// progress before it admits more.
	observationPeriod = 2 * time.Second
)

// admitLoads returns the loading groups whose members may receive load orders.
// Loads in progress count against the delivery rate of the weight store. Groups
// with queued requests come first. A group that does not fit blocks the groups
// after it, so that small groups do not starve a large one.
func (s *System) admitLoads(now time.Duration, c *dataCentre, loading []*group) []*group {
	var admittedGroups, candidates []*group
	var loadingBytes int64
	c.pruneAdmitted(loading)
	for _, g := range loading {
		if s.hasDeadMember(g) {
			delete(c.term.admittedBytes, g.id)
			if s.isLoadInProgress(g) {
				loadingBytes += s.loadBytes(g)
			}
			continue
		}
		if _, ok := c.term.admittedBytes[g.id]; !ok && s.isLoadInProgress(g) {
			c.term.admittedBytes[g.id] = s.loadBytes(g)
		}
		if bytes, ok := c.term.admittedBytes[g.id]; ok {
			loadingBytes += bytes
			admittedGroups = append(admittedGroups, g)
		} else if s.isDrained(now, g) {
			candidates = append(candidates, g)
		}
	}
	tookOver := c.term.oldOrdersExpireAt > c.term.startedAt
	if len(candidates) == 0 || (tookOver && now < c.term.startedAt+observationPeriod) {
		return admittedGroups
	}
	budget := s.weightRates[c.id] * int64(loadWindow/time.Second)
	if budget > 0 {
		s.sortByDemand(candidates)
	}
	for _, g := range candidates {
		bytes := s.loadBytes(g)
		if budget > 0 && loadingBytes+bytes > budget && len(admittedGroups) > 0 && bytes > 0 {
			break
		}
		c.term.admittedBytes[g.id] = bytes
		loadingBytes += bytes
		admittedGroups = append(admittedGroups, g)
	}
	return admittedGroups
}

// pruneAdmitted removes the groups that are no longer loading from
// admittedBytes.
func (c *dataCentre) pruneAdmitted(loading []*group) {
	for id := range c.term.admittedBytes {
		if !slices.ContainsFunc(loading, func(g *group) bool { return g.id == id }) {
			delete(c.term.admittedBytes, id)
		}
	}
}

// hasDeadMember reports whether a group cannot load because a member is dead.
// If such a group stayed admitted, it would occupy a part of the delivery rate
// of the weight store indefinitely.
func (s *System) hasDeadMember(g *group) bool {
	sharedGroup := s.tables.Groups.Get(g.id)
	return sharedGroup != nil && slices.ContainsFunc(sharedGroup.DeadMembers, func(m state.HostID) bool {
		return slices.Contains(g.row.Members, m)
	})
}

// isLoadInProgress reports whether a member of a group is loading, or has
// loaded, what the group specifies.
func (s *System) isLoadInProgress(g *group) bool {
	return slices.ContainsFunc(g.row.Members, func(m state.HostID) bool { return g.isLoadStarted(s.host(m)) })
}

// loadBytes returns the number of bytes that the members of a group fetch from
// the weight store. Members that already hold the weights fetch nothing.
func (s *System) loadBytes(g *group) int64 {
	model := s.models[g.row.Model]
	if model == nil || g.row.Order != state.OrderLoad {
		return 0
	}
	var bytes int64
	for _, m := range g.row.Members {
		answer := &s.host(m).answer
		if answer.Phase != state.PhaseReady || answer.Model != g.row.Model || answer.Version != g.row.Version {
			bytes += model.WeightBytes
		}
	}
	return bytes
}

// isDrained reports whether no request is running at a group, or the drain
// timeout has passed.
func (s *System) isDrained(now time.Duration, g *group) bool {
	if now >= g.drainUntil {
		return true
	}
	target := s.tables.Targets.Get(state.TargetID(g.id))
	if target == nil || target.InFlight+target.PeerInFlight > 0 || target.ReportAt <= g.rowAppliedAt {
		return false
	}
	return target.Report.Running+target.Report.Waiting == 0
}

// sortByDemand sorts groups by the number of requests for their model that are
// queued on this node, highest first.
func (s *System) sortByDemand(groups []*group) {
	if len(groups) < 2 {
		return
	}
	queued := map[string]int{}
	for _, r := range s.tables.Requests.All() {
		if r.Phase == state.RequestQueued && r.Arrival.Kind == state.KindModel {
			queued[r.Arrival.Model]++
		}
	}
	slices.SortStableFunc(groups, func(a, b *group) int {
		return cmp.Compare(queued[b.row.Model], queued[a.row.Model])
	})
}
