package configuration

import (
	"fmt"
	"strings"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// aliveWithin is how recent an answer shows that a node is not gone.
const aliveWithin = time.Second

// waitingOperator waits until a version is in force.
type waitingOperator struct {
	command uint64
	version state.Version
	until   time.Duration
}

func (s *System) enqueue(now time.Duration, cmd state.OperatorCommand, out *state.Outbox) {
	ch := &change{command: &cmd, arrived: now}
	if s.head.down {
		s.refuse(ch, storeDown(), out)
		return
	}
	if cmd.Action == state.ActionForget {
		if cmd.Node == s.t.Self.ID {
			s.refuse(ch, invalid("own_node", "this node is alive; send the command to another node"), out)
			return
		}
		if s.answers(now, cmd.Node) {
			s.refuse(ch, invalid("node_alive", fmt.Sprintf(
				"node %q answers; forget is for nodes that are gone for good, shut this one down first", cmd.Node)), out)
			return
		}
		s.spread.gone[cmd.Node] = now
	}
	s.commits.queue = append(s.commits.queue, ch)
}

// answers reports whether a node has answered lately, so that it is not gone.
func (s *System) answers(now time.Duration, id state.NodeID) bool {
	p := s.t.Peers.Get(id)
	return p != nil && p.Linked && p.LastReplyAt > 0 && now-p.LastReplyAt < aliveWithin
}

// expire answers operators whose change could not be written in time.
func (s *System) expire(now time.Duration, out *state.Outbox) {
	cm := &s.commits
	for len(cm.queue) > 0 && now-cm.queue[0].arrived >= answerWithin {
		ch := cm.queue[0]
		cm.queue = cm.queue[1:]
		s.refuse(ch, s.notTried(ch), out)
	}
	ch := cm.current
	if ch == nil || ch.command == nil || ch.answered || now-ch.arrived < answerWithin {
		return
	}
	s.answer(ch, state.OperatorReply{Error: apierror.New(apierror.KindUnknown, "answer_lost", fmt.Sprintf(
		"the platform's answer was lost; see the audit trail for version %d before repeating the command",
		ch.proposal.head.Version), apierror.Unknown)}, out)
}

func (s *System) notTried(ch *change) *apierror.Error {
	switch {
	case s.head.down || !s.t.Config.Loaded:
		return storeDown()
	case ch.command.BaseVersion > s.t.Config.Head.Version:
		return apierror.New(apierror.KindUnavailable, "version_not_read", fmt.Sprintf(
			"this node has not read version %d, nothing was changed; check the base version, or send the command to another node",
			ch.command.BaseVersion), apierror.NotRun)
	}
	return apierror.New(apierror.KindUnavailable, "version_not_known", fmt.Sprintf(
		"version %d is not yet known to enough nodes (missing: %s), nothing was changed; restore them, or use forget for nodes that are gone for good",
		s.t.Config.Head.Version, joinNodes(s.spread.missing())), apierror.NotRun)
}

func joinNodes(ids []state.NodeID) string {
	parts := make([]string, len(ids))
	for i, id := range ids {
		parts[i] = string(id)
	}
	return strings.Join(parts, ", ")
}

func storeDown() *apierror.Error {
	return apierror.New(apierror.KindStoreDown, "store_down",
		"the platform's table service does not answer, nothing was changed; repeat the command when it is back",
		apierror.NotRun)
}

// refuse ends a change that was not written.
func (s *System) refuse(ch *change, err *apierror.Error, out *state.Outbox) {
	if ch == s.commits.current {
		s.finish()
	}
	if ch.command != nil {
		s.answer(ch, state.OperatorReply{Error: err}, out)
	}
}

func (s *System) answer(ch *change, reply state.OperatorReply, out *state.Outbox) {
	if ch.answered {
		return
	}
	ch.answered = true
	reply.ID, reply.Version = ch.command.ID, s.t.Config.Head.Version
	out.Add(reply)
}

// unchanged ends a change that asks for what is in force already.
func (s *System) unchanged(now time.Duration, ch *change) {
	if ch.command == nil {
		s.registry.wanted = nil
		return
	}
	ch.arrived = min(ch.arrived, now)
	s.await(ch, s.t.Config.Head.Version)
}

func (s *System) await(ch *change, v state.Version) {
	ch.answered = true
	s.commits.waiting = append(s.commits.waiting, waitingOperator{ch.command.ID, v, ch.arrived + answerWithin})
}

// answerOperators tells operators whether their change is in force everywhere.
func (s *System) answerOperators(now time.Duration, out *state.Outbox) {
	left := s.commits.waiting[:0]
	for _, w := range s.commits.waiting {
		reply := state.OperatorReply{ID: w.command, Version: w.version}
		switch {
		case s.t.Config.AcceptedVersion >= w.version:
			reply.Accepted = true
		case now >= w.until:
			reply.UnconfirmedNodes = s.spread.missing()
			out.Log(event.ConfigAcceptanceDelayed, versionAttr(w.version))
		default:
			left = append(left, w)
			continue
		}
		out.Add(reply)
	}
	s.commits.waiting = left
}

// explain reads who made the change that a refused operator did not know of.
func (s *System) explain(ch *change, winner state.Head, out *state.Outbox) {
	cm := &s.commits
	ch.base = winner
	cm.current, cm.stage = ch, stageExplain
	cm.store = s.t.SendStoreRequest(out, name, state.StoreRequest{Read: []string{state.KeyAudit(winner.OperatorVersion)}})
}

func (s *System) explained(reply state.StoreReply, out *state.Outbox) {
	ch := s.commits.current
	version := ch.base.OperatorVersion
	text := fmt.Sprintf("version %d was committed first", version)
	var rec state.AuditRecord
	row := findRow(reply.Rows, state.KeyAudit(version))
	if reply.Result == state.StoreOK && row != nil && state.Decode(row.Value, &rec) == nil {
		text = fmt.Sprintf("%s changed the configuration first (version %d, %s: %q to %q)",
			rec.Operator, version, rec.Action, rec.Before, rec.After)
	}
	out.Log(event.ConfigConflict, versionAttr(version))
	s.refuse(ch, apierror.New(apierror.KindConflict, "lost_race",
		text+", nothing was changed by this command; look at the present state and repeat it if it still applies",
		apierror.NotRun), out)
}
