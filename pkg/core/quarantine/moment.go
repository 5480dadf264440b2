package quarantine

import (
	"net/http"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// beginningTime is how long an answer counts as beginning after its first event: a few passes of
// an engine. It is short against the time of an answer, so that few of the other answers of a
// target that ends are at their beginning.
const beginningTime = 75 * time.Millisecond

// moment is what an event of an attempt shows of its request and of the process of its target.
//
//	                                   whole request   part of its prompt
//	stream lost before the head        suspected       -
//	stream lost before the first event crash           crash
//	stream lost at its beginning       crash           crash
//	stream lost later                  half a crash, a quarter after lateTime
//	other answer lost                  crash           crash
//	answer complete                    sound           sound
//	answer with an error status        sound           -
type moment uint8

const (
	// noEvidence is anything else, such as a refusal or an attempt that was cancelled.
	noEvidence moment = iota
	// beginning is the first event of an answer.
	beginning
	// completed is a complete answer.
	completed
	// answered is a complete answer with an error status. It does not show that the prompt was
	// read.
	answered
	// lostAnswer is the loss of the connection at which the request may have ended the process: of
	// a stream after the head of its answer. Any other answer has no head before it is complete, so
	// that all requests at a target which ends look alike: those that it only held complete at
	// another one.
	lostAnswer
	// lostBeforeHead is the loss of a stream without a head. The requests that only wait at a
	// target which ends look the same, and so does an answer that ends in its first line.
	lostBeforeHead
)

// momentOf returns the moment of an event. hasBegun is set if the first event of the answer has
// arrived before.
func momentOf(req *state.Request, ev state.AttemptEvent, hasBegun bool) moment {
	isStream := req.Route == nil || req.Route.Stream
	isAnswer := ev.Stage == state.AttemptEnded && ev.EventCount == 0
	isLost := ev.Stage == state.AttemptEnded && ev.Failure == state.FailureConnectionLost && !ev.InvalidAnswer
	mayBeEvidence := req.Phase != state.RequestEnded && !req.AnswerStarted && ev.LostBeforeAnswer()
	lostAfterHead := isStream && req.Phase != state.RequestEnded && ev.LostBeforeFirstEvent()
	switch {
	case ev.Stage == state.AttemptFirstByte:
		return beginning
	case isAnswer && ev.Failure == state.FailureNone && ev.Status == http.StatusOK:
		return completed
	case hasBegun && ev.Stage == state.AttemptEnded && ev.Failure == state.FailureNone:
		return completed
	case isAnswer && (ev.Failure == state.FailureNone || ev.Failure == state.FailureTargetError):
		return answered
	case isLost && hasBegun && req.Phase != state.RequestEnded:
		return lostAnswer
	case lostAfterHead || mayBeEvidence && !isStream:
		return lostAnswer
	case mayBeEvidence:
		return lostBeforeHead
	}
	return noEvidence
}
