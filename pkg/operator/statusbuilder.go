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

// statusBuilder builds a status from the tables. It runs inside the event loop, so
// everything in the result is copied.
type statusBuilder struct {
	tables *state.Tables
	now    time.Duration
}

// ReadStatus returns the status of a node. Only buildStatus, which copies rows, runs
// inside the event loop.
func ReadStatus(daemon Daemon) Status {
	var status Status
	daemon.View(func(t *state.Tables) { status = buildStatus(t, daemon.Now()) })
	listedHosts := map[string]int{}
	for _, h := range status.Hosts {
		if h.Listed {
			listedHosts[h.DataCentre]++
		}
	}
	for i := range status.DataCentres {
		status.DataCentres[i].Hosts = listedHosts[status.DataCentres[i].Name]
	}
	status.Stranded = strandedHosts(status.Hosts, status.Groups)
	return status
}

func buildStatus(t *state.Tables, now time.Duration) Status {
	b := statusBuilder{t, now}
	config := t.Config
	return Status{
		Node: b.self(), Version: uint64(config.Head.Version), Accepted: uint64(config.AcceptedVersion),
		DocumentVersion: uint64(config.Head.DocumentVersion), Preset: config.Head.Preset,
		Nodes: b.nodes(), DataCentres: b.dataCentres(), DisabledTargets: toStrings(config.Head.DisabledTargets),
		Groups: b.groups(), Hosts: b.hosts(), Targets: b.targets(), Accounts: b.accounts(), Leases: b.leases(),
	}
}

// age returns the age of a time in milliseconds, or -1 when there is none.
func (b statusBuilder) age(at time.Duration) int64 {
	if at <= 0 {
		return -1
	}
	return (b.now - at).Milliseconds()
}

func (b statusBuilder) self() SelfStatus {
	openRequests := 0
	for _, r := range b.tables.Requests.All() {
		if r.Phase != state.RequestEnded {
			openRequests++
		}
	}
	config := b.tables.Config
	return SelfStatus{
		ID: string(b.tables.Self.ID), DataCentre: string(b.tables.Self.DataCentre), Incarnation: uint64(b.tables.Self.Incarnation),
		ConfigLoaded: config.Loaded, Fresh: config.Fresh, Ready: b.tables.Ready, Draining: b.tables.Draining,
		EvidenceAgeMS: b.age(config.EvidenceAt), OpenRequests: openRequests,
	}
}

func (b statusBuilder) nodes() []NodeStatus {
	statuses := make([]NodeStatus, 0, len(b.tables.Config.Head.Nodes))
	for _, n := range b.tables.Config.Head.Nodes {
		s := NodeStatus{ID: string(n.ID), DataCentre: string(n.DataCentre), Address: n.Address, VersionAgeMS: -1}
		if n.ID == b.tables.Self.ID {
			s.Linked, s.Version, s.VersionAgeMS, s.Leaving = true, uint64(b.tables.Config.Head.Version), 0, b.tables.Draining
		} else if p := b.tables.Peers.Get(n.ID); p != nil {
			s.Linked, s.Version, s.VersionAgeMS, s.Leaving = p.Linked, uint64(p.Version), b.age(p.VersionAt), p.Leaving
		}
		statuses = append(statuses, s)
	}
	return statuses
}

func (b statusBuilder) dataCentres() []DataCentreStatus {
	statuses := make([]DataCentreStatus, 0, len(b.tables.Config.Document.DataCentres))
	for _, d := range b.tables.Config.Document.DataCentres {
		statuses = append(statuses, DataCentreStatus{
			Name: string(d.Name), Region: d.Region,
			Disabled: slices.Contains(b.tables.Config.Head.DisabledDataCentres, d.Name),
		})
	}
	return statuses
}

