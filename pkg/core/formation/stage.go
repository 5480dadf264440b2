package formation

import (
	"cmp"
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// loadWindow is the time over which loads are counted, and loadShare the part
	// of the platform's rate that is used: a new holder of the lease does not know
	// of the loads that the old one started.
	loadWindow = 5 * time.Second
	loadShare  = 0.7
)

// stageHosts brings models onto hosts ahead of need. A host joins a group of the
// model that it served last at once, so each host is to hold the weights of
// another one: it can then serve either without a load.
func (s *System) stageHosts(now time.Duration, service *state.ServiceProfile, out *state.Outbox) {
	engine := service.Engine
	live, _ := s.count(now, service.Name)
	needs := s.needs(now, engine.Models)
	running := 0
	for _, h := range s.hosts {
		if h.row != nil && (h.staging != "" || h.sent != nil && h.sent.Operation == state.HostStage) {
			running++
		}
	}
	free := s.freeHosts(now, service.Name)
	byDomain := map[state.DomainID][]freeHost{}
	for _, f := range free {
		byDomain[f.domain] = append(byDomain[f.domain], f)
	}
	var loads []load
	for _, domain := range state.SortedKeys(byDomain) {
		loads = append(loads, chooseStaging(byDomain[domain], engine.Models, live, needs)...)
	}
	// Loads at once are few, so what soonest makes up a group comes first.
	slices.SortStableFunc(loads, func(a, b load) int { return cmp.Compare(a.missing, b.missing) })
	for _, l := range loads {
		running += s.stage(now, engine, s.hosts[l.host], l.model, running, out)
	}
	for _, id := range state.SortedKeys(s.hosts) {
		h := s.hosts[id]
		if h.row == nil || h.row.Service != service.Name || h.last == nil || !h.last.open || h.last.retiring ||
			h.row.Membership.Group != h.last.id || h.plan != nil || h.row.Draining || h.dead || running >= memberLoads(engine) && s.m.TrafficStarted {
			continue
		}
		running += s.stage(now, engine, h, otherModel(h.model, engine.Models, live, needs), running, out)
	}
}

// memberLoads is the number of loads at once up to which members of groups stage
// another model. The rest is for hosts that serve nobody until they hold one.
func memberLoads(engine *state.EngineProfile) int { return max(engine.MaxConcurrentLoads/2, 1) }

// otherModel returns the model with the most work for its groups besides one.
func otherModel(model string, models []state.ModelProfile, live map[string]int, needs map[string]float64) string {
	other, most := "", -1.0
	for _, m := range models {
		if p := pressure(live, needs, m.Name); m.Name != model && p > most {
			other, most = m.Name, p
		}
	}
	return other
}

// stage tells a host to stage a model that it does not hold. It returns the
// number of loads that this starts.
func (s *System) stage(now time.Duration, engine *state.EngineProfile, h *host, model string, running int, out *state.Outbox) int {
	if model == "" || slices.Contains(h.row.StagedModels, model) || h.staging != "" && now-h.stagingAt < s.stageTime(engine, h.staging) ||
		!s.mayLoad(now, engine, running) {
		return 0
	}
	if !s.order(now, h, state.HostOrder{Operation: state.HostStage, Model: model}, out) {
		return 0
	}
	s.loads = append(s.loads, now)
	out.Log(event.HostStaging, slog.String("host", string(h.id)), slog.String("model", model))
	return 1
}

// stageTime is when a stage order that shows no effect is given again.
func (s *System) stageTime(engine *state.EngineProfile, model string) time.Duration {
	if m := engine.Model(model); m != nil {
		return 3 * m.FullLoadTime
	}
	return loadWindow
}

// mayLoad paces loads. Before traffic they are not counted.
func (s *System) mayLoad(now time.Duration, engine *state.EngineProfile, running int) bool {
	if !s.m.TrafficStarted {
		return true
	}
	s.loads = slices.DeleteFunc(s.loads, func(at time.Duration) bool { return now-at > loadWindow })
	return running < max(engine.MaxConcurrentLoads, 1) &&
		float64(len(s.loads)) < engine.MaxLoadsPerSecond*loadShare*loadWindow.Seconds()
}

// load is a model that a free host is to stage.
type load struct {
	host  state.HostID
	model string
	// missing is the number of loads after which the host's group can be formed;
	// noGroup where the load only prepares for another model.
	missing int
}

const noGroup = 1 << 10

// chooseStaging returns the loads of the free hosts of a domain. A group that
// lacks only the weights on some hosts comes first, by the work for its model.
// Any other host is to hold a model besides the one that it served last, or keeps
// what it holds.
//
// Load pattern: hosts are lost and empty ones come, faster than six loads at once
// can follow. Loads in the order of names left ten hosts without a group for ten
// seconds, though two of them would have made one up.
func chooseStaging(free []freeHost, models []state.ModelProfile, live map[string]int, needs map[string]float64) []load {
	var loads []load
	rest := slices.Clone(free)
	ranked := slices.Clone(models)
	slices.SortStableFunc(ranked, func(a, b state.ModelProfile) int {
		return cmp.Compare(pressure(live, needs, b.Name), pressure(live, needs, a.Name))
	})
	for i := range ranked {
		m := &ranked[i]
		if len(rest) < m.GroupSize {
			continue
		}
		slices.SortStableFunc(rest, func(a, b freeHost) int { return cmp.Compare(a.warmth(m.Name), b.warmth(m.Name)) })
		first := len(loads)
		for _, f := range rest[:m.GroupSize] {
			if f.warmth(m.Name) == cold {
				loads = append(loads, load{host: f.id, model: m.Name})
			}
		}
		for j := first; j < len(loads); j++ {
			loads[j].missing = len(loads) - first
		}
		rest = rest[m.GroupSize:]
	}
	for _, f := range rest {
		switch {
		case len(f.staged) == 0 && f.model == "":
			loads = append(loads, load{f.id, ranked[0].Name, noGroup})
		case f.model != "" && (len(f.staged) == 0 || slices.Contains(f.staged, f.model)):
			loads = append(loads, load{f.id, otherModel(f.model, models, live, needs), noGroup})
		}
	}
	return loads
}
