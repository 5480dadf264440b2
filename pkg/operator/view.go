package operator

import (
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

var groupPhases = map[state.GroupPhase]string{
	state.GroupPending: "pending", state.GroupLoading: "loading", state.GroupServing: "serving", state.GroupDissolved: "dissolved",
}

var enginePhases = map[state.EnginePhase]string{
	state.PhaseUnknown: "unknown", state.PhaseEmpty: "empty", state.PhaseLoading: "loading",
	state.PhaseReady: "ready", state.PhaseLeaving: "leaving",
}

// viewer builds a status from the tables. It runs inside the event loop and
// copies what it keeps.
type viewer struct {
	t   *state.Tables
	now time.Duration
}

// ReadStatus returns the status of a node. Only the copying of rows runs inside
// the event loop.
func ReadStatus(d Daemon) Status {
	var s Status
	d.View(func(t *state.Tables) { s = copyTables(t, d.Now()) })
	hosts := map[string]int{}
	for _, h := range s.Hosts {
		if h.Listed {
			hosts[h.DataCentre]++
		}
	}
	for i := range s.DataCentres {
		s.DataCentres[i].Hosts = hosts[s.DataCentres[i].Name]
	}
	s.Stranded = stranded(s.Hosts, s.Groups)
	return s
}

func copyTables(t *state.Tables, now time.Duration) Status {
	v := viewer{t, now}
	c := t.Config
	return Status{
		Node: v.node(), Version: uint64(c.Head.Version), Accepted: uint64(c.AcceptedVersion),
		DocumentVersion: uint64(c.Head.DocumentVersion), Preset: c.Head.Preset,
		Nodes: v.nodes(), DataCentres: v.dataCentres(), TargetsOut: texts(c.Head.DisabledTargets),
		Groups: v.groups(), Hosts: v.hosts(), Targets: v.targets(), Accounts: v.accounts(), Leases: v.leases(),
	}
}

func (v viewer) age(at time.Duration) int64 {
	if at <= 0 {
		return -1
	}
	return (v.now - at).Milliseconds()
}

func (v viewer) node() NodeState {
	open := 0
	for _, r := range v.t.Requests.All() {
		if r.Phase != state.RequestEnded {
			open++
		}
	}
	c := v.t.Config
	return NodeState{
		ID: string(v.t.Self.ID), DataCentre: string(v.t.Self.DataCentre), Incarnation: uint64(v.t.Self.Incarnation),
		Known: c.Loaded, Fresh: c.Fresh, Ready: v.t.Ready, Draining: v.t.Draining,
		EvidenceAgeMS: v.age(c.EvidenceAt), OpenRequests: open,
	}
}

func (v viewer) nodes() []NodeStatus {
	list := make([]NodeStatus, 0, len(v.t.Config.Head.Nodes))
	for _, n := range v.t.Config.Head.Nodes {
		s := NodeStatus{ID: string(n.ID), DataCentre: string(n.DataCentre), Address: n.Address, VersionAgeMS: -1}
		if n.ID == v.t.Self.ID {
			s.Linked, s.Version, s.VersionAgeMS, s.Leaving = true, uint64(v.t.Config.Head.Version), 0, v.t.Draining
		} else if p := v.t.Peers.Get(n.ID); p != nil {
			s.Linked, s.Version, s.VersionAgeMS, s.Leaving = p.Linked, uint64(p.Version), v.age(p.VersionAt), p.Leaving
		}
		list = append(list, s)
	}
	return list
}

func (v viewer) dataCentres() []DataCentreStatus {
	list := make([]DataCentreStatus, 0, len(v.t.Config.Document.DataCentres))
	for _, d := range v.t.Config.Document.DataCentres {
		list = append(list, DataCentreStatus{
			Name: string(d.Name), Region: d.Region,
			Out: slices.Contains(v.t.Config.Head.DisabledDataCentres, d.Name),
		})
	}
	return list
}

func (v viewer) groups() []GroupStatus {
	var idle []state.GroupID
	for _, p := range v.t.Config.Document.Presets {
		if p.Name == v.t.Config.Head.Preset {
			idle = p.DisabledGroups
		}
	}
	list := make([]GroupStatus, 0, len(v.t.Config.Document.Groups))
	for _, spec := range v.t.Config.Document.Groups {
		s := GroupStatus{
			Name: string(spec.Name), Model: spec.Model, Version: spec.Version, Adapters: slices.Clone(spec.Adapters),
			DataCentre: string(spec.DataCentre), Wanted: spec.Members, Idle: slices.Contains(idle, spec.Name),
			Phase: groupPhases[state.GroupPending], WholeAgeMS: -1, Members: []string{},
		}
		if g := v.t.Groups.Get(spec.Name); g != nil {
			s.Domain, s.Phase, s.Fence = string(g.Domain), groupPhases[g.Phase], uint64(g.FencingToken)
			s.Whole, s.WholeAgeMS, s.Straggler = g.Healthy, v.age(g.HealthyAt), g.Straggler
			s.Members, s.Dead = texts(g.Members), texts(g.DeadMembers)
		}
		list = append(list, s)
	}
	return list
}

func (v viewer) hosts() []HostStatus {
	list := make([]HostStatus, 0, v.t.Hosts.Len())
	for id, h := range v.t.Hosts.All() {
		list = append(list, HostStatus{
			ID: string(id), Address: h.Address, DataCentre: string(h.DataCentre), Domain: string(h.Domain),
			Healthy: h.Listed && !h.Leaving && h.UnansweredSince == 0, Listed: h.Listed, Leaving: h.Leaving,
			Group: string(h.Group), Phase: enginePhases[h.Probe.Phase], ProbeAgeMS: v.age(h.ProbeAt),
		})
	}
	return list
}

func (v viewer) targets() []TargetStatus {
	head := v.t.Config.Head
	list := make([]TargetStatus, 0, v.t.Targets.Len())
	for id, t := range v.t.Targets.All() {
		list = append(list, TargetStatus{
			ID: string(id), DataCentre: string(t.DataCentre), Limit: t.Limit, Share: t.Share,
			InFlight: t.InFlight, PeersInFlight: t.PeerInFlight, Cold: t.Limit < t.WarmLimit, Suspect: t.Suspect,
			Out: slices.Contains(head.DisabledTargets, id) || slices.Contains(head.DisabledDataCentres, t.DataCentre),
		})
	}
	return list
}

func (v viewer) accounts() []AccountStatus {
	list := make([]AccountStatus, 0, v.t.Accounts.Len())
	for id, a := range v.t.Accounts.All() {
		list = append(list, AccountStatus{
			Name: string(id), Weight: a.Weight, Concurrency: a.Concurrency,
			InFlight: a.InFlight, PeersInFlight: a.PeerInFlight, Queued: a.Queued,
		})
	}
	return list
}

func (v viewer) leases() []LeaseStatus {
	list := make([]LeaseStatus, 0, v.t.Leases.Len())
	for dc, l := range v.t.Leases.All() {
		list = append(list, LeaseStatus{
			DataCentre: string(dc), Holder: string(l.Row.Holder), Fence: uint64(l.Row.FencingToken),
			Held: l.Row.Holder == v.t.Self.ID && v.now < l.HeldUntil,
		})
	}
	return list
}

// stranded returns the healthy hosts that are in no serving group.
func stranded(hosts []HostStatus, groups []GroupStatus) []string {
	serving := map[string]bool{}
	for _, g := range groups {
		if g.Phase == groupPhases[state.GroupServing] || g.Whole {
			for _, m := range g.Members {
				serving[m] = true
			}
		}
	}
	list := []string{}
	for _, h := range hosts {
		if h.Healthy && !serving[h.ID] {
			list = append(list, h.ID)
		}
	}
	return list
}

func texts[T ~string](items []T) []string {
	list := make([]string, 0, len(items))
	for _, item := range items {
		list = append(list, string(item))
	}
	return list
}
