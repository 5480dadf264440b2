package claims

import (
	"log/slog"
	"net/url"
	"strings"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// readEvery is the number of polls per read of the row, which shows what a
// holder stored that cannot be asked.
const readEvery = 4

// poll asks for the outcome of a claim: its holder while that process lives,
// the service's lookup otherwise.
func (s *System) poll(now time.Duration, e *entry, out *state.Outbox) {
	if len(e.waiters) == 0 {
		if e.stage == stageForeign && e.store == 0 {
			s.forget(e)
		}
		return
	}
	e.polls++
	s.due.Schedule(e.key, now+pollPeriod)
	row := &e.claim.Row
	if e.stage == stageForeign && e.store == 0 && e.polls%readEvery == 1 {
		s.send(e, opRead, state.StoreRequest{Read: []string{e.key}}, out)
	}
	if e.stage == stageForeign && row.Phase == state.ClaimHeld && s.holderLives(row) {
		e.unknownAt = -1
		out.Add(state.SendPeer{To: row.Holder, Message: state.Message{ClaimQuery: &state.ClaimQuery{
			Account: e.account, IdempotencyKey: e.idem, Request: row.Request,
		}}})
		return
	}
	if e.unknownAt < 0 {
		e.unknownAt = now
	}
	lookup := s.lookup(e, out)
	if (lookup && now-e.unknownAt < lookupFor) || (e.stage == stageForeign && e.polls <= readEvery) {
		return
	}
	out.Log(event.ClaimOutcomeUnknown, slog.String("account", string(e.account)), slog.String("request", string(row.Request)))
	e.unknownAt = -1
	s.refuseWaiters(now, e, outcomeUnknown(), out)
}

// holderLives reports whether the process that wrote the row can be asked.
func (s *System) holderLives(row *state.ClaimRow) bool {
	peer := s.t.Peers.Get(row.Holder)
	return peer != nil && peer.Linked && peer.Incarnation == row.Incarnation
}

// lookup asks the service whether the request was executed. It returns false
// when the service declares no lookup.
func (s *System) lookup(e *entry, out *state.Outbox) bool {
	spec, ok := s.t.Config.Service(e.service)
	if !ok || spec.LookupPath == "" || len(spec.Replicas) == 0 {
		return false
	}
	replica := spec.Replicas[e.polls%len(spec.Replicas)]
	out.Add(state.FetchLookup{
		Account: e.account, IdempotencyKey: e.idem, Service: e.service, Address: replica.Address,
		Path: strings.ReplaceAll(spec.LookupPath, "{key}", url.PathEscape(state.ServiceIdempotencyKey(e.account, e.idem))),
	})
	return true
}

// lookedUp settles a claim that the service has executed. An absent order is
// no proof, because the request may still be on its way.
func (s *System) lookedUp(now time.Duration, res state.LookupResult, out *state.Outbox) {
	e := s.entries[state.KeyClaim(res.Account, res.IdempotencyKey)]
	if e == nil || !res.OK || !res.Found {
		return
	}
	if e.stage != stageForeign && (e.stage != stageFinal || e.claim.Row.Phase != state.ClaimUnknown) {
		return
	}
	s.settle(now, e, state.ClaimDone, res.Answer, out)
}

// readBack handles a read of a row that another process holds.
func (s *System) readBack(now time.Duration, e *entry, reply state.StoreReply, out *state.Outbox) {
	if reply.Result != state.StoreOK {
		return
	}
	row, revision, ok := rowOf(e.key, reply.Rows)
	if ok && revision == e.claim.Revision {
		return
	}
	if !ok {
		row, revision = state.ClaimRow{Phase: state.ClaimNotRun}, 0
	}
	s.adopt(now, e, row, revision, out)
}

func (s *System) message(now time.Duration, in state.PeerMessage, out *state.Outbox) {
	if q := in.Message.ClaimQuery; q != nil {
		out.Add(state.SendPeer{To: in.From, Message: state.Message{ClaimAnswer: s.answerTo(q)}})
	}
	if a := in.Message.ClaimAnswer; a != nil {
		s.holderAnswered(now, in.From, a, out)
	}
}

func (s *System) answerTo(q *state.ClaimQuery) *state.ClaimAnswer {
	a := &state.ClaimAnswer{Account: q.Account, IdempotencyKey: q.IdempotencyKey, Request: q.Request}
	e := s.entries[state.KeyClaim(q.Account, q.IdempotencyKey)]
	if e == nil || e.claim.Row.Request != q.Request || e.stage == stageForeign {
		return a
	}
	a.Phase = e.claim.Row.Phase
	if answer := e.claim.Row.Answer; answer != nil && len(answer.Body) <= maxPeerAnswer {
		a.Answer = answer
	}
	return a
}

// holderAnswered handles the word of a holder about its claim.
func (s *System) holderAnswered(now time.Duration, from state.NodeID, a *state.ClaimAnswer, out *state.Outbox) {
	e := s.entries[state.KeyClaim(a.Account, a.IdempotencyKey)]
	if e == nil || e.stage != stageForeign || e.claim.Row.Holder != from || e.claim.Row.Request != a.Request {
		return
	}
	switch a.Phase {
	case state.ClaimHeld:
	case state.ClaimNone, state.ClaimUnknown:
		// The holder no longer knows the claim or cannot settle it: the row or
		// the lookup may.
		if e.unknownAt < 0 {
			e.claim.Row.Phase = state.ClaimUnknown
		}
	case state.ClaimDone:
		if a.Answer == nil {
			return
		}
		e.claim.Row.Phase, e.claim.Row.Answer, e.stage, e.settledAt = a.Phase, a.Answer, stageFinal, now
		s.due.Schedule(e.key, now+keepFor)
		s.serveWaiters(now, e, out)
	case state.ClaimNotRun:
		// The holder never sends this claim, so its row may be replaced.
		e.claim.Row.Phase, e.stage, e.settledAt = a.Phase, stageFinal, now
		s.serveWaiters(now, e, out)
	}
}
