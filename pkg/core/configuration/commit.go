package configuration

import (
	"log/slog"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// operatorReplyTimeout bounds the time until an operator receives a reply.
	operatorReplyTimeout = 9 * time.Second
	// outcomeReadPeriod is the interval between two reads that determine the outcome
	// of a write whose reply was lost.
	outcomeReadPeriod = 500 * time.Millisecond
)

// commitStage is the progress of the change that is being written.
type commitStage uint8

const (
	stageIdle commitStage = iota
	// stageWrite waits for the reply to the transaction.
	stageWrite
	// stageReadOutcome reads back whether a write without a reply took effect.
	stageReadOutcome
	// stageFence waits for an unchanged rewrite of the head row, after which a delayed
	// write can no longer take effect.
	stageFence
	// stageReadConflict reads the audit record of a conflicting change.
	stageReadConflict
)

// commitQueue holds the queued changes and the one that is being written.
type commitQueue struct {
	queue   []*configChange
	current *configChange
	stage   commitStage
	// storeRequest is the ID of the store request in flight, 0 for none.
	storeRequest uint64
	// nextOutcomeReadAt is when a failed read of the outcome is repeated.
	nextOutcomeReadAt time.Duration
	// acceptanceWaits are the commands whose change is in the store and not yet
	// accepted.
	acceptanceWaits []acceptanceWait
	// lastCommitted is the last version that this node committed.
	lastCommitted state.Version
}

// advanceCommits starts the next change when none is being written.
func (s *System) advanceCommits(now time.Duration, out *state.Outbox) {
	s.expireCommands(now, out)
	commits := &s.commits
	if commits.current != nil {
		if commits.stage == stageReadOutcome && commits.storeRequest == 0 && now >= commits.nextOutcomeReadAt {
			s.readOutcome(now, out)
		}
		return
	}
	change := s.nextChange()
	if change == nil || !s.ensureBaseRevision(now) || !s.mayCommitNext() {
		return
	}
	if change.command != nil && change.command.BaseVersion > s.tables.Config.Head.Version {
		// The command is based on a version that this node has not read yet.
		return
	}
	if change.command != nil {
		commits.queue = commits.queue[1:]
	}
	s.writeChange(now, change, out)
}

func (s *System) nextChange() *configChange {
	if len(s.commits.queue) > 0 {
		return s.commits.queue[0]
	}
	return s.registry.pendingChange
}

// ensureBaseRevision reports whether the row revision of the copy's head is known,
// which the condition of a transaction needs. Otherwise it makes the next read of
// the head due.
func (s *System) ensureBaseRevision(now time.Duration) bool {
	config, reader := &s.tables.Config, &s.headReader
	if !config.Loaded {
		return reader.headAbsent
	}
	if reader.revisionVersion == config.Head.Version {
		return true
	}
	if len(reader.sentAt) == 0 && !reader.storeDown {
		reader.nextReadAt = min(reader.nextReadAt, now)
	}
	return false
}

// writeChange writes a change on top of the copy, on condition that the head row is
// unchanged in the store.
func (s *System) writeChange(now time.Duration, change *configChange, out *state.Outbox) {
	config, commits := &s.tables.Config, &s.commits
	if change.command != nil && change.command.BaseVersion != 0 && change.command.BaseVersion < config.Head.OperatorVersion {
		s.readConflictingChange(change, config.Head, out)
		return
	}
	proposed, err := change.buildProposal(config.Head, &config.Document)
	if err != nil {
		s.refuseChange(change, err, out)
		return
	}
	if proposed == nil {
		s.completeUnchanged(now, change)
		return
	}
	op := s.tables.NewOpID()
	proposed.head.Op, proposed.audit.Op = op, op
	change.base, change.proposal = config.Head, proposed
	if len(change.opIDs) == 0 {
		change.firstSentAt = now
	}
	change.opIDs = append(change.opIDs, op)
	tx := &state.Transaction{
		Conditions: []state.Condition{{Key: state.KeyHead, Revision: s.baseRevision()}},
		Writes: []state.Write{
			{Key: state.KeyHead, Value: state.Encode(proposed.head)},
			{Key: state.KeyAudit(proposed.head.Version), Value: state.Encode(proposed.audit)},
		},
	}
	if proposed.doc != nil {
		tx.Writes = append(tx.Writes, state.Write{Key: state.KeyDocument(proposed.head.Version), Value: state.Encode(*proposed.doc)})
	}
	commits.current, commits.stage = change, stageWrite
	commits.storeRequest = s.tables.SendStoreRequest(out, systemName, state.StoreRequest{Transact: tx})
}

