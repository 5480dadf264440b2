package configuration

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// settle reads back whether a write without an answer took effect. The audit
// row of its version tells even when a later version has replaced the head.
func (s *System) settle(now time.Duration, out *state.Outbox) {
	cm := &s.commits
	cm.stage, cm.next = stageSettle, now+settlePeriod
	cm.store = s.t.SendStoreRequest(out, name, state.StoreRequest{
		Read: []string{state.KeyHead, state.KeyAudit(cm.current.proposal.head.Version)},
	})
}

func (s *System) settled(now time.Duration, reply state.StoreReply, out *state.Outbox) {
	cm := &s.commits
	ch := cm.current
	if reply.Result != state.StoreOK {
		return
	}
	var audit state.AuditRecord
	row := findRow(reply.Rows, state.KeyAudit(ch.proposal.head.Version))
	if row != nil && state.Decode(row.Value, &audit) == nil && ch.wrote(audit.Op) {
		ch.proposal.head.Op = audit.Op
		s.committed(now, out)
		return
	}
	var head state.Head
	row = findRow(reply.Rows, state.KeyHead)
	if row == nil {
		// Without a head there is no row to rewrite. The change is tried again
		// under the same condition, which at most one write can meet.
		s.again(ch)
		return
	}
	if state.Decode(row.Value, &head) != nil {
		return
	}
	if head.Version > ch.base.Version {
		s.conflict(now, row, out)
		return
	}
	s.fence(row, out)
}

// fence rewrites the base as it is. The write that has no answer may still be
// on its way; its condition can no longer hold once the row has a new revision.
func (s *System) fence(row *state.StoreRow, out *state.Outbox) {
	cm := &s.commits
	cm.stage = stageFence
	cm.store = s.t.SendStoreRequest(out, name, state.StoreRequest{Transact: &state.Transaction{
		Conditions: []state.Condition{{Key: state.KeyHead, Revision: row.Revision}},
		Writes:     []state.Write{{Key: state.KeyHead, Value: row.Value}},
	}})
}

func (s *System) fenced(now time.Duration, reply state.StoreReply) {
	cm := &s.commits
	if reply.Result != state.StoreOK {
		cm.stage, cm.next = stageSettle, now
		if reply.Result != state.StoreConflict {
			cm.next += settlePeriod
		}
		return
	}
	if row := findRow(reply.Rows, state.KeyHead); row != nil && s.head.revisionOf == cm.current.base.Version {
		s.head.revision = row.Revision
	}
	s.head.next = now
	s.again(cm.current)
}
