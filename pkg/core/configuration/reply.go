package configuration

import (
	"fmt"
	"strings"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// maxAliveReplyAge is the maximum age of a poll reply that proves that a node is
// alive.
const maxAliveReplyAge = time.Second

// acceptanceWait is an operator command that waits until its version is accepted.
type acceptanceWait struct {
	commandID uint64
	version   state.Version
	deadline  time.Duration
}

// enqueueCommand queues an operator's change, or refuses it at once if it cannot be
// written.
func (s *System) enqueueCommand(now time.Duration, cmd state.OperatorCommand, out *state.Outbox) {
	change := &configChange{command: &cmd, arrivedAt: now}
	if s.headReader.storeDown {
		s.refuseChange(change, storeDownError(), out)
		return
	}
	if cmd.Action == state.ActionForget {
		if cmd.Node == s.tables.Self.ID {
			s.refuseChange(change, invalidError("own_node", "a node cannot remove itself from the registry; send the command to another node"), out)
			return
		}
		if s.isAlive(now, cmd.Node) {
			s.refuseChange(change, invalidError("node_alive", fmt.Sprintf(
				"node %q is alive; forget is for nodes that are permanently gone, shut this node down first", cmd.Node)), out)
			return
		}
		s.acceptance.declaredGone[cmd.Node] = now
	}
	s.commits.queue = append(s.commits.queue, change)
}

// isAlive reports whether a node has answered a recent poll.
func (s *System) isAlive(now time.Duration, id state.NodeID) bool {
	peer := s.tables.Peers.Get(id)
	return peer != nil && peer.Linked && peer.LastReplyAt > 0 && now-peer.LastReplyAt < maxAliveReplyAge
}

// expireCommands replies to operators whose change was not written within
// operatorReplyTimeout.
func (s *System) expireCommands(now time.Duration, out *state.Outbox) {
	commits := &s.commits
	for len(commits.queue) > 0 && now-commits.queue[0].arrivedAt >= operatorReplyTimeout {
		change := commits.queue[0]
		commits.queue = commits.queue[1:]
		s.refuseChange(change, s.notAttemptedError(change), out)
	}
	change := commits.current
	if change == nil || change.command == nil || change.replied || now-change.arrivedAt < operatorReplyTimeout {
		return
	}
	s.replyToOperator(change, state.OperatorReply{Error: apierror.New(apierror.KindUnknown, "answer_lost", fmt.Sprintf(
		"the table service's reply was lost and the outcome is unknown; check version %d in the audit trail before repeating the command",
		change.proposal.head.Version), apierror.Unknown)}, out)
}

// notAttemptedError returns the reason why a queued change was never written.
func (s *System) notAttemptedError(change *configChange) *apierror.Error {
	switch {
	case s.headReader.storeDown || !s.tables.Config.Loaded:
		return storeDownError()
	case change.command.BaseVersion > s.tables.Config.Head.Version:
		return apierror.New(apierror.KindUnavailable, "version_not_read", fmt.Sprintf(
			"this node has not read version %d yet and nothing was changed; check the base version, or send the command to another node",
			change.command.BaseVersion), apierror.NotRun)
	}
	return apierror.New(apierror.KindUnavailable, "version_not_known", fmt.Sprintf(
		"not enough nodes have confirmed version %d (missing: %s) and nothing was changed; restore these nodes, or use forget for nodes that are permanently gone",
		s.tables.Config.Head.Version, joinNodes(s.acceptance.unconfirmedNodes())), apierror.NotRun)
}

func joinNodes(ids []state.NodeID) string {
	parts := make([]string, len(ids))
	for i, id := range ids {
		parts[i] = string(id)
	}
	return strings.Join(parts, ", ")
}

func storeDownError() *apierror.Error {
	return apierror.New(apierror.KindStoreDown, "store_down",
		"the platform's table service is unavailable and nothing was changed; repeat the command when it is available again",
		apierror.NotRun)
}

// refuseChange ends a change that was not written and sends the error to its
// operator.
func (s *System) refuseChange(change *configChange, err *apierror.Error, out *state.Outbox) {
	if change == s.commits.current {
		s.clearCurrent()
	}
	if change.command != nil {
		s.replyToOperator(change, state.OperatorReply{Error: err}, out)
	}
}

// replyToOperator sends the only reply to the operator of a change.
func (s *System) replyToOperator(change *configChange, reply state.OperatorReply, out *state.Outbox) {
	if change.replied {
		return
	}
	change.replied = true
	reply.ID, reply.Version = change.command.ID, s.tables.Config.Head.Version
	out.Add(reply)
}

// completeUnchanged ends a change whose result is already in force.
func (s *System) completeUnchanged(now time.Duration, change *configChange) {
	if change.command == nil {
		s.registry.pendingChange = nil
		return
	}
	change.arrivedAt = min(change.arrivedAt, now)
	s.awaitAcceptance(change, s.tables.Config.Head.Version)
}

// awaitAcceptance defers the reply to the operator of a change until the version is
// accepted.
func (s *System) awaitAcceptance(change *configChange, version state.Version) {
	change.replied = true
	s.commits.acceptanceWaits = append(s.commits.acceptanceWaits, acceptanceWait{change.command.ID, version, change.arrivedAt + operatorReplyTimeout})
}

// replyToWaitingOperators replies to the operators whose version is accepted or whose
// wait has reached its deadline.
func (s *System) replyToWaitingOperators(now time.Duration, out *state.Outbox) {
	remaining := s.commits.acceptanceWaits[:0]
	for _, wait := range s.commits.acceptanceWaits {
		reply := state.OperatorReply{ID: wait.commandID, Version: wait.version}
		switch {
		case s.tables.Config.AcceptedVersion >= wait.version:
			reply.Accepted = true
		case now >= wait.deadline:
			reply.UnconfirmedNodes = s.acceptance.unconfirmedNodes()
			out.Log(event.ConfigAcceptanceDelayed, versionAttr(wait.version))
		default:
			remaining = append(remaining, wait)
			continue
		}
		out.Add(reply)
	}
	s.commits.acceptanceWaits = remaining
}

// readConflictingChange reads the audit record of the change that conflicts with an
// operator's command, so that the refusal can name it.
func (s *System) readConflictingChange(change *configChange, winner state.Head, out *state.Outbox) {
	commits := &s.commits
	change.base = winner
	commits.current, commits.stage = change, stageReadConflict
	commits.storeRequest = s.tables.SendStoreRequest(out, systemName, state.StoreRequest{Read: []string{state.KeyAudit(winner.OperatorVersion)}})
}

// handleConflictingChange refuses a command with the conflicting change as the
// reason.
func (s *System) handleConflictingChange(reply state.StoreReply, out *state.Outbox) {
	change := s.commits.current
	version := change.base.OperatorVersion
	text := fmt.Sprintf("version %d was committed first", version)
	var record state.AuditRecord
	row := findRow(reply.Rows, state.KeyAudit(version))
	if reply.Result == state.StoreOK && row != nil && state.Decode(row.Value, &record) == nil {
		text = fmt.Sprintf("%s changed the configuration first (version %d, %s: %q to %q)",
			record.Operator, version, record.Action, record.Before, record.After)
	}
	out.Log(event.ConfigConflict, versionAttr(version))
	s.refuseChange(change, apierror.New(apierror.KindConflict, "lost_race",
		text+", and this command changed nothing; check the current configuration and repeat the command if it still applies",
		apierror.NotRun), out)
}
