package claims

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// startClaim claims the key for a request of this node.
func (s *System) startClaim(now time.Duration, e *entry, id state.RequestID, out *state.Outbox) {
	req := s.tables.Requests.Get(id)
	e.claimant, e.stage, e.insertReplyLost, e.objectStored, e.unknownSince = id, stageInsert, false, false, -1
	e.insertDeadline = min(req.Deadline, now+insertTimeout)
	e.claim.Stored = false
	e.claim.Row = state.ClaimRow{
		Phase: state.ClaimHeld, BodyHash: req.Arrival.BodyHash, Holder: s.tables.Self.ID,
		Incarnation: s.tables.Self.Incarnation, Request: id, Op: s.tables.NewOpID(), Service: req.Arrival.Service,
	}
	s.tables.Claims.Touch(e.key)
	s.insertRow(e, out)
}

// insertRow writes the claim row. All attempts carry the same operation ID, so that an
// attempt whose reply was lost is recognised.
func (s *System) insertRow(e *entry, out *state.Outbox) {
	if e.storeRequest == 0 {
		s.writeRow(e, opInsert, out)
	}
}

// writeRow writes the entry's row, on condition that the stored row is unchanged.
func (s *System) writeRow(e *entry, op storeOp, out *state.Outbox) {
	e.writtenPhase = e.claim.Row.Phase
	row := e.claim.Row
	if row.AnswerObjectKey != "" {
		row.Answer = nil
	}
	s.sendStoreRequest(e, op, state.StoreRequest{Transact: &state.Transaction{
		Conditions: []state.Condition{{Key: e.key, Revision: e.claim.Revision}},
		Writes:     []state.Write{{Key: e.key, Value: state.Encode(row)}},
	}}, out)
}

func (s *System) sendStoreRequest(e *entry, op storeOp, req state.StoreRequest, out *state.Outbox) {
	e.pendingOp, e.storeRequest = op, s.tables.SendStoreRequest(out, systemName, req)
	s.entryByStoreRequest[e.storeRequest] = e
}

// handleStoreReply handles the reply to the entry's store request.
func (s *System) handleStoreReply(now time.Duration, e *entry, reply state.StoreReply, out *state.Outbox) {
	if s.entries[e.key] != e {
		return
	}
	switch {
	case e.pendingOp == opReadRow && e.stage == stageOtherHolder:
		s.handleReadReply(now, e, reply, out)
	case e.pendingOp == opReadRow:
		// The phase became final during the read.
		s.entryTimers.Schedule(e.key, now)
		s.serveWaiters(now, e, out)
	case e.pendingOp == opGetObject:
		s.handleObjectReply(now, e, reply, out)
	case e.pendingOp == opInsert && e.stage == stageInsert:
		s.handleInsertReply(now, e, reply, out)
	default:
		s.handlePersistReply(now, e, reply, out)
	}
}

func (s *System) handleInsertReply(now time.Duration, e *entry, reply state.StoreReply, out *state.Outbox) {
	switch reply.Result {
	case state.StoreOK:
		s.acquire(now, e, revisionOf(e.key, reply.Rows), out)
	case state.StoreConflict:
		row, revision, ok := decodeRow(e.key, reply.Rows)
		switch {
		case !ok:
			e.claim.Revision = 0
			s.insertRow(e, out)
		case row.Op == e.claim.Row.Op:
			s.acquire(now, e, revision, out)
		default:
			s.adoptRow(now, e, row, revision, out)
		}
	case state.StoreUnavailable:
		s.abandonInsert(now, e, s.storeDownError(), out)
	case state.StoreUnknown:
		e.insertReplyLost = true
		if now >= e.insertDeadline {
			s.abandonInsert(now, e, s.storeDownError(), out)
			return
		}
		s.entryTimers.Schedule(e.key, now+insertRetryDelay)
	}
}

// acquire lets the claimant be sent, because its row is in the table service.
func (s *System) acquire(now time.Duration, e *entry, revision uint64, out *state.Outbox) {
	e.claim.Revision, e.claim.Stored, e.stage = revision, true, stageHeld
	s.tables.Claims.Touch(e.key)
	if !s.isOpen(e.claimant) {
		s.setFinalPhase(now, e, state.ClaimNotRun, nil, out)
		return
	}
	s.tables.Requests.Get(e.claimant).ClaimStatus = state.ClaimAcquired
	s.tables.Requests.Touch(e.claimant)
	s.serveWaiters(now, e, out)
}

// abandonInsert refuses the claimant of an insert that had no effect or whose outcome
// is unknown. The request was certainly not run, because it never acquires the claim.
// If the row may exist, phase ClaimNotRun is stored in it, which also makes a delayed
// insert fail.
func (s *System) abandonInsert(now time.Duration, e *entry, refusal *apierror.Error, out *state.Outbox) {
	claimant := e.claimant
	rowMayExist := e.insertReplyLost || e.storeRequest != 0 || e.claim.Revision != 0
	if !rowMayExist {
		s.removeEntry(e)
	} else {
		s.setFinalPhase(now, e, state.ClaimNotRun, nil, out)
	}
	s.refuse(now, claimant, refusal, out)
	s.refuseWaiters(now, e, refusal, out)
}

// adoptRow replaces the entry's row with one that another claim has written. The
// claimant becomes the first waiter.
func (s *System) adoptRow(now time.Duration, e *entry, row state.ClaimRow, revision uint64, out *state.Outbox) {
	if e.claimant != "" {
		e.waiters = append([]state.RequestID{e.claimant}, e.waiters...)
		e.claimant = ""
	}
	e.claim.Row, e.claim.Revision, e.claim.Stored = row, revision, true
	e.finalAt = now
	s.tables.Claims.Touch(e.key)
	if row.Phase == state.ClaimDone || row.Phase == state.ClaimNotRun {
		e.stage = stageFinal
		s.entryTimers.Schedule(e.key, now+claimRetention)
		s.serveWaiters(now, e, out)
		return
	}
	e.stage = stageOtherHolder
	s.refuseOtherBodies(now, e, out)
	s.pollOutcome(now, e, out)
}

func revisionOf(key string, rows []state.StoreRow) uint64 {
	for _, r := range rows {
		if r.Key == key {
			return r.Revision
		}
	}
	return 0
}

func decodeRow(key string, rows []state.StoreRow) (state.ClaimRow, uint64, bool) {
	for _, r := range rows {
		var row state.ClaimRow
		if r.Key == key && state.Decode(r.Value, &row) == nil {
			return row, r.Revision, true
		}
	}
	return state.ClaimRow{}, 0, false
}
