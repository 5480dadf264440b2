// Package routing chooses the target of a request: filter, score, pick.
package routing

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/membership"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// System reads Config, Groups and Hosts; it writes Targets.
type System struct {
	t       *state.Tables
	version state.Version
	groups  *state.DirtySet[state.GroupID]
}

// New returns the routing system.
func New(t *state.Tables) *System {
	return &System{t: t, groups: t.Groups.Subscribe()}
}

// Step implements state.System.
func (s *System) Step(_ time.Duration, in state.Input, _ *state.Outbox) {
	if s.t.Config.Known && s.version != s.t.Config.Head.Version {
		s.version = s.t.Config.Head.Version
		s.rebuild()
	}
	for _, id := range s.groups.Take() {
		s.locate(id)
	}
	if ev, ok := in.(state.AttemptEvent); ok && ev.Stage == state.AttemptEnded {
		s.ended(ev)
	}
}

func (s *System) rebuild() {
	doc := s.t.Config.Document
	for _, g := range doc.Groups {
		s.put(state.Target{
			ID: state.TargetID(g.Name), Group: g.Name, DataCentre: g.DataCentre, Model: g.Model,
			Version: g.Version, Adapters: g.Adapters, ColdLimit: g.ColdLimit, WarmLimit: g.WarmLimit,
		})
		s.locate(g.Name)
	}
	for _, svc := range doc.Services {
		for _, r := range svc.Replicas {
			s.put(state.Target{
				ID: state.TargetID(svc.Name + "/" + r.Name), Service: svc.Name, DataCentre: r.DataCentre,
				Address: r.Address, ColdLimit: svc.ColdLimit, WarmLimit: svc.WarmLimit,
			})
		}
	}
}

func (s *System) put(row state.Target) {
	if old := s.t.Targets.Get(row.ID); old != nil {
		row.InFlight, row.Address = old.InFlight, old.Address
	}
	s.t.Targets.Put(row.ID, &row)
}

func (s *System) locate(id state.GroupID) {
	group, target := s.t.Groups.Get(id), s.t.Targets.Get(state.TargetID(id))
	if group == nil || target == nil {
		return
	}
	if host := s.t.Hosts.Get(group.Leader); host != nil {
		target.Address = host.Address
	}
}

func (s *System) ended(ev state.AttemptEvent) {
	req := s.t.Requests.Get(ev.Request)
	if req == nil || !req.IsCurrent(ev) {
		return
	}
	if target := s.t.Targets.Get(req.Target); target != nil {
		target.InFlight--
	}
}

// Pick returns the target for a request, or false when none can take it now.
func (s *System) Pick(now time.Duration, req *state.Request) (state.TargetID, bool) {
	if !s.t.Config.Fresh {
		return "", false
	}
	var best *state.Target
	for _, target := range s.t.Targets.All() {
		if req.Next == state.NextResume && req.Target != target.ID {
			continue
		}
		if req.Next != state.NextResume && len(req.Tried) > 0 && slices.Contains(req.Tried, target.ID) {
			continue
		}
		if !s.fits(now, target, req) {
			continue
		}
		if best == nil || target.InFlight < best.InFlight {
			best = target
		}
	}
	if best == nil {
		return "", false
	}
	best.InFlight++
	return best.ID, true
}

func (s *System) fits(now time.Duration, target *state.Target, req *state.Request) bool {
	head := &s.t.Config.Head
	if slices.Contains(head.OutDataCentres, target.DataCentre) || slices.Contains(head.OutTargets, target.ID) {
		return false
	}
	if target.InFlight >= target.WarmLimit || target.Address == "" {
		return false
	}
	a := &req.Arrival
	if a.Kind == state.KindService {
		return target.Service == a.Service
	}
	group := s.t.Groups.Get(target.Group)
	if group == nil || !group.Whole || now-group.WholeAt > membership.VerdictFor {
		return false
	}
	if target.Model != a.Model || (a.Version != "" && a.Version != target.Version) {
		return false
	}
	return a.Adapter == "" || slices.Contains(target.Adapters, a.Adapter)
}
