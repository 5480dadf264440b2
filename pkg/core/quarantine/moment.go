package quarantine

import (
	"net/http"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// beginningTime is how long an answer counts as beginning after its first event. A target that a
// request ends has ended by then, and the time is short against that of an answer, so that few of
// the other answers of a target that ends are at their beginning.
const beginningTime = 20 * time.Millisecond

// moment is what an event of an attempt shows of its request and of the process of its target.
//
//	                                   whole request   part of its prompt
//	stream lost before the head        suspected       -
//	stream lost before the first event crash           crash
//	stream lost at the first event     crash           crash
//	stream lost later                  start           start
//	other answer lost                  crash           crash
//	answer complete                    start           start
//	answer with an error status        start           -
type moment uint8

const (
	// noEvidence is anything else, such as a refusal or an attempt that was cancelled.
	noEvidence moment = iota
	// beginning is the first event of an answer, which counts as a start beginningTime later.
	beginning
	// completed is a complete answer, unless its first event has been counted.
	completed
	// answered is a complete answer with an error status. It does not show that the prompt was
	// read.
	answered
	// lostAtBeginning is the loss of the connection at which the request may have ended the
	// process: of a stream between the head of the answer and beginningTime after its first
	// event. Most of the streams of a target that ends wait without a head, or have run for
	// longer. Any other answer has no head before it is complete, so that all requests at a
	// target which ends look alike: those that it only held start at another one.
	lostAtBeginning
	// lostBeforeHead is the loss of a stream without a head. The requests that only wait at a
	// target which ends look the same, and so does an answer that ends in its first line.
	lostBeforeHead
)

// momentOf returns the moment of an event. isBeginning is set if the answer began no longer than
// beginningTime ago.
func momentOf(req *state.Request, ev state.AttemptEvent, isBeginning bool) moment {
	isStream := req.Route == nil || req.Route.Stream
	isAnswer := ev.Stage == state.AttemptEnded && ev.EventCount == 0
	isLost := ev.Stage == state.AttemptEnded && ev.Failure == state.FailureConnectionLost && !ev.InvalidAnswer
	mayBeEvidence := req.Phase != state.RequestEnded && !req.AnswerStarted && ev.LostBeforeAnswer()
	switch {
	case ev.Stage == state.AttemptFirstByte:
		return beginning
	case isAnswer && ev.Failure == state.FailureNone && ev.Status == http.StatusOK:
		return completed
	case isBeginning && ev.Stage == state.AttemptEnded && ev.Failure == state.FailureNone:
		return completed
	case isAnswer && (ev.Failure == state.FailureNone || ev.Failure == state.FailureTargetError):
		return answered
	case isLost && isBeginning && req.Phase != state.RequestEnded:
		return lostAtBeginning
	case mayBeEvidence && (!isStream || ev.LostBeforeFirstEvent()):
		return lostAtBeginning
	case mayBeEvidence:
		return lostBeforeHead
	}
	return noEvidence
}

// attemptKey identifies an attempt of a request.
type attemptKey struct {
	request state.RequestID
	attempt int
}

// answerBeginning is an answer whose first event has just arrived.
type answerBeginning struct {
	process              Process
	sentAt, firstEventAt time.Duration
	traits               []state.Trait
}

// beginnings holds the answers that have just begun, with their keys in the order of their first
// events.
type beginnings struct {
	answers map[attemptKey]answerBeginning
	order   []attemptKey
}

func newBeginnings() beginnings { return beginnings{answers: map[attemptKey]answerBeginning{}} }

func (b *beginnings) add(key attemptKey, answer answerBeginning) {
	if !b.has(key) {
		b.answers[key] = answer
		b.order = append(b.order, key)
	}
}

func (b *beginnings) has(key attemptKey) bool {
	_, known := b.answers[key]
	return known
}

func (b *beginnings) remove(key attemptKey) { delete(b.answers, key) }

// takeBefore removes the answers whose first event arrived no later than a time, and returns them
// in order.
func (b *beginnings) takeBefore(at time.Duration) []answerBeginning {
	var taken []answerBeginning
	for len(b.order) > 0 {
		answer, known := b.answers[b.order[0]]
		if known && answer.firstEventAt > at {
			break
		}
		if known {
			taken = append(taken, answer)
			delete(b.answers, b.order[0])
		}
		b.order = b.order[1:]
	}
	return taken
}
