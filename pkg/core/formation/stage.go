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

// stageSpares brings models onto hosts, so that they can take the place of lost
// members at once: free hosts first, and then the members of groups of small
// models, which can make up a group of a large model that lost a member.
func (s *System) stageSpares(now time.Duration, service *state.ServiceProfile, out *state.Outbox) {
	byDomain := map[state.DomainID][]freeHost{}
	for _, f := range s.freeHosts(now, service.Name) {
		byDomain[f.domain] = append(byDomain[f.domain], f)
	}
	members := s.membersByDomain(now, service.Name)
	live, hosts := s.count(now, service.Name)
	wanted := wantedGroups(service.Engine.Models, startShares(service.Engine.Models), hosts)
	running := 0
	for _, h := range s.hosts {
		if h.staging != "" && h.row != nil {
			running++
		}
	}
	for _, domain := range sortedKeys(byDomain) {
		chosen := chooseStaging(byDomain[domain], service.Engine.Models, members[domain], live, wanted)
		for _, f := range byDomain[domain] {
			running += s.stage(now, service.Engine, s.hosts[f.id], chosen[f.id], running, out)
		}
	}
	reserve := largest(service.Engine.Models)
	for _, id := range sortedKeys(s.hosts) {
		h := s.hosts[id]
		if reserve == nil || h.row == nil || h.row.Service != service.Name || h.last == nil || !h.last.open || h.last.retiring ||
			h.row.Membership.Group != h.last.id || h.row.Model == reserve.Name || h.plan != nil || h.row.Draining || h.dead {
			continue
		}
		running += s.stage(now, service.Engine, h, reserve.Name, running, out)
	}
}

// largest returns the model with the most members, or nil where all models have
// the same size.
func largest(models []state.ModelProfile) *state.ModelProfile {
	var best *state.ModelProfile
	differ := false
	for i := range models {
		differ = differ || models[i].Size != models[0].Size
		if best == nil || models[i].Size > best.Size {
			best = &models[i]
		}
	}
	if !differ {
		return nil
	}
	return best
}

// stage tells a host to stage a model that it does not hold. It returns the
// number of loads that this starts.
func (s *System) stage(now time.Duration, engine *state.EngineProfile, h *host, model string, running int, out *state.Outbox) int {
	if model == "" || slices.Contains(h.row.Staged, model) || h.staging != "" && now-h.stagingAt < s.stageTime(engine, h.staging) ||
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

// chooseStaging returns the model that each free host of a domain is to hold. A
// group that lacks only the weights on some hosts comes first. The hosts beyond
// it are spares: the models with the most members in the domain lose one most
// often, so they get the first, one each and then in turn. A host that holds
// what is of use keeps it, since a load takes longer than most repairs can wait.
func chooseStaging(free []freeHost, models []state.ModelProfile, members, live, wanted map[string]int) map[state.HostID]string {
	chosen := map[state.HostID]string{}
	rest := slices.Clone(free)
	for {
		m, group := nearestGroup(rest, models, live, wanted)
		if m == nil {
			break
		}
		for _, f := range group {
			chosen[f.id] = m.Name
		}
		rest = slices.DeleteFunc(rest, func(f freeHost) bool { return chosen[f.id] != "" })
	}
	ranked := slices.Clone(models)
	slices.SortStableFunc(ranked, func(a, b state.ModelProfile) int {
		return cmp.Or(cmp.Compare(members[b.Name], members[a.Name]), cmp.Compare(b.Size, a.Size))
	})
	if len(ranked) == 0 {
		return chosen
	}
	need := map[string]int{}
	for i := range rest {
		need[ranked[i%len(ranked)].Name]++
	}
	var open []freeHost
	for _, f := range rest {
		kept := slices.IndexFunc(f.staged, func(model string) bool { return need[model] > 0 })
		if kept < 0 {
			open = append(open, f)
			continue
		}
		need[f.staged[kept]]--
		chosen[f.id] = f.staged[kept]
	}
	for _, f := range open {
		for _, m := range ranked {
			if need[m.Name] > 0 {
				need[m.Name]--
				chosen[f.id] = m.Name
				break
			}
		}
	}
	return chosen
}

// nearestGroup returns the wanted model of which free hosts lack the fewest
// loads to make up a group, and these hosts.
func nearestGroup(free []freeHost, models []state.ModelProfile, live, wanted map[string]int) (*state.ModelProfile, []freeHost) {
	var best *state.ModelProfile
	var group []freeHost
	fewest := 0
	for i := range models {
		m := &models[i]
		if live[m.Name] >= wanted[m.Name] || len(free) < m.Size {
			continue
		}
		hosts := slices.Clone(free)
		slices.SortStableFunc(hosts, func(a, b freeHost) int { return cmp.Compare(a.warmth(m.Name), b.warmth(m.Name)) })
		hosts = hosts[:m.Size]
		loads := 0
		for j := range hosts {
			if hosts[j].warmth(m.Name) == cold {
				loads++
			}
		}
		if best == nil || loads < fewest || loads == fewest && m.Size > best.Size {
			best, group, fewest = m, hosts, loads
		}
	}
	return best, group
}
