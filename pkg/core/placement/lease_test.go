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

	It("is acquired by one node of the data centre when all nodes start at once", func() {
		// Guards against all nodes competing for a free lease.
		r.run(2 * time.Second)
		Expect(r.holder("north").tables.Self.DataCentre).To(BeEquivalentTo("north"))
		Expect(r.leaseRow("north").FencingToken).To(BeEquivalentTo(1))
		Expect(r.transactions).To(BeNumerically("<=", 4))
	})

	It("is acquired by a remote node only when no local node acquires it", func() {
		// Guards against a data centre without a holder because its own entry
		// hosts have failed.
		for _, n := range r.nodes[:3] {
			n.paused = true
		}
		Expect(r.runUntil(15*time.Second, "taken", func() bool { return r.holder("north") != nil })).
			To(BeNumerically(">=", 5*time.Second))
	})

	It("is renewed every second and taken over with a higher fencing token after 5 s", func() {
		// Guards against a data centre without a holder after its holder died,
		// and against a takeover from a live holder.
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

	It("is never held by two nodes while holders pause and resume", func() {
		// Guards against a holder that acts after a pause before it checks its
		// clock, and against one that counts the lease duration from the
		// arrival of a reply.
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

	It("is extended from the send time of a renewal, not from its reply", func() {
		// Guards against a holder that acts after other nodes may take over
		// because the reply to its renewal was slow.
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
		Expect(holder.tables.Leases.Get("north").ValidUntil).To(BeNumerically("<=", sentAt+placement.LeaseDuration))
	})

	It("is released by a graceful shutdown and acquired without waiting for its expiry", func() {
		// Guards against 5 s without a holder at each restart of a node.
		r.run(5 * time.Second)
		holder := r.holder("north")
		holder.tables.Draining = true
		elapsed := r.runUntil(3*time.Second, "taken", func() bool { return r.holder("north") != nil && r.holder("north") != holder })
		Expect(elapsed).To(BeNumerically("<", 3*time.Second))
		Expect(holder.tables.Leases.Get("north").ValidUntil).To(BeNumerically("<=", r.now))
		Expect(r.leaseRow("north").FencingToken).To(BeEquivalentTo(2))
		Expect(r.countEvents(event.LeaseReleased)).To(Equal(1))
	})

	It("is kept when the reply to a renewal is lost", func() {
		// Guards against a holder that takes its own renewal for another
		// node's, or that renews on an outdated revision.
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

	It("is recognised as acquired when the reply to the first write is lost", func() {
		// Guards against a node that holds the lease without recognising it,
		// because the reply was lost.
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

	It("expires while the platform is down and is acquired without a burst of writes when it is back", func() {
		// Guards against a holder that continues without the platform, and
		// against a burst of writes by all candidates after the outage.
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
		Expect(attempts).To(BeNumerically("<=", 50), "limit for two leases at two requests per second, plus some by candidates")
		r.storeFault = nil
		r.transactions = 0
		r.run(5 * time.Second)
		Expect(r.holder("north")).NotTo(BeNil())
		Expect(r.transactions).To(BeNumerically("<=", 12))
	})

	It("is kept while the platform is slow", func() {
		// Guards against a lease that changes its holder with each slow reply.
		r.run(5 * time.Second)
		r.storeFault = func(*node, state.StoreRequest) storeFault { return storeFault{delay: 1500 * time.Millisecond} }
		r.run(30 * time.Second)
		Expect(r.leaseRow("north").FencingToken).To(BeEquivalentTo(1))
		Expect(r.holder("north")).NotTo(BeNil())
	})
})
