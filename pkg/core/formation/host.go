package formation

import (
	"log/slog"
	"slices"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// minProbeInterval is the minimum interval between two probes of a host.
	minProbeInterval = 300 * time.Millisecond
	// sequenceProbeInterval is the minimum interval between probes while an order
	// waits for the order count of the host. It also limits the probes of a host
	// whose report does not match its entry, as after a restart.
	sequenceProbeInterval = 40 * time.Millisecond
	// conflictBackoff is how long a host receives no order after it refused one
	// that did not fit its state, such as a join while its last group is closing.
	conflictBackoff = 40 * time.Millisecond
	// maxSoundSilence is how long a sound host may be silent, on its streams and to
	// probes, before it goes on.
	maxSoundSilence = 2 * time.Second
	// deadProbePeriod is the interval between probes of a host that does not
	// answer.
	deadProbePeriod = time.Second
	// orderTimeout is when an order without a result counts as lost. It is longer
	// than the timeouts of the daemon.
	orderTimeout = 4 * time.Second
	// restartBackoff is how long a host receives no order after its report and its
	// entry came from different process starts. The entry is updated within a
	// heartbeat of 1.2 s after a restart.
	restartBackoff = 300 * time.Millisecond
	// staleEntryBackoff is how long a host receives no order after its report was
	// newer than its entry. Entries follow a change within 150 ms, the batching
	// delay of the watch call.
	staleEntryBackoff = 150 * time.Millisecond
	// lostAnswerBackoff is how long a host receives no other order after the
	// answer to one was lost. The lost order can take effect only until the host
	// accepts another one, so the next order resolves the uncertainty.
	lostAnswerBackoff = 200 * time.Millisecond
)

// host is the state of a host that is not in its row.
type host struct {
	id state.HostID
	// row is nil while the host is not in the list of instances. address and
	// domain are those of the last row.
	row        *state.Instance
	address    string
	domain     state.DomainID
	dataCentre state.DataCentre
	startID    int64
	// model is the model that the host served last since its process started.
	model string
	// sequence is the number of orders that the host has accepted, taken from its
	// report and incremented with each accepted order.
	sequence      uint64
	sequenceKnown bool
	// orderInFlight is the order without a result, nil for none.
	orderInFlight *state.HostOrder
	orderSentAt   time.Duration
	// probedAt is when the last probe was sent. probeInFlight is set until it is
	// answered.
	probeInFlight bool
	probedAt      time.Duration
	// reportedMembership is the membership in the last report of the current
	// process, which was requested at reportedAt.
	reportedMembership state.Membership
	reportedAt         time.Duration
	// failures counts consecutive probes without an answer. dead is set once
	// failures reaches failureThreshold.
	failures int
	dead     bool
	deadAt   time.Duration
	// silentSince is when the first probe was sent that the host accepted and did not
	// answer; 0 if it answered the last one.
	silentSince time.Duration
	plan        *plan
	// lastGroup is the group that the host was last seen in.
	lastGroup *group
	// stagingModel is the model that the host was last ordered to stage, empty
	// once it is staged.
	stagingModel string
	stagingSince time.Duration
	backoffUntil time.Duration
	// unassignedSince is since when the host is not used although it answers, and
	// unassignedGroup the group that it names; 0 and nil while it is used.
	// unassignedReported is set once that was logged.
	unassignedSince    time.Duration
	unassignedGroup    *group
	unassignedReported bool
}

// endStaging ends the staging of a model once the entry of the host shows it.
func (h *host) endStaging() {
	if h.stagingModel != "" && h.row != nil && slices.Contains(h.row.StagedModels, h.stagingModel) {
		h.stagingModel = ""
	}
}

// sendOrder sends an order to a host. It returns false when the host cannot
// receive one yet, because an order is in flight, a backoff or a pause that the host
// has asked for applies, or the order count of the host is unknown.
func (s *System) sendOrder(now time.Duration, h *host, order state.HostOrder, out *state.Outbox) bool {
	if h.orderInFlight != nil && now-h.orderSentAt < orderTimeout || now < h.backoffUntil || s.managed.IsPaused(now, h.id, h.startID) {
		return false
	}
	if !h.sequenceKnown {
		s.probe(now, h, out)
		return false
	}
	s.nextOrder++
	order.ID, order.Host, order.StartID, order.Address = s.nextOrder, h.id, h.startID, h.address
	order.FencingToken, order.ExpectedSequence = s.lease.row.FencingToken, h.sequence
	h.orderInFlight, h.orderSentAt = &order, now
	s.pendingOrders[order.ID] = h
	out.Add(order)
	return true
}

