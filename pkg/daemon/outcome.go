package daemon

import (
	"context"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// outcomeQuery is an outcome question that waits for the loop.
type outcomeQuery struct {
	request state.OutcomeRequested
	reply   chan state.OutcomeReply
}

// Outcome asks this node, and then its peers, for the outcome of a request of
// an account.
func (d *Daemon) Outcome(ctx context.Context, account state.AccountID, id state.RequestID) (state.OutcomeReply, error) {
	q := outcomeQuery{
		request: state.OutcomeRequested{Account: account, Request: id},
		// The loop never waits for a reader that has given up.
		reply: make(chan state.OutcomeReply, 1),
	}
	select {
	case d.outcomeQueries <- q:
	case <-ctx.Done():
		return state.OutcomeReply{}, ctx.Err()
	case <-d.done:
		return state.OutcomeReply{}, context.Canceled
	}
	select {
	case reply := <-q.reply:
		return reply, nil
	case <-ctx.Done():
		return state.OutcomeReply{}, ctx.Err()
	case <-d.done:
		return state.OutcomeReply{}, context.Canceled
	}
}

// registerQuery numbers a question and keeps its reader.
func (d *Daemon) registerQuery(q outcomeQuery) state.OutcomeRequested {
	d.nextQueryID++
	q.request.ID = d.nextQueryID
	d.outcomeReplies[q.request.ID] = q.reply
	return q.request
}
