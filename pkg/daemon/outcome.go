package daemon

import (
	"context"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// question is an outcome question that waits for the loop.
type question struct {
	asked state.OutcomeRequested
	found chan state.OutcomeReply
}

// Outcome asks this node, and then its peers, for the outcome of a request of
// an account.
func (d *Daemon) Outcome(ctx context.Context, account state.AccountID, id state.RequestID) (state.OutcomeReply, error) {
	q := question{
		asked: state.OutcomeRequested{Account: account, Request: id},
		// The loop never waits for a reader that has given up.
		found: make(chan state.OutcomeReply, 1),
	}
	select {
	case d.ask <- q:
	case <-ctx.Done():
		return state.OutcomeReply{}, ctx.Err()
	case <-d.done:
		return state.OutcomeReply{}, context.Canceled
	}
	select {
	case found := <-q.found:
		return found, nil
	case <-ctx.Done():
		return state.OutcomeReply{}, ctx.Err()
	case <-d.done:
		return state.OutcomeReply{}, context.Canceled
	}
}

// question numbers a question and keeps its reader.
func (d *Daemon) question(q question) state.OutcomeRequested {
	d.nextQuestion++
	q.asked.ID = d.nextQuestion
	d.questions[q.asked.ID] = q.found
	return q.asked
}
