package formation

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// convertTime is how long a group that gives its hosts to groups of another
	// model may finish its work. The others serve nobody meanwhile.
	convertTime = 1200 * time.Millisecond
	// keepTime is for how long the hosts of a domain are kept for the model that
	// gets them: closing, and a margin for orders that are sent again.
	keepTime = 3 * time.Second
	// maxConverted is the number of groups that may end at once.
	maxConverted = 2
	// convertGain is the factor by which the work for the busiest groups must
	// fall. The hosts serve nobody for about 3 s.
	convertGain = 0.87
	// needsAfter is the time of traffic after which the measured demand replaces
	// the declared shares.
	needsAfter = 3 * time.Second
	// settleAfterLease is how long a new holder of the lease leaves groups as they
	// are: it does not know yet which hosts have stopped answering.
	settleAfterLease = 2 * time.Second
	// smoothTime is the time over which measured needs are averaged, so that
	// groups do not move on each short change of the traffic.
	smoothTime = 4 * time.Second
)

// conversion is a domain whose hosts are collected for a model.
type conversion struct {
	model string
	until time.Duration
}

// domainState is what a domain could give to groups of other models.
type domainState struct {
	domain state.DomainID
	// free counts the free hosts that can serve a model without a load.
	free map[string]int
	// groups holds the serving groups of each model; able counts for each model
	// those of them whose members can all serve it without a load.
	groups map[string][]*group
	able   map[string]map[*group]bool
}

// exchange is a change of groups of one model into groups of another.
type exchange struct {
	domain   state.DomainID
	from, to string
	ended    []*group
	gained   int
	// pressure is the work for the busiest groups afterwards.
	pressure float64
}

// chooseExchange returns the exchange after which the busiest groups have the
// least work, or false when none helps enough.
//
// Load pattern: members of large groups are lost one after the other, and three
// survivors in a domain cannot make up a large group. A small group beside them
// has what they lack. When the small model lacks groups instead, a large group
// makes up two small ones.
func chooseExchange(domains []domainState, models []state.ModelProfile, live map[string]int, needs map[string]float64) (exchange, bool) {
	before := busiest(models, live, needs)
	best := exchange{pressure: before * convertGain}
	found := false
	for _, d := range domains {
		for i := range models {
			for j := range models {
				if i == j {
					continue
				}
				e, ok := exchangeIn(d, &models[i], &models[j])
				if !ok {
					continue
				}
				after := map[string]int{}
				for _, m := range models {
					after[m.Name] = live[m.Name]
				}
				after[e.from] -= len(e.ended)
				after[e.to] += e.gained
				if e.pressure = busiest(models, after, needs); e.pressure < best.pressure {
					best, found = e, true
				}
			}
		}
	}
	return best, found
}

// exchangeIn returns the exchange that ends the fewest groups of a domain.
func exchangeIn(d domainState, from, to *state.ModelProfile) (exchange, bool) {
	var able []*group
	for _, g := range d.groups[from.Name] {
		if d.able[to.Name][g] {
			able = append(able, g)
		}
	}
	for n := 1; n <= min(maxConverted, len(able)); n++ {
		if gained := (d.free[to.Name] + n*from.GroupSize) / to.GroupSize; gained > 0 {
			return exchange{domain: d.domain, from: from.Name, to: to.Name, ended: able[:n], gained: gained}, true
		}
	}
	return exchange{}, false
}

func busiest(models []state.ModelProfile, live map[string]int, needs map[string]float64) float64 {
	most := 0.0
	for _, m := range models {
		most = max(most, pressure(live, needs, m.Name))
	}
	return most
}

// convert ends groups whose hosts serve better in groups of another model. One
// domain changes at a time.
func (s *System) convert(now time.Duration, service *state.ServiceProfile, free []freeHost, live map[string]int, needs map[string]float64, out *state.Outbox) {
	if s.trafficAt == 0 || now-s.trafficAt < needsAfter || now-s.lease.takenAt < settleAfterLease {
		return
	}
	for _, c := range s.conversions {
		if now < c.until {
			return
		}
	}
	e, ok := chooseExchange(s.domainStates(now, service, free), service.Engine.Models, live, needs)
	if !ok {
		return
	}
	s.conversions[e.domain] = conversion{model: e.to, until: now + keepTime}
	for _, g := range e.ended {
		g.converting = true
		s.startRetiring(now, g, "its hosts go to model "+e.to, false, out,
			slog.Float64("pressure", busiest(service.Engine.Models, live, needs)), slog.Float64("pressure_after", e.pressure))
	}
}

func (s *System) domainStates(now time.Duration, service *state.ServiceProfile, free []freeHost) []domainState {
	byDomain := map[state.DomainID]*domainState{}
	of := func(domain state.DomainID) *domainState {
		if byDomain[domain] == nil {
			byDomain[domain] = &domainState{domain: domain, free: map[string]int{}, groups: map[string][]*group{}, able: map[string]map[*group]bool{}}
		}
		return byDomain[domain]
	}
	for i := range free {
		for _, m := range service.Engine.Models {
			if free[i].warmth(m.Name) < cold {
				of(free[i].domain).free[m.Name]++
			}
		}
	}
	for _, id := range state.SortedKeys(s.groups) {
		g := s.groups[id]
		if g.service != service.Name || g.retiring || s.plans[id] != nil || len(g.members) != s.size(g) {
			continue
		}
		leader := s.hosts[g.leader()]
		if phase, known := s.phase(now, g); !known || phase != state.MemberOpen || leader == nil || s.m.Evacuated[leader.dc] {
			continue
		}
		d := of(leader.domain)
		d.groups[g.model] = append(d.groups[g.model], g)
		for _, m := range service.Engine.Models {
			if s.canAllServe(g, m.Name) {
				if d.able[m.Name] == nil {
					d.able[m.Name] = map[*group]bool{}
				}
				d.able[m.Name][g] = true
			}
		}
	}
	var out []domainState
	for _, domain := range state.SortedKeys(byDomain) {
		out = append(out, *byDomain[domain])
	}
	return out
}

// canAllServe reports whether all members of a group live and can serve a model
// without a load.
func (s *System) canAllServe(g *group, model string) bool {
	for _, id := range g.members {
		h := s.hosts[id]
		if h == nil || h.row == nil || h.dead || h.row.Draining {
			return false
		}
		if f := (freeHost{model: h.model, staged: h.row.StagedModels}); f.warmth(model) == cold {
			return false
		}
	}
	return true
}

// needs returns the work for each model in groups: by the declared shares at the
// start, and then as all nodes measure it.
func (s *System) needs(now time.Duration, models []state.ModelProfile) map[string]float64 {
	needs := map[string]float64{}
	measured := 0.0
	for _, m := range models {
		work := s.m.Demand[m.Name]
		for _, peer := range s.m.PeerDemand {
			work += peer[m.Name]
		}
		needs[m.Name] = work
		measured += work
	}
	if s.trafficAt > 0 && now-s.trafficAt > needsAfter && measured > 1 {
		s.smoothNeeds(now, needs)
		return s.smooth
	}
	for _, m := range models {
		needs[m.Name] = m.InitialShare / float64(max(m.GroupSize, 1))
	}
	return needs
}

func (s *System) smoothNeeds(now time.Duration, needs map[string]float64) {
	if s.smooth == nil {
		s.smooth, s.smoothAt = needs, now
		return
	}
	part := min(float64(now-s.smoothAt)/float64(smoothTime), 1)
	s.smoothAt = now
	for model, need := range needs {
		s.smooth[model] += (need - s.smooth[model]) * part
	}
}
