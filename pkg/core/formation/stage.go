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
	loadWindow    = 5 * time.Second
	loadRateShare = 0.7
)

// stageHosts brings models onto hosts ahead of need. A host joins a group of the
// model that it served last at once, so each host is to hold the weights of
// another one: it can then serve either without a load.
func (s *System) stageHosts(now time.Duration, service *state.ServiceProfile, out *state.Outbox) {
	engine := service.Engine
	liveGroups, _ := s.countGroups(now, service.Name)
	demand := s.modelDemand(now, engine.Models)
	runningLoads := 0
	for _, h := range s.hosts {
		if h.row != nil && (h.stagingModel != "" || h.orderInFlight != nil && h.orderInFlight.Operation == state.HostStage) {
			runningLoads++
		}
	}
	free := s.freeHosts(now, service.Name)
	byDomain := map[state.DomainID][]freeHost{}
	for _, f := range free {
		byDomain[f.domain] = append(byDomain[f.domain], f)
	}
	var loads []stagingLoad
	for _, domain := range state.SortedKeys(byDomain) {
		loads = append(loads, chooseStaging(byDomain[domain], engine.Models, liveGroups, demand)...)
	}
	// Loads at once are few, so what soonest makes up a group comes first.
	slices.SortStableFunc(loads, func(a, b stagingLoad) int { return cmp.Compare(a.missingLoads, b.missingLoads) })
	for _, l := range loads {
		runningLoads += s.stageModel(now, engine, s.hosts[l.host], l.model, runningLoads, out)
	}
	for _, id := range state.SortedKeys(s.hosts) {
		h := s.hosts[id]
		if h.row == nil || h.row.Service != service.Name || h.lastGroup == nil || !h.lastGroup.opened || h.lastGroup.retiring ||
			h.row.Membership.Group != h.lastGroup.id || h.plan != nil || h.row.Draining || h.dead || runningLoads >= maxMemberLoads(engine) && s.managed.TrafficStarted {
			continue
		}
		runningLoads += s.stageModel(now, engine, h, otherModel(h.model, engine.Models, liveGroups, demand), runningLoads, out)
	}
}

// maxMemberLoads is the number of loads at once up to which members of groups stage
// another model. The rest is for hosts that serve nobody until they hold one.
func maxMemberLoads(engine *state.EngineProfile) int { return max(engine.MaxConcurrentLoads/2, 1) }

// otherModel returns the model with the most work for its groups besides one.
func otherModel(model string, models []state.ModelProfile, liveGroups map[string]int, demand map[string]float64) string {
	other, highest := "", -1.0
	for _, m := range models {
		if p := pressure(liveGroups, demand, m.Name); m.Name != model && p > highest {
			other, highest = m.Name, p
		}
	}
	return other
}

// stageModel tells a host to stage a model that it does not hold. It returns the
// number of loads that this starts.
func (s *System) stageModel(now time.Duration, engine *state.EngineProfile, h *host, model string, runningLoads int, out *state.Outbox) int {
	if model == "" || slices.Contains(h.row.StagedModels, model) || h.stagingModel != "" && now-h.stagingSince < s.stageTimeout(engine, h.stagingModel) ||
		!s.mayStartLoad(now, engine, runningLoads) {
		return 0
	}
	if !s.sendOrder(now, h, state.HostOrder{Operation: state.HostStage, Model: model}, out) {
		return 0
	}
	s.loadStarts = append(s.loadStarts, now)
	out.Log(event.HostStaging, slog.String("host", string(h.id)), slog.String("model", model))
	return 1
}

// stageTimeout is when a stage order that shows no effect is given again.
func (s *System) stageTimeout(engine *state.EngineProfile, model string) time.Duration {
	if m := engine.Model(model); m != nil {
		return 3 * m.FullLoadTime
	}
	return loadWindow
}

// mayStartLoad paces loads. Before traffic they are not counted.
func (s *System) mayStartLoad(now time.Duration, engine *state.EngineProfile, runningLoads int) bool {
	if !s.managed.TrafficStarted {
		return true
	}
	s.loadStarts = slices.DeleteFunc(s.loadStarts, func(at time.Duration) bool { return now-at > loadWindow })
	return runningLoads < max(engine.MaxConcurrentLoads, 1) &&
		float64(len(s.loadStarts)) < engine.MaxLoadsPerSecond*loadRateShare*loadWindow.Seconds()
}

// stagingLoad is a model that a free host is to stage.
type stagingLoad struct {
	host  state.HostID
	model string
	// missingLoads is the number of loads after which the host's group can be formed;
	// noGroup where the load only prepares for another model.
	missingLoads int
}

const noGroupLoads = 1 << 10

// chooseStaging returns the loads of the free hosts of a domain. A group that
// lacks only the weights on some hosts comes first, by the work for its model.
// Any other host is to hold a model besides the one that it served last, or keeps
// what it holds.
//
// Load pattern: hosts are lost and empty ones come, faster than six loads at once
// can follow. Loads in the order of names left ten hosts without a group for ten
// seconds, though two of them would have made one up.
func chooseStaging(free []freeHost, models []state.ModelProfile, liveGroups map[string]int, demand map[string]float64) []stagingLoad {
	var loads []stagingLoad
	remaining := slices.Clone(free)
	ranked := slices.Clone(models)
	slices.SortStableFunc(ranked, func(a, b state.ModelProfile) int {
		return cmp.Compare(pressure(liveGroups, demand, b.Name), pressure(liveGroups, demand, a.Name))
	})
	for i := range ranked {
		m := &ranked[i]
		if len(remaining) < m.GroupSize {
			continue
		}
		slices.SortStableFunc(remaining, func(a, b freeHost) int { return cmp.Compare(a.warmth(m.Name), b.warmth(m.Name)) })
		firstLoad := len(loads)
		for _, f := range remaining[:m.GroupSize] {
			if f.warmth(m.Name) == cold {
				loads = append(loads, stagingLoad{host: f.id, model: m.Name})
			}
		}
		for j := firstLoad; j < len(loads); j++ {
			loads[j].missingLoads = len(loads) - firstLoad
		}
		remaining = remaining[m.GroupSize:]
	}
	for _, f := range remaining {
		switch {
		case len(f.staged) == 0 && f.lastModel == "":
			loads = append(loads, stagingLoad{f.id, ranked[0].Name, noGroupLoads})
		case f.lastModel != "" && (len(f.staged) == 0 || slices.Contains(f.staged, f.lastModel)):
			loads = append(loads, stagingLoad{f.id, otherModel(f.lastModel, models, liveGroups, demand), noGroupLoads})
		}
	}
	return loads
}
