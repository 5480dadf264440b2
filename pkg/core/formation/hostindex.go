package formation

import (
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// hostIndex holds the hosts by ID and, in the order of their IDs, all of them and those of each
// fabric domain.
type hostIndex struct {
	byID map[state.HostID]*host
	// ordered and domains are built when they are next needed after a change.
	ordered []*host
	domains map[state.DomainID][]*host
	isStale bool
}

func newHostIndex() hostIndex { return hostIndex{byID: map[state.HostID]*host{}} }

// get returns a host, or nil.
func (x *hostIndex) get(id state.HostID) *host { return x.byID[id] }

func (x *hostIndex) len() int { return len(x.byID) }

func (x *hostIndex) put(h *host) {
	x.byID[h.id] = h
	x.isStale = true
}

// domainChanged must be called after a host has changed its domain.
func (x *hostIndex) domainChanged() { x.isStale = true }

// all returns all hosts. The result is valid until the next change.
func (x *hostIndex) all() []*host {
	x.refresh()
	return x.ordered
}

// inDomain returns the hosts of a domain. The result is valid until the next change.
func (x *hostIndex) inDomain(domain state.DomainID) []*host {
	x.refresh()
	return x.domains[domain]
}

func (x *hostIndex) refresh() {
	if !x.isStale {
		return
	}
	x.isStale = false
	x.ordered, x.domains = make([]*host, 0, len(x.byID)), map[state.DomainID][]*host{}
	for _, id := range state.SortedKeys(x.byID) {
		h := x.byID[id]
		x.ordered = append(x.ordered, h)
		x.domains[h.domain] = append(x.domains[h.domain], h)
	}
}
