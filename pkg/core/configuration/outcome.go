package configuration

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// readOutcome reads back whether a write without a reply took effect. The audit row of
// its version shows the outcome even when a later version has replaced the head.
func (s *System) readOutcome(now time.Duration, out *state.Outbox) {
	commits := &s.commits
	commits.stage, commits.nextOutcomeReadAt = stageReadOutcome, now+outcomeReadPeriod
	commits.storeRequest = s.tables.SendStoreRequest(out, systemName, state.StoreRequest{
		Read: []string{state.KeyHead, state.KeyAudit(commits.current.proposal.head.Version)},
	})
}

func (s *System) handleOutcomeReply(now time.Duration, reply state.StoreReply, out *state.Outbox) {
	commits := &s.commits
	change := commits.current
	if reply.Result != state.StoreOK {
		return
	}
	var audit state.AuditRecord
	row := findRow(reply.Rows, state.KeyAudit(change.proposal.head.Version))
	if row != nil && state.Decode(row.Value, &audit) == nil && change.hasOpID(audit.Op) {
		change.proposal.head.Op = audit.Op
		s.completeCommit(now, out)
		return
	}
	var head state.Head
	row = findRow(reply.Rows, state.KeyHead)
	if row == nil {
		// Without a head there is no row to rewrite. The change is written again under
		// the same condition, which at most one write can meet.
		s.requeue(change)
		return
	}
	if state.Decode(row.Value, &head) != nil {
		return
	}
	if head.Version > change.base.Version {
		s.handleConflict(now, row, out)
		return
	}
	s.fenceDelayedWrite(row, out)
}

// fenceDelayedWrite rewrites the head row unchanged. A write without a reply may still
// be in transit; once the row has a new revision, its condition cannot hold.
func (s *System) fenceDelayedWrite(row *state.StoreRow, out *state.Outbox) {
	commits := &s.commits
	commits.stage = stageFence
	commits.storeRequest = s.tables.SendStoreRequest(out, systemName, state.StoreRequest{Transact: &state.Transaction{
		Conditions: []state.Condition{{Key: state.KeyHead, Revision: row.Revision}},
		Writes:     []state.Write{{Key: state.KeyHead, Value: row.Value}},
	}})
}

func (s *System) handleFenceReply(now time.Duration, reply state.StoreReply) {
	commits := &s.commits
	if reply.Result != state.StoreOK {
		commits.stage, commits.nextOutcomeReadAt = stageReadOutcome, now
		if reply.Result != state.StoreConflict {
			commits.nextOutcomeReadAt += outcomeReadPeriod
		}
		return
	}
	if row := findRow(reply.Rows, state.KeyHead); row != nil && s.headReader.revisionVersion == commits.current.base.Version {
		s.headReader.revision = row.Revision
	}
	s.headReader.nextReadAt = now
	s.requeue(commits.current)
}
