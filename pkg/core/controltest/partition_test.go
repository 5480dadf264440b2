package controltest

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

var _ = ginkgo.Describe("configuration under partitions", func() {
	// Guards against a node that keeps sending to disabled targets: it is cut off
	// from everything, alone or together with its data centre.
	ginkgo.DescribeTable("stops nodes that are cut off before a change counts as accepted",
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

	// Shows that the freshness rule is what stops the nodes that are cut off.
	ginkgo.It("stays fresh at the old version if freshness is ignored", func() {
		c := newStartedCluster(6)
		for _, n := range c.nodes {
			n.tables.Switches.IgnoreFreshness = true
		}
		c.isolate("n6")
		c.storeUnreachable["n6"] = true
		c.awaitReply(c.sendCommand("n1", disableNorth))
		gomega.Expect(c.nodes["n6"].tables.Config.Fresh).To(gomega.BeTrue())
		gomega.Expect(c.version("n6")).To(gomega.BeNumerically("<", c.acceptedVersion))
	})

	// Guards against a minority that alone reaches the platform: it may commit on
	// top of a version that half of the nodes have, and nothing on top of that
	// change.
	ginkgo.DescribeTable("limits a minority that alone reaches the platform to one change", func(nodes int) {
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
		gomega.Expect(c.freshCount(majority...)).To(gomega.Equal(len(majority)), "the majority keeps serving by its version")
		expectNoViolations(c)
		c.heal()
		c.run(5 * time.Second)
		for _, id := range c.ids {
			gomega.Expect(c.nodes[id].tables.Config.Head.DisabledDataCentres).To(gomega.HaveLen(1))
		}
		expectNoViolations(c)
	}, ginkgo.Entry("of 6 nodes", 6), ginkgo.Entry("of 5 nodes", 5))

	// Guards against a majority that counts nodes which had a later version before
	// they restarted without state.
	ginkgo.It("does not count a restarted node that is not yet synced", func() {
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

	// Guards against counting the report of a node that has since lost the version,
	// together with reports that arrived later.
	ginkgo.It("accepts a version by nodes that had it at the same moment", func() {
		c := newStartedCluster(6)
		for _, id := range c.ids[1:] {
			c.storeUnreachable[id] = true
		}
		c.isolate("n1", "n2")
		c.sendCommand("n1", disableNorth)
		c.run(time.Second)
		gomega.Expect(c.version("n2")).To(gomega.Equal(c.version("n1")))
		c.heal()
		c.isolate("n1")
		c.startNode("n2")
		c.run(3 * time.Second)
		gomega.Expect(c.nodes["n2"].tables.Config.Head.DisabledDataCentres).To(gomega.BeEmpty())
		gomega.Expect(c.freshCount(c.ids[1:]...)).To(gomega.Equal(5))
		c.heal()
		c.isolate("n1", "n3")
		c.run(10 * time.Second)
		gomega.Expect(c.version("n3")).To(gomega.Equal(c.version("n1")))
		gomega.Expect(c.freshCount("n2", "n4", "n5", "n6")).To(gomega.Equal(4))
		expectNoViolations(c)
	})

	// Guards against limits that are exceeded because nodes whose registries are
	// two versions apart are fresh at once (I3). The cluster adds up the shares.
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

	// Guards against acceptance by the new registry alone: the three nodes that are
	// cut off are a majority of the five in their registry.
	ginkgo.It("requires acceptance by the previous registry when a node joins", func() {
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

	// Guards against a node that restarts without state and serves by the first
	// version that it receives.
	ginkgo.It("lets a node that restarted without state serve only once a majority agrees", func() {
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
