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
		r = newRig(nodeEntries("north", "n1", "n2", "n3")...)
		r.addHosts("north", "a", 3)
	})
	formGroup := func() {
		r.configure(document(groupSpec("g1", "north", 3)))
		r.runUntil(30*time.Second, "serving", func() bool { return r.allServing("g1") })
	}
	loadCounts := func() (list []int) {
		for _, id := range r.hostIDs {
			list = append(list, r.engines[id].loadCount)
		}
		return list
	}

	It("are sent once to each member with a fencing token and a TTL", func() {
		// Guards against orders that are repeated while they take effect.
		formGroup()
		r.run(time.Minute)
		Expect(loadCounts()).To(Equal([]int{1, 1, 1}))
		for _, e := range r.engines {
			Expect(e.orders[0].FencingToken).To(Equal(r.groupRow("g1").FencingToken))
			Expect(e.orders[0].TTL).To(Equal(5 * time.Second))
		}
	})

	It("are repeated after their expiry when a probe shows that they were lost", func() {
		// Guards against a group that waits for an order that no engine
		// received, and against a second order that is overtaken by the first
		// one.
		r.engines[r.hostIDs[1]].dropNextOrder = true
		formGroup()
		Expect(loadCounts()).To(Equal([]int{1, 1, 1}))
		var sent []state.EngineOrder
		for _, n := range r.nodes {
			for _, o := range n.orders {
				if o.Host == r.hostIDs[1] {
					sent = append(sent, o)
				}
			}
		}
		Expect(sent).To(HaveLen(2))
		Expect(r.now).To(BeNumerically(">", 5*time.Second))
	})

	DescribeTable("are not repeated when only their reply was lost",
		func(checks, reports bool) {
			// Guards against a repeated order that restarts a load in progress.
			for _, e := range r.engines {
				e.answer.ChecksFencingToken, e.reportsFencingToken = checks, reports
				e.loadTime = 15 * time.Second
			}
			r.engines[r.hostIDs[0]].dropNextReply = true
			formGroup()
			Expect(loadCounts()).To(Equal([]int{1, 1, 1}))
		},
		Entry("by an engine that checks fencing tokens", true, true),
		Entry("by an engine that reports fencing tokens but ignores them", false, true),
		Entry("by an engine without fencing tokens", false, false),
	)

	// takeOverWithOrderInFlight pauses the holder with an order in flight and
	// declares another model, which the next holder makes the group load. It
	// returns the paused holder and the order in flight.
	takeOverWithOrderInFlight := func() (*node, state.EngineOrder) {
		formGroup()
		holder := r.holder("north")
		holder.intercept = func(out state.Output) bool { _, ok := out.(state.EngineOrder); return ok }
		r.restart(r.hostIDs[0])
		r.runUntil(10*time.Second, "orders in flight", func() bool { return len(holder.intercepted) > 0 })
		holder.paused, holder.intercept = true, nil
		oldOrder := holder.intercepted[0].(state.EngineOrder)
		doc := document(groupSpec("g1", "north", 3))
		doc.Groups[0].Model = "other"
		r.configure(doc)
		return holder, oldOrder
	}

	It("of a previous holder are refused by an engine that checks fencing tokens", func() {
		// Guards against an order that takes effect after that of the next
		// holder.
		holder, oldOrder := takeOverWithOrderInFlight()
		r.runUntil(60*time.Second, "other model", func() bool { return r.allServing("g1") && r.groupRow("g1").Model == "other" })
		before := r.engines[oldOrder.Host].answer
		holder.perform(oldOrder)
		r.run(time.Second)
		Expect(r.engines[oldOrder.Host].answer).To(Equal(before))
		holder.resume()
		r.run(10 * time.Second)
		Expect(r.engines[oldOrder.Host].answer).To(Equal(before))
	})

	It("wait until those of the previous holder have expired if the engine ignores fencing tokens", func() {
		// Guards against an order of the previous holder that takes effect
		// after that of the new one. It may take effect until it expires.
		for _, e := range r.engines {
			e.answer.ChecksFencingToken = false
		}
		holder, oldOrder := takeOverWithOrderInFlight()
		r.runUntil(15*time.Second, "taken over", func() bool { return r.holder("north") != nil })
		takenOverAt := r.now
		// The engine follows the old order just before it expires.
		r.scheduleAfter(4900*time.Millisecond, func() { holder.perform(oldOrder) })
		r.runUntil(60*time.Second, "other model", func() bool { return r.allServing("g1") && r.groupRow("g1").Model == "other" })
		Expect(r.now - takenOverAt).To(BeNumerically(">", 5*time.Second))
		for _, id := range r.hostIDs {
			Expect(r.engines[id].answer.Model).To(Equal("other"))
		}
	})

	It("conflict with those of the previous holder when their expiry is ignored", func() {
		// Shows which failure the wait prevents: an engine follows the orders
		// of two nodes and discards a load.
		for _, e := range r.engines {
			e.answer.ChecksFencingToken = false
		}
		for _, n := range r.nodes {
			n.tables.Switches.IgnoreOrderExpiry = true
		}
		holder, oldOrder := takeOverWithOrderInFlight()
		r.runUntil(15*time.Second, "taken over", func() bool { return r.holder("north") != nil })
		r.scheduleAfter(4900*time.Millisecond, func() { holder.perform(oldOrder) })
		r.run(4800 * time.Millisecond)
		Expect(r.engines[oldOrder.Host].answer.Model).To(Equal("other"))
		r.run(200 * time.Millisecond)
		Expect(r.engines[oldOrder.Host].answer.Model).To(Equal("draft"))
	})

	It("are not sent by a new holder to engines that are already loading the right model", func() {
		// Guards against loads that restart whenever the holder changes.
		for _, e := range r.engines {
			e.loadTime = 30 * time.Second
		}
		r.configure(document(groupSpec("g1", "north", 3)))
		r.run(10 * time.Second)
		holder := r.holder("north")
		holder.paused = true
		r.runUntil(time.Minute, "serving", func() bool { return r.allServing("g1") })
		Expect(r.leaseRow("north").FencingToken).To(BeEquivalentTo(2))
		Expect(loadCounts()).To(Equal([]int{1, 1, 1}))
	})

	It("are sent again after an engine has followed an outdated order", func() {
		// Guards against a group that stays down because an outdated order
		// reached an engine that ignores fencing tokens.
		for _, e := range r.engines {
			e.answer.ChecksFencingToken = false
		}
		formGroup()
		token := r.groupRow("g1").FencingToken
		r.engines[r.hostIDs[1]].applyOrder(r, state.EngineOrder{Host: r.hostIDs[1], Kind: state.OrderLoad, Group: "g0", Model: "old"})
		r.runUntil(30*time.Second, "loaded again", func() bool { return r.allServing("g1") && r.groupRow("g1").FencingToken > token })
		Expect(r.engines[r.hostIDs[1]].answer.Model).To(Equal("draft"))
	})

	It("get a higher fencing token when an engine holds a higher one than its row", func() {
		// Guards against a group that never loads because an engine holds a
		// foreign fencing token, for example after the table service was
		// restored.
		r.engines[r.hostIDs[2]].answer.FencingToken = 1 << 40
		formGroup()
		Expect(r.groupRow("g1").FencingToken).To(BeNumerically(">", 1<<40))
		Expect(r.countEvents(event.EngineOrderFenced)).To(Equal(1))
	})

	It("are not sent without the lease", func() {
		// Guards against orders by a holder that is cut off from the platform,
		// in this case the repetition of a lost order.
		r.engines[r.hostIDs[0]].dropNextOrder = true
		r.configure(document(groupSpec("g1", "north", 3)))
		r.runUntil(10*time.Second, "orders", func() bool { return slices.Contains(loadCounts(), 1) })
		r.storeFault = func(*node, state.StoreRequest) storeFault { return storeFault{unavailable: true} }
		r.run(30 * time.Second)
		Expect(loadCounts()).To(Equal([]int{0, 1, 1}))
		r.storeFault = nil
		r.runUntil(30*time.Second, "serving", func() bool { return r.allServing("g1") })
	})

	It("wait until this node's previous order has expired if the engine ignores fencing tokens", func() {
		// Guards against an order that takes effect after a later one of the
		// same holder.
		for _, e := range r.engines {
			e.answer.ChecksFencingToken = false
		}
		formGroup()
		holder := r.holder("north")
		sentOrders := 0
		holder.intercept = func(out state.Output) bool {
			o, ok := out.(state.EngineOrder)
			if ok && o.Host == r.hostIDs[0] {
				sentOrders++
			}
			return ok && o.Host == r.hostIDs[0] && sentOrders == 1
		}
		r.restart(r.hostIDs[0])
		r.runUntil(10*time.Second, "order in flight", func() bool { return sentOrders == 1 })
		doc := document(groupSpec("g1", "north", 3))
		doc.Groups[0].Model = "other"
		r.configure(doc)
		r.run(4800 * time.Millisecond)
		Expect(r.groupRow("g1").Model).To(Equal("other"))
		Expect(sentOrders).To(Equal(1))
		holder.perform(holder.intercepted[0])
		r.runUntil(30*time.Second, "serving", func() bool { return r.allServing("g1") })
		Expect(r.engines[r.hostIDs[0]].answer.Model).To(Equal("other"))
	})
})

