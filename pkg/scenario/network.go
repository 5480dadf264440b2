package scenario

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// sameCentreLatency and otherCentre are one-way delays of the network.
	sameCentreLatency  = 100 * time.Microsecond
	otherCentreLatency = 500 * time.Microsecond
	linkCheckPeriod    = 100 * time.Millisecond
	// linkTimeout is after how long a silent link between nodes is closed.
	linkTimeout = 3 * time.Second
)

// Endpoint names of the platform.
const (
	EndpointTable = "table"
	EndpointList  = "list"
)

// Network knows which endpoints cannot reach which.
type Network struct {
	cuts map[[2]string]bool
	// ExtraLatency delays every message, as a slow network does.
	ExtraLatency time.Duration
	// linkDelays delays what goes from one endpoint to another.
	linkDelays map[[2]string]time.Duration
}

func newNetwork() *Network {
	return &Network{cuts: map[[2]string]bool{}, linkDelays: map[[2]string]time.Duration{}}
}

// SetDelay delays messages of nodes to nodes and orders of nodes to hosts that are
// sent from now on. Zero ends the delay.
func (n *Network) SetDelay(from, to string, d time.Duration) { n.linkDelays[[2]string{from, to}] = d }

func (n *Network) linkDelay(from, to string) time.Duration { return n.linkDelays[[2]string{from, to}] }

// CutOneWay drops what goes from one endpoint to another.
func (n *Network) CutOneWay(from, to string) { n.cuts[[2]string{from, to}] = true }

// Cut drops what goes between two endpoints, in both directions.
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

// CanReach reports whether a message gets through.
func (n *Network) CanReach(from, to string) bool { return !n.cuts[[2]string{from, to}] }

func (sim *World) latency(a, b state.DataCentre) time.Duration {
	if a == b {
		return sameCentreLatency + sim.Network.ExtraLatency
	}
	return otherCentreLatency + sim.Network.ExtraLatency
}

// Isolate cuts a data centre off from the other ones and from the platform.
// Callers and targets inside it stay reachable for its own nodes.
func (sim *World) Isolate(dc state.DataCentre) {
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
	sim.Log("isolate %s", dc)
}

// checkLinks brings the links between nodes up and down.
func (sim *World) checkLinks() {
	for i, a := range sim.Nodes {
		for _, b := range sim.Nodes[i+1:] {
			sim.checkLink(a, b)
		}
	}
}

func (sim *World) checkLink(a, b *Node) {
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
