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

// isChange reports whether a request is a transaction that changes a group and
// its hosts, as opposed to a lease renewal.
func isChange(req state.StoreRequest) bool {
	return req.Transact != nil && len(req.Transact.Writes) > 2
}

var _ = Describe("replica groups", func() {
	var r *rig
	BeforeEach(func() {
		r = newRig(append(nodeEntries("north", "n1", "n2", "n3"), nodeEntries("coast", "c1")...)...)
	})
	AfterEach(func() { r.expectOneGroupPerHost() })

	// formTwoGroups forms two groups of three members: one in domain b, which
	// keeps one spare host, and the other in domain a, which keeps four.
	formTwoGroups := func() {
		r.addHosts("north", "a", 7)
		r.addHosts("north", "b", 4)
		r.configure(document(groupSpec("g1", "north", 3), groupSpec("g2", "north", 3)))
		r.runUntil(20*time.Second, "serving", func() bool { return r.allServing("g1", "g2") })
	}

	It("are formed largest first in the best-fitting domain", func() {
		// Guards against small groups that break up the domain that a large
		// group needs.
		r.addHosts("north", "a", 6)
		r.addHosts("north", "b", 4)
		r.addHosts("north", "c", 3)
		r.configure(document(groupSpec("s1", "north", 2), groupSpec("s2", "north", 3), groupSpec("s3", "north", 4), groupSpec("s4", "north", 4)))
		r.runUntil(20*time.Second, "serving", func() bool { return r.allServing("s1", "s2", "s3", "s4") })
		Expect(r.groupRow("s3").Domain).To(BeEquivalentTo("b"))
		Expect(r.groupRow("s4").Domain).To(BeEquivalentTo("a"))
		Expect(r.groupRow("s2").Domain).To(BeEquivalentTo("c"))
		Expect(r.groupRow("s1").Domain).To(BeEquivalentTo("a"))
	})

	It("are formed only after all free hosts have answered", func() {
		// Guards against a small group that takes the domain of a large one
		// because one host answered late.
		r.addHosts("north", "a", 4)
		r.addHosts("north", "b", 3)
		r.engines[r.hostIDs[1]].probeTime = 400 * time.Millisecond
		r.configure(document(groupSpec("s1", "north", 3), groupSpec("s2", "north", 4)))
		r.runUntil(20*time.Second, "serving", func() bool { return r.allServing("s1", "s2") })
		Expect(r.groupRow("s2").Domain).To(BeEquivalentTo("a"))
	})

	It("are announced with a number of messages that is linear in the number of nodes", func() {
		// Guards against a message count that grows with the square of the
		// number of nodes, since each node keeps links to all others.
		var nodes []state.NodeEntry
		for i := range 60 {
			nodes = append(nodes, nodeEntries("north", state.NodeID(fmt.Sprintf("n%02d", i)))...)
		}
		r = newRig(nodes...)
		r.addHosts("north", "a", 3)
		r.configure(document(groupSpec("g1", "north", 3)))
		r.runUntil(20*time.Second, "serving", func() bool { return r.allServing("g1") })
		r.run(100 * time.Millisecond)
		for _, n := range r.nodes {
			Expect(n.tables.Groups.Get("g1").Phase).To(Equal(state.GroupServing))
		}
		// The group changes twice: it is formed and it has loaded.
		Expect(r.messages).To(BeNumerically("<=", 2*3*60))
	})

	It("reach nodes without a link to the holder", func() {
		// Guards against a change that reaches only the holder's own peers.
		formTwoGroups()
		chain := []state.NodeID{"n1", "n2", "n3", "c1"}
		for i, id := range chain {
			for j, other := range chain {
				if p := r.nodes[i].tables.Peers.Get(other); p != nil {
					p.Linked = i-j == 1 || j-i == 1
				}
			}
			Expect(r.nodes[i].id).To(Equal(id))
		}
		r.kill(r.groupRow("g1").Members[0])
		token := r.groupRow("g1").FencingToken
		r.runUntil(10*time.Second, "repaired", func() bool { return r.groupRow("g1").FencingToken > token })
		r.run(100 * time.Millisecond)
		for _, n := range r.nodes {
			Expect(n.tables.Groups.Get("g1").FencingToken).To(Equal(r.groupRow("g1").FencingToken))
		}
	})

	It("do not revert to the rows of a late scan", func() {
		// Guards against a node that routes to previous members, or plans on
		// outdated rows, because the reply to a scan was slow.
		formTwoGroups()
		r.storeFault = func(_ *node, req state.StoreRequest) storeFault {
			if req.Scan != "" {
				return storeFault{replyDelay: 1500 * time.Millisecond}
			}
			return storeFault{}
		}
		lastTokens := make([]state.FencingToken, len(r.nodes))
		for range 3 {
			r.kill(r.groupRow("g1").Members[0])
			for range 200 {
				r.run(50 * time.Millisecond)
				for i, n := range r.nodes {
					token := n.tables.Groups.Get("g1").FencingToken
					Expect(token).To(BeNumerically(">=", lastTokens[i]))
					lastTokens[i] = token
				}
			}
		}
		Expect(r.countEvents(event.PlacementConflict)).To(BeZero())
	})

	It("are not abandoned because of several short failures of a member", func() {
		// Guards against an abandonment delay that adds up several short
		// failures.
		r.addHosts("north", "a", 3)
		r.configure(document(groupSpec("g1", "north", 3)))
		r.runUntil(20*time.Second, "serving", func() bool { return r.allServing("g1") })
		for range 3 {
			r.kill(r.groupRow("g1").Members[1])
			r.run(40 * time.Second)
			r.engines[r.groupRow("g1").Members[1]].dead = false
			r.run(5 * time.Second)
		}
		Expect(r.countEvents(event.GroupAbandoned)).To(BeZero())
	})

	It("share hosts when the host rows are ignored", func() {
		// Shows which failure the host rows prevent: a host in two groups
		// (I2).
		for _, n := range r.nodes {
			n.tables.Switches.IgnoreHostRows = true
		}
		r.addHosts("north", "a", 6)
		r.configure(document(groupSpec("g1", "north", 3), groupSpec("g2", "north", 3)))
		r.run(10 * time.Second)
		Expect(r.sharedHosts()).NotTo(BeEmpty())
		r = newRig(nodeEntries("north", "n1")...)
	})

	It("reach all nodes without waiting for their scans", func() {
		// Guards against nodes that route to the previous members until their
		// next scan.
		formTwoGroups()
		r.kill(r.groupRow("g1").Members[0])
		token := r.groupRow("g1").FencingToken
		r.runUntil(10*time.Second, "repaired", func() bool { return r.groupRow("g1").FencingToken > token })
		r.run(100 * time.Millisecond)
		for _, n := range r.nodes {
			Expect(n.tables.Groups.Get("g1").FencingToken).To(Equal(r.groupRow("g1").FencingToken))
		}
	})

	It("replace a dead member with a spare of their domain", func() {
		// Guards against a group that stays down although a spare is
		// available, and against a repair that replaces more than the dead
		// member.
		formTwoGroups()
		before := r.groupRow("g1")
		r.kill(before.Members[1])
		downtime := r.runUntil(20*time.Second, "serving again", func() bool {
			return r.allServing("g1") && r.groupRow("g1").FencingToken > before.FencingToken
		})
		// Detection takes 3 s and the load 2 s.
		Expect(downtime).To(BeNumerically("<", 6500*time.Millisecond))
		after := r.groupRow("g1")
		Expect(after.Domain).To(Equal(before.Domain))
		Expect(after.Members[0]).To(Equal(before.Members[0]))
		Expect(after.Members[2]).To(Equal(before.Members[2]))
		Expect(after.Members[1]).NotTo(Equal(before.Members[1]))
		Expect(r.countEvents(event.GroupRepaired)).To(Equal(1))
	})

	It("are repaired again when the spare dies as well", func() {
		// Guards against a repair that counts as complete although its spare
		// died while loading.
		r.addHosts("north", "a", 5)
		r.configure(document(groupSpec("g1", "north", 3)))
		r.runUntil(20*time.Second, "serving", func() bool { return r.allServing("g1") })
		r.kill(r.groupRow("g1").Members[0])
		firstToken := r.groupRow("g1").FencingToken
		r.runUntil(10*time.Second, "repaired", func() bool { return r.groupRow("g1").FencingToken > firstToken })
		secondToken := r.groupRow("g1").FencingToken
		r.kill(r.groupRow("g1").Members[0])
		r.runUntil(20*time.Second, "repaired twice", func() bool { return r.groupRow("g1").FencingToken > secondToken && r.allServing("g1") })
	})

	It("load again when a member dies and comes back before it is replaced", func() {
		// Guards against a group that never becomes healthy again because one
		// member has lost its weights, and against an abandonment delay that
		// adds up two deaths.
		r.addHosts("north", "a", 3)
		r.configure(document(groupSpec("g1", "north", 3)))
		r.runUntil(20*time.Second, "serving", func() bool { return r.allServing("g1") })
		m := r.groupRow("g1").Members[1]
		for range 2 {
			token := r.groupRow("g1").FencingToken
			r.kill(m)
			r.run(40 * time.Second)
			Expect(r.groupRow("g1").FencingToken).To(Equal(token))
			r.restart(m)
			r.runUntil(20*time.Second, "loaded again", func() bool { return r.groupRow("g1").FencingToken > token && r.allServing("g1") })
		}
		Expect(r.countEvents(event.GroupAbandoned)).To(BeZero())
		Expect(r.groupRow("g1").Members).To(ContainElement(m))
	})

	It("do not use a spare that is leaving or does not answer", func() {
		// Guards against a repair with a host that is about to stop or is
		// dead.
		r.addHosts("north", "a", 6)
		r.configure(document(groupSpec("g1", "north", 3)))
		r.runUntil(20*time.Second, "serving", func() bool { return r.allServing("g1") })
		var spares []state.HostID
		for _, h := range r.hosts {
			if !slices.Contains(r.groupRow("g1").Members, h.ID) {
				spares = append(spares, h.ID)
			}
		}
		r.setLeaving(spares[0])
		r.kill(spares[1])
		r.kill(r.groupRow("g1").Members[0])
		r.runUntil(20*time.Second, "repaired", func() bool { return r.countEvents(event.GroupRepaired) == 1 && r.allServing("g1") })
		Expect(r.groupRow("g1").Members).To(ContainElement(spares[2]))
	})

	It("replace a leaving member before it stops", func() {
		// Guards against downtime for detection and loading during a planned
		// restart.
		formTwoGroups()
		r.setLeaving(r.groupRow("g1").Members[2])
		r.runUntil(40*time.Second, "replaced", func() bool { return r.countEvents(event.GroupRepaired) == 1 && r.allServing("g1") })
	})

	It("move largest first when all hosts of their fabric domain fail", func() {
		// Guards against groups that wait for a failed domain although another
		// one fits, and against a group that is split across two domains.
		r.addHosts("north", "a", 7)
		r.configure(document(groupSpec("g1", "north", 3), groupSpec("g2", "north", 4)))
		r.runUntil(20*time.Second, "serving", func() bool { return r.allServing("g1", "g2") })
		r.addHosts("north", "b", 5)
		r.run(time.Second)
		r.kill(r.hostIDs[:7]...)
		r.runUntil(20*time.Second, "moved", func() bool { return r.groupRow("g2").Domain == "b" && r.allServing("g2") })
		Expect(r.groupRow("g1").Domain).To(BeEquivalentTo("a"))
		r.addHosts("north", "c", 3)
		r.runUntil(20*time.Second, "moved", func() bool { return r.groupRow("g1").Domain == "c" && r.allServing("g1") })
	})

	It("are abandoned after 60 s and keep their hosts until another group needs them", func() {
		// Guards against hosts that are occupied by a group that cannot serve
		// while another group needs them, and against groups that are broken
		// up although no other group needs their hosts.
		r.addHosts("north", "a", 4)
		r.configure(document(groupSpec("g1", "north", 4)))
		r.runUntil(20*time.Second, "serving", func() bool { return r.allServing("g1") })
		r.kill(r.groupRow("g1").Members[3])
		r.run(55 * time.Second)
		Expect(r.countEvents(event.GroupAbandoned)).To(BeZero())
		r.run(20 * time.Second)
		Expect(r.countEvents(event.GroupAbandoned)).To(Equal(1))
		Expect(r.groupRow("g1").Members).To(HaveLen(4))
		r.configure(document(groupSpec("g1", "north", 4), groupSpec("g2", "north", 3)))
		r.runUntil(20*time.Second, "second group", func() bool { return r.allServing("g2") })
		Expect(r.groupRow("g1").Phase).To(Equal(state.GroupPending))
		r.addHosts("north", "b", 4)
		r.runUntil(20*time.Second, "first group again", func() bool { return r.allServing("g1") })
	})

	It("free the hosts of one of two broken groups to repair the other", func() {
		// Guards against two broken groups that wait for each other's hosts.
		r.addHosts("north", "a", 6)
		r.configure(document(groupSpec("g1", "north", 3), groupSpec("g2", "north", 3)))
		r.runUntil(20*time.Second, "serving", func() bool { return r.allServing("g1", "g2") })
		r.kill(r.groupRow("g1").Members[0], r.groupRow("g2").Members[0])
		r.runUntil(90*time.Second, "one of them", func() bool {
			return r.countEvents(event.AbandonedHostsFreed) == 1 && r.countEvents(event.GroupRepaired) == 1 && (r.allServing("g1") || r.allServing("g2"))
		})
		r.run(2 * time.Minute)
		Expect(r.countEvents(event.AbandonedHostsFreed)).To(Equal(1))
	})

	It("do not change while health reports are missing", func() {
		// Guards against the repair of live groups because the watchers are
		// cut off.
		formTwoGroups()
		r.healthKnown = false
		r.kill(r.hostIDs[:5]...)
		before := []state.GroupRow{r.groupRow("g1"), r.groupRow("g2")}
		r.run(5 * time.Minute)
		Expect([]state.GroupRow{r.groupRow("g1"), r.groupRow("g2")}).To(Equal(before))
	})

	It("do not change while the configuration is not fresh", func() {
		// Guards against changes according to a declaration that is no longer
		// in force.
		formTwoGroups()
		for _, n := range r.nodes {
			n.tables.Config.Fresh = false
		}
		token := r.groupRow("g1").FencingToken
		r.kill(r.groupRow("g1").Members[0])
		r.run(30 * time.Second)
		Expect(r.groupRow("g1").FencingToken).To(Equal(token))
	})

	It("keep their hosts while their data centre is disabled", func() {
		// Guards against groups that are moved or abandoned during planned
		// work on a data centre.
		formTwoGroups()
		r.head.DisabledDataCentres = []state.DataCentre{"north"}
		r.configure(document(groupSpec("g1", "north", 3), groupSpec("g2", "north", 3), groupSpec("g3", "north", 6)))
		before := r.groupRow("g1")
		r.kill(before.Members...)
		r.run(5 * time.Minute)
		Expect(r.groupRow("g1")).To(Equal(before))
		r.head.DisabledDataCentres = nil
		r.configure(r.document)
		r.runUntil(20*time.Second, "moved", func() bool { return r.groupRow("g1").Domain != before.Domain && r.allServing("g1") })
	})

	It("are dissolved and unloaded when their declaration is removed", func() {
		// Guards against hosts that stay assigned to a group that is no longer
		// declared.
		formTwoGroups()
		members := r.groupRow("g1").Members
		r.configure(document(groupSpec("g2", "north", 3)))
		r.runUntil(60*time.Second, "unloaded", func() bool {
			return !slices.ContainsFunc(members, func(m state.HostID) bool {
				return r.engines[m].answer.Phase != state.PhaseEmpty
			})
		})
		Expect(r.countEvents(event.GroupDissolved)).To(Equal(1))
		Expect(r.groupRow("g2").Phase).To(Equal(state.GroupServing))
		for _, n := range r.nodes {
			Expect(n.tables.Groups.Get("g1")).To(BeNil())
		}
		r.configure(document(groupSpec("g1", "north", 3), groupSpec("g2", "north", 3)))
		r.runUntil(20*time.Second, "formed again", func() bool { return r.allServing("g1") })
	})

	It("move to another data centre when their declaration changes", func() {
		// Guards against a group that is owned by the lease holders of two
		// data centres.
		formTwoGroups()
		r.addHosts("coast", "x", 3)
		r.configure(document(groupSpec("g1", "coast", 3), groupSpec("g2", "north", 3)))
		r.runUntil(60*time.Second, "moved", func() bool { return r.groupRow("g1").DataCentre == "coast" && r.allServing("g1") })
		Expect(r.holder("coast").id).To(BeEquivalentTo("c1"))
		Expect(r.leaseRow("coast").FencingToken).To(BeEquivalentTo(1))
	})

	It("grow and shrink with their declaration", func() {
		// Guards against a group that keeps its size when another one is
		// declared.
		formTwoGroups()
		before := r.groupRow("g1")
		r.configure(document(groupSpec("g1", "north", 4), groupSpec("g2", "north", 2)))
		r.runUntil(90*time.Second, "sizes", func() bool {
			return len(r.groupRow("g1").Members) == 4 && len(r.groupRow("g2").Members) == 2 && r.allServing("g1", "g2")
		})
		Expect(r.groupRow("g1").Domain).To(Equal(before.Domain))
	})

	It("load another model only after running requests have ended", func() {
		// Guards against answers that are cut off by a planned reload.
		formTwoGroups()
		holder := r.holder("north")
		holder.tables.Targets.Put("g1", &state.Target{ID: "g1", InFlight: 1})
		doc := document(groupSpec("g1", "north", 3), groupSpec("g2", "north", 3))
		doc.Groups[0].Model = "other"
		token := r.groupRow("g1").FencingToken
		r.configure(doc)
		r.run(8 * time.Second)
		Expect(r.groupRow("g1").FencingToken).To(BeNumerically(">", token))
		Expect(r.engines[r.groupRow("g1").Members[0]].answer.Model).To(Equal("draft"))
		holder.tables.Targets.Put("g1", &state.Target{ID: "g1", ReportAt: r.now})
		r.runUntil(5*time.Second, "other model", func() bool { return r.allServing("g1") })
		Expect(r.engines[r.groupRow("g1").Members[0]].answer.Model).To(Equal("other"))
	})

	It("change their role with a role order", func() {
		// Guards against a reload of the weights when only the role changes.
		formTwoGroups()
		doc := document(groupSpec("g1", "north", 3), groupSpec("g2", "north", 3))
		doc.Groups[0].Role = "decode"
		r.configure(doc)
		r.runUntil(60*time.Second, "role", func() bool { return r.allServing("g1") && r.groupRow("g1").Role == "decode" })
		orders := r.engines[r.groupRow("g1").Members[0]].orders
		Expect(orders[len(orders)-1].Kind).To(Equal(state.OrderRole))
	})
})