var _ = Describe("load admission", func() {
	var r *rig
	groupIDs := []state.GroupID{"g1", "g2", "g3", "g4", "g5", "g6"}
	// declareGroups declares six groups of two members that load 2,000 bytes
	// per group.
	declareGroups := func(rate int64) {
		r = newRig(nodeEntries("north", "n1", "n2")...)
		r.addHosts("north", "a", 12)
		doc := document()
		doc.DataCentres[0].WeightStoreRate = rate
		for _, n := range groupIDs {
			doc.Groups = append(doc.Groups, groupSpec(n, "north", 2))
		}
		doc.Groups[5].Model = "wanted"
		doc.Models = append(doc.Models, state.ModelSpec{Name: "wanted", WeightBytes: 1000})
		for _, e := range r.engines {
			e.loadTime = 20 * time.Second
		}
		r.run(time.Second)
		r.configure(doc)
	}
	loadingGroups := func() int {
		groups := map[state.GroupID]bool{}
		for _, e := range r.engines {
			if e.answer.Phase == state.PhaseLoading {
				groups[e.answer.Group] = true
			}
		}
		return len(groups)
	}
	maxLoadingGroups := func(d time.Duration) int {
		highest := 0
		for range int(d / (100 * time.Millisecond)) {
			r.run(100 * time.Millisecond)
			highest = max(highest, loadingGroups())
		}
		return highest
	}

	It("limits loads in progress to what the weight store delivers in 60 s", func() {
		// Guards against loads that all take long because all of them run at
		// the same time.
		declareGroups(100)
		Expect(maxLoadingGroups(3 * time.Minute)).To(Equal(3))
		Expect(r.allServing(groupIDs...)).To(BeTrue())
	})

	It("admits one group regardless of its size", func() {
		// Guards against a model that can never be loaded.
		declareGroups(1)
		Expect(maxLoadingGroups(4 * time.Minute)).To(Equal(1))
		Expect(r.allServing(groupIDs...)).To(BeTrue())
	})

	It("counts the loads that the previous holder admitted", func() {
		// Guards against twice the load rate after a change of the holder.
		declareGroups(100)
		r.run(12 * time.Second)
		Expect(loadingGroups()).To(Equal(3))
		r.holder("north").paused = true
		for _, n := range r.nodes {
			n.tables.Requests.Put("r1", &state.Request{Arrival: state.RequestArrived{ID: "r1", Model: "wanted"}})
		}
		Expect(maxLoadingGroups(2 * time.Minute)).To(BeNumerically("<=", 3))
		Expect(r.allServing(groupIDs...)).To(BeTrue())
		Expect(r.leaseRow("north").FencingToken).To(BeEquivalentTo(2))
	})

	It("does not reserve the rate for a group with a dead member", func() {
		// Guards against groups that wait behind a group that cannot load.
		declareGroups(1)
		r.runUntil(20*time.Second, "first load", func() bool { return loadingGroups() == 1 })
		r.kill(r.groupRow("g1").Members[0])
		Expect(r.groupRow("g1").Members).NotTo(BeEmpty())
		r.run(4 * time.Minute)
		Expect(r.allServing(groupIDs[1:]...)).To(BeTrue())
	})

	It("admits groups with queued requests first", func() {
		// Guards against callers that wait behind loads that no request needs.
		declareGroups(1)
		for _, n := range r.nodes {
			for i := range 3 {
				id := state.RequestID(fmt.Sprintf("r%d", i))
				n.tables.Requests.Put(id, &state.Request{Arrival: state.RequestArrived{ID: id, Model: "wanted"}})
			}
		}
		// The first group is admitted before the others are formed.
		r.runUntil(2*time.Minute, "second group", func() bool {
			return slices.ContainsFunc(groupIDs[1:], func(g state.GroupID) bool { return r.allServing(g) })
		})
		Expect(r.allServing("g1", "g6")).To(BeTrue())
	})
})
