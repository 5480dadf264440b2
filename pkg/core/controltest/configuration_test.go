package controltest

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/configuration"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

var (
	disableNorth    = state.OperatorCommand{Action: state.ActionDisable, DataCentre: "north"}
	applyPeakPreset = state.OperatorCommand{Action: state.ActionPreset, Preset: "peak"}
)

// expectNoViolations fails the test if checkInvariants has recorded a violation.
func expectNoViolations(c *cluster) {
	gomega.ExpectWithOffset(1, c.violations).To(gomega.BeEmpty(), "new work by a version older than the accepted one, or shares above the limit")
}

var _ = ginkgo.Describe("configuration", func() {
	// Guards against a system that cannot start: without a head the nodes create
	// the first version themselves.
	ginkgo.It("creates the first configuration by registration", func() {
		c := newCluster(3)
		c.startNodes()
		elapsed := c.runUntil(6*time.Second, func() bool { return c.freshCount(c.ids...) == 3 })
		ginkgo.GinkgoWriter.Printf("3 nodes registered after %s\n", elapsed)
		c.run(time.Second)
		head := c.nodes["n1"].tables.Config.Head
		gomega.Expect(head.Nodes).To(gomega.HaveLen(3))
		gomega.Expect(head.Version).To(gomega.Equal(state.Version(3)))
		doc := state.Document{Presets: []state.PresetSpec{{Name: "ordinary"}}}
		reply := c.awaitReply(c.sendCommand("n2", state.OperatorCommand{Action: state.ActionApply, Document: &doc}))
		gomega.Expect(reply.Accepted).To(gomega.BeTrue())
		gomega.Expect(c.nodes["n3"].tables.Config.Head.Preset).To(gomega.Equal("ordinary"))
		expectNoViolations(c)
	})

	// Guards against a change without an audit record, and against one reported as
	// accepted before each node has reported it.
	ginkgo.It("commits a change with its audit row and reports it as accepted once all nodes have it", func() {
		c := newStartedCluster(6)
		versionBefore := c.version("n1")
		start := c.now
		reply := c.awaitReply(c.sendCommand("n1", disableNorth))
		gomega.Expect(reply.Error).To(gomega.BeNil())
		gomega.Expect(reply.Accepted).To(gomega.BeTrue())
		gomega.Expect(reply.Version).To(gomega.Equal(versionBefore + 1))
		gomega.Expect(c.now - start).To(gomega.BeNumerically("<", 2*time.Second))
		for _, id := range c.ids {
			gomega.Expect(c.nodes[id].tables.Config.Head.DisabledDataCentres).To(gomega.ConsistOf(state.DataCentre("north")))
		}
		rows, _ := c.store.Read(context.Background(), []string{state.KeyAudit(reply.Version)})
		var record state.AuditRecord
		gomega.Expect(state.Decode(rows[0].Value, &record)).To(gomega.Succeed())
		gomega.Expect(record.Operator).To(gomega.Equal("op-n1"))
		gomega.Expect(record.Action).To(gomega.Equal("out"))
		gomega.Expect(record.After).To(gomega.Equal("out: data centre north"))
		expectNoViolations(c)
	})

	// Guards against a preset change that changes only the name of the preset.
	ginkgo.It("applies weights and limits of the preset in force", func() {
		c := newStartedCluster(2)
		c.awaitReply(c.sendCommand("n1", applyPeakPreset))
		row := c.nodes["n2"].tables.Accounts.Get("shelf")
		gomega.Expect([]int{row.Weight, row.Concurrency}).To(gomega.Equal([]int{5, 3}))
		c.awaitReply(c.sendCommand("n1", state.OperatorCommand{Action: state.ActionPreset, Preset: "ordinary"}))
		gomega.Expect([]int{row.Weight, row.Concurrency}).To(gomega.Equal([]int{2, 8}))
	})

	// Guards against commands that leave the configuration inconsistent.
	ginkgo.It("refuses invalid commands", func() {
		c := newStartedCluster(2)
		for _, cmd := range []state.OperatorCommand{
			{Action: state.ActionPreset, Preset: "night"},
			{Action: state.ActionDisable, DataCentre: "moon"},
			{Action: state.ActionDisable, Target: "g9"},
			{Action: state.ActionDisable},
			{Action: state.ActionApply},
			{Action: state.ActionApply, Document: &state.Document{}},
			{Action: state.ActionForget, Node: "n7"},
			{Action: state.ActionForget, Node: "n1"},
			{Action: state.ActionForget, Node: "n2"},
			{Action: state.ActionPreset, Preset: "peak", BaseVersion: 99},
		} {
			reply := c.awaitReply(c.sendCommand("n1", cmd))
			gomega.Expect(reply.Error).NotTo(gomega.BeNil())
			gomega.Expect(reply.Error.Outcome).To(gomega.Equal(apierror.NotRun))
		}
		gomega.Expect(c.version("n1")).To(gomega.Equal(state.Version(3)))
	})

	// Guards against two concurrent changes that are both reported as in force.
	ginkgo.It("reports the winning change to the operator who lost the race", func() {
		c := newStartedCluster(6)
		firstCommand, secondCommand := c.sendCommand("n1", disableNorth), c.sendCommand("n4", applyPeakPreset)
		winner, loser := c.awaitReply(firstCommand), c.awaitReply(secondCommand)
		if winner.Error != nil {
			winner, loser = loser, winner
		}
		gomega.Expect(winner.Error).To(gomega.BeNil())
		gomega.Expect(winner.Accepted).To(gomega.BeTrue())
		gomega.Expect(loser.Error).NotTo(gomega.BeNil())
		gomega.Expect(loser.Error.Kind).To(gomega.Equal(apierror.KindConflict))
		gomega.Expect(loser.Error.Message).To(gomega.MatchRegexp(`op-n[14] changed the configuration first \(version 8, `))
		expectNoViolations(c)
	})

	// Guards against a plan made against a version that has been replaced, and
	// against registry changes that cause needless refusals.
	ginkgo.It("refuses a plan only if an operator has changed the configuration since", func() {
		c := newStartedCluster(3)
		baseVersion := c.version("n1")
		c.startNode("n3")
		c.run(4 * time.Second)
		gomega.Expect(c.version("n1")).To(gomega.Equal(baseVersion + 1))
		plan := applyPeakPreset
		plan.BaseVersion = baseVersion
		gomega.Expect(c.awaitReply(c.sendCommand("n1", plan)).Accepted).To(gomega.BeTrue())
		plan = disableNorth
		plan.BaseVersion = baseVersion
		reply := c.awaitReply(c.sendCommand("n1", plan))
		gomega.Expect(reply.Error).NotTo(gomega.BeNil())
		gomega.Expect(reply.Error.Code).To(gomega.Equal("lost_race"))
	})

	// Guards against a change that is repeated, or reported as not made, because
	// the reply to its commit was lost.
	ginkgo.It("resolves a lost reply to a commit by the operation id", func() {
		c := newStartedCluster(6)
		versionBefore := c.version("n1")
		c.repliesToLose = 1
		reply := c.awaitReply(c.sendCommand("n1", applyPeakPreset))
		gomega.Expect(reply.Error).To(gomega.BeNil())
		gomega.Expect(reply.Accepted).To(gomega.BeTrue())
		gomega.Expect(reply.Version).To(gomega.Equal(versionBefore + 1))
		c.run(2 * time.Second)
		gomega.Expect(c.version("n1")).To(gomega.Equal(versionBefore + 1))
	})

	// Guards against a commit that takes effect after it was considered lost.
	ginkgo.It("fences a commit that is still in flight", func() {
		c := newStartedCluster(6)
		versionBefore := c.version("n1")
		c.delayedTransactions = 1
		reply := c.awaitReply(c.sendCommand("n1", applyPeakPreset))
		gomega.Expect(reply.Accepted).To(gomega.BeTrue())
		c.run(2 * time.Second)
		gomega.Expect(c.version("n1")).To(gomega.Equal(versionBefore + 1))
	})

	// Guards against a change that is reported as not made and takes effect later.
	ginkgo.It("does not report a change as not made while its commit may still take effect", func() {
		c := newStartedCluster(6)
		c.delayedTransactions = 1
		id := c.sendCommand("n1", applyPeakPreset)
		c.run(7 * time.Millisecond)
		c.storeUnreachable["n1"] = true
		c.run(time.Second)
		clear(c.storeUnreachable)
		reply := c.awaitReply(id)
		gomega.Expect(reply.Error).To(gomega.BeNil())
		gomega.Expect(reply.Accepted).To(gomega.BeTrue())
	})

	// Guards against a command that waits for a platform that is down.
	ginkgo.It("refuses a change while the platform is down, and keeps serving", func() {
		c := newStartedCluster(6)
		c.storeDown = true
		c.run(10 * time.Second)
		gomega.Expect(c.freshCount(c.ids...)).To(gomega.Equal(6))
		reply := c.awaitReply(c.sendCommand("n1", applyPeakPreset))
		gomega.Expect(reply.Error.Kind).To(gomega.Equal(apierror.KindStoreDown))
		c.run(20 * time.Second)
		gomega.Expect(c.freshCount(c.ids...)).To(gomega.Equal(6))
		c.startNode("n5")
		gomega.Expect(c.runUntil(5*time.Second, func() bool { return c.freshCount("n5") == 1 })).To(
			gomega.BeNumerically("<", 4*time.Second))
		expectNoViolations(c)
	})

	// Guards against a service that stops when the platform is down and a node
	// dies, and against service without a majority.
	ginkgo.It("serves with a majority of the nodes, and stops without one", func() {
		c := newStartedCluster(6)
		c.storeDown = true
		c.kill("n6")
		c.run(10 * time.Second)
		gomega.Expect(c.freshCount(c.ids[:5]...)).To(gomega.Equal(5))
		c.kill("n5")
		c.run(10 * time.Second)
		gomega.Expect(c.freshCount(c.ids[:4]...)).To(gomega.Equal(4))
		c.kill("n4")
		c.run(configuration.MaxEvidenceAge + time.Second)
		gomega.Expect(c.freshCount(c.ids[:3]...)).To(gomega.BeZero())
	})

	// Guards against a configuration that reverts when an old message arrives.
	ginkgo.It("ignores a late copy of an old version, and reverts if the version order is ignored", func() {
		c := newStartedCluster(3)
		oldConfig := c.nodes["n1"].tables.Config
		c.awaitReply(c.sendCommand("n1", disableNorth))
		lateMessage := state.PeerMessage{From: "n1", Message: state.Message{ConfigDocument: &state.ConfigDocument{
			Head: oldConfig.Head, Document: &oldConfig.Document,
		}}}
		c.nodes["n2"].feed(lateMessage)
		gomega.Expect(c.nodes["n2"].tables.Config.Head.DisabledDataCentres).To(gomega.HaveLen(1))
		c.nodes["n2"].tables.Switches.IgnoreVersionOrder = true
		c.nodes["n2"].feed(lateMessage)
		gomega.Expect(c.nodes["n2"].tables.Config.Head.DisabledDataCentres).To(gomega.BeEmpty())
	})

	// Guards against evidence that is dated by its arrival: a delayed reply is no
	// more recent than its request.
	ginkgo.It("dates evidence by the send time of its request", func() {
		c := newStartedCluster(2)
		c.storeDown = true
		c.linkDelay[[2]state.NodeID{"n1", "n2"}] = 2500 * time.Millisecond
		c.run(8 * time.Second)
		gomega.Expect(c.freshCount("n2")).To(gomega.BeZero())
		expectNoViolations(c)
	})

	// Guards against evidence from the table service that is dated by its arrival:
	// the head may have changed since it was read.
	ginkgo.It("dates evidence of a slow store by the send time of the read", func() {
		c := newStartedCluster(2)
		c.kill("n2")
		c.storeLatency = 1200 * time.Millisecond
		c.run(5 * time.Second)
		n := c.nodes["n1"]
		for range 100 {
			c.run(50 * time.Millisecond)
			gomega.Expect(n.clock() - n.tables.Config.EvidenceAt).To(gomega.BeNumerically(">=", c.storeLatency))
		}
	})

	// Guards against gaps in the evidence when the store is slow.
	ginkgo.It("stays fresh with head reads that take 1.2 s", func() {
		c := newStartedCluster(1)
		c.storeLatency = 1200 * time.Millisecond
		c.run(3 * time.Second)
		for range 100 {
			c.run(100 * time.Millisecond)
			gomega.Expect(c.freshCount("n1")).To(gomega.Equal(1))
		}
	})

	// Guards against a one-way cut that stops a node or hides a change from it:
	// evidence reaches the node through other nodes.
	ginkgo.It("relays evidence around one-way cuts", func() {
		c := newStartedCluster(6)
		c.storeDown = true
		for _, id := range []state.NodeID{"n2", "n3", "n4", "n5"} {
			c.cutOneWay("n1", id)
		}
		c.run(10 * time.Second)
		gomega.Expect(c.freshCount("n1")).To(gomega.Equal(1), "n6 relays the evidence of the others")
		expectNoViolations(c)
	})

	// Guards against a node that continues with an old version after a pause.
	ginkgo.It("keeps a node that was paused from sending by an old version", func() {
		c := newStartedCluster(6)
		c.nodes["n3"].paused = true
		gomega.Expect(c.awaitReply(c.sendCommand("n1", disableNorth)).Accepted).To(gomega.BeTrue())
		c.run(time.Second)
		c.nodes["n3"].resume()
		c.run(3 * time.Second)
		expectNoViolations(c)
		gomega.Expect(c.freshCount("n3")).To(gomega.Equal(1))
		gomega.Expect(c.version("n3")).To(gomega.Equal(c.version("n1")))
	})

	// Guards against an acceptance that does not wait for a node of two versions
	// ago: the removed node is in neither registry and still fresh.
	ginkgo.It("waits for a node that was removed by a version not yet accepted", func() {
		c := newStartedCluster(6)
		c.isolate("n6")
		c.runUntil(80*time.Second, func() bool { return len(c.nodes["n1"].tables.Config.Head.Nodes) == 5 })
		c.storeUnreachable["n6"] = true
		gomega.Expect(c.freshCount("n6")).To(gomega.Equal(1))
		gomega.Expect(c.awaitReply(c.sendCommand("n1", disableNorth)).Accepted).To(gomega.BeTrue())
		expectNoViolations(c)
	})

	// Guards against dead nodes that count towards majorities indefinitely, and against
	// the removal of a node that some other nodes still reach.
	ginkgo.It("removes a node that no other node reaches for 60 s", func() {
		c := newStartedCluster(6)
		c.kill("n6")
		c.cutOneWay("n5", "n1")
		c.run(55 * time.Second)
		gomega.Expect(c.nodes["n1"].tables.Config.Head.Nodes).To(gomega.HaveLen(6))
		c.run(20 * time.Second)
		gomega.Expect(c.nodes["n1"].tables.Config.Head.Nodes).To(gomega.HaveLen(5))
		gomega.Expect(c.nodes["n1"].tables.Config.Head.Nodes[4].ID).To(gomega.Equal(state.NodeID("n5")))
		c.startNode("n6")
		c.run(5 * time.Second)
		gomega.Expect(c.freshCount("n6")).To(gomega.Equal(1))
		expectNoViolations(c)
	})

	// Guards against the removal of a node that serves and that one other node
	// reaches.
	ginkgo.It("keeps a node that one other node reaches", func() {
		c := newStartedCluster(6)
		for _, id := range c.ids[:4] {
			c.cutOneWay(id, "n6")
		}
		versionBefore := c.version("n1")
		c.run(75 * time.Second)
		gomega.Expect(c.version("n1")).To(gomega.Equal(versionBefore))
		gomega.Expect(c.freshCount("n6")).To(gomega.Equal(1))
	})

	// Guards against a system whose configuration can no longer change because most
	// of its nodes have failed permanently.
	ginkgo.It("accepts changes again after operators forget nodes when fewer than a blocking set are left", func() {
		c := newStartedCluster(6)
		for _, id := range c.ids[1:] {
			c.kill(id)
		}
		c.run(3 * time.Second)
		c.awaitReply(c.sendCommand("n1", applyPeakPreset))
		gomega.Expect(c.awaitReply(c.sendCommand("n1", disableNorth)).Error.Code).To(gomega.Equal("version_not_known"))
		var lastCommand uint64
		for _, id := range c.ids[1:] {
			lastCommand = c.sendCommand("n1", state.OperatorCommand{Action: state.ActionForget, Node: id})
		}
		gomega.Expect(c.awaitReply(lastCommand).Error).To(gomega.BeNil())
		gomega.Expect(c.awaitReply(c.sendCommand("n1", disableNorth)).Accepted).To(gomega.BeTrue())
	})
})
