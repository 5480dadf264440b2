package formation

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// conversionCloseTimeout is how long a group that gives its hosts to groups of another
	// model may finish its work. The others serve nobody meanwhile.
	conversionCloseTimeout = 1200 * time.Millisecond
	// reservationTime is for how long the hosts of a domain are kept for the model that
	// gets them: closing, and a margin for orders that are sent again.
	reservationTime = 3 * time.Second
	// maxConvertedGroups is the number of groups that may end at once.
	maxConvertedGroups = 2
	// conversionGainFactor is the factor by which the work for the busiest groups must
	// fall. The hosts serve nobody for about 3 s.
	conversionGainFactor = 0.87
	// demandMeasureTime is the time of traffic after which the measured demand replaces
	// the declared shares.
	demandMeasureTime = 3 * time.Second
	// leaseSettleTime is how long a new holder of the lease leaves groups as they
	// are: it does not know yet which hosts have stopped answering.
	leaseSettleTime = 2 * time.Second
	// demandSmoothingTime is the time over which measured needs are averaged, so that
	// groups do not move on each short change of the traffic.
	demandSmoothingTime = 4 * time.Second
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
	groups      map[string][]*group
	convertible map[string]map[*group]bool
}

// exchange is a change of groups of one model into groups of another.
type exchange struct {
	domain       state.DomainID
	from, to     string
	endedGroups  []*group
	gainedGroups int
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
func chooseExchange(domains []domainState, models []state.ModelProfile, liveGroups map[string]int, demand map[string]float64) (exchange, bool) {
	pressureBefore := maxPressure(models, liveGroups, demand)
	best := exchange{pressure: pressureBefore * conversionGainFactor}
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
				countsAfter := map[string]int{}
				for _, m := range models {
					countsAfter[m.Name] = liveGroups[m.Name]
				}
				countsAfter[e.from] -= len(e.endedGroups)
				countsAfter[e.to] += e.gainedGroups
				if e.pressure = maxPressure(models, countsAfter, demand); e.pressure < best.pressure {
					best, found = e, true
				}
			}
		}
	}
	return best, found
}

// exchangeIn returns the exchange that ends the fewest groups of a domain.
func exchangeIn(d domainState, from, to *state.ModelProfile) (exchange, bool) {
	var convertible []*group
	for _, g := range d.groups[from.Name] {
		if d.convertible[to.Name][g] {
			convertible = append(convertible, g)
		}
	}
	for count := 1; count <= min(maxConvertedGroups, len(convertible)); count++ {
		if gained := (d.free[to.Name] + count*from.GroupSize) / to.GroupSize; gained > 0 {
			return exchange{domain: d.domain, from: from.Name, to: to.Name, endedGroups: convertible[:count], gainedGroups: gained}, true
		}
	}
	return exchange{}, false
}

func maxPressure(models []state.ModelProfile, liveGroups map[string]int, demand map[string]float64) float64 {
	highest := 0.0
	for _, m := range models {
		highest = max(highest, pressure(liveGroups, demand, m.Name))
	}
	return highest
}

// convert ends groups whose hosts serve better in groups of another model. One
// domain changes at a time.
func (s *System) convert(now time.Duration, service *state.ServiceProfile, free []freeHost, liveGroups map[string]int, demand map[string]float64, out *state.Outbox) {
	if s.trafficSince == 0 || now-s.trafficSince < demandMeasureTime || now-s.lease.acquiredAt < leaseSettleTime {
		return
	}
	for _, c := range s.conversions {
		if now < c.until {
			return
		}
	}
	e, ok := chooseExchange(s.domainStates(now, service, free), service.Engine.Models, liveGroups, demand)
	if !ok {
		return
	}
	s.conversions[e.domain] = conversion{model: e.to, until: now + reservationTime}
	for _, g := range e.endedGroups {
		g.converting = true
		s.startRetiring(now, g, "its hosts go to model "+e.to, false, out,
			slog.Float64("pressure", maxPressure(service.Engine.Models, liveGroups, demand)), slog.Float64("pressure_after", e.pressure))
	}
}

func (s *System) domainStates(now time.Duration, service *state.ServiceProfile, free []freeHost) []domainState {
	byDomain := map[state.DomainID]*domainState{}
	stateOf := func(domain state.DomainID) *domainState {
		if byDomain[domain] == nil {
			byDomain[domain] = &domainState{domain: domain, free: map[string]int{}, groups: map[string][]*group{}, convertible: map[string]map[*group]bool{}}
		}
		return byDomain[domain]
	}
	for i := range free {
		for _, m := range service.Engine.Models {
			if free[i].warmth(m.Name) < cold {
				stateOf(free[i].domain).free[m.Name]++
			}
		}
	}
	for _, id := range state.SortedKeys(s.groups) {
		g := s.groups[id]
		if g.service != service.Name || g.retiring || s.plans[id] != nil || len(g.members) != s.groupSize(g) {
			continue
		}
		leader := s.hosts[g.leader()]
		if phase, known := s.leaderPhase(now, g); !known || phase != state.MemberOpen || leader == nil || s.managed.Evacuated[leader.dataCentre] {
			continue
		}
		d := stateOf(leader.domain)
		d.groups[g.model] = append(d.groups[g.model], g)
		for _, m := range service.Engine.Models {
			if s.canAllServe(g, m.Name) {
				if d.convertible[m.Name] == nil {
					d.convertible[m.Name] = map[*group]bool{}
				}
				d.convertible[m.Name][g] = true
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
		if f := (freeHost{lastModel: h.model, staged: h.row.StagedModels}); f.warmth(model) == cold {
			return false
		}
	}
	return true
}

// modelDemand returns the work for each model in groups: by the declared shares at the
// start, and then as all nodes measure it.
func (s *System) modelDemand(now time.Duration, models []state.ModelProfile) map[string]float64 {
	demand := map[string]float64{}
	measuredTotal := 0.0
	for _, m := range models {
		work := s.managed.Demand[m.Name]
		for _, peer := range s.managed.PeerDemand {
			work += peer[m.Name]
		}
		demand[m.Name] = work
		measuredTotal += work
	}
	if s.trafficSince > 0 && now-s.trafficSince > demandMeasureTime && measuredTotal > 1 {
		s.smoothDemand(now, demand)
		return s.smoothedDemand
	}
	for _, m := range models {
		demand[m.Name] = m.InitialShare / float64(max(m.GroupSize, 1))
	}
	return demand
}

func (s *System) smoothDemand(now time.Duration, demand map[string]float64) {
	if s.smoothedDemand == nil {
		s.smoothedDemand, s.smoothedAt = demand, now
		return
	}
	weight := min(float64(now-s.smoothedAt)/float64(demandSmoothingTime), 1)
	s.smoothedAt = now
	for model, work := range demand {
		s.smoothedDemand[model] += (work - s.smoothedDemand[model]) * weight
	}
}
