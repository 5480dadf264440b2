package controltest

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a registry of 24 nodes, of which each polls five", func() {
	// Guards against rules that hold only while every node polls all others.
	ginkgo.It("accepts a change, outlives the platform and removes a dead node", func() {
		c := started(24)
		from := c.now
		gomega.Expect(c.answer(c.command("n1", outNorth)).Accepted).To(gomega.BeTrue())
		ginkgo.GinkgoWriter.Printf("accepted after %s\n", c.now-from)
		gomega.Expect(c.now - from).To(gomega.BeNumerically("<", 3*time.Second))
		c.storeDown = true
		for range 200 {
			c.run(100 * time.Millisecond)
			gomega.Expect(c.fresh(c.ids...)).To(gomega.Equal(24))
		}
		c.storeDown = false
		c.kill("n24")
		from = c.now
		c.runUntil(100*time.Second, func() bool { return len(c.nodes["n1"].t.Config.Head.Nodes) == 23 })
		ginkgo.GinkgoWriter.Printf("removed after %s\n", c.now-from)
		safe(c)
	})
})
