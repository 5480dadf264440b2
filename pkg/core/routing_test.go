package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// reportWarm feeds each node a load report of targets that have completed 100,000
// requests.
func (sim *simulation) reportWarm(running int, ids ...state.TargetID) {
	for _, id := range ids {
		sim.targets[id].completed = 100000
		for _, n := range sim.nodes {
			n.feed(state.LoadReport{Target: id, SentAt: sim.now, OK: true, Answer: state.LoadAnswer{
				Incarnation: sim.targets[id].incarnation, Completed: 100000, Running: running,
			}})
		}
	}
}

var _ = Describe("routing", func() {
	var sim *simulation
	setUp := func(nodes int, switches state.Switches, doc state.Document) {
		sim = newSimulation(nodes, switches, doc)
		sim.run(2 * time.Second)
	}
	sendFromAllNodes := func(perNode int) {
		for range perNode {
			for _, n := range sim.nodes {
				sim.send(n, draftRequest())
			}
		}
		sim.run(10 * time.Millisecond)
	}
	targetRow := func(node int, id state.TargetID) *state.Target { return sim.nodes[node].tables.Targets.Get(id) }

	// Guards against a herd effect: nodes that act on the same old report choose
	// the same target.
	It("spreads the load of six nodes that have the same stale report", func() {
		peakRunning := func(switches state.Switches) int {
			setUp(6, switches, draftDocument(6, 60, 60))
			sim.reportWarm(12, "g2", "g3", "g4", "g5", "g6")
			sim.reportWarm(0, "g1")
			sendFromAllNodes(8)
			return sim.targets["g1"].peakRunning
		}
		Expect(peakRunning(state.Switches{})).To(BeNumerically("<=", 24))
		Expect(peakRunning(state.Switches{IgnoreChoices: true})).To(Equal(48))
	})

	// Guards against a cold target that six nodes fill at once, even if they
	// receive no counts from one another.
	It("never sends a cold target more than its limit", func() {
		peakRunning := func(switches state.Switches) int {
			setUp(6, switches, draftDocument(1, 4, 64))
			sim.partitioned = true
			sendFromAllNodes(10)
			return sim.targets["g1"].peakRunning
		}
		Expect(peakRunning(state.Switches{})).To(Equal(4))
		Expect(peakRunning(state.Switches{IgnoreShares: true})).To(BeNumerically(">", 4))
	})

	// Guards against shares that add up to more than the limit while two registries
	// are in use.
	It("uses the smaller share until a registry change is accepted", func() {
		setUp(2, state.Switches{}, draftDocument(1, 60, 60))
		Expect(targetRow(0, "g1").Share).To(Equal(30))
		config := &sim.nodes[0].tables.Config
		oldNodes := config.Head.Nodes
		config.PreviousNodes, config.Head.Nodes, config.Head.Version = oldNodes, oldNodes[:1], 2
		sim.run(100 * time.Millisecond)
		Expect(targetRow(0, "g1").Share).To(Equal(30))
		config.AcceptedVersion = 2
		sim.run(100 * time.Millisecond)
		Expect(targetRow(0, "g1").Share).To(Equal(60))
		config.PreviousNodes, config.Head.Nodes, config.Head.Version = config.Head.Nodes, oldNodes[1:], 3
		sim.run(100 * time.Millisecond)
		Expect(targetRow(0, "g1").Share).To(BeZero())
	})

	// Guards against full load immediately after a start, and against a target that
	// stays cold for ever.
	It("doubles the limit with completed work", func() {
		setUp(1, state.Switches{}, draftDocument(1, 4, 64))
		for _, c := range []struct {
			completed int64
			limit     int
		}{{0, 4}, {15, 4}, {16, 8}, {32, 16}, {64, 64}, {1000, 64}} {
			sim.nodes[0].feed(state.LoadReport{Target: "g1", SentAt: sim.now, OK: true, Answer: state.LoadAnswer{
				Incarnation: 1, Completed: c.completed,
			}})
			Expect(targetRow(0, "g1").Limit).To(Equal(c.limit), "after %d", c.completed)
		}
		// Without load reports the node cannot determine whether the incarnation is
		// still the same.
		sim.run(5 * time.Second)
		Expect(targetRow(0, "g1").Limit).To(Equal(4))
	})

	// Guards against full load on a target that became cold without notice.
	DescribeTable("lowers the limit at the first sign of a cold target",
		func(coldSign func(id state.RequestID)) {
			setUp(1, state.Switches{}, draftDocument(1, 4, 64))
			sim.targets["g1"].serviceTime = time.Hour
			sim.reportWarm(0, "g1")
			for range 10 {
				id := sim.send(sim.nodes[0], draftRequest())
				sim.run(20 * time.Millisecond)
				sim.nodes[0].feed(state.AttemptEvent{Request: id, Attempt: 1, Stage: state.AttemptFirstByte})
			}
			id := sim.send(sim.nodes[0], draftRequest())
			sim.run(200 * time.Millisecond)
			Expect(targetRow(0, "g1").Limit).To(Equal(64))
			coldSign(id)
			Expect(targetRow(0, "g1").Limit).To(Equal(4))
			Expect(sim.nodes[0].tables.Counters.ColdTransitions).To(BeEquivalentTo(1))
		},
		Entry("a connection error", func(id state.RequestID) {
			sim.nodes[0].feed(state.AttemptEvent{
				Request: id, Attempt: 1, Stage: state.AttemptEnded, Failure: state.FailureConnect, Outcome: apierror.NotRun,
			})
			Expect(targetRow(0, "g1").Suspect).To(BeTrue())
		}),
		Entry("a slow first token", func(id state.RequestID) {
			sim.nodes[0].feed(state.AttemptEvent{Request: id, Attempt: 1, Stage: state.AttemptFirstByte})
		}),
		Entry("a new incarnation", func(state.RequestID) {
			sim.targets["g1"].incarnation = 2
			sim.nodes[0].feed(state.LoadReport{
				Target: "g1", SentAt: sim.now, OK: true, Answer: state.LoadAnswer{Incarnation: 2, Completed: 3},
			})
		}),
	)

	// Guards against cold signs without effect: if they are ignored, the target
	// receives more than its cold limit.
	It("overloads a target that became cold when the signs are ignored", func() {
		peakAfterFailure := func(switches state.Switches) int {
			setUp(1, switches, draftDocument(1, 4, 64))
			sim.reportWarm(0, "g1")
			sim.targets["g1"].injectFault = failWith(connectFailure)
			sim.send(sim.nodes[0], draftRequest())
			sim.run(100 * time.Millisecond)
			sim.targets["g1"].injectFault, sim.targets["g1"].serviceTime = nil, time.Hour
			sendFromAllNodes(40)
			// The target is suspect until the next evidence that its group is healthy.
			sim.run(100 * time.Millisecond)
			return sim.targets["g1"].peakRunning
		}
		Expect(peakAfterFailure(state.Switches{})).To(BeNumerically("<=", 4))
		Expect(peakAfterFailure(state.Switches{IgnoreColdSigns: true})).To(BeNumerically(">", 4))
	})

	// Guards against a limit that stays unused at one node while another has
	// demand, and against borrowing what a peer that does not report may be using.
	It("borrows the unused shares of reporting peers on warm targets", func() {
		startsOfOneNode := func(partitioned bool) int {
			setUp(2, state.Switches{}, draftDocument(1, 4, 64))
			sim.partitioned = partitioned
			sim.run(3 * time.Second)
			sim.reportWarm(0, "g1")
			sim.targets["g1"].serviceTime = time.Hour
			for range 80 {
				sim.send(sim.nodes[0], draftRequest())
			}
			sim.run(10 * time.Millisecond)
			return len(sim.nodes[0].starts)
		}
		Expect(startsOfOneNode(false)).To(Equal(64))
		Expect(startsOfOneNode(true)).To(Equal(32))
	})

	// Guards against new work for targets that leave or were disabled.
	DescribeTable("sends no new work to targets that are disabled, leaving or unhealthy",
		func(withdraw func(n *fakeNode)) {
			setUp(1, state.Switches{}, draftDocument(2, 100, 100))
			n := sim.nodes[0]
			withdraw(n)
			sim.run(100 * time.Millisecond)
			n.starts = nil
			sendFromAllNodes(20)
			Expect(n.starts).To(HaveLen(20))
			for _, start := range n.starts {
				Expect(start.Target).To(Equal(state.TargetID("g2")))
			}
		},
		Entry("a data centre", func(n *fakeNode) {
			n.tables.Config.Head.DisabledDataCentres, n.tables.Config.Head.Version = []state.DataCentre{"north"}, 2
		}),
		Entry("a target", func(n *fakeNode) {
			n.tables.Config.Head.DisabledTargets, n.tables.Config.Head.Version = []state.TargetID{"g1"}, 2
		}),
		Entry("a group that the preset disables", func(n *fakeNode) {
			n.tables.Config.Document.Presets = []state.PresetSpec{{Name: "maintenance", DisabledGroups: []state.GroupID{"g1"}}}
			n.tables.Config.Head.Preset, n.tables.Config.Head.Version = "maintenance", 2
		}),
		Entry("a group with a leaving host", func(n *fakeNode) {
			n.tables.Hosts.Get("h-g1").Leaving = true
			n.tables.Hosts.Touch("h-g1")
		}),
		Entry("a target that reports that it leaves", func(n *fakeNode) {
			n.feed(state.LoadReport{Target: "g1", SentAt: sim.now, OK: true, Answer: state.LoadAnswer{Incarnation: 1, Leaving: true}})
		}),
		Entry("an unhealthy group", func(n *fakeNode) {
			n.tables.Groups.Get("g1").Healthy = false
			n.tables.Groups.Touch("g1")
		}),
	)

	// Guards against the first request of a node to a replica that started to leave
	// while the node did not use it, and against a replica that never returns to
	// use.
	It("fetches the load report of an unused service replica before it uses the replica", func() {
		setUp(1, state.Switches{}, orderDocument(""))
		request := orderRequest("", "")
		request.AtMostOnce = false
		sim.targets["orders/a"].leaving = true
		id := sim.send(sim.nodes[0], request)
		sim.run(5 * time.Second)
		Expect(sim.nodes[0].starts).To(BeEmpty())
		sim.targets["orders/a"].leaving, sim.targets["orders/a"].incarnation = false, 2
		sim.run(2 * time.Second)
		Expect(sim.replies[id].Refusal).To(BeNil())
		sim.run(time.Minute)
		sim.targets["orders/a"].loadReportFails = true
		id = sim.send(sim.nodes[0], request)
		sim.run(time.Second)
		Expect(sim.replies[id].Refusal).To(BeNil(), "a service without load reports is used")
	})

	// Guards against a resumed generation at a target that does not have it.
	It("sends a resumed request to its target or to no target", func() {
		setUp(1, state.Switches{}, draftDocument(4, 100, 100))
		request := draftRequest()
		request.Resume = &state.ResumePoint{Target: "g3", Generation: "gen", Offset: 9}
		for range 5 {
			sim.send(sim.nodes[0], request)
		}
		sim.run(10 * time.Millisecond)
		Expect(sim.nodes[0].starts).To(HaveLen(5))
		for _, start := range sim.nodes[0].starts {
			Expect(start.Target).To(Equal(state.TargetID("g3")))
			Expect(start.Resume).To(Equal(request.Resume))
		}
		sim.targets["g3"].injectFault = failWith(connectFailure)
		sim.nodes[0].starts = nil
		id := sim.send(sim.nodes[0], request)
		sim.run(time.Minute)
		for _, start := range sim.nodes[0].starts {
			Expect(start.Target).To(Equal(state.TargetID("g3")))
		}
		Expect(sim.replies[id].Refusal).NotTo(BeNil())
	})

	Context("cache hints", func() {
		prompt := draftRequest()
		prompt.PrefixHashes = []uint64{1, 2, 3, 4}
		// startsAtCachingTarget returns how many of 100 prompts go to g2, which has
		// reported that it cached their prefixes.
		startsAtCachingTarget := func(age time.Duration, eventsMissed, evicted bool) int {
			setUp(1, state.Switches{}, draftDocument(4, 10000, 10000))
			n := sim.nodes[0]
			reportLoad := func(report state.LoadReport) {
				report.Target, report.SentAt, report.OK, report.Answer = "g2", sim.now, true, state.LoadAnswer{Incarnation: 1}
				n.feed(report)
			}
			reportLoad(state.LoadReport{CachedPrefixes: prompt.PrefixHashes})
			sim.run(age)
			if eventsMissed {
				reportLoad(state.LoadReport{CacheEventsMissed: true})
			}
			if evicted {
				reportLoad(state.LoadReport{EvictedPrefixes: prompt.PrefixHashes})
			}
			for range 100 {
				sim.send(n, prompt)
			}
			count := 0
			for _, start := range n.starts {
				if start.Target == "g2" {
					count++
				}
			}
			return count
		}
		// Guards against prompts that are computed again although a target has
		// cached them, and against old hints that direct all load to one target.
		It("weighs hints by age, missed events and evictions", func() {
			Expect(startsAtCachingTarget(0, false, false)).To(Equal(100))
			Expect(startsAtCachingTarget(10*time.Minute, false, false)).To(BeNumerically("<", 60))
			Expect(startsAtCachingTarget(30*time.Second, false, false)).To(Equal(100))
			Expect(startsAtCachingTarget(30*time.Second, true, false)).To(BeNumerically("<", 60))
			Expect(startsAtCachingTarget(0, false, true)).To(BeNumerically("<", 60))
		})
	})

	// Guards against a group that one member slows down and that still receives its
	// full share.
	It("sends less work to stragglers", func() {
		setUp(1, state.Switches{}, draftDocument(3, 100, 100))
		sim.nodes[0].tables.Groups.Get("g3").Straggler = true
		sendFromAllNodes(60)
		Expect(sim.targets["g3"].peakRunning).To(BeNumerically("<", 15))
	})

	// Guards against a request to a group whose health evidence has expired while
	// its row still marks it as healthy.
	It("sends nothing on health evidence that is too old", func() {
		setUp(1, state.Switches{}, draftDocument(1, 100, 100))
		sim.send(sim.nodes[0], draftRequest())
		sim.run(time.Second)
		Expect(sim.nodes[0].starts).To(HaveLen(1))
		sim.withholdHealthReports = true
		sim.run(2 * time.Second)
		sim.send(sim.nodes[0], draftRequest())
		sim.run(time.Second)
		Expect(sim.nodes[0].starts).To(HaveLen(1))
		sim.withholdHealthReports = false
		sim.run(time.Second)
		Expect(sim.nodes[0].starts).To(HaveLen(2))
	})

	// Guards against a request to a target that has just refused a connection while
	// its last health evidence still counts.
	It("sends nothing to a suspect target until there is newer health evidence", func() {
		setUp(1, state.Switches{}, draftDocument(1, 100, 100))
		sim.run(time.Second)
		sim.withholdHealthReports = true
		sim.targets["g1"].injectFault = failWith(connectFailure)
		sim.send(sim.nodes[0], draftRequest())
		sim.run(200 * time.Millisecond)
		startsBefore := len(sim.nodes[0].starts)
		sim.targets["g1"].injectFault = nil
		sim.send(sim.nodes[0], draftRequest())
		sim.run(500 * time.Millisecond)
		Expect(sim.nodes[0].starts).To(HaveLen(startsBefore))
		sim.withholdHealthReports = false
		sim.run(time.Second)
		Expect(len(sim.nodes[0].starts)).To(BeNumerically(">", startsBefore))
	})

	// Guards against control traffic to targets that a node does not use.
	It("fetches load reports only from targets in use, once per second", func() {
		setUp(1, state.Switches{}, draftDocument(20, 100, 100))
		fetches := map[state.TargetID]int{}
		sim.onFetchLoad = func(id state.TargetID) { fetches[id]++ }
		sim.send(sim.nodes[0], draftRequest())
		sim.run(30 * time.Second)
		Expect(fetches).To(HaveLen(1))
		Expect(fetches[sim.nodes[0].starts[0].Target]).To(BeNumerically("~", 11, 2))
	})

	// Guards against counts that drift and so block or overload a target.
	It("counts attempts in flight exactly", func() {
		setUp(3, state.Switches{}, draftDocument(4, 8, 8))
		sim.targets["g2"].injectFault = failWith(connectFailure)
		for range 100 {
			sendFromAllNodes(1)
		}
		sim.run(2 * time.Minute)
		for i := range sim.nodes {
			for _, row := range sim.nodes[i].tables.Targets.All() {
				Expect(row.InFlight).To(BeZero())
				Expect(row.PeerInFlight).To(BeZero())
			}
		}
	})
})
