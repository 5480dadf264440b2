package claims

import (
	"log/slog"
	"net/url"
	"strings"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// pollsPerRead is the number of polls per read of the claim row. The row shows the
// phase that an unreachable holder has stored.
const pollsPerRead = 4

// pollOutcome queries the outcome of a claim: from its holder while that process is
// reachable, otherwise from the service's lookup.
func (s *System) pollOutcome(now time.Duration, e *entry, out *state.Outbox) {
	if len(e.waiters) == 0 {
		if e.stage == stageOtherHolder && e.storeRequest == 0 {
			s.removeEntry(e)
		}
		return
	}
	e.pollCount++
	s.entryTimers.Schedule(e.key, now+pollPeriod)
	row := &e.claim.Row
	if e.stage == stageOtherHolder && e.storeRequest == 0 && e.pollCount%pollsPerRead == 1 {
		s.sendStoreRequest(e, opReadRow, state.StoreRequest{Read: []string{e.key}}, out)
	}
	if e.stage == stageOtherHolder && row.Phase == state.ClaimHeld && s.isHolderReachable(row) {
		e.unknownSince = -1
		out.Add(state.SendPeer{To: row.Holder, Message: state.Message{ClaimQuery: &state.ClaimQuery{
			Account: e.account, IdempotencyKey: e.idempotencyKey, Request: row.Request,
		}}})
		return
	}
	if e.unknownSince < 0 {
		e.unknownSince = now
	}
	lookupSent := s.sendLookup(e, out)
	if (lookupSent && now-e.unknownSince < lookupTimeout) || (e.stage == stageOtherHolder && e.pollCount <= pollsPerRead) {
		return
	}
	out.Log(event.ClaimOutcomeUnknown, slog.String("account", string(e.account)), slog.String("request", string(row.Request)))
	e.unknownSince = -1
	s.refuseWaiters(now, e, outcomeUnknownError(), out)
}

// isHolderReachable reports whether the process that wrote the row can be queried.
func (s *System) isHolderReachable(row *state.ClaimRow) bool {
	peer := s.tables.Peers.Get(row.Holder)
	return peer != nil && peer.Linked && peer.Incarnation == row.Incarnation
}

// sendLookup queries the service for the execution of the request. It returns false
// when the service declares no lookup.
func (s *System) sendLookup(e *entry, out *state.Outbox) bool {
	spec, ok := s.tables.Config.Service(e.service)
	if !ok || spec.LookupPath == "" || len(spec.Replicas) == 0 {
		return false
	}
	replica := spec.Replicas[e.pollCount%len(spec.Replicas)]
	out.Add(state.FetchLookup{
		Account: e.account, IdempotencyKey: e.idempotencyKey, Service: e.service, Address: replica.Address,
		Path: strings.ReplaceAll(spec.LookupPath, "{key}", url.PathEscape(state.ServiceIdempotencyKey(e.account, e.idempotencyKey))),
	})
	return true
}

// handleLookupResult sets a claim to done when the service reports an execution. A
// missing execution proves nothing, because the request may still be in transit.
func (s *System) handleLookupResult(now time.Duration, result state.LookupResult, out *state.Outbox) {
	e := s.entries[state.KeyClaim(result.Account, result.IdempotencyKey)]
	if e == nil || !result.OK || !result.Found {
		return
	}
	if e.stage != stageOtherHolder && (e.stage != stageFinal || e.claim.Row.Phase != state.ClaimUnknown) {
		return
	}
	s.setFinalPhase(now, e, state.ClaimDone, result.Answer, out)
}

// handleReadReply handles a read of a row that another process holds. A row that no
// longer exists counts as not run.
func (s *System) handleReadReply(now time.Duration, e *entry, reply state.StoreReply, out *state.Outbox) {
	if reply.Result != state.StoreOK {
		return
	}
	row, revision, ok := decodeRow(e.key, reply.Rows)
	if ok && revision == e.claim.Revision {
		return
	}
	if !ok {
		row, revision = state.ClaimRow{Phase: state.ClaimNotRun}, 0
	}
	s.adoptRow(now, e, row, revision, out)
}

func (s *System) handlePeerMessage(now time.Duration, in state.PeerMessage, out *state.Outbox) {
	if query := in.Message.ClaimQuery; query != nil {
		out.Add(state.SendPeer{To: in.From, Message: state.Message{ClaimAnswer: s.answerQuery(query)}})
	}
	if answer := in.Message.ClaimAnswer; answer != nil {
		s.handleHolderAnswer(now, in.From, answer, out)
	}
}

// answerQuery returns the phase and the answer of a claim of this node. The phase is
// ClaimNone for a claim that this node does not have.
func (s *System) answerQuery(query *state.ClaimQuery) *state.ClaimAnswer {
	reply := &state.ClaimAnswer{Account: query.Account, IdempotencyKey: query.IdempotencyKey, Request: query.Request}
	e := s.entries[state.KeyClaim(query.Account, query.IdempotencyKey)]
	if e == nil || e.claim.Row.Request != query.Request || e.stage == stageOtherHolder {
		return reply
	}
	reply.Phase = e.claim.Row.Phase
	if answer := e.claim.Row.Answer; answer != nil && len(answer.Body) <= maxPeerAnswerBytes {
		reply.Answer = answer
	}
	return reply
}

// handleHolderAnswer applies a holder's report on its claim.
func (s *System) handleHolderAnswer(now time.Duration, from state.NodeID, answer *state.ClaimAnswer, out *state.Outbox) {
	e := s.entries[state.KeyClaim(answer.Account, answer.IdempotencyKey)]
	if e == nil || e.stage != stageOtherHolder || e.claim.Row.Holder != from || e.claim.Row.Request != answer.Request {
		return
	}
	switch answer.Phase {
	case state.ClaimHeld:
	case state.ClaimNone, state.ClaimUnknown:
		// The holder no longer has the claim, or its outcome is unknown there too. The
		// row or the lookup may show it.
		if e.unknownSince < 0 {
			e.claim.Row.Phase = state.ClaimUnknown
		}
	case state.ClaimDone:
		if answer.Answer == nil {
			return
		}
		e.claim.Row.Phase, e.claim.Row.Answer, e.stage, e.finalAt = answer.Phase, answer.Answer, stageFinal, now
		s.entryTimers.Schedule(e.key, now+claimRetention)
		s.serveWaiters(now, e, out)
	case state.ClaimNotRun:
		// The holder never sends this claim, so its row may be replaced.
		e.claim.Row.Phase, e.stage, e.finalAt = answer.Phase, stageFinal, now
		s.serveWaiters(now, e, out)
	}
}
