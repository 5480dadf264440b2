package formation

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// probePeriod is the least time between two questions to a host.
	probePeriod = 300 * time.Millisecond
	// sequencePeriod is the same where an order waits for the answer. A host whose
	// answer does not fit its entry, as after a restart, is asked no more often.
	sequencePeriod = 40 * time.Millisecond
	// conflictPause is for how long a host gets no order after one that did not fit
	// its state, such as a join while its last group is closing.
	conflictPause = 40 * time.Millisecond
	// deadProbe is the same for a host that did not answer.
	deadProbe = time.Second
	// orderTimeout is when an order without a result counts as lost. It is above
	// the bounds of the daemon.
	orderTimeout = 4 * time.Second
	// restartPause is for how long a host gets no order whose answer and entry are
	// of different lives. Entries follow a restart within a heartbeat of 1.2 s.
	restartPause = 300 * time.Millisecond
	// listPause is for how long a host gets no order whose entry is behind its
	// report. Entries follow a change within 150 ms, by which the feed gathers.
	listPause = 150 * time.Millisecond
	// doubtTime is for how long a host whose answer to an order was lost gets no
	// other order. The order can be carried out later only while the host has
	// begun no other, so the next order ends the doubt.
	doubtTime = 200 * time.Millisecond
)

// host is what this node knows of a host besides its row.
type host struct {
	id state.HostID
	// row is nil while the host is not in the list; address and domain are those
	// of the last row.
	row     *state.Instance
	address string
	domain  state.DomainID
	dc      state.DataCentre
	born    int64
	// model is the one that the host served last in this life.
	model string
	// sequence is the number of orders that the host has begun, known from its
	// report and counted on since.
	sequence  uint64
	sequenced bool
	// sent is the order in flight, nil for none.
	sent   *state.HostOrder
	sentAt time.Duration
	// probedAt is when the last question was sent; probing until its answer.
	probing  bool
	probedAt time.Duration
	// reported is the membership in the host's last report of this life, for which
	// it was asked at reportedAt.
	reported   state.Membership
	reportedAt time.Duration
	// failures counts questions without an answer since the last one; dead is set
	// once there were as many as say that the host is lost.
	failures int
	dead     bool
	deadAt   time.Duration
	plan     *plan
	// last is the group that the host was last seen in.
	last *group
	// staging is the model that the host was told to stage.
	staging   string
	stagingAt time.Duration
	waitUntil time.Duration
}

// order sends an order to a host. It returns false when the host is not ready
// for one: an order is in flight, or the number of its orders is not known.
func (s *System) order(now time.Duration, h *host, o state.HostOrder, out *state.Outbox) bool {
	if h.sent != nil && now-h.sentAt < orderTimeout || now < h.waitUntil {
		return false
	}
	if !h.sequenced {
		s.probe(now, h, out)
		return false
	}
	s.nextOrder++
	o.ID, o.Host, o.Address, o.FencingToken, o.ExpectedSequence = s.nextOrder, h.id, h.address, s.lease.row.FencingToken, h.sequence
	h.sent, h.sentAt = &o, now
	s.orders[o.ID] = h
	out.Add(o)
	return true
}

func (s *System) probe(now time.Duration, h *host, out *state.Outbox) {
	pause := probePeriod
	if !h.sequenced {
		pause = sequencePeriod
	}
	if h.probing && now-h.probedAt < orderTimeout || h.probedAt > 0 && now-h.probedAt < pause {
		return
	}
	h.probing, h.probedAt = true, now
	out.Add(state.FetchHostReport{Host: h.id, Address: h.address, SentAt: now})
}

// answered takes the result of an order.
func (s *System) answered(now time.Duration, in state.HostOrderResult, out *state.Outbox) {
	h := s.orders[in.ID]
	delete(s.orders, in.ID)
	if h == nil || h.sent == nil || h.sent.ID != in.ID {
		return
	}
	o := h.sent
	h.sent = nil
	out.Log(event.HostOrderAnswered, slog.String("host", string(h.id)), slog.String("operation", operationNames[o.Operation]),
		slog.String("group", string(o.Group)), slog.Uint64("epoch", o.Epoch), slog.String("outcome", outcomeNames[in.Outcome]),
		slog.Duration("took", now-h.sentAt))
	switch in.Outcome {
	case state.OrderAccepted:
		h.sequence++
		s.begun(now, h, o)
	case state.OrderAlreadyApplied:
		s.begun(now, h, o)
	case state.OrderFenced:
		h.sequenced = false
		if s.lease.held {
			s.lost(now, "a host has seen a higher fence", out)
		}
	case state.OrderNotSent:
		s.unresponsive(now, h, false, out)
		s.failed(now, h, o)
	case state.OrderUnknown:
		h.sequenced, h.waitUntil = false, now+doubtTime
		s.failed(now, h, o)
	default:
		h.sequenced, h.waitUntil = false, now+conflictPause
		s.failed(now, h, o)
	}
}

