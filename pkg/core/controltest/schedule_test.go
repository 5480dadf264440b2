package controltest

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// A fixed seed gives the same verdict on every run. The flag -rapid.seed sets
// another one.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// fault is one kind of fault or command of a random schedule.
type fault struct {
	name string
	do   func(c *cluster, a, b state.NodeID)
}

var faults = []fault{
	{"kill", func(c *cluster, a, _ state.NodeID) { c.kill(a) }},
	{"restart", func(c *cluster, a, _ state.NodeID) { c.startNode(a) }},
	{"restart", func(c *cluster, a, _ state.NodeID) { c.startNode(a) }},
	{"restart two", func(c *cluster, a, b state.NodeID) { c.startNode(a); c.startNode(b) }},
	{"pause", func(c *cluster, a, _ state.NodeID) { c.nodes[a].paused = true }},
	{"resume", func(c *cluster, _, _ state.NodeID) {
		for _, id := range c.ids {
			c.nodes[id].resume()
		}
	}},
	{"cut one way", func(c *cluster, a, b state.NodeID) { c.cutOneWay(a, b) }},
	{"split one", func(c *cluster, a, _ state.NodeID) { c.split(a) }},
	{"split two", func(c *cluster, a, b state.NodeID) { c.split(a, b) }},
	{"split half", func(c *cluster, _, _ state.NodeID) { c.split(c.ids[:len(c.ids)/2]...) }},
	{"heal", func(c *cluster, _, _ state.NodeID) { c.heal() }},
	{"cut store", func(c *cluster, a, _ state.NodeID) { c.storeCut[a] = true }},
	{"leave store to", func(c *cluster, a, b state.NodeID) {
		for _, id := range c.ids {
			c.storeCut[id] = id != a && id != b
		}
	}},
	{"heal store", func(c *cluster, _, _ state.NodeID) { clear(c.storeCut); c.storeDown = false }},
	{"store down", func(c *cluster, _, _ state.NodeID) { c.storeDown = true }},
	{"lose answer", func(c *cluster, _, _ state.NodeID) { c.lose++ }},
	{"late write", func(c *cluster, _, _ state.NodeID) { c.late++ }},
	{"slow link", func(c *cluster, a, b state.NodeID) { c.peerLag[[2]state.NodeID{a, b}] += 700 * time.Millisecond }},
	{"out", func(c *cluster, a, _ state.NodeID) { c.command(a, outNorth) }},
	{"in", func(c *cluster, a, _ state.NodeID) {
		c.command(a, state.OperatorCommand{Action: state.ActionEnable, DataCentre: "north"})
	}},
	{"preset", func(c *cluster, a, _ state.NodeID) { c.command(a, peak) }},
	{"ordinary", func(c *cluster, a, _ state.NodeID) {
		c.command(a, state.OperatorCommand{Action: state.ActionPreset, Preset: "ordinary"})
	}},
}

// TestScheduleKeepsAcceptance guards against any order of faults in which a
// node sends new work by a version older than an accepted one, a version
// reverts, or a node stays stale once all faults are over.
func TestScheduleKeepsAcceptance(t *testing.T) {
	gomega.RegisterTestingT(t)
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(rapid.SampledFrom([]int{2, 3, 5, 6}).Draw(rt, "nodes"))
		c.seed(state.Document{
			DataCentres: []state.DataCentreSpec{{Name: "north"}},
			Presets:     []state.PresetSpec{{Name: "ordinary"}, {Name: "peak"}},
		})
		c.startAll()
		c.run(time.Duration(rapid.IntRange(0, 8000).Draw(rt, "start")) * time.Millisecond)
		versions := map[state.NodeID]version{}
		for i := range rapid.IntRange(1, 25).Draw(rt, "faults") {
			f := faults[rapid.IntRange(0, len(faults)-1).Draw(rt, "fault")]
			a := rapid.SampledFrom(c.ids).Draw(rt, "a")
			b := rapid.SampledFrom(c.ids).Draw(rt, "b")
			f.do(c, a, b)
			c.run(time.Duration(rapid.IntRange(0, 2500).Draw(rt, fmt.Sprintf("run %d", i))) * time.Millisecond)
			c.expectMonotonic(rt, versions)
		}
		c.expectRecovery(rt)
	})
}

// version is what a node knew in one incarnation.
type version struct {
	incarnation state.Incarnation
	version     state.Version
}

func (c *cluster) expectMonotonic(rt *rapid.T, seen map[state.NodeID]version) {
	if len(c.violations) > 0 {
		rt.Fatalf("%s", c.violations[0])
	}
	for id, n := range c.nodes {
		now := version{n.self.Incarnation, c.version(id)}
		if old := seen[id]; old.incarnation == now.incarnation && now.version < old.version {
			rt.Fatalf("%s reverted from %d to %d", id, old.version, now.version)
		}
		seen[id] = now
	}
}

// expectRecovery ends all faults and expects every node to be fresh at one
// accepted version.
func (c *cluster) expectRecovery(rt *rapid.T) {
	c.heal()
	clear(c.storeCut)
	clear(c.peerLag)
	c.storeDown, c.lose, c.late = false, 0, 0
	for _, id := range c.ids {
		if c.nodes[id].resume(); !c.nodes[id].alive {
			c.startNode(id)
		}
	}
	c.run(40 * time.Second)
	c.expectMonotonic(rt, map[state.NodeID]version{})
	for _, id := range c.ids {
		conf := &c.nodes[id].t.Config
		if !conf.Fresh || conf.AcceptedVersion != conf.Head.Version || conf.Head.Version != c.version("n1") {
			rt.Fatalf("%s after recovery: fresh %t, version %d, accepted %d, n1 has %d",
				id, conf.Fresh, conf.Head.Version, conf.AcceptedVersion, c.version("n1"))
		}
	}
}
