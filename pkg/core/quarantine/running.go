package quarantine

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// attemptKey identifies an attempt of a request.
type attemptKey struct {
	request state.RequestID
	attempt int
}

// answer is what an answer shows of the traits of its request.
type answer struct {
	sentAt time.Duration
	// age is the time since the first event; 0 before that.
	age time.Duration
	// complete is set if the answer has come to its end, and resumed if it did not begin with the
	// first event of the request's answer.
	complete, resumed bool
}

// clears reports whether an answer speaks against a crash: it was sent after the crash was known,
// and has outlived the age at which the crash happened. A resumed answer may be too short for
// that. An answer that is still running must have outlived it by far, since targets differ in
// speed.
func (a answer) clears(c *crashRecord) bool {
	switch {
	case c.cleared || a.sentAt < c.at:
		return false
	case a.complete && !a.resumed:
		return true
	case a.complete:
		return a.age > c.age
	}
	return a.age >= 2*c.age+outliveTime
}

// runningAnswer is an answer that has begun and has not ended.
type runningAnswer struct {
	sentAt, beganAt time.Duration
	resumed         bool
	traits          []state.Trait
}

func (r *runningAnswer) at(now time.Duration) answer {
	return answer{sentAt: r.sentAt, age: now - r.beganAt, resumed: r.resumed}
}

// runningAnswers holds the answers at this node that have begun and have not ended.
type runningAnswers map[attemptKey]runningAnswer

// withTrait returns the running answers of requests with a trait, in no particular order.
func (r runningAnswers) withTrait(now time.Duration, trait state.Trait) []answer {
	var answers []answer
	for _, running := range r {
		for _, t := range running.traits {
			if t == trait {
				answers = append(answers, running.at(now))
				break
			}
		}
	}
	return answers
}

// isResumed reports whether the next attempt of a request, or the request itself, goes on with an
// answer of which the caller has some events.
func isResumed(req *state.Request) bool {
	return req.AnswerStarted || req.Arrival.Routed != nil && req.Arrival.Routed.LastEventID != ""
}