func (s *System) probe(now time.Duration, h *host, out *state.Outbox) {
	if s.managed.IsPaused(now, h.id, h.startID) {
		return
	}
	pause := minProbeInterval
	if !h.sequenceKnown {
		pause = sequenceProbeInterval
	}
	if h.probeInFlight && now-h.probedAt < orderTimeout || h.probedAt > 0 && now-h.probedAt < pause {
		return
	}
	h.probeInFlight, h.probedAt = true, now
	out.Add(state.FetchHostReport{Host: h.id, StartID: h.startID, Address: h.address, SentAt: now})
}

// handleOrderResult updates a host and its group with the result of an order.
func (s *System) handleOrderResult(now time.Duration, in state.HostOrderResult, out *state.Outbox) {
	h := s.pendingOrders[in.ID]
	delete(s.pendingOrders, in.ID)
	if h == nil || h.orderInFlight == nil || h.orderInFlight.ID != in.ID {
		return
	}
	s.changes.add(h)
	order := h.orderInFlight
	h.orderInFlight = nil
	out.Log(event.HostOrderAnswered, slog.String("host", string(h.id)), slog.String("operation", operationNames[order.Operation]),
		slog.String("group", string(order.Group)), slog.Uint64("epoch", order.Epoch), slog.String("outcome", outcomeNames[in.Outcome]),
		slog.Duration("took", now-h.orderSentAt))
	switch in.Outcome {
	case state.OrderAccepted:
		h.sequence++
		s.handleOrderAccepted(now, h, order)
	case state.OrderAlreadyApplied:
		s.handleOrderAccepted(now, h, order)
	case state.OrderFenced:
		h.sequenceKnown = false
		if s.lease.isHolder {
			s.loseLease(now, "a host reported a higher fencing token", out)
		}
	case state.OrderNotSent:
		s.recordFailure(now, h, false, out)
		s.handleOrderFailed(now, h, order)
	case state.OrderUnknown:
		h.sequenceKnown, h.backoffUntil = false, now+lostAnswerBackoff
		s.handleOrderFailed(now, h, order)
	default:
		h.sequenceKnown, h.backoffUntil = false, now+conflictBackoff
		s.handleOrderFailed(now, h, order)
	}
}

func (s *System) handleOrderAccepted(now time.Duration, h *host, order *state.HostOrder) {
	switch order.Operation {
	case state.HostJoin:
		if p := h.plan; p != nil && p.id == order.Group && p.epoch == order.Epoch {
			p.joinAccepted[h.id] = true
		}
	case state.HostStage:
		h.stagingModel, h.stagingSince = order.Model, now
		h.endStaging()
	case state.HostLeave:
		if g := s.groups[order.Group]; g != nil && g.epoch == order.Epoch && g.leader() == h.id {
			g.leaderGone = true
		}
	case state.HostCloseImmediate, state.HostCloseGraceful:
		if g := s.groups[order.Group]; g != nil && g.epoch == order.Epoch {
			g.closeStarted = true
		}
	}
}

func (s *System) handleOrderFailed(now time.Duration, h *host, order *state.HostOrder) {
	switch order.Operation {
	case state.HostOpen:
		if p := s.plans[order.Group]; p != nil {
			p.opening, p.nextOpenAt = false, now+openRetryDelay
		}
	case state.HostStage:
		h.backoffUntil = max(h.backoffUntil, now+time.Second)
	}
}

