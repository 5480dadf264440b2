package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// loadWindow is the time in which the weight store must be able to deliver
	// all loads in progress of a data centre.
	loadWindow = 60 * time.Second
	// observeFor is for how long a new holder looks at loads in progress before
	// it admits more.
	observeFor = 2 * time.Second
)

// admit returns the loading groups whose members may be ordered to load. Loads
// in progress count against what the weight store delivers; groups for which
// requests wait come first. A group that does not fit blocks those after it, so
// that small groups do not starve a large one.
func (s *System) admit(now time.Duration, c *centre, loading []*group) []*group {
	var admitted, candidates []*group
	var total int64
	c.keepAdmitted(loading)
	for _, g := range loading {
		if s.blocked(g) {
			delete(c.tenure.admitted, g.id)
			if s.inProgress(g) {
				total += s.loadBytes(g)
			}
			continue
		}
		if _, ok := c.tenure.admitted[g.id]; !ok && s.inProgress(g) {
			c.tenure.admitted[g.id] = s.loadBytes(g)
		}
		if bytes, ok := c.tenure.admitted[g.id]; ok {
			total += bytes
			admitted = append(admitted, g)
		} else if s.drained(now, g) {
			candidates = append(candidates, g)
		}
	}
	succeeds := c.tenure.ordersFrom > c.tenure.since
	if len(candidates) == 0 || (succeeds && now < c.tenure.since+observeFor) {
		return admitted
	}
	budget := s.rates[c.dc] * int64(loadWindow/time.Second)
	if budget > 0 {
		s.sortByDemand(candidates)
	}
	for _, g := range candidates {
		bytes := s.loadBytes(g)
		if budget > 0 && total+bytes > budget && len(admitted) > 0 && bytes > 0 {
			break
		}
		c.tenure.admitted[g.id] = bytes
		total += bytes
		admitted = append(admitted, g)
	}
	return admitted
}

// keepAdmitted forgets the groups that no longer load.
func (c *centre) keepAdmitted(loading []*group) {
	for id := range c.tenure.admitted {
		if !slices.ContainsFunc(loading, func(g *group) bool { return g.id == id }) {
			delete(c.tenure.admitted, id)
		}
	}
}

// blocked reports whether a group cannot load because a member is dead. It
// would hold its part of the weight store's rate without an end.
func (s *System) blocked(g *group) bool {
	shared := s.t.Groups.Get(g.id)
	return shared != nil && slices.ContainsFunc(shared.DeadMembers, func(m state.HostID) bool {
		return slices.Contains(g.row.Members, m)
	})
}

// inProgress reports whether a member of a group already does what the group
// asks for.
func (s *System) inProgress(g *group) bool {
	return slices.ContainsFunc(g.row.Members, func(m state.HostID) bool { return g.loads(s.host(m)) })
}

// loadBytes returns what the members of a group have to fetch from the weight
// store. Members that hold the weights already fetch nothing.
func (s *System) loadBytes(g *group) int64 {
	model := s.models[g.row.Model]
	if model == nil || g.row.Order != state.OrderLoad {
		return 0
	}
	var bytes int64
	for _, m := range g.row.Members {
		a := &s.host(m).answer
		if a.Phase != state.PhaseReady || a.Model != g.row.Model || a.Version != g.row.Version {
			bytes += model.WeightBytes
		}
	}
	return bytes
}

// drained reports whether no request runs at a group any more, or the time for
// them has passed.
func (s *System) drained(now time.Duration, g *group) bool {
	if now >= g.drainUntil {
		return true
	}
	t := s.t.Targets.Get(state.TargetID(g.id))
	if t == nil || t.InFlight+t.PeerInFlight > 0 || t.ReportAt <= g.touchedAt {
		return false
	}
	return t.Report.Running+t.Report.Waiting == 0
}

// sortByDemand puts groups first for whose model this node has the most queued
// requests.
func (s *System) sortByDemand(groups []*group) {
	if len(groups) < 2 {
		return
	}
	queued := map[string]int{}
	for _, r := range s.t.Requests.All() {
		if r.Phase == state.RequestQueued && r.Arrival.Kind == state.KindModel {
			queued[r.Arrival.Model]++
		}
	}
	slices.SortStableFunc(groups, func(a, b *group) int {
		return cmp.Compare(queued[b.row.Model], queued[a.row.Model])
	})
}
