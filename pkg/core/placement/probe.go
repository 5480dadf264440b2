package placement

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// memberProbePeriod is the time between probes of a member while its group is
// loading or is not known to be healthy.
const memberProbePeriod = 500 * time.Millisecond

// handleProbeResult records a probe result, whichever system sent the probe.
func (s *System) handleProbeResult(res state.ProbeResult) {
	h := s.hosts[res.Host]
	if h == nil {
		return
	}
	if !res.OK {
		h.probeFailedAt = max(h.probeFailedAt, res.SentAt)
		return
	}
	if res.SentAt >= h.probeOKAt {
		h.answer, h.probeOKAt = res.Answer, res.SentAt
	}
}

// probe sends a probe to a host unless this or another system has probed it
// within the period.
func (s *System) probe(now time.Duration, h *host, period time.Duration, out *state.Outbox) {
	row := s.tables.Hosts.Get(h.id)
	if row == nil || now-max(h.probeSentAt, h.probeOKAt) < period {
		return
	}
	h.probeSentAt = now
	out.Add(state.Probe{Host: h.id, Address: row.Address, SentAt: now})
}

// isAlive reports whether the last probe answer of a host shows that it is
// alive.
func (h *host) isAlive(now time.Duration) bool {
	return h.probeOKAt > h.probeFailedAt && now-h.probeOKAt <= probeValidity
}

// isAssignable reports whether a host may be assigned to a group according to
// the platform's host list and the host rows.
func (s *System) isAssignable(now time.Duration, h *host) bool {
	row := s.tables.Hosts.Get(h.id)
	if row == nil || !row.Listed || row.Leaving || now < h.drainUntil {
		return false
	}
	return h.row.Group == "" || s.tables.Switches.IgnoreHostRows
}

// freeHostsKnown reports whether each host that may be free has answered a
// probe or has had enough time to answer.
func (s *System) freeHostsKnown(now time.Duration, c *dataCentre) bool {
	for _, id := range c.hosts {
		h := s.host(id)
		if !s.isAssignable(now, h) || now-max(h.probeOKAt, h.probeFailedAt) <= probeValidity {
			continue
		}
		if h.probeSentAt == never || now-h.probeSentAt < probeWait {
			return false
		}
	}
	return true
}

// freeHosts returns the live free hosts of a data centre by fabric domain.
func (s *System) freeHosts(now time.Duration, c *dataCentre) []domainHosts {
	byDomain := map[state.DomainID][]state.HostID{}
	for _, id := range c.hosts {
		h := s.host(id)
		if s.isAssignable(now, h) && h.isAlive(now) && h.answer.Phase != state.PhaseLeaving {
			domain := s.tables.Hosts.Get(id).Domain
			byDomain[domain] = append(byDomain[domain], id)
		}
	}
	return sortedDomains(byDomain)
}

// probeFreeHosts probes the free hosts of a data centre while groups need
// hosts, so that planning has recent answers.
func (s *System) probeFreeHosts(now time.Duration, c *dataCentre, out *state.Outbox) {
	if now > c.term.probeFreeUntil {
		return
	}
	for _, id := range c.hosts {
		if h := s.host(id); s.isAssignable(now, h) {
			s.probe(now, h, freeProbePeriod, out)
		}
	}
}
