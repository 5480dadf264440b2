package retry

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// askFor bounds the wait for the answers of peers to an outcome question.
const askFor = time.Second

// questions are outcome questions to peers that are not yet answered.
type questions struct {
	next uint64
	open map[uint64]*question
	due  *state.DueQueue[uint64]
}

type question struct {
	id      uint64
	waiting int
}

func newQuestions() questions {
	return questions{open: map[uint64]*question{}, due: state.NewDueQueue[uint64]()}
}

// asked answers from this node's rows or asks all peers.
func (s *System) asked(now time.Duration, in state.OutcomeRequested, out *state.Outbox) {
	if a := s.outcomeOf(in.Account, in.Request); a.Found {
		out.Add(state.OutcomeReply{ID: in.ID, Answer: a, Node: s.t.Self.ID})
		return
	}
	q := &question{id: in.ID}
	s.questions.next++
	seq := s.questions.next
	for id, peer := range s.t.Peers.All() {
		if !peer.Linked {
			continue
		}
		q.waiting++
		out.Add(state.SendPeer{To: id, Message: state.Message{OutcomeQuery: &state.OutcomeQuery{
			Seq: seq, Account: in.Account, Request: in.Request,
		}}})
	}
	if q.waiting == 0 {
		out.Add(state.OutcomeReply{ID: in.ID})
		return
	}
	s.questions.open[seq] = q
	s.questions.due.Schedule(seq, now+askFor)
}

func (q *questions) expire(now time.Duration, out *state.Outbox) {
	for seq, ok := q.due.Pop(now); ok; seq, ok = q.due.Pop(now) {
		q.close(seq, state.OutcomeReply{}, out)
	}
}

func (q *questions) close(seq uint64, found state.OutcomeReply, out *state.Outbox) {
	open := q.open[seq]
	if open == nil {
		return
	}
	delete(q.open, seq)
	q.due.Cancel(seq)
	found.ID = open.id
	out.Add(found)
}

func (s *System) message(in state.PeerMessage, out *state.Outbox) {
	if q := in.Message.OutcomeQuery; q != nil {
		a := s.outcomeOf(q.Account, q.Request)
		a.Seq = q.Seq
		out.Add(state.SendPeer{To: in.From, Message: state.Message{OutcomeAnswer: &a}})
	}
	a := in.Message.OutcomeAnswer
	if a == nil {
		return
	}
	open := s.questions.open[a.Seq]
	if open == nil {
		return
	}
	open.waiting--
	if a.Found || open.waiting == 0 {
		s.questions.close(a.Seq, state.OutcomeReply{Answer: *a, Node: in.From}, out)
	}
}

// outcomeOf tells an account about one of its own requests.
func (s *System) outcomeOf(account state.AccountID, id state.RequestID) state.OutcomeAnswer {
	req := s.t.Requests.Get(id)
	if req == nil || req.Arrival.Account != account {
		return state.OutcomeAnswer{}
	}
	a := state.OutcomeAnswer{Found: true, Running: req.Phase != state.RequestEnded, Outcome: req.Outcome}
	if a.Running {
		a.Outcome = apierror.Unknown
		if req.Attempt == 0 && !s.t.NeedsClaim(req) {
			a.Outcome = apierror.NotRun
		}
	}
	if req.Arrival.Kind == state.KindModel && req.Generation != "" && req.Target != "" {
		a.Resume = &state.ResumePoint{Target: req.Target, Generation: req.Generation, Offset: req.Offset}
	}
	return a
}
