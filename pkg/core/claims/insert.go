package claims

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// begin claims the key for a request of this node.
func (s *System) begin(now time.Duration, e *entry, id state.RequestID, out *state.Outbox) {
	req := s.t.Requests.Get(id)
	e.claimant, e.stage, e.lost, e.objectPut, e.unknownAt = id, stageInsert, false, false, -1
	e.giveUpAt = min(req.Deadline, now+insertFor)
	e.claim.Stored = false
	e.claim.Row = state.ClaimRow{
		Phase: state.ClaimHeld, BodyHash: req.Arrival.BodyHash, Holder: s.t.Self.ID,
		Incarnation: s.t.Self.Incarnation, Request: id, Op: s.t.NewOpID(), Service: req.Arrival.Service,
	}
	s.t.Claims.Touch(e.key)
	s.insert(e, out)
}

// insert writes the claim row. Each try carries the same operation id, by
// which a try whose answer was lost is recognised.
func (s *System) insert(e *entry, out *state.Outbox) {
	if e.store == 0 {
		s.writeRow(e, opInsert, out)
	}
}

func (s *System) writeRow(e *entry, op storeOp, out *state.Outbox) {
	e.written = e.claim.Row.Phase
	row := e.claim.Row
	if row.AnswerObjectKey != "" {
		row.Answer = nil
	}
	s.send(e, op, state.StoreRequest{Transact: &state.Transaction{
		Conditions: []state.Condition{{Key: e.key, Revision: e.claim.Revision}},
		Writes:     []state.Write{{Key: e.key, Value: state.Encode(row)}},
	}}, out)
}

func (s *System) send(e *entry, op storeOp, req state.StoreRequest, out *state.Outbox) {
	e.op, e.store = op, s.t.SendStoreRequest(out, name, req)
	s.stores[e.store] = e
}

// replied handles the answer of the entry's store request.
func (s *System) replied(now time.Duration, e *entry, reply state.StoreReply, out *state.Outbox) {
	if s.entries[e.key] != e {
		return
	}
	switch {
	case e.op == opRead && e.stage == stageForeign:
		s.readBack(now, e, reply, out)
	case e.op == opRead:
		// The phase became final during the read.
		s.due.Schedule(e.key, now)
		s.serveWaiters(now, e, out)
	case e.op == opGetObject:
		s.objectRead(now, e, reply, out)
	case e.op == opInsert && e.stage == stageInsert:
		s.inserted(now, e, reply, out)
	default:
		s.persisted(now, e, reply, out)
	}
}

func (s *System) inserted(now time.Duration, e *entry, reply state.StoreReply, out *state.Outbox) {
	switch reply.Result {
	case state.StoreOK:
		s.hold(now, e, revisionOf(e.key, reply.Rows), out)
	case state.StoreConflict:
		row, revision, ok := rowOf(e.key, reply.Rows)
		switch {
		case !ok:
			e.claim.Revision = 0
			s.insert(e, out)
		case row.Op == e.claim.Row.Op:
			s.hold(now, e, revision, out)
		default:
			s.adopt(now, e, row, revision, out)
		}
	case state.StoreUnavailable:
		s.giveUp(now, e, s.storeDown(), out)
	case state.StoreUnknown:
		e.lost = true
		if now >= e.giveUpAt {
			s.giveUp(now, e, s.storeDown(), out)
			return
		}
		s.due.Schedule(e.key, now+insertAgain)
	}
}

// hold opens the gate of the claimant, whose row is in the table service.
func (s *System) hold(now time.Duration, e *entry, revision uint64, out *state.Outbox) {
	e.claim.Revision, e.claim.Stored, e.stage = revision, true, stageHeld
	s.t.Claims.Touch(e.key)
	if !s.isOpen(e.claimant) {
		s.settle(now, e, state.ClaimNotRun, nil, out)
		return
	}
	s.t.Requests.Get(e.claimant).ClaimStatus = state.ClaimAcquired
	s.t.Requests.Touch(e.claimant)
	s.serveWaiters(now, e, out)
}

// giveUp refuses the claimant of an insert whose outcome is not known or that
// had no effect. The refusal is true because the gate never opens. A row that
// may exist is marked not run, which also makes a delayed insert fail.
func (s *System) giveUp(now time.Duration, e *entry, refusal *apierror.Error, out *state.Outbox) {
	claimant := e.claimant
	mayExist := e.lost || e.store != 0 || e.claim.Revision != 0
	if !mayExist {
		s.forget(e)
	} else {
		s.settle(now, e, state.ClaimNotRun, nil, out)
	}
	s.refuse(now, claimant, refusal, out)
	s.refuseWaiters(now, e, refusal, out)
}

// adopt takes over the view of a row that another claim wrote.
func (s *System) adopt(now time.Duration, e *entry, row state.ClaimRow, revision uint64, out *state.Outbox) {
	if e.claimant != "" {
		e.waiters = append([]state.RequestID{e.claimant}, e.waiters...)
		e.claimant = ""
	}
	e.claim.Row, e.claim.Revision, e.claim.Stored = row, revision, true
	e.settledAt = now
	s.t.Claims.Touch(e.key)
	if row.Phase == state.ClaimDone || row.Phase == state.ClaimNotRun {
		e.stage = stageFinal
		s.due.Schedule(e.key, now+keepFor)
		s.serveWaiters(now, e, out)
		return
	}
	e.stage = stageForeign
	s.dropOtherBodies(now, e, out)
	s.poll(now, e, out)
}

func revisionOf(key string, rows []state.StoreRow) uint64 {
	for _, r := range rows {
		if r.Key == key {
			return r.Revision
		}
	}
	return 0
}

func rowOf(key string, rows []state.StoreRow) (state.ClaimRow, uint64, bool) {
	for _, r := range rows {
		var row state.ClaimRow
		if r.Key == key && state.Decode(r.Value, &row) == nil {
			return row, r.Revision, true
		}
	}
	return state.ClaimRow{}, 0, false
}
