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
		func(part ...state.NodeID) {
			c := started(6)
			c.split(part...)
			for _, id := range part {
				c.storeCut[id] = true
			}
			reply := c.answer(c.command("n1", outNorth))
			gomega.Expect(reply.Error).To(gomega.BeNil())
			gomega.Expect(reply.Accepted).To(gomega.BeTrue())
			gomega.Expect(c.fresh(part...)).To(gomega.BeZero())
			gomega.Expect(c.fresh("n1", "n2", "n3", "n4")).To(gomega.Equal(4))
			safe(c)
			c.heal()
			clear(c.storeCut)
			c.run(5 * time.Second)
			gomega.Expect(c.fresh(c.ids...)).To(gomega.Equal(6))
			safe(c)
		},
		ginkgo.Entry("one node", state.NodeID("n6")),
		ginkgo.Entry("a data centre of two nodes", state.NodeID("n5"), state.NodeID("n6")),
	)

	// Shows that the rule is what prevents it.
	ginkgo.It("would send by the old version without the freshness rule", func() {
		c := started(6)
		for _, n := range c.nodes {
			n.t.Switches.IgnoreFreshness = true
		}
		c.split("n6")
		c.storeCut["n6"] = true
		c.answer(c.command("n1", outNorth))
		gomega.Expect(c.nodes["n6"].t.Config.Fresh).To(gomega.BeTrue())
		gomega.Expect(c.version("n6")).To(gomega.BeNumerically("<", c.accepted))
	})

	// Guards against a minority that alone sees the platform: it may commit what
	// half of the nodes know, and nothing on top of that.
	ginkgo.DescribeTable("keeps a minority that alone sees the platform from running ahead", func(nodes int) {
		c := started(nodes)
		c.split("n1", "n2")
		rest := c.ids[2:]
		for _, id := range rest {
			c.storeCut[id] = true
		}
		reply := c.answer(c.command("n1", outNorth))
		gomega.Expect(reply.Accepted).To(gomega.BeFalse())
		gomega.Expect(reply.UnconfirmedNodes).To(gomega.Equal(rest))
		reply = c.answer(c.command("n1", peak))
		gomega.Expect(reply.Error.Code).To(gomega.Equal("version_not_known"))
		gomega.Expect(c.fresh(rest...)).To(gomega.Equal(len(rest)), "the majority serves by the version in force")
		safe(c)
		c.heal()
		c.run(5 * time.Second)
		for _, id := range c.ids {
			gomega.Expect(c.nodes[id].t.Config.Head.DisabledDataCentres).To(gomega.HaveLen(1))
		}
		safe(c)
	}, ginkgo.Entry("of 6", 6), ginkgo.Entry("of 5", 5))

	// Guards against a majority that counts nodes which knew a later version
	// before they restarted with nothing.
	ginkgo.It("counts no node that restarted and has not caught up", func() {
		c := started(6)
		c.split("n1", "n2", "n3")
		for _, id := range c.ids[3:] {
			c.storeCut[id] = true
		}
		gomega.Expect(c.answer(c.command("n1", outNorth)).Accepted).To(gomega.BeTrue())
		c.storeDown = true
		for _, id := range c.ids[:3] {
			c.startNode(id)
		}
		c.heal()
		c.run(10 * time.Second)
		safe(c)
		gomega.Expect(c.fresh(c.ids...)).To(gomega.BeZero())
		c.storeDown = false
		clear(c.storeCut)
		c.run(5 * time.Second)
		gomega.Expect(c.fresh(c.ids...)).To(gomega.Equal(6))
		safe(c)
	})

	// Guards against counting the report of a node that has forgotten the
	// version since, together with reports that came later.
	ginkgo.It("accepts by nodes that knew the version at one moment", func() {
		c := started(6)
		for _, id := range c.ids[1:] {
			c.storeCut[id] = true
		}
		c.split("n1", "n2")
		c.command("n1", outNorth)
		c.run(time.Second)
		gomega.Expect(c.version("n2")).To(gomega.Equal(c.version("n1")))
		c.heal()
		c.split("n1")
		c.startNode("n2")
		c.run(3 * time.Second)
		gomega.Expect(c.nodes["n2"].t.Config.Head.DisabledDataCentres).To(gomega.BeEmpty())
		gomega.Expect(c.fresh(c.ids[1:]...)).To(gomega.Equal(5))
		c.heal()
		c.split("n1", "n3")
		c.run(10 * time.Second)
		gomega.Expect(c.version("n3")).To(gomega.Equal(c.version("n1")))
		gomega.Expect(c.fresh("n2", "n4", "n5", "n6")).To(gomega.Equal(4))
		safe(c)
	})

	// Guards against limits that are exceeded because nodes two registries apart
	// are fresh at once (I3). The router adds the shares up.
	ginkgo.It("lets nodes join one after the other while others lag behind", func() {
		c := started(4)
		c.ids = append(c.ids, "n5", "n6", "n7")
		c.split("n3", "n4")
		for _, id := range c.ids[4:] {
			c.startNode(id)
		}
		c.run(100 * time.Millisecond)
		c.storeCut["n3"], c.storeCut["n4"] = true, true
		c.run(15 * time.Second)
		gomega.Expect(c.nodes["n1"].t.Config.Head.Nodes).To(gomega.HaveLen(7))
		safe(c)
	})

	// Guards against acceptance by the new registry alone: the three nodes that
	// are cut off are a majority of the five that they know.
	ginkgo.It("accepts a node that joins by the registry before as well", func() {
		c := started(5)
		c.ids = append(c.ids, "n6")
		c.split("n3", "n4", "n5")
		for _, id := range []state.NodeID{"n3", "n4", "n5"} {
			c.storeCut[id] = true
		}
		c.startNode("n6")
		c.run(8 * time.Second)
		gomega.Expect(c.nodes["n1"].t.Config.Head.Nodes).To(gomega.HaveLen(6))
		gomega.Expect(c.fresh("n3", "n4", "n5")).To(gomega.Equal(3))
		safe(c)
	})

	// Guards against a node that comes back with nothing and serves by what it
	// hears first.
	ginkgo.It("lets a node that restarted with nothing serve only once a majority agrees", func() {
		c := started(6)
		c.storeDown = true
		n := c.startNode("n2")
		c.split("n2")
		c.run(10 * time.Second)
		gomega.Expect(n.t.Config.Fresh).To(gomega.BeFalse())
		c.heal()
		for _, id := range []state.NodeID{"n4", "n5", "n6"} {
			c.cutOneWay(id, "n2")
		}
		c.run(10 * time.Second)
		gomega.Expect(n.t.Config.Loaded).To(gomega.BeTrue())
		gomega.Expect(n.t.Config.Synced).To(gomega.BeFalse())
		gomega.Expect(n.t.Config.Fresh).To(gomega.BeFalse())
		c.heal()
		c.run(3 * time.Second)
		gomega.Expect(n.t.Config.Fresh).To(gomega.BeTrue())
		safe(c)
	})
})