func (s *System) begun(now time.Duration, h *host, o *state.HostOrder) {
	switch o.Operation {
	case state.HostJoin:
		if p := h.plan; p != nil && p.id == o.Group && p.epoch == o.Epoch {
			p.joined[h.id] = true
		}
	case state.HostStage:
		h.staging, h.stagingAt = o.Model, now
	case state.HostLeave:
		if g := s.groups[o.Group]; g != nil && g.epoch == o.Epoch && g.leader() == h.id {
			g.over = true
		}
	case state.HostCloseImmediate, state.HostCloseGraceful:
		if g := s.groups[o.Group]; g != nil && g.epoch == o.Epoch {
			g.closed = true
		}
	}
}

func (s *System) failed(now time.Duration, h *host, o *state.HostOrder) {
	switch o.Operation {
	case state.HostOpen:
		if p := s.plans[o.Group]; p != nil {
			p.opening, p.openAt = false, now+openRetry
		}
	case state.HostStage:
		h.waitUntil = max(h.waitUntil, now+time.Second)
	}
}

// reported takes the answer of a host to a question.
func (s *System) reported(now time.Duration, in state.HostReport, out *state.Outbox) {
	h := s.hosts[in.Host]
	if h == nil {
		return
	}
	h.probing = false
	if !in.OK {
		// A refused connection proves nothing: a host that leaves stops listening
		// before it ends, and a partition may refuse for a host that works.
		if in.AddressReused {
			s.ledGroupsEnd(h)
		}
		s.unresponsive(now, h, in.ConnectionRefused, out)
		return
	}
	h.failures = 0
	if h.dead {
		h.dead = false
		out.Log(event.HostResponsive, slog.String("host", string(h.id)))
	}
	if in.State.StartID == h.born {
		h.reported, h.reportedAt = in.State.Membership, in.SentAt
	}
	switch {
	case in.State.StartID != 0 && h.born != 0 && in.State.StartID != h.born:
		// Its entry is of an earlier life, or of a later one than the answer.
		h.waitUntil = now + restartPause
	case s.isListedBehind(h, in.State.Membership):
		h.sequenced, h.waitUntil = false, now+listPause
	case h.sent == nil:
		h.sequence, h.sequenced = in.Sequence, true
	}
	for _, g := range s.groups {
		if m := &in.State.Membership; g.leader() == h.id && g.epoch == m.Epoch && g.id == m.Group {
			g.reported, g.reportedAt = m.Phase, in.SentAt
		}
	}
}

// isListedBehind reports whether the host's entry does not show the group that
// the host has joined or left. What rests on such an entry must not be ordered:
// the host may have been put into a serving group by an earlier holder of the
// lease.
func (s *System) isListedBehind(h *host, m state.Membership) bool {
	row := s.m.Instances.Get(h.id)
	if row == nil || row.Membership.Group == m.Group && row.Membership.Epoch == m.Epoch {
		return false
	}
	return h.plan == nil || h.plan.id != m.Group || h.plan.epoch != m.Epoch
}

// ledGroupsEnd notes that the process that led groups is gone.
func (s *System) ledGroupsEnd(h *host) {
	for _, g := range s.groups {
		if g.leader() == h.id && g.leaderBorn == h.born {
			g.over = true
		}
	}
}

func (s *System) unresponsive(now time.Duration, h *host, refused bool, out *state.Outbox) {
	h.sequenced = false
	h.failures++
	if h.failures < s.failuresToDeath(h) {
		// Asked again at once: a lost packet delays an answer by more than the bound.
		s.probe(now, h, out)
		return
	}
	if !h.dead {
		h.dead, h.deadAt = true, now
		out.Log(event.HostUnresponsive, slog.String("host", string(h.id)), slog.Bool("refused", refused))
	}
}

// failuresToDeath is the number of unanswered questions in a row that say that a
// host is lost: one where all nodes find its group silent.
func (s *System) failuresToDeath(h *host) int {
	if h.last != nil && h.last.silentSince > 0 {
		return 1
	}
	return 2
}

// forgetOrders drops what was known of the orders of hosts when this node took
// the lease: an earlier holder may have given others.
func (s *System) forgetOrders() {
	for _, h := range s.hosts {
		h.sequenced, h.sent, h.plan = false, nil, nil
	}
	clear(s.orders)
	clear(s.plans)
	// Another holder may have opened what this node gave up.
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
