package controltest

import (
	"fmt"
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/membership"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// newClusterWithGroups returns a started cluster with the groups g1, g2 and so on,
// each of two members in the same data centre. Group g1 has the hosts h1 and h2.
func newClusterWithGroups(nodes, groups int) *cluster {
	c := newStartedCluster(nodes)
	for i := range groups {
		id := state.GroupID(fmt.Sprintf("g%d", i+1))
		var members []state.HostID
		for j := range 2 {
			h := state.HostID(fmt.Sprintf("h%d", 2*i+j+1))
			members = append(members, h)
			c.hosts[h] = &fakeHost{id: h, unreachableFrom: map[state.NodeID]bool{}, probeAnswer: state.ProbeAnswer{
				Incarnation: 1, Phase: state.PhaseReady, Group: id, FencingToken: 1, ChecksFencingToken: true,
			}}
			c.listedHosts = append(c.listedHosts, state.ListedHost{ID: h, Address: "addr-" + string(h), DataCentre: "north", Domain: "d"})
		}
		c.putGroup(id, 1, members...)
	}
	c.run(3 * time.Second)
	for _, n := range c.nodes {
		for _, g := range n.tables.Groups.Keys() {
			gomega.Expect(n.isRoutable(g)).To(gomega.BeTrue(), "%s routes to %s", n.self.ID, g)
		}
	}
	return c
}

// putGroup writes the row of a group at all nodes, as the placement system does.
func (c *cluster) putGroup(id state.GroupID, token state.FencingToken, members ...state.HostID) {
	for _, n := range c.nodes {
		row := n.tables.Groups.Get(id)
		if row == nil {
			row = &state.Group{ID: id}
		}
		row.Members, row.FencingToken, row.Phase = slices.Clone(members), token, state.GroupServing
		n.tables.Groups.Put(id, row)
	}
}

// isRoutable reports whether a node may route to a group.
func (n *node) isRoutable(id state.GroupID) bool {
	g := n.tables.Groups.Get(id)
	return g.Healthy && n.clock()-g.HealthyAt < membership.MaxHealthEvidenceAge
}

func (c *cluster) nodesRoutingTo(id state.GroupID) int {
	count := 0
	for _, n := range c.nodes {
		if n.alive && n.isRoutable(id) {
			count++
		}
	}
	return count
}

func (c *cluster) nodesReportingDead(id state.GroupID) int {
	count := 0
	for _, n := range c.nodes {
		if n.alive && len(n.tables.Groups.Get(id).DeadMembers) > 0 {
			count++
		}
	}
	return count
}

// watchersOf runs for 1 s and returns the nodes that probe a host at least three
// times in it. Probes for comparison are less frequent and do not count.
func (c *cluster) watchersOf(host state.HostID) []state.NodeID {
	clear(c.probeCounts)
	c.run(time.Second)
	var ids []state.NodeID
	for id, n := range c.probeCounts[host] {
		if n >= 3 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

var _ = ginkgo.Describe("membership", func() {
	// Guards against probes from every node, whose number would grow with the
	// square of the system, and against groups without two watchers.
	ginkgo.It("has each group probed by two nodes and routable at all nodes", func() {
		c := newClusterWithGroups(6, 12)
		watchedGroups := map[state.NodeID]int{}
		for i := range 12 {
			ids := c.watchersOf(state.HostID(fmt.Sprintf("h%d", 2*i+1)))
			gomega.Expect(ids).To(gomega.HaveLen(2))
			for _, id := range ids {
				watchedGroups[id]++
			}
			gomega.Expect(c.nodesRoutingTo(state.GroupID(fmt.Sprintf("g%d", i+1)))).To(gomega.Equal(6))
		}
		gomega.Expect(len(watchedGroups)).To(gomega.BeNumerically(">=", 5), "the watched groups are spread over the nodes")
	})

	// Guards against work sent to a group whose member has died (I1), and against a
	// repair before the member has been dead for 3 s.
	ginkgo.It("stops routing within 1.5 s and reports the member as dead after 3 s", func() {
		c := newClusterWithGroups(6, 3)
		watcher := c.watchersOf("h1")[0]
		c.hosts["h2"].dead = true
		diedAt := c.now
		c.run(1200 * time.Millisecond)
		gomega.Expect(c.nodes[watcher].tables.Groups.Get("g1").Healthy).To(gomega.BeFalse(), "the last answered probe is older than 1 s")
		gomega.Expect(c.runUntil(5*time.Second, func() bool { return c.nodesRoutingTo("g1") == 0 })).To(
			gomega.BeNumerically("<=", 300*time.Millisecond), "1.5 s after the death")
		gomega.Expect(c.nodesRoutingTo("g2")).To(gomega.Equal(6))
		for _, n := range c.nodes {
			gomega.Expect(n.tables.Groups.Get("g1").HealthyAt+n.clockZero).To(gomega.BeNumerically("<=", diedAt), "evidence is dated by the probe")
		}
		c.runUntil(5*time.Second, func() bool { return c.nodesReportingDead("g1") > 0 })
		gomega.Expect(c.now - diedAt).To(gomega.BeNumerically(">=", 3*time.Second))
		c.runUntil(5*time.Second, func() bool { return c.nodesReportingDead("g1") == 6 })
		gomega.Expect(c.now - diedAt).To(gomega.BeNumerically("<=", 4*time.Second))
		gomega.Expect(c.nodes["n1"].tables.Groups.Get("g1").DeadMembers).To(gomega.Equal([]state.HostID{"h2"}))
		c.hosts["h2"].dead = false
		c.run(time.Second)
		gomega.Expect(c.nodesReportingDead("g1")).To(gomega.BeZero())
		gomega.Expect(c.nodesRoutingTo("g1")).To(gomega.Equal(6))
	})

	// Guards against a group of members that did not load together: one has
	// restarted and reports that it is ready.
	ginkgo.DescribeTable("treats a restarted member as a new one until it has loaded",
		func(ignoreWholeness bool, wantRouting int) {
			c := newClusterWithGroups(6, 2)
			for _, n := range c.nodes {
				n.tables.Switches.IgnoreWholeness = ignoreWholeness
			}
			c.hosts["h2"].probeAnswer.Incarnation = 2
			c.run(3 * time.Second)
			gomega.Expect(c.nodesRoutingTo("g1")).To(gomega.Equal(wantRouting))
			c.hosts["h2"].probeAnswer.Phase = state.PhaseLoading
			c.run(time.Second)
			c.hosts["h2"].probeAnswer.Phase = state.PhaseReady
			c.run(time.Second)
			gomega.Expect(c.nodesRoutingTo("g1")).To(gomega.Equal(6))
		},
		ginkgo.Entry("with the check", false, 0),
		ginkgo.Entry("healthy by mistake without the check", true, 6),
	)

	// Guards against a watcher that starts later and assumes that the members that
	// it finds loaded together.
	ginkgo.It("informs a new watcher which members loaded together", func() {
		c := newClusterWithGroups(3, 1)
		c.hosts["h2"].probeAnswer.Incarnation = 2
		c.run(2 * time.Second)
		gomega.Expect(c.nodesRoutingTo("g1")).To(gomega.BeZero())
		for _, id := range c.watchersOf("h1") {
			c.startNode(id)
			c.putGroup("g1", 1, "h1", "h2")
			for range 50 {
				c.run(100 * time.Millisecond)
				gomega.Expect(c.nodesRoutingTo("g1")).To(gomega.BeZero())
			}
		}
	})

	// Guards against a group that stays out of use because its watchers were cut
	// off while a member loaded: the node that gave the order observed it.
	ginkgo.It("reports to the watchers that a member was seen before it was ready", func() {
		c := newClusterWithGroups(6, 1)
		watchers := c.watchersOf("h1")
		for _, id := range watchers {
			c.hosts["h2"].unreachableFrom[id] = true
		}
		c.reloadHost(c.hosts["h2"])
		c.run(2 * time.Second)
		clear(c.hosts["h2"].unreachableFrom)
		c.run(2 * time.Second)
		gomega.Expect(c.nodesRoutingTo("g1")).To(gomega.Equal(6))
	})

	// Guards against a group whose members still serve under an earlier fencing
	// token.
	ginkgo.It("ignores probe answers with an older fencing token", func() {
		c := newClusterWithGroups(3, 1)
		c.putGroup("g1", 2, "h1", "h2")
		c.run(100 * time.Millisecond)
		gomega.Expect(c.nodesRoutingTo("g1")).To(gomega.BeZero(), "the watchers have reported for the earlier token only")
		c.run(2 * time.Second)
		gomega.Expect(c.nodesRoutingTo("g1")).To(gomega.BeZero())
		c.hosts["h1"].probeAnswer.FencingToken, c.hosts["h2"].probeAnswer.FencingToken = 2, 2
		c.run(time.Second)
		gomega.Expect(c.nodesRoutingTo("g1")).To(gomega.Equal(3))
	})

	// Guards against a gap in service when the watchers of a group die.
	ginkgo.It("keeps routing when both watchers die at once", func() {
		c := newClusterWithGroups(6, 1)
		for _, id := range c.watchersOf("h1") {
			c.kill(id)
		}
		for range 60 {
			c.run(50 * time.Millisecond)
			gomega.Expect(c.nodesRoutingTo("g1")).To(gomega.Equal(4))
		}
		gomega.Expect(c.watchersOf("h1")).To(gomega.HaveLen(2))
	})

	// Guards against the repair of healthy groups because a watcher is cut off, and
	// against a cut-off watcher that hides the failure of a host permanently.
	ginkgo.It("treats a watcher that reaches few hosts as cut off", func() {
		c := newClusterWithGroups(6, 6)
		partitionedWatcher := c.watchersOf("h1")[0]
		for _, h := range c.hosts {
			h.unreachableFrom[partitionedWatcher] = true
		}
		for range 100 {
			c.run(100 * time.Millisecond)
			for i := range 6 {
				id := state.GroupID(fmt.Sprintf("g%d", i+1))
				gomega.Expect(c.nodesReportingDead(id)).To(gomega.BeZero())
				gomega.Expect(c.nodesRoutingTo(id)).To(gomega.Equal(6))
			}
		}
		gomega.Expect(c.watchersOf("h1")).To(gomega.HaveLen(3), "another node probes in its place")
		c.hosts["h1"].dead = true
		c.run(6 * time.Second)
		gomega.Expect(c.nodesReportingDead("g1")).To(gomega.BeNumerically(">=", 5))
	})

	// Guards against the repair of a group whose member one watcher does not reach:
	// the cut affects this watcher only and the member serves.
	ginkgo.It("reports no member as dead that one watcher reaches", func() {
		c := newClusterWithGroups(6, 6)
		c.hosts["h1"].unreachableFrom[c.watchersOf("h1")[0]] = true
		for range 100 {
			c.run(100 * time.Millisecond)
			gomega.Expect(c.nodesReportingDead("g1")).To(gomega.BeZero())
			gomega.Expect(c.nodesRoutingTo("g1")).To(gomega.Equal(6))
		}
	})

	// Guards against changes without evidence: no node reaches the data centre.
	ginkgo.It("reports no member as dead when no node reaches the data centre", func() {
		c := newClusterWithGroups(6, 6)
		for _, h := range c.hosts {
			h.dead = true
		}
		for range 100 {
			c.run(100 * time.Millisecond)
			for i := range 6 {
				gomega.Expect(c.nodesReportingDead(state.GroupID(fmt.Sprintf("g%d", i+1)))).To(gomega.BeZero())
			}
		}
	})

	// Guards against a group that is never repaired because its watchers probe
	// nothing else in the data centre and consider themselves cut off.
	ginkgo.It("reports all members of a group as dead by comparison with other hosts", func() {
		c := newClusterWithGroups(2, 1)
		for i := range 6 {
			h := state.HostID(fmt.Sprintf("spare%d", i))
			c.hosts[h] = &fakeHost{unreachableFrom: map[state.NodeID]bool{}, probeAnswer: state.ProbeAnswer{Phase: state.PhaseEmpty}}
			c.listedHosts = append(c.listedHosts, state.ListedHost{ID: h, DataCentre: "north", Domain: "d"})
		}
		c.run(2 * time.Second)
		c.hosts["h1"].dead, c.hosts["h2"].dead = true, true
		c.run(8 * time.Second)
		gomega.Expect(c.nodes["n1"].tables.Groups.Get("g1").DeadMembers).To(gomega.Equal([]state.HostID{"h1", "h2"}))
		gomega.Expect(c.probeCounts["spare0"]).NotTo(gomega.BeEmpty())
		c.hosts["h1"].dead, c.hosts["h2"].dead = false, false
		c.run(3 * time.Second)
		clear(c.probeCounts)
		c.run(3 * time.Second)
		gomega.Expect(c.probeCounts["spare0"]).To(gomega.BeEmpty())
	})

	// Guards against a node that routes without evidence, or not at all, when no
	// peer reaches it.
	ginkgo.It("has a node without health reports probe the members itself", func() {
		c := newClusterWithGroups(6, 4)
		c.isolate("n6")
		for range 100 {
			c.run(100 * time.Millisecond)
			for i := range 4 {
				gomega.Expect(c.nodes["n6"].isRoutable(state.GroupID(fmt.Sprintf("g%d", i+1)))).To(gomega.BeTrue())
			}
		}
	})

	// Guards against nodes of a larger registry that have no health reports,
	// because they poll only some of the watchers.
	ginkgo.It("has the nodes of a larger registry probe groups that no polled peer reports on", func() {
		c := newClusterWithGroups(12, 3)
		for range 40 {
			c.run(100 * time.Millisecond)
			for i := range 3 {
				gomega.Expect(c.nodesRoutingTo(state.GroupID(fmt.Sprintf("g%d", i+1)))).To(gomega.Equal(12))
			}
		}
	})

	// Guards against a slow member that is treated as one of normal speed.
	ginkgo.It("marks a group with a straggler", func() {
		c := newClusterWithGroups(3, 1)
		c.hosts["h2"].probeAnswer.Latency = 5 * time.Millisecond
		c.run(8 * time.Second)
		for _, n := range c.nodes {
			gomega.Expect(n.tables.Groups.Get("g1").Straggler).To(gomega.BeTrue())
			gomega.Expect(n.isRoutable("g1")).To(gomega.BeTrue())
		}
	})

	// Guards against limits across all nodes that rely on outdated counts.
	ginkgo.It("reports counts in flight and drops those of a former incarnation", func() {
		c := newStartedCluster(3)
		n1, n2 := c.nodes["n1"].tables, c.nodes["n2"].tables
		n1.Targets.Put("g1", &state.Target{ID: "g1", InFlight: 4})
		n1.Accounts.Get("shelf").InFlight = 3
		n1.Accounts.Touch("shelf")
		c.run(600 * time.Millisecond)
		gomega.Expect(n2.Peers.Get("n1").Loads).To(gomega.Equal([]state.TargetCount{{Target: "g1", Count: 4}}))
		gomega.Expect(n2.Peers.Get("n1").Usage).To(gomega.Equal([]state.AccountValue{{Account: "shelf", Value: 3}}))
		n1.Targets.Get("g1").InFlight = 0
		n1.Targets.Touch("g1")
		c.run(600 * time.Millisecond)
		gomega.Expect(n2.Peers.Get("n1").Loads).To(gomega.BeEmpty())
		c.startNode("n1")
		c.run(2 * time.Second)
		gomega.Expect(n2.Peers.Get("n1").Usage).To(gomega.BeEmpty())
	})

	// Guards against counts that revert when an old reply arrives after a more
	// recent one.
	ginkgo.It("drops a reply that arrives after a more recent one", func() {
		c := newStartedCluster(2)
		n1, n2 := c.nodes["n1"].tables, c.nodes["n2"].tables
		n1.Targets.Put("g1", &state.Target{ID: "g1", InFlight: 1})
		c.linkDelay[[2]state.NodeID{"n1", "n2"}] = 600 * time.Millisecond
		c.run(310 * time.Millisecond)
		n1.Targets.Get("g1").InFlight = 2
		n1.Targets.Touch("g1")
		clear(c.linkDelay)
		c.runUntil(time.Second, func() bool { return len(n2.Peers.Get("n1").Loads) > 0 })
		for range 20 {
			gomega.Expect(n2.Peers.Get("n1").Loads[0].Count).To(gomega.Equal(2))
			c.run(50 * time.Millisecond)
		}
	})

	// Guards against control traffic that grows with the number of unchanged items.
	ginkgo.It("keeps a reply in steady state below 200 bytes", func() {
		c := newClusterWithGroups(6, 50)
		c.run(3 * time.Second)
		size := len(state.Encode(state.Message{PollReply: c.lastPollReplies["n1"]}))
		ginkgo.GinkgoWriter.Printf("steady poll reply: %d bytes\n", size)
		gomega.Expect(c.lastPollReplies["n1"].HealthReports).To(gomega.BeEmpty())
		gomega.Expect(size).To(gomega.BeNumerically("<", 200))
	})
})