// handleHostReport updates a host with its answer to a probe.
func (s *System) handleHostReport(now time.Duration, in state.HostReport, out *state.Outbox) {
	h := s.hosts.get(in.Host)
	if h == nil {
		return
	}
	s.changes.add(h)
	h.probeInFlight = false
	if !in.OK {
		// A refused connection does not prove that the process has ended: a host that
		// leaves stops listening before it ends, and a partition may refuse
		// connections to a running host.
		if in.AddressReused {
			s.endLedGroups(h)
		}
		if in.Silent && s.mayBeSound(now, h, in.SentAt) {
			s.probe(now, h, out)
			return
		}
		s.recordFailure(now, h, in.ConnectionRefused, out)
		return
	}
	h.failures, h.silentSince = 0, 0
	if h.dead {
		h.dead = false
		out.Log(event.HostResponsive, slog.String("host", string(h.id)))
	}
	if in.State.StartID == h.startID {
		h.reportedMembership, h.reportedAt = in.State.Membership, in.SentAt
	}
	switch {
	case in.State.StartID != 0 && h.startID != 0 && in.State.StartID != h.startID:
		// The entry is of an earlier or a later process start than the report.
		h.backoffUntil = now + restartBackoff
	case s.isEntryStale(h, in.State.Membership):
		h.sequenceKnown, h.backoffUntil = false, now+staleEntryBackoff
	case h.orderInFlight == nil:
		h.sequence, h.sequenceKnown = in.Sequence, true
	}
	if m := &in.State.Membership; m.Group != "" {
		if g := s.groups[m.Group]; g != nil && g.leader() == h.id && g.epoch == m.Epoch {
			g.reportedPhase, g.reportedAt = m.Phase, in.SentAt
		}
	}
}

// isEntryStale reports whether the entry of a host does not show the group that
// the host has joined or left. No order may be based on such an entry, because
// an earlier lease holder may have put the host into a serving group.
func (s *System) isEntryStale(h *host, m state.Membership) bool {
	row := s.managed.Instances.Get(h.id)
	if row == nil || row.Membership.Group == m.Group && row.Membership.Epoch == m.Epoch {
		return false
	}
	return h.plan == nil || h.plan.id != m.Group || h.plan.epoch != m.Epoch
}

// endLedGroups marks the leader of all groups that the host led as gone.
func (s *System) endLedGroups(h *host) {
	for _, g := range s.groups {
		if g.leader() == h.id && g.leaderStartID == h.startID {
			g.leaderGone = true
		}
	}
}

func (s *System) recordFailure(now time.Duration, h *host, refused bool, out *state.Outbox) {
	h.sequenceKnown = false
	h.failures++
	if h.failures < s.failureThreshold(h) {
		// The probe is repeated at once, because a lost packet delays an answer
		// beyond the timeout.
		s.probe(now, h, out)
		return
	}
	if !h.dead {
		h.dead, h.deadAt = true, now
		out.Log(event.HostUnresponsive, slog.String("host", string(h.id)), slog.Bool("refused", refused))
	}
}

// mayBeSound reports whether a host that has accepted a probe and not answered it may still
// be sound. A host without power, or behind a partition, accepts no connection. The end of a
// group cannot be undone, and would cut off its streams.
func (s *System) mayBeSound(now time.Duration, h *host, probedAt time.Duration) bool {
	h.sequenceKnown = false
	if h.silentSince == 0 {
		h.silentSince = probedAt
	}
	return now-h.silentSince < maxSoundSilence
}

// failureThreshold returns the number of consecutive unanswered probes after
// which a host counts as dead. It is 1 if all nodes find the group of the host
// stalled, otherwise 2.
func (s *System) failureThreshold(h *host) int {
	if h.lastGroup != nil && h.lastGroup.stalledSince > 0 {
		return 1
	}
	return 2
}

// resetOrders clears the order state of all hosts when this node acquires the
// lease, because an earlier holder may have sent other orders.
func (s *System) resetOrders() {
	for _, h := range s.hosts.all() {
		h.sequenceKnown, h.orderInFlight, h.plan = false, nil, nil
	}
	clear(s.pendingOrders)
	clear(s.plans)
	// Another holder may have opened a group that this node abandoned.
	clear(s.neverOpened)
}

var operationNames = map[state.HostOperation]string{
	state.HostJoin: "join", state.HostOpen: "open", state.HostCloseGraceful: "close_queue", state.HostCloseImmediate: "close_now",
	state.HostLeave: "leave", state.HostStage: "stage",
}

var outcomeNames = map[state.OrderOutcome]string{
	state.OrderAccepted: "begun", state.OrderAlreadyApplied: "held", state.OrderConflict: "conflict", state.OrderFenced: "fenced",
	state.OrderInvalid: "invalid", state.OrderNotSent: "unreached", state.OrderUnknown: "unknown",
}
