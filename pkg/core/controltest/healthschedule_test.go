package controltest

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// hostFault is one kind of fault in a random schedule of host and node faults.
type hostFault struct {
	name  string
	apply func(c *cluster, h *fakeHost, n state.NodeID)
}

var hostFaults = []hostFault{
	{"die", func(_ *cluster, h *fakeHost, _ state.NodeID) { h.dead = true }},
	{"die", func(_ *cluster, h *fakeHost, _ state.NodeID) { h.dead = true }},
	{"recover host", func(_ *cluster, h *fakeHost, _ state.NodeID) { h.dead = false }},
	{"restart and load", func(c *cluster, h *fakeHost, _ state.NodeID) { c.reloadHost(h) }},
	{"cut from node", func(_ *cluster, h *fakeHost, n state.NodeID) { h.unreachableFrom[n] = true }},
	{"cut node from all", func(c *cluster, _ *fakeHost, n state.NodeID) {
		for _, h := range c.hosts {
			h.unreachableFrom[n] = true
		}
	}},
	{"heal hosts", func(c *cluster, _ *fakeHost, _ state.NodeID) {
		for _, h := range c.hosts {
			clear(h.unreachableFrom)
		}
	}},
	{"kill node", func(c *cluster, _ *fakeHost, n state.NodeID) { c.kill(n) }},
	{"start node", func(c *cluster, _ *fakeHost, n state.NodeID) { c.startNode(n); c.putAllGroups() }},
	{"split node", func(c *cluster, _ *fakeHost, n state.NodeID) { c.isolate(n) }},
	{"cut node one way", func(c *cluster, _ *fakeHost, n state.NodeID) { c.cutOneWay(n, c.ids[0]) }},
	{"heal nodes", func(c *cluster, _ *fakeHost, _ state.NodeID) { c.heal() }},
	{"slow link", func(c *cluster, _ *fakeHost, n state.NodeID) {
		c.linkDelay[[2]state.NodeID{n, c.ids[1]}] += 400 * time.Millisecond
	}},
	{"pause", func(c *cluster, _ *fakeHost, n state.NodeID) {
		c.nodes[n].paused = true
		c.run(2 * time.Second)
		c.nodes[n].resume()
	}},
}

// reloadHost restarts a host and loads it. The first node that reaches the host
// gives the order, as the holder of the placement lease does, and probes the host
// before it is ready.
func (c *cluster) reloadHost(h *fakeHost) {
	for _, id := range c.ids {
		n := c.nodes[id]
		if !n.alive || n.paused || h.unreachableFrom[id] {
			continue
		}
		h.dead, h.reloaded, h.probeAnswer.Phase = false, true, state.PhaseLoading
		h.probeAnswer.Incarnation++
		n.feed(state.ProbeResult{Host: h.id, SentAt: n.clock(), OK: true, Answer: h.probeAnswer})
		c.run(time.Second)
		h.probeAnswer.Phase = state.PhaseReady
		return
	}
}

// groupCount is the number of groups of two members in random schedules.
const groupCount = 4

// putAllGroups writes the rows of all groups at all nodes, because a started node
// has none.
func (c *cluster) putAllGroups() {
	for i := range groupCount {
		c.putGroup(state.GroupID(fmt.Sprintf("g%d", i+1)), 1,
			state.HostID(fmt.Sprintf("h%d", 2*i+1)), state.HostID(fmt.Sprintf("h%d", 2*i+2)))
	}
}

// hostHistory records the actual state of the hosts every 50 ms, for comparison with
// the health of groups at the nodes.
type hostHistory struct {
	// lastReadyAt is when a host was last up and ready.
	lastReadyAt map[state.HostID]time.Duration
	// lastFaultAt is when a host was last down or unreachable from any node.
	lastFaultAt map[state.HostID]time.Duration
}

