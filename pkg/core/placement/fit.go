package placement

import (
	"cmp"
	"slices"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// domainHosts holds the free hosts of one fabric domain, in order.
type domainHosts struct {
	domain state.DomainID
	hosts  []state.HostID
}

// bestFit returns the domain whose free hosts exceed the need by least, or -1.
// A domain that is left with no host at all strands none; one that is left with
// few hosts strands them until a small group comes.
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
