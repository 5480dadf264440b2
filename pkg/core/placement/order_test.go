package placement_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

var _ = Describe("engine orders", func() {
	var r *rig
	BeforeEach(func() {
		r = newRig(entries("north", "n1", "n2", "n3")...)
		r.addHosts("north", "a", 3)
	})
	start := func() {
		r.configure(document(spec("g1", "north", 3)))
		r.until(30*time.Second, "serving", func() bool { return r.serving("g1") })
	}
	loads := func() (list []int) {
		for _, id := range r.ids {
			list = append(list, r.engines[id].loads)
		}
		return list
	}

	It("are given once to each member, with a number and an expiry", func() {
		// Guards against orders that are repeated while they take effect.
		start()
		r.run(time.Minute)
		Expect(loads()).To(Equal([]int{1, 1, 1}))
		for _, e := range r.engines {
			Expect(e.orders[0].FencingToken).To(Equal(r.group("g1").FencingToken))
			Expect(e.orders[0].TTL).To(Equal(5 * time.Second))
		}
	})

	It("are repeated when a probe shows that they were lost, not before they expire", func() {
		// Guards against a group that waits for an order nobody got, and
		// against a second order that the first one then overtakes.
		r.engines[r.ids[1]].loseOrder = true
		start()
		Expect(loads()).To(Equal([]int{1, 1, 1}))
		var sent []state.EngineOrder
		for _, n := range r.nodes {
			for _, o := range n.orders {
				if o.Host == r.ids[1] {
					sent = append(sent, o)
				}
			}
		}
		Expect(sent).To(HaveLen(2))
		Expect(r.now).To(BeNumerically(">", 5*time.Second))
	})

	DescribeTable("are not repeated when only their answer was lost",
		func(checks, reports bool) {
			// Guards against a reload that starts a load from the beginning.
			for _, e := range r.engines {
				e.answer.ChecksFencingToken, e.reports = checks, reports
				e.loadTime = 15 * time.Second
			}
			r.engines[r.ids[0]].loseAnswer = true
			start()
			Expect(loads()).To(Equal([]int{1, 1, 1}))
		},
		Entry("by an engine that checks numbers", true, true),
		Entry("by an engine that reports but ignores them", false, true),
		Entry("by an engine that knows no numbers", false, false),
	)

	// crossed makes a holder pause with an order in flight and lets another
	// node re-form the group on another model; it returns the held order.
	crossed := func() (*node, state.EngineOrder) {
		start()
		h := r.holder("north")
		h.keep = func(out state.Output) bool { _, ok := out.(state.EngineOrder); return ok }
		r.restart(r.ids[0])
		r.until(10*time.Second, "orders in flight", func() bool { return len(h.kept) > 0 })
		h.paused, h.keep = true, nil
		old := h.kept[0].(state.EngineOrder)
		doc := document(spec("g1", "north", 3))
		doc.Groups[0].Model = "other"
		r.configure(doc)
		return h, old
	}

	It("of a former holder are refused by an engine that checks numbers", func() {
		// Guards against an order that arrives after the next holder's.
		h, old := crossed()
		r.until(60*time.Second, "other model", func() bool { return r.serving("g1") && r.group("g1").Model == "other" })
		before := r.engines[old.Host].answer
		h.carryOut(old)
		r.run(time.Second)
		Expect(r.engines[old.Host].answer).To(Equal(before))
		h.resume()
		r.run(10 * time.Second)
		Expect(r.engines[old.Host].answer).To(Equal(before))
	})

	It("wait until those of the former holder have expired when the engine ignores numbers", func() {
		// Guards against an order of the former holder that takes effect after
		// that of the new one. It may do so until it expires.
		for _, e := range r.engines {
			e.answer.ChecksFencingToken = false
		}
		h, old := crossed()
		r.until(15*time.Second, "taken over", func() bool { return r.holder("north") != nil })
		taken := r.now
		// The engine acts on the old order at the last possible moment.
		r.after(4900*time.Millisecond, func() { h.carryOut(old) })
		r.until(60*time.Second, "other model", func() bool { return r.serving("g1") && r.group("g1").Model == "other" })
		Expect(r.now - taken).To(BeNumerically(">", 5*time.Second))
		for _, id := range r.ids {
			Expect(r.engines[id].answer.Model).To(Equal("other"))
		}
	})

	It("cross those of the former holder when their expiry is ignored", func() {
		// Shows what the wait prevents: two nodes' orders at one engine, and a
		// load that is thrown away.
		for _, e := range r.engines {
			e.answer.ChecksFencingToken = false
		}
		for _, n := range r.nodes {
			n.t.Switches.IgnoreOrderExpiry = true
		}
		h, old := crossed()
		r.until(15*time.Second, "taken over", func() bool { return r.holder("north") != nil })
		r.after(4900*time.Millisecond, func() { h.carryOut(old) })
		r.run(4800 * time.Millisecond)
		Expect(r.engines[old.Host].answer.Model).To(Equal("other"))
		r.run(200 * time.Millisecond)
		Expect(r.engines[old.Host].answer.Model).To(Equal("draft"))
	})

	It("are not given by a new holder to engines that already load what they should", func() {
		// Guards against loads that start again at each change of the holder.
		for _, e := range r.engines {
			e.loadTime = 30 * time.Second
		}
		r.configure(document(spec("g1", "north", 3)))
		r.run(10 * time.Second)
		h := r.holder("north")
		h.paused = true
		r.until(time.Minute, "serving", func() bool { return r.serving("g1") })
		Expect(r.lease("north").FencingToken).To(BeEquivalentTo(2))
		Expect(loads()).To(Equal([]int{1, 1, 1}))
	})

	It("undo a stray one that an engine has followed", func() {
		// Guards against a group that stays down because an order from long ago
		// reached an engine that ignores numbers.
		for _, e := range r.engines {
			e.answer.ChecksFencingToken = false
		}
		start()
		fence := r.group("g1").FencingToken
		r.engines[r.ids[1]].order(r, state.EngineOrder{Host: r.ids[1], Kind: state.OrderLoad, Group: "g0", Model: "old"})
		r.until(30*time.Second, "loaded again", func() bool { return r.serving("g1") && r.group("g1").FencingToken > fence })
		Expect(r.engines[r.ids[1]].answer.Model).To(Equal("draft"))
	})

	It("get a higher number when an engine holds a higher one than its row", func() {
		// Guards against a group that never loads because of a number from
		// elsewhere, as after the table service was restored.
		r.engines[r.ids[2]].answer.FencingToken = 1 << 40
		start()
		Expect(r.group("g1").FencingToken).To(BeNumerically(">", 1<<40))
		Expect(r.count(event.EngineOrderFenced)).To(Equal(1))
	})

	It("are not given without the lease", func() {
		// Guards against orders by a holder that is cut off from the platform,
		// here the repetition of a lost one.
		r.engines[r.ids[0]].loseOrder = true
		r.configure(document(spec("g1", "north", 3)))
		r.until(10*time.Second, "orders", func() bool { return slices.Contains(loads(), 1) })
		r.fate = func(*node, state.StoreRequest) fate { return fate{unavailable: true} }
		r.run(30 * time.Second)
		Expect(loads()).To(Equal([]int{0, 1, 1}))
		r.fate = nil
		r.until(30*time.Second, "serving", func() bool { return r.serving("g1") })
	})

	It("wait for this node's own earlier order when the engine ignores numbers", func() {
		// Guards against an order of the same holder that arrives after a later
		// one.
		for _, e := range r.engines {
			e.answer.ChecksFencingToken = false
		}
		start()
		h := r.holder("north")
		sent := 0
		h.keep = func(out state.Output) bool {
			o, ok := out.(state.EngineOrder)
			if ok && o.Host == r.ids[0] {
				sent++
			}
			return ok && o.Host == r.ids[0] && sent == 1
		}
		r.restart(r.ids[0])
		r.until(10*time.Second, "order in flight", func() bool { return sent == 1 })
		doc := document(spec("g1", "north", 3))
		doc.Groups[0].Model = "other"
		r.configure(doc)
		r.run(4800 * time.Millisecond)
		Expect(r.group("g1").Model).To(Equal("other"))
		Expect(sent).To(Equal(1))
		h.carryOut(h.kept[0])
		r.until(30*time.Second, "serving", func() bool { return r.serving("g1") })
		Expect(r.engines[r.ids[0]].answer.Model).To(Equal("other"))
	})
})

