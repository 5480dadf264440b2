package daemon

import (
	"context"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// outcomeQuery is a query for the outcome of a request on its way to the loop.
type outcomeQuery struct {
	request state.OutcomeRequested
	reply   chan state.OutcomeReply
}

// Outcome queries this node, and then its peers, for the outcome of a request of
// an account.
func (d *Daemon) Outcome(ctx context.Context, account state.AccountID, id state.RequestID) (state.OutcomeReply, error) {
	q := outcomeQuery{
		request: state.OutcomeRequested{Account: account, Request: id},
		// The buffer keeps the loop from blocking after the reader has given up.
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

// registerQuery assigns an ID to a query and registers its reply channel.
func (d *Daemon) registerQuery(q outcomeQuery) state.OutcomeRequested {
	d.nextQueryID++
	q.request.ID = d.nextQueryID
	d.outcomeReplies[q.request.ID] = q.reply
	return q.request
}
