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

// A fixed seed gives the same result on every run. The flag -rapid.seed sets
// another one.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// nodeFault is one kind of fault or operator command in a random schedule.
type nodeFault struct {
	name  string
	apply func(c *cluster, a, b state.NodeID)
}

var nodeFaults = []nodeFault{
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
	{"isolate one", func(c *cluster, a, _ state.NodeID) { c.isolate(a) }},
	{"isolate two", func(c *cluster, a, b state.NodeID) { c.isolate(a, b) }},
	{"isolate half", func(c *cluster, _, _ state.NodeID) { c.isolate(c.ids[:len(c.ids)/2]...) }},
	{"heal", func(c *cluster, _, _ state.NodeID) { c.heal() }},
	{"make store unreachable", func(c *cluster, a, _ state.NodeID) { c.storeUnreachable[a] = true }},
	{"make store unreachable except for two", func(c *cluster, a, b state.NodeID) {
		for _, id := range c.ids {
			c.storeUnreachable[id] = id != a && id != b
		}
	}},
	{"restore store", func(c *cluster, _, _ state.NodeID) { clear(c.storeUnreachable); c.storeDown = false }},
	{"store down", func(c *cluster, _, _ state.NodeID) { c.storeDown = true }},
	{"lose reply", func(c *cluster, _, _ state.NodeID) { c.repliesToLose++ }},
	{"delay transaction", func(c *cluster, _, _ state.NodeID) { c.delayedTransactions++ }},
	{"slow link", func(c *cluster, a, b state.NodeID) { c.linkDelay[[2]state.NodeID{a, b}] += 700 * time.Millisecond }},
	{"out", func(c *cluster, a, _ state.NodeID) { c.sendCommand(a, disableNorth) }},
	{"in", func(c *cluster, a, _ state.NodeID) {
		c.sendCommand(a, state.OperatorCommand{Action: state.ActionEnable, DataCentre: "north"})
	}},
	{"preset", func(c *cluster, a, _ state.NodeID) { c.sendCommand(a, applyPeakPreset) }},
	{"ordinary", func(c *cluster, a, _ state.NodeID) {
		c.sendCommand(a, state.OperatorCommand{Action: state.ActionPreset, Preset: "ordinary"})
	}},
}

// TestRandomFaultsKeepAcceptedVersion guards against sequences of faults after which
// a node sends new work by a version older than an accepted one, the version of a
// node reverts, or a node stays stale although all faults have ended.
func TestRandomFaultsKeepAcceptedVersion(t *testing.T) {
	gomega.RegisterTestingT(t)
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(rapid.SampledFrom([]int{2, 3, 5, 6}).Draw(rt, "nodes"))
		c.writeInitialConfig(state.Document{
			DataCentres: []state.DataCentreSpec{{Name: "north"}},
			Presets:     []state.PresetSpec{{Name: "ordinary"}, {Name: "peak"}},
		})
		c.startNodes()
		c.run(time.Duration(rapid.IntRange(0, 8000).Draw(rt, "start")) * time.Millisecond)
		versions := map[state.NodeID]incarnationVersion{}
		for i := range rapid.IntRange(1, 25).Draw(rt, "faults") {
			fault := nodeFaults[rapid.IntRange(0, len(nodeFaults)-1).Draw(rt, "fault")]
			a := rapid.SampledFrom(c.ids).Draw(rt, "a")
			b := rapid.SampledFrom(c.ids).Draw(rt, "b")
			fault.apply(c, a, b)
			c.run(time.Duration(rapid.IntRange(0, 2500).Draw(rt, fmt.Sprintf("run %d", i))) * time.Millisecond)
			c.expectMonotonic(rt, versions)
		}
		c.expectRecovery(rt)
	})
}

// incarnationVersion is the configuration version of a node in one incarnation.
type incarnationVersion struct {
	incarnation state.Incarnation
	version     state.Version
}

// expectMonotonic fails on a recorded violation, or if the version of a node
// decreased within one incarnation.
func (c *cluster) expectMonotonic(rt *rapid.T, lastVersions map[state.NodeID]incarnationVersion) {
	if len(c.violations) > 0 {
		rt.Fatalf("%s", c.violations[0])
	}
	for id, n := range c.nodes {
		current := incarnationVersion{n.self.Incarnation, c.version(id)}
		if previous := lastVersions[id]; previous.incarnation == current.incarnation && current.version < previous.version {
			rt.Fatalf("%s reverted from %d to %d", id, previous.version, current.version)
		}
		lastVersions[id] = current
	}
}

// expectRecovery ends all faults and expects every node to be fresh at one
// accepted version.
func (c *cluster) expectRecovery(rt *rapid.T) {
	c.heal()
	clear(c.storeUnreachable)
	clear(c.linkDelay)
	c.storeDown, c.repliesToLose, c.delayedTransactions = false, 0, 0
	for _, id := range c.ids {
		if c.nodes[id].resume(); !c.nodes[id].alive {
			c.startNode(id)
		}
	}
	c.run(40 * time.Second)
	c.expectMonotonic(rt, map[state.NodeID]incarnationVersion{})
	for _, id := range c.ids {
		config := &c.nodes[id].tables.Config
		if !config.Fresh || config.AcceptedVersion != config.Head.Version || config.Head.Version != c.version("n1") {
			rt.Fatalf("%s after recovery: fresh %t, version %d, accepted %d, n1 has %d",
				id, config.Fresh, config.Head.Version, config.AcceptedVersion, c.version("n1"))
		}
	}
}
