package configuration

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// answerWithin is how long an operator waits for an answer.
	answerWithin = 9 * time.Second
	// settlePeriod is the period of reads that settle a lost answer.
	settlePeriod = 500 * time.Millisecond
)

// stage is how far the write of a change has come.
type stage uint8

const (
	stageIdle stage = iota
	// stageWrite waits for the answer to the transaction.
	stageWrite
	// stageSettle reads back whether a write without an answer took effect.
	stageSettle
	// stageFence waits for a rewrite of the base, after which a write that is
	// still on its way can no longer take effect.
	stageFence
	// stageExplain reads who made the change that won a race.
	stageExplain
)

// commits is the queue of changes and the one that is being written.
type commits struct {
	queue   []*change
	current *change
	stage   stage
	store   uint64
	// next is when an unanswered settling read is sent again.
	next time.Duration
	// waiting are the operators of committed changes.
	waiting []waitingOperator
	// made is the last version that this node committed.
	made state.Version
}

// advance starts the next change when none is being written.
func (s *System) advance(now time.Duration, out *state.Outbox) {
	s.expire(now, out)
	cm := &s.commits
	if cm.current != nil {
		if cm.stage == stageSettle && cm.store == 0 && now >= cm.next {
			s.settle(now, out)
		}
		return
	}
	ch := s.nextChange()
	if ch == nil || !s.baseKnown(now) || !s.mayFollow() {
		return
	}
	if ch.command != nil && ch.command.BaseVersion > s.t.Config.Head.Version {
		// The plan was made against a version that this node has yet to read.
		return
	}
	if ch.command != nil {
		cm.queue = cm.queue[1:]
	}
	s.write(now, ch, out)
}

func (s *System) nextChange() *change {
	if len(s.commits.queue) > 0 {
		return s.commits.queue[0]
	}
	return s.registry.wanted
}

// baseKnown reports whether the row revision of the copy's head is known, which
// the condition of a transaction needs.
func (s *System) baseKnown(now time.Duration) bool {
	c, h := &s.t.Config, &s.head
	if !c.Loaded {
		return h.absent
	}
	if h.revisionOf == c.Head.Version {
		return true
	}
	if len(h.sent) == 0 && !h.down {
		h.next = min(h.next, now)
	}
	return false
}

func (s *System) write(now time.Duration, ch *change, out *state.Outbox) {
	c, cm := &s.t.Config, &s.commits
	if ch.command != nil && ch.command.BaseVersion != 0 && ch.command.BaseVersion < c.Head.OperatorVersion {
		s.explain(ch, c.Head, out)
		return
	}
	p, err := ch.build(c.Head, &c.Document)
	if err != nil {
		s.refuse(ch, err, out)
		return
	}
	if p == nil {
		s.unchanged(now, ch)
		return
	}
	op := s.t.NewOpID()
	p.head.Op, p.audit.Op = op, op
	ch.base, ch.proposal = c.Head, p
	if len(ch.ops) == 0 {
		ch.sentAt = now
	}
	ch.ops = append(ch.ops, op)
	tx := &state.Transaction{
		Conditions: []state.Condition{{Key: state.KeyHead, Revision: s.baseRevision()}},
		Writes: []state.Write{
			{Key: state.KeyHead, Value: state.Encode(p.head)},
			{Key: state.KeyAudit(p.head.Version), Value: state.Encode(p.audit)},
		},
	}
	if p.doc != nil {
		tx.Writes = append(tx.Writes, state.Write{Key: state.KeyDocument(p.head.Version), Value: state.Encode(*p.doc)})
	}
	cm.current, cm.stage = ch, stageWrite
	cm.store = s.t.SendStoreRequest(out, name, state.StoreRequest{Transact: tx})
}

func (s *System) baseRevision() uint64 {
	if !s.t.Config.Loaded {
		return 0
	}
	return s.head.revision
}

