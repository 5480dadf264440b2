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

// stageSpares brings models onto free hosts, so that they can take the place of
// lost members at once.
func (s *System) stageSpares(now time.Duration, service *state.ServiceProfile, out *state.Outbox) {
	free := s.freeHosts(now, service.Name)
	byDomain := map[state.DomainID][]freeHost{}
	for _, f := range free {
		byDomain[f.domain] = append(byDomain[f.domain], f)
	}
	members := s.membersByDomain(now, service.Name)
	running := 0
	for _, h := range s.hosts {
		if h.staging != "" && h.row != nil {
			running++
		}
	}
	for _, domain := range sortedKeys(byDomain) {
		wanted := chooseStaging(byDomain[domain], service.Engine.Models, members[domain])
		for _, f := range byDomain[domain] {
			model := wanted[f.id]
			h := s.hosts[f.id]
			if model == "" || slices.Contains(f.staged, model) || h.staging != "" && now-h.stagingAt < s.stageTime(service.Engine, h.staging) {
				continue
			}
			if !s.mayLoad(now, service.Engine, running) {
				return
			}
			if s.order(now, h, state.HostOrder{Operation: state.HostStage, Model: model}, out) {
				s.loads = append(s.loads, now)
				running++
				out.Log(event.HostStaging, slog.String("host", string(h.id)), slog.String("model", model))
			}
		}
	}
}

// stageTime is when a stage order that shows no effect is given again.
func (s *System) stageTime(engine *state.EngineProfile, model string) time.Duration {
	if m := engine.Model(model); m != nil {
		return 3 * m.LoadTime
	}
	return loadWindow
}

// mayLoad paces loads. Before traffic they are not counted.
func (s *System) mayLoad(now time.Duration, engine *state.EngineProfile, running int) bool {
	if !s.m.TrafficSeen {
		return true
	}
	s.loads = slices.DeleteFunc(s.loads, func(at time.Duration) bool { return now-at > loadWindow })
	return running < max(engine.LoadsAtOnce, 1) &&
		float64(len(s.loads)) < engine.LoadsPerSecond*loadShare*loadWindow.Seconds()
}

// membersByDomain counts the hosts in groups by domain and model.
func (s *System) membersByDomain(now time.Duration, service string) map[state.DomainID]map[string]int {
	out := map[state.DomainID]map[string]int{}
	for _, h := range s.hosts {
		if h.row == nil || h.row.Service != service || h.row.Membership.Group == "" || s.isFree(now, h, service) {
			continue
		}
		if out[h.domain] == nil {
			out[h.domain] = map[string]int{}
		}
		out[h.domain][h.row.Model]++
	}
	return out
}

// chooseStaging returns the model that each free host of a domain is to hold.
// The models with the most members in the domain lose one most often, so they
// get the first spares, one each and then in turn. A host that holds what is
// wanted keeps it.
func chooseStaging(free []freeHost, models []state.ModelProfile, members map[string]int) map[state.HostID]string {
	ranked := slices.Clone(models)
	slices.SortStableFunc(ranked, func(a, b state.ModelProfile) int {
		return cmp.Or(cmp.Compare(members[b.Name], members[a.Name]), cmp.Compare(b.Size, a.Size))
	})
	if len(ranked) == 0 {
		return nil
	}
	need := map[string]int{}
	for i := range free {
		need[ranked[i%len(ranked)].Name]++
	}
	wanted := map[state.HostID]string{}
	for _, f := range free {
		for _, model := range f.staged {
			if need[model] > 0 && wanted[f.id] == "" {
				need[model]--
				wanted[f.id] = model
			}
		}
	}
	for _, f := range free {
		for _, m := range ranked {
			if wanted[f.id] == "" && need[m.Name] > 0 {
				need[m.Name]--
				wanted[f.id] = m.Name
			}
		}
	}
	return wanted
}
