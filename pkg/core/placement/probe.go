package placement

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// memberProbePeriod is between probes of a host that awaits the effect of an
// order.
const memberProbePeriod = 500 * time.Millisecond

// probed notes what a host answered, whichever system asked it.
func (s *System) probed(res state.ProbeResult) {
	h := s.hosts[res.Host]
	if h == nil {
		return
	}
	if !res.OK {
		h.failedAt = max(h.failedAt, res.SentAt)
		return
	}
	if res.SentAt >= h.okAt {
		h.answer, h.okAt = res.Answer, res.SentAt
	}
}

// probe asks a host unless it was asked within the period.
func (s *System) probe(now time.Duration, h *host, period time.Duration, out *state.Outbox) {
	row := s.t.Hosts.Get(h.id)
	if row == nil || now-max(h.probeSent, h.okAt) < period {
		return
	}
	h.probeSent = now
	out.Add(state.Probe{Host: h.id, Address: row.Address, SentAt: now})
}

// alive reports whether the last answer of a host shows that it lives.
func (h *host) alive(now time.Duration) bool {
	return h.okAt > h.failedAt && now-h.okAt <= aliveFor
}

// assignable reports whether a host may be given to a group as far as the
// platform's list and the host rows say.
func (s *System) assignable(now time.Duration, h *host) bool {
	row := s.t.Hosts.Get(h.id)
	if row == nil || !row.Listed || row.Leaving || now < h.drainUntil {
		return false
	}
	return h.row.Group == "" || s.t.Switches.IgnoreHostRows
}

// freeHostsKnown reports whether each host that may be free has answered or has
// had time to.
func (s *System) freeHostsKnown(now time.Duration, c *centre) bool {
	for _, id := range c.hosts {
		h := s.host(id)
		if !s.assignable(now, h) || now-max(h.okAt, h.failedAt) <= aliveFor {
			continue
		}
		if h.probeSent == never || now-h.probeSent < probeWait {
			return false
		}
	}
	return true
}

// freeHosts returns the live free hosts of a data centre by fabric domain.
func (s *System) freeHosts(now time.Duration, c *centre) []domainHosts {
	byDomain := map[state.DomainID][]state.HostID{}
	for _, id := range c.hosts {
		h := s.host(id)
		if s.assignable(now, h) && h.alive(now) && h.answer.Phase != state.PhaseLeaving {
			domain := s.t.Hosts.Get(id).Domain
			byDomain[domain] = append(byDomain[domain], id)
		}
	}
	return sortedDomains(byDomain)
}

// probeFreeHosts keeps the evidence on free hosts young while hosts are needed.
func (s *System) probeFreeHosts(now time.Duration, c *centre, out *state.Outbox) {
	if now > c.tenure.probeFree {
		return
	}
	for _, id := range c.hosts {
		if h := s.host(id); s.assignable(now, h) {
			s.probe(now, h, freeProbePeriod, out)
		}
	}
}