func (s *System) commitReplied(now time.Duration, reply state.StoreReply, out *state.Outbox) {
	cm := &s.commits
	if cm.current == nil || reply.ID != cm.store {
		return
	}
	cm.store = 0
	switch cm.stage {
	case stageWrite:
		s.written(now, reply, out)
	case stageSettle:
		s.settled(now, reply, out)
	case stageFence:
		s.fenced(now, reply)
	case stageExplain:
		s.explained(reply, out)
	case stageIdle:
	}
}

func (s *System) written(now time.Duration, reply state.StoreReply, out *state.Outbox) {
	cm := &s.commits
	ch := cm.current
	switch reply.Result {
	case state.StoreOK:
		if row := findRow(reply.Rows, state.KeyHead); row != nil {
			s.head.revision, s.head.revisionOf = row.Revision, ch.proposal.head.Version
		}
		s.committed(now, out)
	case state.StoreConflict:
		s.conflict(now, findRow(reply.Rows, state.KeyHead), out)
	case state.StoreUnavailable:
		s.refuse(ch, storeDown(), out)
	case state.StoreUnknown:
		out.Log(event.ConfigOutcomeUnknown, versionAttr(ch.proposal.head.Version))
		s.settle(now, out)
	}
}

// committed ends a change that is known to have been written.
func (s *System) committed(now time.Duration, out *state.Outbox) {
	cm := &s.commits
	ch := cm.current
	head := ch.proposal.head
	s.finish()
	cm.made = head.Version
	s.adopt(now, head, ch.proposal.doc, out)
	// The condition of the write held after it was sent, so that no version
	// newer than this one existed before.
	s.t.Config.Synced = true
	s.evidence(ch.sentAt)
	s.logCommit(ch, out)
	for id, p := range s.t.Peers.All() {
		if p.Linked {
			out.Add(state.SendPeer{To: id, Message: state.Message{ConfigNotice: &state.ConfigNotice{Version: head.Version}}})
		}
	}
	if ch.command != nil && !ch.answered {
		s.await(ch, head.Version)
	}
}

func (s *System) logCommit(ch *change, out *state.Outbox) {
	v := versionAttr(ch.proposal.head.Version)
	switch {
	case ch.join != nil:
		out.Log(event.NodeRegistered, v, slog.String("node", string(ch.join.ID)))
	case ch.leave != "":
		out.Log(event.NodeRemoved, v, slog.String("node", string(ch.leave)))
	default:
		out.Log(event.ConfigCommitted, v, slog.String("operator", ch.command.Operator),
			slog.String("action", ch.proposal.audit.Action))
	}
}

// conflict handles a write whose condition failed: nothing was written by it.
func (s *System) conflict(now time.Duration, row *state.StoreRow, out *state.Outbox) {
	ch := s.commits.current
	s.head.next = now
	var head state.Head
	if row == nil || state.Decode(row.Value, &head) != nil {
		// The store did not say what the head is; the next read does.
		s.again(ch)
		return
	}
	if ch.wrote(head.Op) {
		// An earlier write of this change took effect, after its answer was lost.
		s.headRow(now, *row, ch.sentAt, out)
		s.settle(now, out)
		return
	}
	s.headRow(now, *row, ch.sentAt, out)
	if head.OperatorVersion <= ch.base.OperatorVersion || ch.command == nil {
		// Only the registry changed, or the row was rewritten as it was.
		s.again(ch)
		return
	}
	s.explain(ch, head, out)
}

func (ch *change) wrote(op state.OpID) bool {
	for _, o := range ch.ops {
		if o == op {
			return true
		}
	}
	return false
}

// again puts a change that was not written back to the front.
func (s *System) again(ch *change) {
	s.finish()
	if ch.command == nil || ch.answered {
		return
	}
	s.commits.queue = append([]*change{ch}, s.commits.queue...)
}

func (s *System) finish() {
	cm := &s.commits
	if cm.current != nil && cm.current.command == nil {
		s.registry.wanted = nil
	}
	cm.current, cm.stage, cm.store = nil, stageIdle, 0
}