// observe samples the state of the hosts and returns a description of the first
// difference that it finds, or an empty string.
func (h *hostHistory) observe(c *cluster) string {
	for id, host := range c.hosts {
		if !host.dead && host.probeAnswer.Phase == state.PhaseReady {
			h.lastReadyAt[id] = c.now
		}
		if host.dead || len(host.unreachableFrom) > 0 {
			h.lastFaultAt[id] = c.now
		}
	}
	for id, n := range c.nodes {
		if !n.alive || n.paused {
			continue
		}
		for g, row := range n.tables.Groups.All() {
			for _, m := range row.Members {
				// The state of the hosts is sampled once per tick.
				if n.isRoutable(g) && c.now-h.lastReadyAt[m] > 1500*time.Millisecond+state.TickPeriod {
					return fmt.Sprintf("at %s %s routes to %s, %s has been down since %s", c.now, id, g, m, h.lastReadyAt[m])
				}
			}
			for _, m := range row.DeadMembers {
				if c.now-h.lastFaultAt[m] > 3*time.Second {
					return fmt.Sprintf("at %s %s reports %s as dead, which has been up and reachable since %s", c.now, id, m, h.lastFaultAt[m])
				}
			}
		}
	}
	return ""
}

// TestRandomHostFaultsKeepGroupHealth guards against sequences of faults after which
// a node routes to a group with a member that has been down for longer than health
// evidence lasts (I1), reports a member as dead that all nodes reach, or finds a
// group unhealthy although all faults have ended.
func TestRandomHostFaultsKeepGroupHealth(t *testing.T) {
	gomega.RegisterTestingT(t)
	rapid.Check(t, func(rt *rapid.T) {
		c := newClusterWithGroups(rapid.SampledFrom([]int{2, 3, 6}).Draw(rt, "nodes"), groupCount)
		history := &hostHistory{lastReadyAt: map[state.HostID]time.Duration{}, lastFaultAt: map[state.HostID]time.Duration{}}
		violation := ""
		var observe func()
		observe = func() {
			if found := history.observe(c); violation == "" {
				violation = found
			}
			c.scheduleAfter(state.TickPeriod, observe)
		}
		c.scheduleAfter(0, observe)
		c.run(time.Millisecond)
		for range rapid.IntRange(1, 20).Draw(rt, "faults") {
			fault := hostFaults[rapid.IntRange(0, len(hostFaults)-1).Draw(rt, "fault")]
			host := state.HostID(fmt.Sprintf("h%d", rapid.IntRange(1, 2*groupCount).Draw(rt, "host")))
			fault.apply(c, c.hosts[host], rapid.SampledFrom(c.ids).Draw(rt, "node"))
			c.run(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "run")) * time.Millisecond)
			if violation != "" {
				rt.Fatalf("%s", violation)
			}
		}
		c.heal()
		clear(c.linkDelay)
		for _, h := range c.hosts {
			h.dead = false
			clear(h.unreachableFrom)
		}
		for _, id := range c.ids {
			if !c.nodes[id].alive {
				c.startNode(id)
			}
		}
		c.putAllGroups()
		c.run(2 * time.Second)
		for _, id := range slices.Sorted(maps.Keys(c.hosts)) {
			// The only node that observed a load may have died since. The group
			// then stays out of use until the host is loaded again.
			if c.hosts[id].reloaded {
				c.reloadHost(c.hosts[id])
			}
		}
		c.run(10 * time.Second)
		for i := range groupCount {
			if id := state.GroupID(fmt.Sprintf("g%d", i+1)); c.nodesRoutingTo(id) != len(c.ids) || c.nodesReportingDead(id) != 0 {
				rt.Fatalf("after recovery %d of %d nodes route to %s, %d report a member as dead",
					c.nodesRoutingTo(id), len(c.ids), id, c.nodesReportingDead(id))
			}
		}
		if violation != "" {
			rt.Fatalf("%s", violation)
		}
	})
}
