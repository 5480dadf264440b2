package formation

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// conversionCloseTimeout is how long a group may finish its work when its
	// hosts go to groups of another model, if other groups can take over what is
	// left. The free hosts of the new groups are idle meanwhile.
	conversionCloseTimeout = 1200 * time.Millisecond
	// reservationTime is how long the free hosts of a domain are reserved for the
	// model of a conversion: the close time and a margin for repeated orders.
	reservationTime = 3 * time.Second
	// conversionGainFactor bounds the highest pressure after a conversion,
	// relative to the highest pressure before. The hosts serve no requests for
	// about 3 s.
	conversionGainFactor = 0.87
	// demandMeasureTime is how long after the start of traffic the measured demand
	// replaces the declared shares.
	demandMeasureTime = 3 * time.Second
	// leaseSettleTime is how long a new lease holder converts no groups, because
	// it has not yet detected which hosts have stopped answering.
	leaseSettleTime = 2 * time.Second
	// demandSmoothingTime is the period over which measured demand is averaged, so
	// that short traffic changes do not convert groups.
	demandSmoothingTime = 4 * time.Second
)

// conversion is a domain whose hosts are reserved for a model.
type conversion struct {
	model string
	until time.Duration
}

// domainState describes the hosts and groups of a domain that groups of other
// models could use.
type domainState struct {
	domain state.DomainID
	// free counts, per model, the free hosts that can serve it without a load.
	free map[string]int
	// groups holds the serving groups by model. convertible holds, per model, the
	// groups whose members can all serve it without a load.
	groups      map[string][]*group
	convertible map[string]map[*group]bool
}

// exchange replaces groups of one model by groups of another.
type exchange struct {
	domain       state.DomainID
	from, to     string
	endedGroups  []*group
	gainedGroups int
	// pressure is the highest pressure of all models after the exchange.
	pressure float64
}

// chooseExchange returns the exchange that results in the lowest maximum
// pressure, or false if none reduces it enough.
//
// Load pattern: large groups lose members one after another, and three
// survivors in a domain cannot form a large group. A small group in the same
// domain can provide the missing hosts. If the small model lacks groups
// instead, a large group provides the hosts of two small ones.
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

// maxEndedGroups returns the maximum number of groups that one exchange ends: as many as
// hold the hosts of one group of the other model.
func maxEndedGroups(from, to *state.ModelProfile) int {
	return (to.GroupSize + from.GroupSize - 1) / max(from.GroupSize, 1)
}

// exchangeIn returns the exchange that ends the fewest groups of a domain.
//
// Load pattern: a model of 16 hosts loses groups beside one of 4 hosts, whose requests
// are all on time. Four small groups of a domain provide the hosts of a large one.
func exchangeIn(d domainState, from, to *state.ModelProfile) (exchange, bool) {
	var convertible []*group
	for _, g := range d.groups[from.Name] {
		if d.convertible[to.Name][g] {
			convertible = append(convertible, g)
		}
	}
	for count := 1; count <= min(maxEndedGroups(from, to), len(convertible)); count++ {
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

// convert ends groups whose hosts are more useful in groups of another model.
// Only one domain changes at a time.
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
		s.startRetiring(now, g, "hosts reassigned to model "+e.to, false, out,
			slog.Float64("pressure", maxPressure(service.Engine.Models, liveGroups, demand)), slog.Float64("pressure_after", e.pressure))
	}
}

// hasRoomElsewhere reports whether the other groups of its model can take over the requests of a
// group that is given to another model. If they are full, its streams would be lost, although
// nothing has failed.
func (s *System) hasRoomElsewhere(now time.Duration, g *group) bool {
	engine := s.engineOf(g.service)
	if engine == nil {
		return false
	}
	requests, free := s.countRequests(), 0
	for _, id := range state.SortedKeys(s.groups) {
		other := s.groups[id]
		leader := s.hosts.get(other.leader())
		if other == g || other.service != g.service || other.model != g.model || other.retiring || leader == nil || leader.row == nil {
			continue
		}
		if phase, known := s.leaderPhase(now, other); known && phase == state.MemberOpen {
			free += max(engine.Slots-requests[leader.id], 0)
		}
	}
	return requests[g.leader()] <= free
}

// countRequests returns the requests of all nodes at each target.
func (s *System) countRequests() map[state.HostID]int {
	requests := map[state.HostID]int{}
	for id, load := range s.managed.Loads {
		requests[id] += load.Running + load.Waiting
	}
	for _, loads := range s.managed.PeerLoads {
		for _, load := range loads {
			requests[load.Target] += load.Running + load.Waiting
		}
	}
	return requests
}

// prolongReservation reserves the free hosts of a domain for the model of a conversion while a
// group that it ends still has work.
func (s *System) prolongReservation(now time.Duration, leader *host) {
	if leader == nil {
		return
	}
	if c, ok := s.conversions[leader.domain]; ok {
		c.until = max(c.until, now+reservationTime-conversionCloseTimeout)
		s.conversions[leader.domain] = c
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
		leader := s.hosts.get(g.leader())
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

// canAllServe reports whether all members of a group are alive and can serve a
// model without a load.
func (s *System) canAllServe(g *group, model string) bool {
	for _, id := range g.members {
		h := s.hosts.get(id)
		if h == nil || h.row == nil || h.dead || h.row.Draining {
			return false
		}
		if f := (freeHost{lastModel: h.model, staged: h.row.StagedModels}); f.warmth(model) == cold {
			return false
		}
	}
	return true
}

// modelDemand returns the demand for each model in fully used groups. It is
// derived from the declared shares at the start and from the measurements of
// all nodes later.
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