func (s *System) baseRevision() uint64 {
	if !s.tables.Config.Loaded {
		return 0
	}
	return s.headReader.revision
}

func (s *System) handleCommitReply(now time.Duration, reply state.StoreReply, out *state.Outbox) {
	commits := &s.commits
	if commits.current == nil || reply.ID != commits.storeRequest {
		return
	}
	commits.storeRequest = 0
	switch commits.stage {
	case stageWrite:
		s.handleWriteReply(now, reply, out)
	case stageReadOutcome:
		s.handleOutcomeReply(now, reply, out)
	case stageFence:
		s.handleFenceReply(now, reply)
	case stageReadConflict:
		s.handleConflictingChange(reply, out)
	case stageIdle:
	}
}

func (s *System) handleWriteReply(now time.Duration, reply state.StoreReply, out *state.Outbox) {
	commits := &s.commits
	change := commits.current
	switch reply.Result {
	case state.StoreOK:
		if row := findRow(reply.Rows, state.KeyHead); row != nil {
			s.headReader.revision, s.headReader.revisionVersion = row.Revision, change.proposal.head.Version
		}
		s.completeCommit(now, out)
	case state.StoreConflict:
		s.handleConflict(now, findRow(reply.Rows, state.KeyHead), out)
	case state.StoreUnavailable:
		s.refuseChange(change, storeDownError(), out)
	case state.StoreUnknown:
		out.Log(event.ConfigOutcomeUnknown, versionAttr(change.proposal.head.Version))
		s.readOutcome(now, out)
	}
}

// completeCommit ends a change that was written, and notifies all linked peers of
// its version.
func (s *System) completeCommit(now time.Duration, out *state.Outbox) {
	commits := &s.commits
	change := commits.current
	head := change.proposal.head
	s.clearCurrent()
	commits.lastCommitted = head.Version
	s.adoptVersion(now, head, change.proposal.doc, out)
	// The condition of the write held at some time after it was sent, so at the send
	// time there was no newer version.
	s.tables.Config.Synced = true
	s.recordEvidence(change.firstSentAt)
	s.logCommit(change, out)
	for id, peer := range s.tables.Peers.All() {
		if peer.Linked {
			out.Add(state.SendPeer{To: id, Message: state.Message{ConfigNotice: &state.ConfigNotice{Version: head.Version}}})
		}
	}
	if change.command != nil && !change.replied {
		s.awaitAcceptance(change, head.Version)
	}
}

func (s *System) logCommit(change *configChange, out *state.Outbox) {
	version := versionAttr(change.proposal.head.Version)
	switch {
	case change.registerNode != nil:
		out.Log(event.NodeRegistered, version, slog.String("node", string(change.registerNode.ID)))
	case change.removeNode != "":
		out.Log(event.NodeRemoved, version, slog.String("node", string(change.removeNode)))
	default:
		out.Log(event.ConfigCommitted, version, slog.String("operator", change.command.Operator),
			slog.String("action", change.proposal.audit.Action))
	}
}

// handleConflict handles a write that had no effect because its condition failed.
func (s *System) handleConflict(now time.Duration, row *state.StoreRow, out *state.Outbox) {
	change := s.commits.current
	s.headReader.nextReadAt = now
	var head state.Head
	if row == nil || state.Decode(row.Value, &head) != nil {
		// The reply does not contain the head; the next read does.
		s.requeue(change)
		return
	}
	if change.hasOpID(head.Op) {
		// An earlier write of this change took effect, and its reply was lost.
		s.applyHeadRow(now, *row, change.firstSentAt, out)
		s.readOutcome(now, out)
		return
	}
	s.applyHeadRow(now, *row, change.firstSentAt, out)
	if head.OperatorVersion <= change.base.OperatorVersion || change.command == nil {
		// Only the registry changed, or the row was rewritten unchanged.
		s.requeue(change)
		return
	}
	s.readConflictingChange(change, head, out)
}

func (ch *configChange) hasOpID(op state.OpID) bool {
	for _, o := range ch.opIDs {
		if o == op {
			return true
		}
	}
	return false
}

// requeue returns a change that was not written to the front of the queue. It drops a
// command whose operator has a reply, and a registry change, which planRegistryChange
// repeats if it is still needed.
func (s *System) requeue(change *configChange) {
	s.clearCurrent()
	if change.command == nil || change.replied {
		return
	}
	s.commits.queue = append([]*configChange{change}, s.commits.queue...)
}

func (s *System) clearCurrent() {
	commits := &s.commits
	if commits.current != nil && commits.current.command == nil {
		s.registry.pendingChange = nil
	}
	commits.current, commits.stage, commits.storeRequest = nil, stageIdle, 0
}
