package retry

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// outcomeQueryTimeout bounds the wait for the peers' answers to an outcome query.
const outcomeQueryTimeout = time.Second

// outcomeQueries holds the outcome queries to peers that are not yet answered.
type outcomeQueries struct {
	// lastSeq is the sequence number of the last query, the key of pending and timeouts.
	lastSeq  uint64
	pending  map[uint64]*outcomeQuery
	timeouts *state.DueQueue[uint64]
}

// outcomeQuery is a pending query to all linked peers.
type outcomeQuery struct {
	// inputID is the ID of the OutcomeRequested input.
	inputID uint64
	// unanswered is the number of peers that have not answered.
	unanswered int
}

func newOutcomeQueries() outcomeQueries {
	return outcomeQueries{pending: map[uint64]*outcomeQuery{}, timeouts: state.NewDueQueue[uint64]()}
}

// handleOutcomeRequest answers from this node's rows, or queries all linked peers.
func (s *System) handleOutcomeRequest(now time.Duration, in state.OutcomeRequested, out *state.Outbox) {
	if answer := s.outcomeOf(in.Account, in.Request); answer.Found {
		out.Add(state.OutcomeReply{ID: in.ID, Answer: answer, Node: s.tables.Self.ID})
		return
	}
	query := &outcomeQuery{inputID: in.ID}
	s.outcomeQueries.lastSeq++
	seq := s.outcomeQueries.lastSeq
	for id, peer := range s.tables.Peers.All() {
		if !peer.Linked {
			continue
		}
		query.unanswered++
		out.Add(state.SendPeer{To: id, Message: state.Message{OutcomeQuery: &state.OutcomeQuery{
			Seq: seq, Account: in.Account, Request: in.Request,
		}}})
	}
	if query.unanswered == 0 {
		out.Add(state.OutcomeReply{ID: in.ID})
		return
	}
	s.outcomeQueries.pending[seq] = query
	s.outcomeQueries.timeouts.Schedule(seq, now+outcomeQueryTimeout)
}

// expire ends the queries that have timed out with an empty answer.
func (q *outcomeQueries) expire(now time.Duration, out *state.Outbox) {
	for seq, ok := q.timeouts.Pop(now); ok; seq, ok = q.timeouts.Pop(now) {
		q.complete(seq, state.OutcomeReply{}, out)
	}
}

// complete ends a pending query with a reply.
func (q *outcomeQueries) complete(seq uint64, reply state.OutcomeReply, out *state.Outbox) {
	query := q.pending[seq]
	if query == nil {
		return
	}
	delete(q.pending, seq)
	q.timeouts.Cancel(seq)
	reply.ID = query.inputID
	out.Add(reply)
}

// handlePeerMessage answers an outcome query of a peer, or applies a peer's answer. The
// first answer with Found set, or the last answer, completes the query.
func (s *System) handlePeerMessage(in state.PeerMessage, out *state.Outbox) {
	if query := in.Message.OutcomeQuery; query != nil {
		answer := s.outcomeOf(query.Account, query.Request)
		answer.Seq = query.Seq
		out.Add(state.SendPeer{To: in.From, Message: state.Message{OutcomeAnswer: &answer}})
	}
	answer := in.Message.OutcomeAnswer
	if answer == nil {
		return
	}
	query := s.outcomeQueries.pending[answer.Seq]
	if query == nil {
		return
	}
	query.unanswered--
	if answer.Found || query.unanswered == 0 {
		s.outcomeQueries.complete(answer.Seq, state.OutcomeReply{Answer: *answer, Node: in.From}, out)
	}
}

// outcomeOf returns the outcome of a request according to this node's tables. An account
// receives outcomes of its own requests only.
func (s *System) outcomeOf(account state.AccountID, id state.RequestID) state.OutcomeAnswer {
	req := s.tables.Requests.Get(id)
	if req == nil || req.Arrival.Account != account {
		return state.OutcomeAnswer{}
	}
	answer := state.OutcomeAnswer{Found: true, Running: req.Phase != state.RequestEnded, Outcome: req.Outcome}
	if answer.Running {
		answer.Outcome = apierror.Unknown
		if req.Attempt == 0 && !s.tables.NeedsClaim(req) {
			answer.Outcome = apierror.NotRun
		}
	}
	if req.Arrival.Kind == state.KindModel && req.Generation != "" && req.Target != "" {
		answer.Resume = &state.ResumePoint{Target: req.Target, Generation: req.Generation, Offset: req.Offset}
	}
	return answer
}