func (b statusBuilder) groups() []GroupStatus {
	var disabledGroups []state.GroupID
	for _, p := range b.tables.Config.Document.Presets {
		if p.Name == b.tables.Config.Head.Preset {
			disabledGroups = p.DisabledGroups
		}
	}
	statuses := make([]GroupStatus, 0, len(b.tables.Config.Document.Groups))
	for _, spec := range b.tables.Config.Document.Groups {
		s := GroupStatus{
			Name: string(spec.Name), Model: spec.Model, Version: spec.Version, Adapters: slices.Clone(spec.Adapters),
			DataCentre: string(spec.DataCentre), DeclaredMembers: spec.Members, Disabled: slices.Contains(disabledGroups, spec.Name),
			Phase: groupPhases[state.GroupPending], HealthyAgeMS: -1, Members: []string{},
		}
		if g := b.tables.Groups.Get(spec.Name); g != nil {
			s.Domain, s.Phase, s.FencingToken = string(g.Domain), groupPhases[g.Phase], uint64(g.FencingToken)
			s.Healthy, s.HealthyAgeMS, s.Straggler = g.Healthy, b.age(g.HealthyAt), g.Straggler
			s.Members, s.DeadMembers = toStrings(g.Members), toStrings(g.DeadMembers)
		}
		statuses = append(statuses, s)
	}
	return statuses
}

func (b statusBuilder) hosts() []HostStatus {
	statuses := make([]HostStatus, 0, b.tables.Hosts.Len())
	for id, host := range b.tables.Hosts.All() {
		statuses = append(statuses, HostStatus{
			ID: string(id), Address: host.Address, DataCentre: string(host.DataCentre), Domain: string(host.Domain),
			Healthy: host.Listed && !host.Leaving && host.UnansweredSince == 0, Listed: host.Listed, Leaving: host.Leaving,
			Group: string(host.Group), Phase: enginePhases[host.Probe.Phase], ProbeAgeMS: b.age(host.ProbeAt),
		})
	}
	return statuses
}

func (b statusBuilder) targets() []TargetStatus {
	head := b.tables.Config.Head
	statuses := make([]TargetStatus, 0, b.tables.Targets.Len())
	for id, target := range b.tables.Targets.All() {
		statuses = append(statuses, TargetStatus{
			ID: string(id), DataCentre: string(target.DataCentre), Limit: target.Limit, Share: target.Share,
			InFlight: target.InFlight, PeersInFlight: target.PeerInFlight, Cold: target.Limit < target.WarmLimit, Suspect: target.Suspect,
			Disabled: slices.Contains(head.DisabledTargets, id) || slices.Contains(head.DisabledDataCentres, target.DataCentre),
		})
	}
	return statuses
}

func (b statusBuilder) accounts() []AccountStatus {
	statuses := make([]AccountStatus, 0, b.tables.Accounts.Len())
	for id, account := range b.tables.Accounts.All() {
		statuses = append(statuses, AccountStatus{
			Name: string(id), Weight: account.Weight, Concurrency: account.Concurrency,
			InFlight: account.InFlight, PeersInFlight: account.PeerInFlight, Queued: account.Queued,
		})
	}
	return statuses
}

func (b statusBuilder) leases() []LeaseStatus {
	statuses := make([]LeaseStatus, 0, b.tables.Leases.Len())
	for dc, lease := range b.tables.Leases.All() {
		statuses = append(statuses, LeaseStatus{
			DataCentre: string(dc), Holder: string(lease.Row.Holder), FencingToken: uint64(lease.Row.FencingToken),
			HeldBySelf: lease.Row.Holder == b.tables.Self.ID && b.now < lease.ValidUntil,
		})
	}
	return statuses
}

// strandedHosts returns the healthy hosts that belong to no serving or healthy group.
func strandedHosts(hosts []HostStatus, groups []GroupStatus) []string {
	serves := map[string]bool{}
	for _, g := range groups {
		if g.Phase == groupPhases[state.GroupServing] || g.Healthy {
			for _, m := range g.Members {
				serves[m] = true
			}
		}
	}
	stranded := []string{}
	for _, h := range hosts {
		if h.Healthy && !serves[h.ID] {
			stranded = append(stranded, h.ID)
		}
	}
	return stranded
}

func toStrings[T ~string](items []T) []string {
	texts := make([]string, 0, len(items))
	for _, item := range items {
		texts = append(texts, string(item))
	}
	return texts
}
