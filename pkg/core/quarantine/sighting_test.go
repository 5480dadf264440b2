package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// heartbeatTime is the interval at which a process writes its entry.
const heartbeatTime = 1200 * time.Millisecond

// sameIDHosts plays hosts that start again under their IDs, and whose entries say so later.
type sameIDHosts struct {
	*fleet
	revision uint64
	startIDs [minCrashes]int64
}

// write writes the entry of a host.
func (h *sameIDHosts) write(host int) {
	h.revision++
	id := process(host).Host
	h.instances().Put(id, &state.Instance{ID: id, StartID: h.startIDs[host], Revision: h.revision})
}

// answer plays an answer of a host to a sound request.
func (h *sameIDHosts) answer(host int) {
	listed := h.instances().Get(process(host).Host).StartID
	id := h.send(host, request(1000+h.requests))
	h.nodes[0].tables.Requests.Get(id).TargetStartID = listed
	h.step(0, state.AttemptEvent{Request: id, Attempt: 1, Stage: state.AttemptEnded, AnswerBuffered: true, Status: 200})
}

// TestNextProcessUnderAnIDClearsNothing guards against answers of a process that has started again
// under its ID and count for the one that has ended, until its entry names the new one, and against
// the quarantine of a request whose targets go on serving.
func TestNextProcessUnderAnIDClearsNothing(t *testing.T) {
	for _, restarts := range []bool{true, false} {
		for _, delay := range []time.Duration{0, 200, 300, 500, 1000, 1200} {
			t.Run(fmt.Sprintf("restarts %v, entry after %d ms", restarts, delay), func(t *testing.T) {
				g := gomega.NewWithT(t)
				h := &sameIDHosts{fleet: newFleet(2)}
				h.route = &state.Route{}
				for host := range minCrashes {
					h.startIDs[host] = 1
					h.write(host)
				}
				h.now += heartbeatTime
				for host := range minCrashes {
					h.write(host)
				}
				for host := range minCrashes {
					h.attempt(0, host, state.AttemptEvent{Stage: state.AttemptEnded, Failure: state.FailureConnectionLost}, wholeRequest)
				}
				g.Expect(h.nodes[1].tables.Managed.Quarantined).To(gomega.HaveKey(wholeRequest))
				startedAt := h.now + 2*time.Second
				for host := range minCrashes {
					if restarts {
						h.startIDs[host] = 2
					}
				}
				written := 0
				for h.now = startedAt; h.now < startedAt+5*time.Second; h.now += 50 * time.Millisecond {
					for h.now >= startedAt+delay*time.Millisecond+time.Duration(written)*heartbeatTime {
						for host := range minCrashes {
							h.write(host)
						}
						written++
					}
					for host := range minCrashes {
						h.answer(host)
					}
					h.step(0, state.Tick{})
				}
				for _, n := range h.nodes {
					_, quarantined := n.tables.Managed.Quarantined[wholeRequest]
					g.Expect(quarantined).To(gomega.Equal(restarts))
				}
				g.Expect(h.nodes[0].systems[1].(*System).sightings).To(gomega.BeEmpty())
			})
		}
	}
}

// TestLateEntryOfAnEndedProcessClearsNothing guards against an entry that was written before the end
// of its process, and arrives after an answer of the next one.
func TestLateEntryOfAnEndedProcessClearsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	h := &sameIDHosts{fleet: newFleet(1)}
	h.route = &state.Route{}
	for host := range minCrashes {
		h.startIDs[host] = 1
		h.write(host)
		h.attempt(0, host, state.AttemptEvent{Stage: state.AttemptEnded, Failure: state.FailureConnectionLost}, wholeRequest)
	}
	h.now += 2 * time.Second
	for host := range minCrashes {
		h.answer(host)
		h.write(host)
		h.step(0, state.Tick{})
		h.startIDs[host] = 2
		h.write(host)
		h.step(0, state.Tick{})
	}
	g.Expect(h.nodes[0].tables.Managed.Quarantined).To(gomega.HaveKey(wholeRequest))
}
