// Package membership knows which entry daemons, hosts and replica group members
// are alive.
package membership

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// listPeriod is the period of reads of the platform's list of hosts.
	listPeriod = time.Second
	// probePeriod is the period of probes of a member.
	probePeriod = 250 * time.Millisecond
	// VerdictFor is how long the evidence behind a verdict lasts.
	VerdictFor = 1500 * time.Millisecond
)

// System reads Config and the row columns of Groups; it writes Peers, the
// listed and probed columns of Hosts and the verdict columns of Groups.
type System struct {
	t        *state.Tables
	nextList time.Duration
	probes   *state.DueQueue[state.HostID]
	hosts    *state.DirtySet[state.HostID]
}

// New returns the membership system.
func New(t *state.Tables) *System {
	return &System{t: t, probes: state.NewDueQueue[state.HostID](), hosts: t.Hosts.Subscribe()}
}

// Step implements state.System.
func (s *System) Step(now time.Duration, in state.Input, out *state.Outbox) {
	switch in := in.(type) {
	case state.Tick:
		s.tick(now, out)
	case state.HostList:
		s.listed(now, in)
	case state.ProbeResult:
		s.probed(in)
	}
}

func (s *System) tick(now time.Duration, out *state.Outbox) {
	if now >= s.nextList {
		s.nextList = now + listPeriod
		out.Add(state.FetchHosts{})
	}
	for {
		id, ok := s.probes.Pop(now)
		if !ok {
			return
		}
		host := s.t.Hosts.Get(id)
		if host == nil {
			continue
		}
		out.Add(state.Probe{Host: id, Address: host.Address, SentAt: now})
		s.probes.Schedule(id, now+probePeriod)
	}
}

func (s *System) listed(now time.Duration, list state.HostList) {
	for _, h := range list.Hosts {
		row := s.t.Hosts.Get(h.ID)
		if row == nil {
			row = &state.Host{ID: h.ID}
			s.probes.Schedule(h.ID, now)
		}
		row.Address, row.DataCentre, row.Domain = h.Address, h.DataCentre, h.Domain
		row.Listed, row.Leaving = true, h.Leaving
		s.t.Hosts.Put(h.ID, row)
	}
}

func (s *System) probed(res state.ProbeResult) {
	host := s.t.Hosts.Get(res.Host)
	if host == nil || !res.OK {
		return
	}
	host.Probe, host.ProbeAt = res.Answer, res.SentAt
	group := s.t.Groups.Get(res.Answer.Group)
	if group == nil {
		return
	}
	s.judge(group)
}

func (s *System) judge(group *state.Group) {
	group.Whole = len(group.Members) > 0
	for i, m := range group.Members {
		host := s.t.Hosts.Get(m)
		if host == nil || host.Probe.Phase != state.PhaseReady || host.Probe.Group != group.ID {
			group.Whole = false
			return
		}
		if i == 0 || host.ProbeAt < group.WholeAt {
			group.WholeAt = host.ProbeAt
		}
	}
	s.t.Groups.Touch(group.ID)
}
