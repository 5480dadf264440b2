package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/placement"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

var _ = Describe("the placement lease", func() {
	var r *rig
	BeforeEach(func() {
		r = newRig(append(nodeEntries("north", "n1", "n2", "n3"), nodeEntries("coast", "c1", "c2", "c3")...)...)
		r.configure(document())
	})

	It("is taken by one node of the data centre, though all start at once", func() {
		// Guards against a race of all nodes for a lease that is free.
		r.run(2 * time.Second)
		Expect(r.holder("north").tables.Self.DataCentre).To(BeEquivalentTo("north"))
		Expect(r.leaseRow("north").FencingToken).To(BeEquivalentTo(1))
		Expect(r.transactions).To(BeNumerically("<=", 4))
	})

	It("is taken from outside only when no node of the data centre does", func() {
		// Guards against a data centre that is never served because its own
		// entry hosts are gone.
		for _, n := range r.nodes[:3] {
			n.paused = true
		}
		Expect(r.runUntil(15*time.Second, "taken", func() bool { return r.holder("north") != nil })).
			To(BeNumerically(">=", 5*time.Second))
	})

	It("is renewed each second and taken over with a higher number after 5 s", func() {
		// Guards against a data centre without a holder after its holder died,
		// and against a takeover from a holder that lives.
		r.run(20 * time.Second)
		firstHolder := r.holder("north")
		Expect(r.leaseRow("north").Renewal).To(BeNumerically("~", 20, 2))
		Expect(r.leaseRow("north").FencingToken).To(BeEquivalentTo(1))
		firstHolder.paused = true
		elapsed := r.runUntil(10*time.Second, "taken over", func() bool { return r.leaseRow("north").Holder != firstHolder.id })
		Expect(elapsed).To(BeNumerically(">=", 4*time.Second))
		Expect(elapsed).To(BeNumerically("<", 8*time.Second))
		Expect(r.leaseRow("north").FencingToken).To(BeEquivalentTo(2))
	})

	It("is never held by two nodes while holders pause and wake", func() {
		// Guards against a holder that wakes and acts before it looks at its
		// clock, and against one that counts from the arrival of a reply.
		for i := range 6 {
			r.run(8 * time.Second)
			holder := r.holder("north")
			if holder == nil {
				continue
			}
			holder.paused = true
			for range 90 + i {
				r.run(100 * time.Millisecond)
				r.holder("north")
			}
			holder.resume()
			r.holder("north")
		}
		Expect(r.leaseRow("north").FencingToken).To(BeNumerically(">", 3))
	})

	It("is held from the send time of a renewal, not from its reply", func() {
		// Guards against a holder that acts after others may take over because
		// the reply to its renewal was slow.
		r.run(5 * time.Second)
		holder := r.holder("north")
		var sentAt time.Duration
		r.storeFault = func(n *node, req state.StoreRequest) storeFault {
			if n == holder && req.Transact != nil && sentAt == 0 {
				sentAt = r.now
				holder.paused = true
			}
			return storeFault{}
		}
		r.run(4 * time.Second)
		holder.resume()
		Expect(holder.tables.Leases.Get("north").HeldUntil).To(BeNumerically("<=", sentAt+placement.LeaseDuration))
	})

	It("is released by a graceful shutdown and taken at once", func() {
		// Guards against 5 s without a holder at each restart of a node.
		r.run(5 * time.Second)
		holder := r.holder("north")
		holder.tables.Draining = true
		elapsed := r.runUntil(3*time.Second, "taken", func() bool { return r.holder("north") != nil && r.holder("north") != holder })
		Expect(elapsed).To(BeNumerically("<", 3*time.Second))
		Expect(holder.tables.Leases.Get("north").HeldUntil).To(BeNumerically("<=", r.now))
		Expect(r.leaseRow("north").FencingToken).To(BeEquivalentTo(2))
		Expect(r.countEvents(event.LeaseReleased)).To(Equal(1))
	})

	It("is kept when the answer to a renewal is lost", func() {
		// Guards against a holder that takes its own renewal for another's, or
		// that renews on a revision that is gone.
		r.run(5 * time.Second)
		holder := r.holder("north")
		lostReplies := 0
		r.storeFault = func(n *node, req state.StoreRequest) storeFault {
			if n == holder && req.Transact != nil && lostReplies < 1 {
				lostReplies++
				return storeFault{replyLost: true}
			}
			return storeFault{}
		}
		r.run(10 * time.Second)
		Expect(lostReplies).To(Equal(1))
		Expect(r.holder("north")).To(Equal(holder))
		Expect(r.leaseRow("north").FencingToken).To(BeEquivalentTo(1))
	})

	It("is known to be taken when the answer to the first write is lost", func() {
		// Guards against a lease that its holder does not know it has.
		r = newRig(nodeEntries("north", "n1")...)
		r.configure(document())
		lostReplies := 0
		r.storeFault = func(_ *node, req state.StoreRequest) storeFault {
			if req.Transact != nil && lostReplies < 1 {
				lostReplies++
				return storeFault{replyLost: true}
			}
			return storeFault{}
		}
		r.runUntil(4*time.Second, "held", func() bool { return r.holder("north") != nil })
		Expect(r.leaseRow("north").FencingToken).To(BeEquivalentTo(1))
	})

	It("ends while the platform is down and is not fought over when it is back", func() {
		// Guards against a holder that goes on without the platform, and
		// against a storm of writes by all candidates.
		r.run(5 * time.Second)
		attempts := 0
		r.storeFault = func(_ *node, req state.StoreRequest) storeFault {
			if req.Transact != nil {
				attempts++
			}
			return storeFault{unavailable: true}
		}
		r.run(10 * time.Second)
		Expect(r.holder("north")).To(BeNil())
		Expect(attempts).To(BeNumerically("<=", 50), "two leases, two requests a second, some for candidates")
		r.storeFault = nil
		r.transactions = 0
		r.run(5 * time.Second)
		Expect(r.holder("north")).NotTo(BeNil())
		Expect(r.transactions).To(BeNumerically("<=", 12))
	})

	It("survives a platform that is slow but answers", func() {
		// Guards against a lease that changes hands with each slow answer.
		r.run(5 * time.Second)
		r.storeFault = func(*node, state.StoreRequest) storeFault { return storeFault{delay: 1500 * time.Millisecond} }
		r.run(30 * time.Second)
		Expect(r.leaseRow("north").FencingToken).To(BeEquivalentTo(1))
		Expect(r.holder("north")).NotTo(BeNil())
	})
})
