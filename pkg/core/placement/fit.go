package placement

import (
	"cmp"
	"slices"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// domainHosts holds the free hosts of a fabric domain in the order in which
// they are assigned.
type domainHosts struct {
	domain state.DomainID
	hosts  []state.HostID
}

// bestFit returns the index of the domain that has at least memberCount free
// hosts and exceeds this number by the least, or -1. A domain that is left
// without free hosts strands none. A domain that is left with a few strands
// them until a small group needs them.
func bestFit(domains []domainHosts, memberCount int) int {
	best := -1
	for i, d := range domains {
		if len(d.hosts) < memberCount {
			continue
		}
		if best < 0 || len(d.hosts) < len(domains[best].hosts) {
			best = i
		}
	}
	return best
}

func sortedDomains(byDomain map[state.DomainID][]state.HostID) []domainHosts {
	domains := make([]domainHosts, 0, len(byDomain))
	for domain, hosts := range byDomain {
		domains = append(domains, domainHosts{domain, hosts})
	}
	slices.SortFunc(domains, func(a, b domainHosts) int { return cmp.Compare(a.domain, b.domain) })
	return domains
}
