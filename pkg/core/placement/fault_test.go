package placement_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

var _ = Describe("changes of groups under faults", func() {
	var r *rig
	BeforeEach(func() {
		r = newRig(nodeEntries("north", "n1", "n2", "n3")...)
		r.addHosts("north", "a", 4)
		r.configure(document(groupSpec("g1", "north", 3)))
		r.runUntil(20*time.Second, "serving", func() bool { return r.allServing("g1") })
	})
	AfterEach(func() { r.expectOneGroupPerHost() })

	// pauseHolderWithRepair pauses the holder while the repair of a member is
	// in flight, revives the member and lets another node take over the lease.
	pauseHolderWithRepair := func() (*node, state.HostID) {
		holder := r.holder("north")
		member := r.groupRow("g1").Members[0]
		holder.intercept = func(out state.Output) bool {
			req, ok := out.(state.StoreRequest)
			return ok && isChange(req)
		}
		r.kill(member)
		r.runUntil(10*time.Second, "repair in flight", func() bool { return len(holder.intercepted) > 0 })
		holder.paused, holder.intercept = true, nil
		r.engines[member].dead = false
		r.runUntil(15*time.Second, "taken over", func() bool { return r.holder("north") != nil })
		r.run(5 * time.Second)
		return holder, member
	}

	It("are rejected when the holder's lease expired during a pause", func() {
		// Guards against the repair of a healthy group by a holder that
		// resumes with the transaction in flight after another node has taken
		// over.
		holder, member := pauseHolderWithRepair()
		before := r.groupRow("g1")
		holder.perform(holder.intercepted[0])
		holder.resume()
		r.run(2 * time.Second)
		Expect(r.groupRow("g1")).To(Equal(before))
		Expect(before.Members).To(ContainElement(member))
		Expect(r.holder("north")).NotTo(Equal(holder))
	})

	It("of a holder with an expired lease take effect when fencing is ignored", func() {
		// Shows which failure the condition on the lease row prevents.
		for _, n := range r.nodes {
			n.tables.Switches.IgnoreFencing = true
		}
		holder, member := pauseHolderWithRepair()
		holder.perform(holder.intercepted[0])
		r.run(time.Second)
		Expect(r.groupRow("g1").Members).NotTo(ContainElement(member))
	})

	It("have a condition on every row that they write", func() {
		// Guards against the assignment of a host that the holder of another
		// data centre has assigned in the meantime. Neither the lease row nor
		// the group row shows such an assignment.
		changes := 0
		r.storeFault = func(_ *node, req state.StoreRequest) storeFault {
			if isChange(req) {
				changes++
				for _, w := range req.Transact.Writes {
					Expect(req.Transact.Conditions).To(ContainElement(HaveField("Key", w.Key)))
				}
			}
			return storeFault{}
		}
		r.kill(r.groupRow("g1").Members[0])
		r.runUntil(20*time.Second, "repaired", func() bool { return changes > 0 && r.allServing("g1") })
	})

	It("by two nodes at the same time result in one repair", func() {
		// Guards against two spares for one dead member, and against a spare
		// that two nodes assign to two groups, when a paused holder sends its
		// repair after that of its successor.
		r.addHosts("north", "a", 1)
		holder := r.holder("north")
		holder.intercept = func(out state.Output) bool {
			req, ok := out.(state.StoreRequest)
			return ok && isChange(req)
		}
		r.kill(r.groupRow("g1").Members[0])
		r.runUntil(10*time.Second, "repair in flight", func() bool { return len(holder.intercepted) > 0 })
		holder.paused, holder.intercept = true, nil
		r.runUntil(15*time.Second, "repaired by another", func() bool { return r.countEvents(event.GroupRepaired) == 1 })
		repairedRow := r.groupRow("g1")
		holder.perform(holder.intercepted[0])
		holder.resume()
		r.run(5 * time.Second)
		Expect(r.groupRow("g1").Members).To(Equal(repairedRow.Members))
		Expect(r.groupRow("g1").FencingToken).To(Equal(repairedRow.FencingToken))
	})

	It("are not repeated when only the reply was lost", func() {
		// Guards against a second repair that takes another spare.
		r.addHosts("north", "a", 1)
		lostReplies := 0
		r.storeFault = func(_ *node, req state.StoreRequest) storeFault {
			if isChange(req) && lostReplies < 1 {
				lostReplies++
				return storeFault{replyLost: true}
			}
			return storeFault{}
		}
		dead := r.groupRow("g1").Members[0]
		r.kill(dead)
		r.runUntil(20*time.Second, "repaired", func() bool { return r.countEvents(event.GroupRepaired) == 1 && r.allServing("g1") })
		Expect(lostReplies).To(Equal(1))
		var spare state.HostRow
		r.readRow(state.KeyHost(r.hostIDs[4]), &spare)
		Expect(spare.Group).To(BeEmpty())
		Expect(r.leaseRow("north").FencingToken).To(BeEquivalentTo(1))
	})

	It("are not repeated when the reply is lost and the write takes effect late", func() {
		// Guards against a write that counted as lost and takes effect after
		// the holder has planned again.
		r.addHosts("north", "a", 1)
		lateWrites := 0
		r.storeFault = func(_ *node, req state.StoreRequest) storeFault {
			if isChange(req) && lateWrites < 1 {
				lateWrites++
				return storeFault{replyLost: true, delay: 6 * time.Second}
			}
			return storeFault{}
		}
		r.kill(r.groupRow("g1").Members[0])
		r.runUntil(20*time.Second, "repaired", func() bool { return r.allServing("g1") && r.countEvents(event.GroupRepaired) == 1 })
		repairedRow := r.groupRow("g1")
		r.run(10 * time.Second)
		Expect(r.groupRow("g1")).To(Equal(repairedRow))
	})

	It("wait while the platform is down and continue when it is back", func() {
		// Guards against orders that no stored row supports, and against a
		// repair that is never made after the outage.
		token := r.groupRow("g1").FencingToken
		r.storeFault = func(*node, state.StoreRequest) storeFault { return storeFault{unavailable: true} }
		orders := 0
		r.kill(r.groupRow("g1").Members[0])
		r.run(30 * time.Second)
		for _, e := range r.engines {
			orders += len(e.orders)
		}
		Expect(orders).To(Equal(3))
		Expect(r.groupRow("g1").FencingToken).To(Equal(token))
		r.storeFault = nil
		r.runUntil(20*time.Second, "repaired", func() bool { return r.allServing("g1") && r.groupRow("g1").FencingToken > token })
	})

	It("succeed while the platform is slow", func() {
		// Guards against changes that starve because lease renewals are slow
		// as well.
		token := r.groupRow("g1").FencingToken
		r.storeFault = func(*node, state.StoreRequest) storeFault { return storeFault{delay: time.Second} }
		r.run(10 * time.Second)
		r.kill(r.groupRow("g1").Members[0])
		r.runUntil(20*time.Second, "repaired", func() bool { return r.allServing("g1") && r.groupRow("g1").FencingToken > token })
	})

	It("never assign a host to two groups under random faults", func() {
		// Guards against combinations of faults that no other spec covers.
		const seed = 20260312
		GinkgoWriter.Println("seed", seed)
		for run := range uint64(12) {
			random := rand.New(rand.NewPCG(seed, run))
			r = newRig(nodeEntries("north", "n1", "n2", "n3")...)
			for _, d := range []state.DomainID{"a", "b", "c"} {
				r.addHosts("north", d, 5)
			}
			r.configure(document(groupSpec("g1", "north", 4), groupSpec("g2", "north", 3), groupSpec("g3", "north", 2), groupSpec("g4", "north", 2)))
			r.storeFault = func(*node, state.StoreRequest) storeFault {
				switch random.IntN(20) {
				case 0:
					return storeFault{replyLost: true}
				case 1:
					return storeFault{replyLost: true, delay: time.Duration(random.IntN(8)) * time.Second}
				case 2:
					return storeFault{delay: time.Second}
				case 3:
					return storeFault{unavailable: true}
				}
				return storeFault{}
			}
			for range 150 {
				r.run(time.Duration(random.IntN(2000)) * time.Millisecond)
				id := r.hostIDs[random.IntN(len(r.hostIDs))]
				n := r.nodes[random.IntN(len(r.nodes))]
				switch random.IntN(6) {
				case 0, 1:
					r.kill(id)
				case 2, 3:
					r.restart(id)
				case 4:
					n.paused = true
				case 5:
					if n.paused {
						n.resume()
					}
				}
				r.holder("north")
				r.expectOneGroupPerHost()
			}
			r.storeFault = nil
			for _, n := range r.nodes {
				if n.paused {
					n.resume()
				}
			}
			for _, id := range r.hostIDs {
				r.restart(id)
			}
			// A group may wait only while no domain has enough free hosts:
			// hosts are not moved between serving groups.
			r.runUntil(2*time.Minute, "all groups serving or unplaceable", func() bool { return r.allServingOrUnplaceable() })
		}
	})
})
