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

// hostFault is one kind of fault of a random schedule on hosts.
type hostFault struct {
	name string
	do   func(c *cluster, h *fakeHost, n state.NodeID)
}

var hostFaults = []hostFault{
	{"die", func(_ *cluster, h *fakeHost, _ state.NodeID) { h.dead = true }},
	{"die", func(_ *cluster, h *fakeHost, _ state.NodeID) { h.dead = true }},
	{"come back", func(_ *cluster, h *fakeHost, _ state.NodeID) { h.dead = false }},
	{"restart and load", func(c *cluster, h *fakeHost, _ state.NodeID) { c.reload(h) }},
	{"cut from node", func(_ *cluster, h *fakeHost, n state.NodeID) { h.cut[n] = true }},
	{"cut node from all", func(c *cluster, _ *fakeHost, n state.NodeID) {
		for _, h := range c.hosts {
			h.cut[n] = true
		}
	}},
	{"heal hosts", func(c *cluster, _ *fakeHost, _ state.NodeID) {
		for _, h := range c.hosts {
			clear(h.cut)
		}
	}},
	{"kill node", func(c *cluster, _ *fakeHost, n state.NodeID) { c.kill(n) }},
	{"start node", func(c *cluster, _ *fakeHost, n state.NodeID) { c.startNode(n); c.putAll() }},
	{"split node", func(c *cluster, _ *fakeHost, n state.NodeID) { c.split(n) }},
	{"cut node one way", func(c *cluster, _ *fakeHost, n state.NodeID) { c.cutOneWay(n, c.ids[0]) }},
	{"heal nodes", func(c *cluster, _ *fakeHost, _ state.NodeID) { c.heal() }},
	{"slow link", func(c *cluster, _ *fakeHost, n state.NodeID) {
		c.peerLag[[2]state.NodeID{n, c.ids[1]}] += 400 * time.Millisecond
	}},
	{"pause", func(c *cluster, _ *fakeHost, n state.NodeID) {
		c.nodes[n].paused = true
		c.run(2 * time.Second)
		c.nodes[n].resume()
	}},
}

// reload restarts a host and loads it. The node that gives the order, as the
// holder of the placement lease does, reaches the host and sees it before.
func (c *cluster) reload(h *fakeHost) {
	for _, id := range c.ids {
		n := c.nodes[id]
		if !n.alive || n.paused || h.cut[id] {
			continue
		}
		h.dead, h.reloaded, h.answer.Phase = false, true, state.PhaseLoading
		h.answer.Incarnation++
		n.feed(state.ProbeResult{Host: h.id, SentAt: n.clock(), OK: true, Answer: h.answer})
		c.run(time.Second)
		h.answer.Phase = state.PhaseReady
		return
	}
}

// hostGroups is the number of groups of two members in random schedules.
const hostGroups = 4

// putAll gives the rows of all groups to nodes that started.
func (c *cluster) putAll() {
	for i := range hostGroups {
		c.putGroup(state.GroupID(fmt.Sprintf("g%d", i+1)), 1,
			state.HostID(fmt.Sprintf("h%d", 2*i+1)), state.HostID(fmt.Sprintf("h%d", 2*i+2)))
	}
}

// watchTruth compares the verdicts of the nodes with the hosts, each 50 ms.
type watchTruth struct {
	alive map[state.HostID]time.Duration
	// well is since when a host has been up and reached by every node.
	well map[state.HostID]time.Duration
}

func (w *watchTruth) observe(c *cluster) string {
	for id, h := range c.hosts {
		if !h.dead && h.answer.Phase == state.PhaseReady {
			w.alive[id] = c.now
		}
		if h.dead || len(h.cut) > 0 {
			w.well[id] = c.now
		}
	}
	for id, n := range c.nodes {
		if !n.alive || n.paused {
			continue
		}
		for g, row := range n.t.Groups.All() {
			for _, m := range row.Members {
				// The hosts are looked at once a tick.
				if n.routable(g) && c.now-w.alive[m] > 1500*time.Millisecond+state.TickPeriod {
					return fmt.Sprintf("at %s %s routes to %s, %s has been down since %s", c.now, id, g, m, w.alive[m])
				}
			}
			for _, m := range row.DeadMembers {
				if c.now-w.well[m] > 3*time.Second {
					return fmt.Sprintf("at %s %s holds %s for dead, which has been well since %s", c.now, id, m, w.well[m])
				}
			}
		}
	}
	return ""
}

// TestScheduleKeepsVerdicts guards against any order of faults in which a node
// routes to a group with a member that has been down for longer than a verdict
// lasts (I1), holds a member for dead that all reach, or finds no whole group
// once all faults are over.
func TestScheduleKeepsVerdicts(t *testing.T) {
	gomega.RegisterTestingT(t)
	rapid.Check(t, func(rt *rapid.T) {
		c := watched(rapid.SampledFrom([]int{2, 3, 6}).Draw(rt, "nodes"), hostGroups)
		truth := &watchTruth{alive: map[state.HostID]time.Duration{}, well: map[state.HostID]time.Duration{}}
		fault := ""
		var observe func()
		observe = func() {
			if seen := truth.observe(c); fault == "" {
				fault = seen
			}
			c.after(state.TickPeriod, observe)
		}
		c.after(0, observe)
		c.run(time.Millisecond)
		for range rapid.IntRange(1, 20).Draw(rt, "faults") {
			f := hostFaults[rapid.IntRange(0, len(hostFaults)-1).Draw(rt, "fault")]
			host := state.HostID(fmt.Sprintf("h%d", rapid.IntRange(1, 2*hostGroups).Draw(rt, "host")))
			f.do(c, c.hosts[host], rapid.SampledFrom(c.ids).Draw(rt, "node"))
			c.run(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "run")) * time.Millisecond)
			if fault != "" {
				rt.Fatalf("%s", fault)
			}
		}
		c.heal()
		clear(c.peerLag)
		for _, h := range c.hosts {
			h.dead = false
			clear(h.cut)
		}
		for _, id := range c.ids {
			if !c.nodes[id].alive {
				c.startNode(id)
			}
		}
		c.putAll()
		c.run(2 * time.Second)
		for _, id := range slices.Sorted(maps.Keys(c.hosts)) {
			// The only node that saw a load may have died since. The group then
			// stays out of use until it is loaded again.
			if c.hosts[id].reloaded {
				c.reload(c.hosts[id])
			}
		}
		c.run(10 * time.Second)
		for i := range hostGroups {
			if id := state.GroupID(fmt.Sprintf("g%d", i+1)); c.routers(id) != len(c.ids) || c.deadAt(id) != 0 {
				rt.Fatalf("after recovery %d of %d nodes route to %s, %d hold a member for dead",
					c.routers(id), len(c.ids), id, c.deadAt(id))
			}
		}
		if fault != "" {
			rt.Fatalf("%s", fault)
		}
	})
}
