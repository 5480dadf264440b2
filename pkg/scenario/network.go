package scenario

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// sameCentre and otherCentre are one-way delays of the network.
	sameCentre  = 100 * time.Microsecond
	otherCentre = 500 * time.Microsecond
	linkPeriod  = 100 * time.Millisecond
	// linkSilence is after how long a silent link between nodes is closed.
	linkSilence = 3 * time.Second
)

// Endpoint names of the platform.
const (
	EndpointTable = "table"
	EndpointList  = "list"
)

// Network knows which endpoints cannot reach which.
type Network struct {
	cuts map[[2]string]bool
	// Extra delays every message, as a slow network does.
	Extra time.Duration
	// late delays what goes from one endpoint to another.
	late map[[2]string]time.Duration
}

func newNetwork() *Network {
	return &Network{cuts: map[[2]string]bool{}, late: map[[2]string]time.Duration{}}
}

// Delay delays messages of nodes to nodes and orders of nodes to hosts that are
// sent from now on. Zero ends the delay.
func (n *Network) Delay(from, to string, d time.Duration) { n.late[[2]string{from, to}] = d }

func (n *Network) lateness(from, to string) time.Duration { return n.late[[2]string{from, to}] }

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
	clear(n.late)
}

// HealBetween ends the cuts between two endpoints.
func (n *Network) HealBetween(a, b string) {
	delete(n.cuts, [2]string{a, b})
	delete(n.cuts, [2]string{b, a})
}

// Passes reports whether a message gets through.
func (n *Network) Passes(from, to string) bool { return !n.cuts[[2]string{from, to}] }

func (w *World) delay(a, b state.DataCentre) time.Duration {
	if a == b {
		return sameCentre + w.Network.Extra
	}
	return otherCentre + w.Network.Extra
}

// Isolate cuts a data centre off from the other ones and from the platform.
// Callers and targets inside it stay reachable for its own nodes.
func (w *World) Isolate(dc state.DataCentre) {
	var inside, outside []string
	for _, n := range w.Nodes {
		if n.DataCentre == dc {
			inside = append(inside, string(n.ID))
		} else {
			outside = append(outside, string(n.ID))
		}
	}
	for _, e := range w.Engines {
		if e.Host.DataCentre == dc {
			inside = append(inside, string(e.Host.ID))
		} else {
			outside = append(outside, string(e.Host.ID))
		}
	}
	outside = append(outside, EndpointTable, EndpointList)
	for _, a := range inside {
		for _, b := range outside {
			w.Network.Cut(a, b)
		}
	}
	w.Log("isolate %s", dc)
}

// checkLinks brings the links between nodes up and down.
func (w *World) checkLinks() {
	for i, a := range w.Nodes {
		for _, b := range w.Nodes[i+1:] {
			w.checkLink(a, b)
		}
	}
}

func (w *World) checkLink(a, b *Node) {
	if !a.Alive || !b.Alive {
		a.setLink(b, false)
		b.setLink(a, false)
		return
	}
	live := !a.Paused && !b.Paused && (a.wants(b.ID) || b.wants(a.ID)) &&
		w.Network.Passes(string(a.ID), string(b.ID)) && w.Network.Passes(string(b.ID), string(a.ID))
	since, silent := a.silent[b.ID]
	switch {
	case live:
		delete(a.silent, b.ID)
		a.setLink(b, true)
		b.setLink(a, true)
	case !silent:
		a.silent[b.ID] = w.Now
	case w.Now-since >= linkSilence:
		a.setLink(b, false)
		b.setLink(a, false)
	}
}
