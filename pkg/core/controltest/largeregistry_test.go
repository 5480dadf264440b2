package controltest

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a registry of 24 nodes, each of which polls five", func() {
	// Guards against rules that hold only while every node polls all others.
	ginkgo.It("accepts a change, keeps serving while the platform is down and removes a dead node", func() {
		c := newStartedCluster(24)
		start := c.now
		gomega.Expect(c.awaitReply(c.sendCommand("n1", disableNorth)).Accepted).To(gomega.BeTrue())
		ginkgo.GinkgoWriter.Printf("accepted after %s\n", c.now-start)
		gomega.Expect(c.now - start).To(gomega.BeNumerically("<", 3*time.Second))
		c.storeDown = true
		for range 200 {
			c.run(100 * time.Millisecond)
			gomega.Expect(c.freshCount(c.ids...)).To(gomega.Equal(24))
		}
		c.storeDown = false
		c.kill("n24")
		start = c.now
		c.runUntil(100*time.Second, func() bool { return len(c.nodes["n1"].tables.Config.Head.Nodes) == 23 })
		ginkgo.GinkgoWriter.Printf("removed after %s\n", c.now-start)
		expectNoViolations(c)
	})
})
