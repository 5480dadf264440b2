package core_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// warm feeds each node a report of a target that has done much work.
func (w *world) warm(running int, ids ...state.TargetID) {
	for _, id := range ids {
		w.targets[id].completed = 100000
		for _, n := range w.nodes {
			n.feed(state.LoadReport{Target: id, SentAt: w.now, OK: true, Answer: state.LoadAnswer{
				Incarnation: w.targets[id].incarnation, Completed: 100000, Running: running,
			}})
		}
	}
}

var _ = Describe("routing", func() {
	var w *world
	begin := func(nodes int, s state.Switches, doc state.Document) {
		w = newWorld(nodes, s, doc)
		w.run(2 * time.Second)
	}
	sendAll := func(each int) {
		for range each {
			for _, n := range w.nodes {
				w.send(n, draft())
			}
		}
		w.run(10 * time.Millisecond)
	}
	target := func(n int, id state.TargetID) *state.Target { return w.nodes[n].t.Targets.Get(id) }

	// Guards against a herd: nodes that act on one old report choose one target.
	It("spreads six nodes that have the same stale report", func() {
		peak := func(s state.Switches) int {
			begin(6, s, draftDoc(6, 60, 60))
			w.warm(12, "g2", "g3", "g4", "g5", "g6")
			w.warm(0, "g1")
			sendAll(8)
			return w.targets["g1"].peak
		}
		Expect(peak(state.Switches{})).To(BeNumerically("<=", 24))
		Expect(peak(state.Switches{IgnoreChoices: true})).To(Equal(48))
	})

	// Guards against a cold target that six nodes fill at once, also while they
	// do not hear of each other.
	It("never sends a cold target more than its limit", func() {
		peak := func(s state.Switches) int {
			begin(6, s, draftDoc(1, 4, 64))
			w.partitioned = true
			sendAll(10)
			return w.targets["g1"].peak
		}
		Expect(peak(state.Switches{})).To(Equal(4))
		Expect(peak(state.Switches{IgnoreShares: true})).To(BeNumerically(">", 4))
	})

	// Guards against shares whose sum exceeds the limit while two registries
	// are in use.
	It("uses the smaller share until a registry change is accepted", func() {
		begin(2, state.Switches{}, draftDoc(1, 60, 60))
		Expect(target(0, "g1").Share).To(Equal(30))
		c := &w.nodes[0].t.Config
		old := c.Head.Nodes
		c.PreviousNodes, c.Head.Nodes, c.Head.Version = old, old[:1], 2
		w.run(100 * time.Millisecond)
		Expect(target(0, "g1").Share).To(Equal(30))
		c.AcceptedVersion = 2
		w.run(100 * time.Millisecond)
		Expect(target(0, "g1").Share).To(Equal(60))
		c.PreviousNodes, c.Head.Nodes, c.Head.Version = c.Head.Nodes, old[1:], 3
		w.run(100 * time.Millisecond)
		Expect(target(0, "g1").Share).To(BeZero())
	})

	// Guards against full load at once after a start, and against a target that
	// stays cold for ever.
	It("doubles the limit with completed work", func() {
		begin(1, state.Switches{}, draftDoc(1, 4, 64))
		for _, c := range []struct {
			completed int64
			limit     int
		}{{0, 4}, {15, 4}, {16, 8}, {32, 16}, {64, 64}, {1000, 64}} {
			w.nodes[0].feed(state.LoadReport{Target: "g1", SentAt: w.now, OK: true, Answer: state.LoadAnswer{
				Incarnation: 1, Completed: c.completed,
			}})
			Expect(target(0, "g1").Limit).To(Equal(c.limit), "after %d", c.completed)
		}
		// Without reports nothing shows that it is still the same incarnation.
		w.run(5 * time.Second)
		Expect(target(0, "g1").Limit).To(Equal(4))
	})

	// Guards against full load on a target that turned cold without notice.
	DescribeTable("lowers the limit at the first sign of a cold target",
		func(sign func(id state.RequestID)) {
			begin(1, state.Switches{}, draftDoc(1, 4, 64))
			w.targets["g1"].serve = time.Hour
			w.warm(0, "g1")
			for range 10 {
				id := w.send(w.nodes[0], draft())
				w.run(20 * time.Millisecond)
				w.nodes[0].feed(state.AttemptEvent{Request: id, Attempt: 1, Stage: state.AttemptFirstByte})
			}
			id := w.send(w.nodes[0], draft())
			w.run(200 * time.Millisecond)
			Expect(target(0, "g1").Limit).To(Equal(64))
			sign(id)
			Expect(target(0, "g1").Limit).To(Equal(4))
			Expect(w.nodes[0].t.Counters.ColdTransitions).To(BeEquivalentTo(1))
		},
		Entry("a connection error", func(id state.RequestID) {
			w.nodes[0].feed(state.AttemptEvent{
				Request: id, Attempt: 1, Stage: state.AttemptEnded, Failure: state.FailureConnect, Outcome: apierror.NotRun,
			})
			Expect(target(0, "g1").Suspect).To(BeTrue())
		}),
		Entry("a slow first token", func(id state.RequestID) {
			w.nodes[0].feed(state.AttemptEvent{Request: id, Attempt: 1, Stage: state.AttemptFirstByte})
		}),
		Entry("a new incarnation", func(state.RequestID) {
			w.targets["g1"].incarnation = 2
			w.nodes[0].feed(state.LoadReport{
				Target: "g1", SentAt: w.now, OK: true, Answer: state.LoadAnswer{Incarnation: 2, Completed: 3},
			})
		}),
	)

	// Guards against a decision whose mechanism does nothing.
	It("overfills a target that turned cold when the signs are ignored", func() {
		after := func(s state.Switches) int {
			begin(1, s, draftDoc(1, 4, 64))
			w.warm(0, "g1")
			w.targets["g1"].fail = failing(unreachable)
			w.send(w.nodes[0], draft())
			w.run(100 * time.Millisecond)
			w.targets["g1"].fail, w.targets["g1"].serve = nil, time.Hour
			sendAll(40)
			// The target is suspect until the next evidence that it is whole.
			w.run(100 * time.Millisecond)
			return w.targets["g1"].peak
		}
		Expect(after(state.Switches{})).To(BeNumerically("<=", 4))
		Expect(after(state.Switches{IgnoreColdSigns: true})).To(BeNumerically(">", 4))
	})

	// Guards against an idle limit at one node while another has demand, and
	// against a loan of what a silent peer may be using.
	It("borrows on warm targets what the peers report not to use", func() {
		sent := func(partitioned bool) int {
			begin(2, state.Switches{}, draftDoc(1, 4, 64))
			w.partitioned = partitioned
			w.run(3 * time.Second)
			w.warm(0, "g1")
			w.targets["g1"].serve = time.Hour
			for range 80 {
				w.send(w.nodes[0], draft())
			}
			w.run(10 * time.Millisecond)
			return len(w.nodes[0].starts)
		}
		Expect(sent(false)).To(Equal(64))
		Expect(sent(true)).To(Equal(32))
	})

	// Guards against new work for what leaves or was taken out.
	DescribeTable("sends no new work to what is taken out",
		func(out func(n *fakeNode)) {
			begin(1, state.Switches{}, draftDoc(2, 100, 100))
			n := w.nodes[0]
			out(n)
			w.run(100 * time.Millisecond)
			n.starts = nil
			sendAll(20)
			Expect(n.starts).To(HaveLen(20))
			for _, s := range n.starts {
				Expect(s.Target).To(Equal(state.TargetID("g2")))
			}
		},
		Entry("a data centre", func(n *fakeNode) {
			n.t.Config.Head.DisabledDataCentres, n.t.Config.Head.Version = []state.DataCentre{"north"}, 2
		}),
		Entry("a target", func(n *fakeNode) {
			n.t.Config.Head.DisabledTargets, n.t.Config.Head.Version = []state.TargetID{"g1"}, 2
		}),
		Entry("a group that the preset idles", func(n *fakeNode) {
			n.t.Config.Document.Presets = []state.PresetSpec{{Name: "maintenance", DisabledGroups: []state.GroupID{"g1"}}}
			n.t.Config.Head.Preset, n.t.Config.Head.Version = "maintenance", 2
		}),
		Entry("a group with a leaving host", func(n *fakeNode) {
			n.t.Hosts.Get("h-g1").Leaving = true
			n.t.Hosts.Touch("h-g1")
		}),
		Entry("a target that reports that it leaves", func(n *fakeNode) {
			n.feed(state.LoadReport{Target: "g1", SentAt: w.now, OK: true, Answer: state.LoadAnswer{Incarnation: 1, Leaving: true}})
		}),
		Entry("a group that is not whole", func(n *fakeNode) {
			n.t.Groups.Get("g1").Healthy = false
			n.t.Groups.Touch("g1")
		}),
	)

	// Guards against the first request of a node to a replica that has been
	// leaving while the node did not use it, and against one that never comes
	// back into use.
	It("asks an unused replica of a service before it uses it", func() {
		begin(1, state.Switches{}, orderDoc(""))
		lookup := order("", "")
		lookup.AtMostOnce = false
		w.targets["orders/a"].leaving = true
		id := w.send(w.nodes[0], lookup)
		w.run(5 * time.Second)
		Expect(w.nodes[0].starts).To(BeEmpty())
		w.targets["orders/a"].leaving, w.targets["orders/a"].incarnation = false, 2
		w.run(2 * time.Second)
		Expect(w.replies[id].Refusal).To(BeNil())
		w.run(time.Minute)
		w.targets["orders/a"].noReport = true
		id = w.send(w.nodes[0], lookup)
		w.run(time.Second)
		Expect(w.replies[id].Refusal).To(BeNil(), "a service without load reports is used")
	})

	// Guards against a resumed generation at a target that does not have it.
	It("sends a resumed request to its target or to none", func() {
		begin(1, state.Switches{}, draftDoc(4, 100, 100))
		a := draft()
		a.Resume = &state.ResumePoint{Target: "g3", Generation: "gen", Offset: 9}
		for range 5 {
			w.send(w.nodes[0], a)
		}
		w.run(10 * time.Millisecond)
		Expect(w.nodes[0].starts).To(HaveLen(5))
		for _, s := range w.nodes[0].starts {
			Expect(s.Target).To(Equal(state.TargetID("g3")))
			Expect(s.Resume).To(Equal(a.Resume))
		}
		w.targets["g3"].fail = failing(unreachable)
		w.nodes[0].starts = nil
		id := w.send(w.nodes[0], a)
		w.run(time.Minute)
		for _, s := range w.nodes[0].starts {
			Expect(s.Target).To(Equal(state.TargetID("g3")))
		}
		Expect(w.replies[id].Refusal).NotTo(BeNil())
	})

	Context("cache hints", func() {
		prompt := draft()
		prompt.PrefixHashes = []uint64{1, 2, 3, 4}
		// share returns how many of 100 prompts go to g2, which cached them.
		share := func(age time.Duration, gap, evicted bool) int {
			begin(1, state.Switches{}, draftDoc(4, 10000, 10000))
			n := w.nodes[0]
			cached := func(r state.LoadReport) {
				r.Target, r.SentAt, r.OK, r.Answer = "g2", w.now, true, state.LoadAnswer{Incarnation: 1}
				n.feed(r)
			}
			cached(state.LoadReport{CachedPrefixes: prompt.PrefixHashes})
			w.run(age)
			if gap {
				cached(state.LoadReport{CacheEventsMissed: true})
			}
			if evicted {
				cached(state.LoadReport{EvictedPrefixes: prompt.PrefixHashes})
			}
			for range 100 {
				w.send(n, prompt)
			}
			count := 0
			for _, s := range n.starts {
				if s.Target == "g2" {
					count++
				}
			}
			return count
		}
		// Guards against prompts that are computed again although a target holds
		// them, and against old hints that draw all load to one target.
		It("weighs hints by age, gaps and evictions", func() {
			Expect(share(0, false, false)).To(Equal(100))
			Expect(share(10*time.Minute, false, false)).To(BeNumerically("<", 60))
			Expect(share(30*time.Second, false, false)).To(Equal(100))
			Expect(share(30*time.Second, true, false)).To(BeNumerically("<", 60))
			Expect(share(0, false, true)).To(BeNumerically("<", 60))
		})
	})

	// Guards against a group that is slowed down by one member and still gets
	// its full part.
	It("gives stragglers less", func() {
		begin(1, state.Switches{}, draftDoc(3, 100, 100))
		w.nodes[0].t.Groups.Get("g3").Straggler = true
		sendAll(60)
		Expect(w.targets["g3"].peak).To(BeNumerically("<", 15))
	})

	// Guards against a request to a group whose last verdict has expired while
	// its row still says that it is whole.
	It("sends nothing on a verdict that is too old", func() {
		begin(1, state.Switches{}, draftDoc(1, 100, 100))
		w.send(w.nodes[0], draft())
		w.run(time.Second)
		Expect(w.nodes[0].starts).To(HaveLen(1))
		w.noVerdicts = true
		w.run(2 * time.Second)
		w.send(w.nodes[0], draft())
		w.run(time.Second)
		Expect(w.nodes[0].starts).To(HaveLen(1))
		w.noVerdicts = false
		w.run(time.Second)
		Expect(w.nodes[0].starts).To(HaveLen(2))
	})

	// Guards against a request to a target that has just refused a connection
	// while its last verdict still counts.
	It("sends nothing to a suspect target until a later verdict", func() {
		begin(1, state.Switches{}, draftDoc(1, 100, 100))
		w.run(time.Second)
		w.noVerdicts = true
		w.targets["g1"].fail = failing(unreachable)
		w.send(w.nodes[0], draft())
		w.run(200 * time.Millisecond)
		sent := len(w.nodes[0].starts)
		w.targets["g1"].fail = nil
		w.send(w.nodes[0], draft())
		w.run(500 * time.Millisecond)
		Expect(w.nodes[0].starts).To(HaveLen(sent))
		w.noVerdicts = false
		w.run(time.Second)
		Expect(len(w.nodes[0].starts)).To(BeNumerically(">", sent))
	})

	// Guards against control traffic to targets that a node does not use.
	It("asks only targets in use for their load, each second", func() {
		begin(1, state.Switches{}, draftDoc(20, 100, 100))
		fetches := map[state.TargetID]int{}
		w.fetched = func(id state.TargetID) { fetches[id]++ }
		w.send(w.nodes[0], draft())
		w.run(30 * time.Second)
		Expect(fetches).To(HaveLen(1))
		Expect(fetches[w.nodes[0].starts[0].Target]).To(BeNumerically("~", 11, 2))
	})

	// Guards against counts that drift and so block or overfill a target.
	It("counts attempts in flight exactly", func() {
		begin(3, state.Switches{}, draftDoc(4, 8, 8))
		w.targets["g2"].fail = failing(unreachable)
		for range 100 {
			sendAll(1)
		}
		w.run(2 * time.Minute)
		for i := range w.nodes {
			for _, row := range w.nodes[i].t.Targets.All() {
				Expect(row.InFlight).To(BeZero())
				Expect(row.PeerInFlight).To(BeZero())
			}
		}
	})
})
