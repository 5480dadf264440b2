package controltest

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

var _ = ginkgo.Describe("lifecycle", func() {
	// Guards against requests sent to a node that has no state yet.
	ginkgo.It("is ready once the node is registered and fresh and the health of its groups is known", func() {
		c := newClusterWithGroups(3, 2)
		n := c.startNode("n3")
		doc := c.nodes["n1"].tables.Config.Document
		doc.Groups = []state.GroupSpec{{Name: "g1"}, {Name: "g2"}}
		c.awaitReply(c.sendCommand("n1", state.OperatorCommand{Action: state.ActionApply, Document: &doc}))
		c.runUntil(5*time.Second, func() bool { return n.tables.Config.Fresh })
		gomega.Expect(n.ready).To(gomega.BeFalse(), "the node has no group rows yet")
		c.putGroup("g1", 1, "h1", "h2")
		c.run(100 * time.Millisecond)
		gomega.Expect(n.ready).To(gomega.BeTrue())
		gomega.Expect(n.isRoutable("g1")).To(gomega.BeTrue())
	})

	// Guards against a node that never becomes ready because no node reports on its
	// groups: plain services need no such reports.
	ginkgo.It("waits at most 3 s for the health of groups", func() {
		c := newStartedCluster(1)
		n := c.startNode("n1")
		n.tables.Groups.Put("g1", &state.Group{ID: "g1", Members: []state.HostID{"gone"}, FencingToken: 1, Phase: state.GroupServing})
		c.runUntil(2*time.Second, func() bool { return n.tables.Config.Fresh })
		c.run(2 * time.Second)
		gomega.Expect(n.ready).To(gomega.BeFalse())
		c.run(1200 * time.Millisecond)
		gomega.Expect(n.ready).To(gomega.BeTrue())
	})

	// Guards against a load balancer that keeps sending to a node that must refuse.
	ginkgo.It("is not ready while stale", func() {
		c := newStartedCluster(1)
		gomega.Expect(c.nodes["n1"].ready).To(gomega.BeTrue())
		c.storeDown = true
		c.run(20 * time.Second)
		gomega.Expect(c.nodes["n1"].ready).To(gomega.BeTrue(), "one node of one is a majority")
		c = newStartedCluster(2)
		c.storeDown = true
		c.kill("n2")
		c.run(3 * time.Second)
		gomega.Expect(c.nodes["n1"].ready).To(gomega.BeFalse())
	})

	shutdown := func(prepare func(n *node)) (*cluster, *node) {
		c := newStartedCluster(2)
		n := c.nodes["n1"]
		prepare(n)
		n.feed(state.Shutdown{})
		gomega.Expect(n.ready).To(gomega.BeFalse())
		return c, n
	}

	// Guards against callers that the load balancer sends to a closed listener
	// (I9).
	ginkgo.It("closes the listeners after the notice and then exits", func() {
		c, n := shutdown(func(*node) {})
		c.run(2900 * time.Millisecond)
		n.feed(state.Shutdown{})
		gomega.Expect(n.listenersClosed).To(gomega.BeFalse())
		c.run(200 * time.Millisecond)
		gomega.Expect(n.listenersClosed).To(gomega.BeTrue())
		gomega.Expect(n.exited).To(gomega.BeTrue())
		gomega.Expect(c.nodes["n2"].tables.Peers.Get("n1").Leaving).To(gomega.BeTrue())
	})

	// Guards against a shutdown that interrupts an answer, whatever its length
	// (I9).
	ginkgo.It("waits for every request, and interrupts it if the drain is ignored", func() {
		addRunningRequest := func(n *node) { n.tables.Requests.Put("r1", &state.Request{Phase: state.RequestSent}) }
		c, n := shutdown(addRunningRequest)
		c.run(30 * time.Minute)
		n.feed(state.Shutdown{})
		gomega.Expect(n.exited).To(gomega.BeFalse())
		n.tables.Requests.Get("r1").Phase = state.RequestEnded
		c.run(time.Second)
		gomega.Expect(n.exited).To(gomega.BeTrue())
		c, n = shutdown(func(n *node) { addRunningRequest(n); n.tables.Switches.IgnoreDrain = true })
		c.run(time.Second)
		gomega.Expect(n.exited).To(gomega.BeTrue())
	})

	// Guards against a data centre without a placement holder for 5 s, and against
	// an exit that waits indefinitely for a lease that cannot be released.
	ginkgo.It("waits until its leases are released or have expired", func() {
		c, n := shutdown(func(n *node) {
			n.tables.Leases.Put("north", &state.Lease{
				DataCentre: "north", Row: state.LeaseRow{Holder: "n1"}, ValidUntil: n.clock() + 5*time.Second,
			})
			n.tables.Leases.Put("coast", &state.Lease{DataCentre: "coast", Row: state.LeaseRow{Holder: "n2"}, ValidUntil: time.Hour})
		})
		c.run(4900 * time.Millisecond)
		gomega.Expect(n.exited).To(gomega.BeFalse())
		c.run(200 * time.Millisecond)
		gomega.Expect(n.exited).To(gomega.BeTrue())
	})

	// Guards against an order whose outcome is lost with the node (I7).
	ginkgo.It("waits until its open claims are stored", func() {
		claim := &state.Claim{Row: state.ClaimRow{Holder: "n1", Incarnation: 1, Phase: state.ClaimDone}}
		peerClaim := &state.Claim{Row: state.ClaimRow{Holder: "n2", Incarnation: 1, Phase: state.ClaimHeld}, Stored: true}
		c, n := shutdown(func(n *node) {
			n.tables.Claims.Put("claim/a/1", claim)
			n.tables.Claims.Put("claim/a/2", peerClaim)
		})
		c.run(time.Minute)
		gomega.Expect(n.exited).To(gomega.BeFalse())
		claim.Stored = true
		n.tables.Claims.Touch("claim/a/1")
		c.run(100 * time.Millisecond)
		gomega.Expect(n.exited).To(gomega.BeTrue())
	})

	// Guards against a group that loses one of its two watchers when a leaving node
	// exits.
	ginkgo.It("hands over the groups that it watches before it exits", func() {
		c := newClusterWithGroups(6, 1)
		watcher := c.watchersOf("h1")[0]
		c.nodes[watcher].feed(state.Shutdown{})
		c.run(time.Second)
		gomega.Expect(c.watchersOf("h1")).To(gomega.HaveLen(2))
		gomega.Expect(c.watchersOf("h1")).NotTo(gomega.ContainElement(watcher))
		for range 60 {
			c.run(100 * time.Millisecond)
			gomega.Expect(c.nodesRoutingTo("g1")).To(gomega.BeNumerically(">=", 5))
		}
	})
})
