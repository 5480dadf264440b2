package controltest

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

var _ = ginkgo.Describe("configuration under partitions", func() {
	// Guards against a node that goes on sending to what was taken out: it is
	// cut off from everything, or in a data centre that is.
	ginkgo.DescribeTable("stops a part that is cut off before a change counts as accepted",
		func(cutOff ...state.NodeID) {
			c := newStartedCluster(6)
			c.isolate(cutOff...)
			for _, id := range cutOff {
				c.storeUnreachable[id] = true
			}
			reply := c.awaitReply(c.sendCommand("n1", disableNorth))
			gomega.Expect(reply.Error).To(gomega.BeNil())
			gomega.Expect(reply.Accepted).To(gomega.BeTrue())
			gomega.Expect(c.freshCount(cutOff...)).To(gomega.BeZero())
			gomega.Expect(c.freshCount("n1", "n2", "n3", "n4")).To(gomega.Equal(4))
			expectNoViolations(c)
			c.heal()
			clear(c.storeUnreachable)
			c.run(5 * time.Second)
			gomega.Expect(c.freshCount(c.ids...)).To(gomega.Equal(6))
			expectNoViolations(c)
		},
		ginkgo.Entry("one node", state.NodeID("n6")),
		ginkgo.Entry("a data centre of two nodes", state.NodeID("n5"), state.NodeID("n6")),
	)

	// Shows that the rule is what prevents it.
	ginkgo.It("would send by the old version without the freshness rule", func() {
		c := newStartedCluster(6)
		for _, n := range c.nodes {
			n.tables.Switches.IgnoreFreshness = true
		}
		c.isolate("n6")
		c.storeUnreachable["n6"] = true
		c.awaitReply(c.sendCommand("n1", disableNorth))
		gomega.Expect(c.nodes["n6"].tables.Config.Fresh).To(gomega.BeTrue())
		gomega.Expect(c.headVersion("n6")).To(gomega.BeNumerically("<", c.acceptedVersion))
	})

	// Guards against a minority that alone sees the platform: it may commit what
	// half of the nodes know, and nothing on top of that.
	ginkgo.DescribeTable("keeps a minority that alone sees the platform from running ahead", func(nodes int) {
		c := newStartedCluster(nodes)
		c.isolate("n1", "n2")
		majority := c.ids[2:]
		for _, id := range majority {
			c.storeUnreachable[id] = true
		}
		reply := c.awaitReply(c.sendCommand("n1", disableNorth))
		gomega.Expect(reply.Accepted).To(gomega.BeFalse())
		gomega.Expect(reply.UnconfirmedNodes).To(gomega.Equal(majority))
		reply = c.awaitReply(c.sendCommand("n1", applyPeakPreset))
		gomega.Expect(reply.Error.Code).To(gomega.Equal("version_not_known"))
		gomega.Expect(c.freshCount(majority...)).To(gomega.Equal(len(majority)), "the majority serves by the version in force")
		expectNoViolations(c)
		c.heal()
		c.run(5 * time.Second)
		for _, id := range c.ids {
			gomega.Expect(c.nodes[id].tables.Config.Head.DisabledDataCentres).To(gomega.HaveLen(1))
		}
		expectNoViolations(c)
	}, ginkgo.Entry("of 6", 6), ginkgo.Entry("of 5", 5))

	// Guards against a majority that counts nodes which knew a later version
	// before they restarted with nothing.
	ginkgo.It("counts no node that restarted and has not caught up", func() {
		c := newStartedCluster(6)
		c.isolate("n1", "n2", "n3")
		for _, id := range c.ids[3:] {
			c.storeUnreachable[id] = true
		}
		gomega.Expect(c.awaitReply(c.sendCommand("n1", disableNorth)).Accepted).To(gomega.BeTrue())
		c.storeDown = true
		for _, id := range c.ids[:3] {
			c.startNode(id)
		}
		c.heal()
		c.run(10 * time.Second)
		expectNoViolations(c)
		gomega.Expect(c.freshCount(c.ids...)).To(gomega.BeZero())
		c.storeDown = false
		clear(c.storeUnreachable)
		c.run(5 * time.Second)
		gomega.Expect(c.freshCount(c.ids...)).To(gomega.Equal(6))
		expectNoViolations(c)
	})

	// Guards against counting the report of a node that has forgotten the
	// version since, together with reports that came later.
	ginkgo.It("accepts by nodes that knew the version at one moment", func() {
		c := newStartedCluster(6)
		for _, id := range c.ids[1:] {
			c.storeUnreachable[id] = true
		}
		c.isolate("n1", "n2")
		c.sendCommand("n1", disableNorth)
		c.run(time.Second)
		gomega.Expect(c.headVersion("n2")).To(gomega.Equal(c.headVersion("n1")))
		c.heal()
		c.isolate("n1")
		c.startNode("n2")
		c.run(3 * time.Second)
		gomega.Expect(c.nodes["n2"].tables.Config.Head.DisabledDataCentres).To(gomega.BeEmpty())
		gomega.Expect(c.freshCount(c.ids[1:]...)).To(gomega.Equal(5))
		c.heal()
		c.isolate("n1", "n3")
		c.run(10 * time.Second)
		gomega.Expect(c.headVersion("n3")).To(gomega.Equal(c.headVersion("n1")))
		gomega.Expect(c.freshCount("n2", "n4", "n5", "n6")).To(gomega.Equal(4))
		expectNoViolations(c)
	})

	// Guards against limits that are exceeded because nodes two registries apart
	// are fresh at once (I3). The router adds the shares up.
	ginkgo.It("lets nodes join one after the other while others lag behind", func() {
		c := newStartedCluster(4)
		c.ids = append(c.ids, "n5", "n6", "n7")
		c.isolate("n3", "n4")
		for _, id := range c.ids[4:] {
			c.startNode(id)
		}
		c.run(100 * time.Millisecond)
		c.storeUnreachable["n3"], c.storeUnreachable["n4"] = true, true
		c.run(15 * time.Second)
		gomega.Expect(c.nodes["n1"].tables.Config.Head.Nodes).To(gomega.HaveLen(7))
		expectNoViolations(c)
	})

	// Guards against acceptance by the new registry alone: the three nodes that
	// are cut off are a majority of the five that they know.
	ginkgo.It("accepts a node that joins by the registry before as well", func() {
		c := newStartedCluster(5)
		c.ids = append(c.ids, "n6")
		c.isolate("n3", "n4", "n5")
		for _, id := range []state.NodeID{"n3", "n4", "n5"} {
			c.storeUnreachable[id] = true
		}
		c.startNode("n6")
		c.run(8 * time.Second)
		gomega.Expect(c.nodes["n1"].tables.Config.Head.Nodes).To(gomega.HaveLen(6))
		gomega.Expect(c.freshCount("n3", "n4", "n5")).To(gomega.Equal(3))
		expectNoViolations(c)
	})

	// Guards against a node that comes back with nothing and serves by what it
	// hears first.
	ginkgo.It("lets a node that restarted with nothing serve only once a majority agrees", func() {
		c := newStartedCluster(6)
		c.storeDown = true
		n := c.startNode("n2")
		c.isolate("n2")
		c.run(10 * time.Second)
		gomega.Expect(n.tables.Config.Fresh).To(gomega.BeFalse())
		c.heal()
		for _, id := range []state.NodeID{"n4", "n5", "n6"} {
			c.cutOneWay(id, "n2")
		}
		c.run(10 * time.Second)
		gomega.Expect(n.tables.Config.Loaded).To(gomega.BeTrue())
		gomega.Expect(n.tables.Config.Synced).To(gomega.BeFalse())
		gomega.Expect(n.tables.Config.Fresh).To(gomega.BeFalse())
		c.heal()
		c.run(3 * time.Second)
		gomega.Expect(n.tables.Config.Fresh).To(gomega.BeTrue())
		expectNoViolations(c)
	})
})
