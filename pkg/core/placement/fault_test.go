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
		r = newRig(entries("north", "n1", "n2", "n3")...)
		r.addHosts("north", "a", 4)
		r.configure(document(spec("g1", "north", 3)))
		r.until(20*time.Second, "serving", func() bool { return r.serving("g1") })
	})
	AfterEach(func() { r.expectOneGroupPerHost() })

	// pauseWithRepair makes the holder pause with the repair of a member in
	// flight, lets the member come back and another node take over.
	pauseWithRepair := func() (*node, state.HostID) {
		h := r.holder("north")
		member := r.group("g1").Members[0]
		h.keep = func(out state.Output) bool {
			req, ok := out.(state.StoreRequest)
			return ok && isChange(req)
		}
		r.kill(member)
		r.until(10*time.Second, "repair in flight", func() bool { return len(h.kept) > 0 })
		h.paused, h.keep = true, nil
		r.engines[member].dead = false
		r.until(15*time.Second, "taken over", func() bool { return r.holder("north") != nil })
		r.run(5 * time.Second)
		return h, member
	}

	It("of a holder that was paused beyond its lease write nothing", func() {
		// Guards against the repair of a whole group by a holder that wakes
		// with the transaction in flight.
		h, member := pauseWithRepair()
		before := r.group("g1")
		h.carryOut(h.kept[0])
		h.resume()
		r.run(2 * time.Second)
		Expect(r.group("g1")).To(Equal(before))
		Expect(before.Members).To(ContainElement(member))
		Expect(r.holder("north")).NotTo(Equal(h))
	})

	It("of such a holder take effect without the lease as a condition", func() {
		// Shows what the condition on the lease row prevents.
		for _, n := range r.nodes {
			n.t.Switches.IgnoreFencing = true
		}
		h, member := pauseWithRepair()
		h.carryOut(h.kept[0])
		r.run(time.Second)
		Expect(r.group("g1").Members).NotTo(ContainElement(member))
	})

	It("have each row that they write as a condition", func() {
		// Guards against a host that another data centre's holder has assigned
		// since, which neither the lease nor the group row shows.
		changes := 0
		r.fate = func(_ *node, req state.StoreRequest) fate {
			if isChange(req) {
				changes++
				for _, w := range req.Transact.Writes {
					Expect(req.Transact.Conditions).To(ContainElement(HaveField("Key", w.Key)))
				}
			}
			return fate{}
		}
		r.kill(r.group("g1").Members[0])
		r.until(20*time.Second, "repaired", func() bool { return changes > 0 && r.serving("g1") })
	})

	It("by two nodes at once leave one repair", func() {
		// Guards against two spares for one dead member, or a spare that two
		// nodes give to two groups.
		r.addHosts("north", "a", 1)
		h := r.holder("north")
		h.keep = func(out state.Output) bool {
			req, ok := out.(state.StoreRequest)
			return ok && isChange(req)
		}
		r.kill(r.group("g1").Members[0])
		r.until(10*time.Second, "repair in flight", func() bool { return len(h.kept) > 0 })
		h.paused, h.keep = true, nil
		r.until(15*time.Second, "repaired by another", func() bool { return r.count(event.GroupRepaired) == 1 })
		repaired := r.group("g1")
		h.carryOut(h.kept[0])
		h.resume()
		r.run(5 * time.Second)
		Expect(r.group("g1").Members).To(Equal(repaired.Members))
		Expect(r.group("g1").FencingToken).To(Equal(repaired.FencingToken))
	})

	It("that took effect with their answer lost are made once", func() {
		// Guards against a second repair that takes another spare.
		r.addHosts("north", "a", 1)
		lost := 0
		r.fate = func(_ *node, req state.StoreRequest) fate {
			if isChange(req) && lost < 1 {
				lost++
				return fate{lost: true}
			}
			return fate{}
		}
		dead := r.group("g1").Members[0]
		r.kill(dead)
		r.until(20*time.Second, "repaired", func() bool { return r.count(event.GroupRepaired) == 1 && r.serving("g1") })
		Expect(lost).To(Equal(1))
		var spare state.HostRow
		r.row(state.KeyHost(r.ids[4]), &spare)
		Expect(spare.Group).To(BeEmpty())
		Expect(r.lease("north").FencingToken).To(BeEquivalentTo(1))
	})

	It("whose answer is lost and that arrive late are not made twice", func() {
		// Guards against a write that was given up and takes effect after the
		// holder has planned anew.
		r.addHosts("north", "a", 1)
		late := 0
		r.fate = func(_ *node, req state.StoreRequest) fate {
			if isChange(req) && late < 1 {
				late++
				return fate{lost: true, delay: 6 * time.Second}
			}
			return fate{}
		}
		r.kill(r.group("g1").Members[0])
		r.until(20*time.Second, "repaired", func() bool { return r.serving("g1") && r.count(event.GroupRepaired) == 1 })
		repaired := r.group("g1")
		r.run(10 * time.Second)
		Expect(r.group("g1")).To(Equal(repaired))
	})

	It("wait while the platform is down and follow when it is back", func() {
		// Guards against orders without rows, and against a plan that is lost.
		fence := r.group("g1").FencingToken
		r.fate = func(*node, state.StoreRequest) fate { return fate{unavailable: true} }
		orders := 0
		r.kill(r.group("g1").Members[0])
		r.run(30 * time.Second)
		for _, e := range r.engines {
			orders += len(e.orders)
		}
		Expect(orders).To(Equal(3))
		Expect(r.group("g1").FencingToken).To(Equal(fence))
		r.fate = nil
		r.until(20*time.Second, "repaired", func() bool { return r.serving("g1") && r.group("g1").FencingToken > fence })
	})

	It("are made through a platform that is slow", func() {
		// Guards against changes that starve because renewals are slow too.
		fence := r.group("g1").FencingToken
		r.fate = func(*node, state.StoreRequest) fate { return fate{delay: time.Second} }
		r.run(10 * time.Second)
		r.kill(r.group("g1").Members[0])
		r.until(20*time.Second, "repaired", func() bool { return r.serving("g1") && r.group("g1").FencingToken > fence })
	})

	It("never put a host in two groups under random faults", func() {
		// Guards against combinations of faults that no single spec has.
		const seed = 20260312
		GinkgoWriter.Println("seed", seed)
		for run := range uint64(12) {
			random := rand.New(rand.NewPCG(seed, run))
			r = newRig(entries("north", "n1", "n2", "n3")...)
			for _, d := range []state.DomainID{"a", "b", "c"} {
				r.addHosts("north", d, 5)
			}
			r.configure(document(spec("g1", "north", 4), spec("g2", "north", 3), spec("g3", "north", 2), spec("g4", "north", 2)))
			r.fate = func(*node, state.StoreRequest) fate {
				switch random.IntN(20) {
				case 0:
					return fate{lost: true}
				case 1:
					return fate{lost: true, delay: time.Duration(random.IntN(8)) * time.Second}
				case 2:
					return fate{delay: time.Second}
				case 3:
					return fate{unavailable: true}
				}
				return fate{}
			}
			for range 150 {
				r.run(time.Duration(random.IntN(2000)) * time.Millisecond)
				id := r.ids[random.IntN(len(r.ids))]
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
			r.fate = nil
			for _, n := range r.nodes {
				if n.paused {
					n.resume()
				}
			}
			for _, id := range r.ids {
				r.restart(id)
			}
			// A group may wait only while no domain has enough free hosts: hosts
			// are not moved between groups that serve.
			r.until(2*time.Minute, "all serving or without place", func() bool { return r.settled() })
		}
	})
})
