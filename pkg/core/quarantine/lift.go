package quarantine

import (
	"fmt"
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// maxLiftReads is how often the head of the audit trail is read for one lift: again after a
	// concurrent change, and after a write whose outcome is unknown.
	maxLiftReads = 4
	// liftTimeout is when a lift without an answer of the store is given up. It is longer than
	// the timeout of a call.
	liftTimeout = 5 * time.Second
	// maxAuditRecords bounds the audit trail, which is in the table that all nodes read.
	maxAuditRecords = 500
)

// lift is an operator's command that lifts a quarantine. The removal of the trait's row and the
// audit record are one transaction, after which the evidence on the trait is cleared at all
// nodes.
type lift struct {
	command state.OperatorCommand
	// op identifies the writes of this lift in the audit trail.
	op        state.OpID
	startedAt time.Duration
	callID    uint64
	reads     int
	// version is that of the audit record being written, 0 while the head is read.
	version state.Version
	// unconfirmed is the version of a write without a known outcome, 0 if there is none.
	unconfirmed state.Version
}

// handleCommand starts to lift a quarantine.
func (s *System) handleCommand(now time.Duration, command state.OperatorCommand, out *state.Outbox) {
	if command.Action != state.ActionLift {
		return
	}
	switch {
	case !s.ledger.isQuarantined(command.Trait):
		refuseLift(command.ID, apierror.KindNotFound, "not_quarantined", "this node has no such quarantine; list the quarantines", out)
	case s.lift != nil && now-s.lift.startedAt < liftTimeout:
		refuseLift(command.ID, apierror.KindConflict, "lift_in_progress", "another quarantine is being lifted; send the command again", out)
	default:
		s.lift = &lift{command: command, op: s.tables.NewOpID(), startedAt: now}
		s.readAuditHead(out)
	}
}

func refuseLift(id uint64, kind apierror.Kind, code, message string, out *state.Outbox) {
	out.Add(state.OperatorReply{ID: id, Error: apierror.New(kind, code, message, apierror.NotRun)})
}

// readAuditHead reads the number of the last audit record, and the record whose write has an
// unknown outcome.
func (s *System) readAuditHead(out *state.Outbox) {
	l := s.lift
	l.version = 0
	if l.reads++; l.reads > maxLiftReads {
		s.endLift(apierror.New(apierror.KindUnknown, "change_outcome_unknown",
			"the store did not confirm the lift; list the quarantines before repeating it", apierror.Unknown), out)
		return
	}
	keys := []string{state.KeyHead}
	if l.unconfirmed != 0 {
		keys = append(keys, state.KeyAudit(l.unconfirmed))
	}
	l.callID = s.tables.SendStoreRequest(out, systemName, state.StoreRequest{Read: keys})
}

// handleStoreReply continues the lift in progress.
func (s *System) handleStoreReply(now time.Duration, in state.StoreReply, out *state.Outbox) {
	l := s.lift
	if l == nil || !s.tables.OwnsReply(systemName, in) || in.ID != l.callID {
		return
	}
	switch {
	case l.version == 0 && in.Result == state.StoreOK:
		s.writeLift(now, in.Rows, out)
	case l.version == 0 && l.unconfirmed == 0:
		s.endLift(apierror.New(apierror.KindStoreDown, "store_down", "the platform's store does not answer; send the command again",
			apierror.NotRun).WithRetryAfter(time.Second), out)
	case in.Result == state.StoreOK:
		s.completeLift(now, l.version, out)
	default:
		if in.Result == state.StoreUnknown && l.version != 0 {
			l.unconfirmed = l.version
		}
		s.readAuditHead(out)
	}
}

// writeLift writes the audit record and removes the row of the trait, unless an earlier write of
// this lift has taken effect.
func (s *System) writeLift(now time.Duration, rows []state.StoreRow, out *state.Outbox) {
	l := s.lift
	var head state.Head
	var headRevision uint64
	for _, row := range rows {
		var record state.AuditRecord
		var err error
		if row.Key == state.KeyHead {
			headRevision, err = row.Revision, state.Decode(row.Value, &head)
		} else {
			err = state.Decode(row.Value, &record)
		}
		if err != nil {
			out.Log(event.RowUnreadable, slog.String("key", row.Key), slog.String("error", err.Error()))
		}
		if record.Op == l.op {
			s.completeLift(now, record.Version, out)
			return
		}
	}
	l.version = head.Version + 1
	trait := l.command.Trait
	record := state.AuditRecord{
		Version: l.version, Operator: l.command.Operator, Action: "lift", Before: fmt.Sprintf("%s in quarantine", trait.Name()),
		AtUnixMilli: l.command.AtUnixMilli, Op: l.op,
	}
	tx := &state.Transaction{
		Conditions: []state.Condition{{Key: state.KeyHead, Revision: headRevision}},
		Writes: []state.Write{
			{Key: state.KeyHead, Value: state.Encode(state.Head{Version: l.version, Op: l.op})},
			{Key: state.KeyAudit(l.version), Value: state.Encode(record)},
			{Key: state.QuarantineKey(trait)},
		},
	}
	if l.version > maxAuditRecords {
		tx.Writes = append(tx.Writes, state.Write{Key: state.KeyAudit(l.version - maxAuditRecords)})
	}
	l.callID = s.tables.SendStoreRequest(out, systemName, state.StoreRequest{Transact: tx})
}

// completeLift clears the evidence on the trait at all nodes.
func (s *System) completeLift(now time.Duration, version state.Version, out *state.Outbox) {
	command := s.lift.command
	s.lift = nil
	s.spread(s.ledger.Release(now, command.Trait), out)
	out.Log(event.QuarantineLifted, slog.String("trait", command.Trait.Name()), slog.String("operator", command.Operator))
	out.Add(state.OperatorReply{ID: command.ID, Version: version, Accepted: true, UnconfirmedNodes: []state.NodeID{}})
}

func (s *System) endLift(err *apierror.Error, out *state.Outbox) {
	out.Add(state.OperatorReply{ID: s.lift.command.ID, Error: err})
	s.lift = nil
}
