package scenario

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// sameCentreLatency and otherCentreLatency are one-way latencies of messages
	// within a data centre and between data centres.
	sameCentreLatency  = 100 * time.Microsecond
	otherCentreLatency = 500 * time.Microsecond
	linkCheckPeriod    = 100 * time.Millisecond
	// linkTimeout is the time after which the link between two nodes that cannot
	// reach each other goes down.
	linkTimeout = 3 * time.Second
)

// Endpoints of the platform in the network: the table service and the host list.
const (
	EndpointTable = "table"
	EndpointList  = "list"
)

// Network holds the cuts and delays between endpoints. An endpoint is a node, a host,
// a service or one of the endpoints of the platform.
type Network struct {
	cuts map[[2]string]bool
	// ExtraLatency is added to the one-way latency of each message.
	ExtraLatency time.Duration
	// linkDelays holds the added delay by sender and receiver.
	linkDelays map[[2]string]time.Duration
}

func newNetwork() *Network {
	return &Network{cuts: map[[2]string]bool{}, linkDelays: map[[2]string]time.Duration{}}
}

// SetDelay delays later messages between nodes and later orders of nodes to hosts, in
// one direction. Zero ends the delay.
func (n *Network) SetDelay(from, to string, d time.Duration) { n.linkDelays[[2]string{from, to}] = d }

func (n *Network) linkDelay(from, to string) time.Duration { return n.linkDelays[[2]string{from, to}] }

// CutOneWay drops messages from one endpoint to another.
func (n *Network) CutOneWay(from, to string) { n.cuts[[2]string{from, to}] = true }

// Cut drops messages between two endpoints in both directions.
func (n *Network) Cut(a, b string) {
	n.CutOneWay(a, b)
	n.CutOneWay(b, a)
}

// Heal ends all cuts and delays.
func (n *Network) Heal() {
	clear(n.cuts)
	clear(n.linkDelays)
}

// HealBetween ends the cuts between two endpoints.
func (n *Network) HealBetween(a, b string) {
	delete(n.cuts, [2]string{a, b})
	delete(n.cuts, [2]string{b, a})
}

// CanReach reports whether messages from one endpoint reach another.
func (n *Network) CanReach(from, to string) bool { return !n.cuts[[2]string{from, to}] }

// latency returns the one-way latency between two data centres.
func (sim *Simulation) latency(a, b state.DataCentre) time.Duration {
	if a == b {
		return sameCentreLatency + sim.Network.ExtraLatency
	}
	return otherCentreLatency + sim.Network.ExtraLatency
}

// Isolate cuts a data centre off from the other ones and from the platform. Its nodes
// still reach the callers and hosts inside it, and services stay reachable everywhere.
func (sim *Simulation) Isolate(dc state.DataCentre) {
	var inside, outside []string
	for _, n := range sim.Nodes {
		if n.DataCentre == dc {
			inside = append(inside, string(n.ID))
		} else {
			outside = append(outside, string(n.ID))
		}
	}
	for _, e := range sim.Engines {
		if e.Host.DataCentre == dc {
			inside = append(inside, string(e.Host.ID))
		} else {
			outside = append(outside, string(e.Host.ID))
		}
	}
	outside = append(outside, EndpointTable, EndpointList)
	for _, a := range inside {
		for _, b := range outside {
			sim.Network.Cut(a, b)
		}
	}
	sim.Log("isolate data centre %s", dc)
}

// maintainLinks updates the links between all nodes.
func (sim *Simulation) maintainLinks() {
	for i, a := range sim.Nodes {
		for _, b := range sim.Nodes[i+1:] {
			sim.maintainLink(a, b)
		}
	}
}

// maintainLink sets the link between two nodes up while at least one of them wants it and
// both reach each other. Otherwise the link goes down after linkTimeout, or at once if a
// node has stopped.
func (sim *Simulation) maintainLink(a, b *Node) {
	if !a.Alive || !b.Alive {
		a.setLink(b, false)
		b.setLink(a, false)
		return
	}
	reachable := !a.Paused && !b.Paused && (a.hasPeer(b.ID) || b.hasPeer(a.ID)) &&
		sim.Network.CanReach(string(a.ID), string(b.ID)) && sim.Network.CanReach(string(b.ID), string(a.ID))
	since, tracked := a.unreachableSince[b.ID]
	switch {
	case reachable:
		delete(a.unreachableSince, b.ID)
		a.setLink(b, true)
		b.setLink(a, true)
	case !tracked:
		a.unreachableSince[b.ID] = sim.Now
	case sim.Now-since >= linkTimeout:
		a.setLink(b, false)
		b.setLink(a, false)
	}
}
