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
	// loadWindow is the period over which loads are counted. loadRateShare is the
	// fraction of the load rate of the platform that is used, because a new lease
	// holder has no record of the loads that the old one started.
	loadWindow    = 5 * time.Second
	loadRateShare = 0.7
)

// stageHosts stages models on hosts ahead of demand. A host joins a group of
// the model that it served last without a load. With the weights of a second
// model staged, it can serve either one.
func (s *System) stageHosts(now time.Duration, service *state.ServiceProfile, free []freeHost, out *state.Outbox) {
	engine := service.Engine
	liveGroups := s.countGroups(now, service.Name)
	demand := s.modelDemand(now, engine.Models)
	runningLoads := 0
	for _, h := range s.hosts.all() {
		if h.row != nil && (h.stagingModel != "" || h.orderInFlight != nil && h.orderInFlight.Operation == state.HostStage) {
			runningLoads++
		}
	}
	byDomain := map[state.DomainID][]freeHost{}
	for _, f := range free {
		byDomain[f.domain] = append(byDomain[f.domain], f)
	}
	var loads []stagingLoad
	for _, domain := range state.SortedKeys(byDomain) {
		loads = append(loads, chooseStaging(byDomain[domain], engine.Models, liveGroups, demand)...)
	}
	// Concurrent loads are limited, so the loads that complete a group soonest
	// come first.
	slices.SortStableFunc(loads, func(a, b stagingLoad) int { return cmp.Compare(a.missingLoads, b.missingLoads) })
	for _, l := range loads {
		runningLoads += s.stageModel(now, engine, s.hosts.get(l.host), l.model, runningLoads, out)
	}
	otherModels := map[string]string{}
	for _, h := range s.hosts.all() {
		if h.row == nil || h.row.Service != service.Name || h.lastGroup == nil || !h.lastGroup.opened || h.lastGroup.retiring ||
			h.row.Membership.Group != h.lastGroup.id || h.plan != nil || h.row.Draining || h.dead || runningLoads >= maxMemberLoads(engine) && s.managed.TrafficStarted {
			continue
		}
		other, known := otherModels[h.model]
		if !known {
			other = otherModel(h.model, engine.Models, liveGroups, demand)
			otherModels[h.model] = other
		}
		runningLoads += s.stageModel(now, engine, h, other, runningLoads, out)
	}
}

// maxMemberLoads returns the number of concurrent loads below which members of
// groups may stage another model. The rest is reserved for idle hosts, which
// cannot serve before they hold a model.
func maxMemberLoads(engine *state.EngineProfile) int { return max(engine.MaxConcurrentLoads/2, 1) }

// otherModel returns the model with the highest pressure apart from the given
// one.
func otherModel(model string, models []state.ModelProfile, liveGroups map[string]int, demand map[string]float64) string {
	other, highest := "", -1.0
	for _, m := range models {
		if p := pressure(liveGroups, demand, m.Name); m.Name != model && p > highest {
			other, highest = m.Name, p
		}
	}
	return other
}

// stageModel orders a host to stage a model that it does not hold. It returns
// the number of loads that this starts.
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

// stageTimeout returns how long a stage order may show no effect before it is
// sent again.
func (s *System) stageTimeout(engine *state.EngineProfile, model string) time.Duration {
	if m := engine.Model(model); m != nil {
		return 3 * m.FullLoadTime
	}
	return loadWindow
}

// mayStartLoad limits concurrent loads and their rate. Loads are not limited
// before traffic starts.
func (s *System) mayStartLoad(now time.Duration, engine *state.EngineProfile, runningLoads int) bool {
	if !s.managed.TrafficStarted {
		return true
	}
	s.loadStarts = slices.DeleteFunc(s.loadStarts, func(at time.Duration) bool { return now-at > loadWindow })
	return runningLoads < max(engine.MaxConcurrentLoads, 1) &&
		float64(len(s.loadStarts)) < engine.MaxLoadsPerSecond*loadRateShare*loadWindow.Seconds()
}

// stagingLoad is a model that a free host should stage.
type stagingLoad struct {
	host  state.HostID
	model string
	// missingLoads is the number of loads that complete the group of the host, or
	// noGroupLoads if the load only prepares the host for another model.
	missingLoads int
}

const noGroupLoads = 1 << 10

// chooseStaging returns the loads of the free hosts of a domain. Groups that
// lack only the weights on some hosts come first, in order of pressure. Any
// other host stages a model besides the one that it served last, or keeps the
// one that it holds.
//
// Load pattern: hosts are lost and empty ones are added faster than six
// concurrent loads can follow. With loads in name order, ten hosts were without
// a group for ten seconds, though two of them would have completed one.
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