var _ = Describe("pacing of loads", func() {
	var r *rig
	names := []state.GroupID{"g1", "g2", "g3", "g4", "g5", "g6"}
	// begin declares six groups of two members that load 2,000 bytes each.
	begin := func(rate int64) {
		r = newRig(entries("north", "n1", "n2")...)
		r.addHosts("north", "a", 12)
		doc := document()
		doc.DataCentres[0].WeightStoreRate = rate
		for _, n := range names {
			doc.Groups = append(doc.Groups, spec(n, "north", 2))
		}
		doc.Groups[5].Model = "wanted"
		doc.Models = append(doc.Models, state.ModelSpec{Name: "wanted", WeightBytes: 1000})
		for _, e := range r.engines {
			e.loadTime = 20 * time.Second
		}
		r.run(time.Second)
		r.configure(doc)
	}
	loading := func() int {
		groups := map[state.GroupID]bool{}
		for _, e := range r.engines {
			if e.answer.Phase == state.PhaseLoading {
				groups[e.answer.Group] = true
			}
		}
		return len(groups)
	}
	most := func(d time.Duration) int {
		most := 0
		for range int(d / (100 * time.Millisecond)) {
			r.run(100 * time.Millisecond)
			most = max(most, loading())
		}
		return most
	}

	It("keeps loads in progress within what the store delivers in 60 s", func() {
		// Guards against loads that all take long because all run at once.
		begin(100)
		Expect(most(3 * time.Minute)).To(Equal(3))
		Expect(r.serving(names...)).To(BeTrue())
	})

	It("lets one group load whatever its size", func() {
		// Guards against a model that can never load.
		begin(1)
		Expect(most(4 * time.Minute)).To(Equal(1))
		Expect(r.serving(names...)).To(BeTrue())
	})

	It("counts the loads that a former holder admitted", func() {
		// Guards against twice the rate after a change of the holder.
		begin(100)
		r.run(12 * time.Second)
		Expect(loading()).To(Equal(3))
		r.holder("north").paused = true
		for _, n := range r.nodes {
			n.t.Requests.Put("r1", &state.Request{Arrival: state.RequestArrived{ID: "r1", Model: "wanted"}})
		}
		Expect(most(2 * time.Minute)).To(BeNumerically("<=", 3))
		Expect(r.serving(names...)).To(BeTrue())
		Expect(r.lease("north").FencingToken).To(BeEquivalentTo(2))
	})

	It("does not let a group with a dead member hold the rate", func() {
		// Guards against groups that wait behind one that cannot load.
		begin(1)
		r.until(20*time.Second, "first load", func() bool { return loading() == 1 })
		r.kill(r.group("g1").Members[0])
		Expect(r.group("g1").Members).NotTo(BeEmpty())
		r.run(4 * time.Minute)
		Expect(r.serving(names[1:]...)).To(BeTrue())
	})

	It("loads groups first for which requests wait", func() {
		// Guards against callers that wait behind loads nobody needs.
		begin(1)
		for _, n := range r.nodes {
			for i := range 3 {
				id := state.RequestID(fmt.Sprintf("r%d", i))
				n.t.Requests.Put(id, &state.Request{Arrival: state.RequestArrived{ID: id, Model: "wanted"}})
			}
		}
		// The first group is admitted before the others are formed.
		r.until(2*time.Minute, "second group", func() bool {
			return slices.ContainsFunc(names[1:], func(g state.GroupID) bool { return r.serving(g) })
		})
		Expect(r.serving("g1", "g6")).To(BeTrue())
	})
})
