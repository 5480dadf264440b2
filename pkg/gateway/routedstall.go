package gateway

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// maxTimerDelay is how late a timer may fire before this process counts as paused.
const maxTimerDelay = 80 * time.Millisecond

// startStallTimer starts the timer that reports a stall of the stream to the core.
func (a *routedAttempt) startStallTimer() {
	if a.start.FirstEventStallAfter <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stallDue = time.Now().Add(a.start.FirstEventStallAfter)
	a.stallTimer = time.AfterFunc(a.start.FirstEventStallAfter, a.stallTimerFired)
}

func (a *routedAttempt) stopStallTimer() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.done = true
	if a.stallTimer != nil {
		a.stallTimer.Stop()
	}
}

// stallTimerFired reports a stall unless the timer has fired late. It waits for a write to
// the caller, so that a caller that reads slowly does not make its target count as silent.
func (a *routedAttempt) stallTimerFired() {
	a.exchange.answerMu.Lock()
	defer a.exchange.answerMu.Unlock()
	if !a.beginStall() {
		return
	}
	if a.continuesAnswer() {
		a.exchange.eventsAtStall = a.exchange.deliveredEvents
	}
	a.reportStage(state.AttemptStalled)
}

// beginStall marks the attempt as stalled, or starts the timer again if events have
// arrived meanwhile, or may have. It returns false if there is no new stall.
func (a *routedAttempt) beginStall() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done || a.stalled {
		return false
	}
	now := time.Now()
	switch {
	case now.Before(a.stallDue):
		a.stallTimer.Reset(a.stallDue.Sub(now))
		return false
	case now.Sub(a.stallDue) > maxTimerDelay:
		// This process was paused, so events may have arrived that it has not read.
		a.stallDue = now.Add(maxTimerDelay)
		a.stallTimer.Reset(maxTimerDelay)
		return false
	}
	a.stalled = true
	return true
}

// eventsArrived restarts the stall timer and reports the end of a stall. It is called
// whenever events have arrived, with answerMu held, so that the core learns of stalls and
// their ends in their order.
func (a *routedAttempt) eventsArrived() {
	a.mu.Lock()
	wasStalled := a.stalled
	a.stalled, a.result.AnswerStarted = false, true
	if a.stallTimer != nil && a.start.StallAfter > 0 {
		a.stallDue = time.Now().Add(a.start.StallAfter)
		a.stallTimer.Reset(a.start.StallAfter)
	}
	a.mu.Unlock()
	if wasStalled {
		a.reportStage(state.AttemptStallEnded)
	}
}

func (a *routedAttempt) reportStage(stage state.AttemptStage) {
	a.mu.Lock()
	answerStarted := a.result.AnswerStarted
	a.mu.Unlock()
	a.gateway.daemon.Feed(state.AttemptEvent{Request: a.start.Request, Attempt: a.start.Attempt, Stage: stage, AnswerStarted: answerStarted})
}
