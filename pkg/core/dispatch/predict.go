package dispatch

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// engineLoad is the work at one replica group.
type engineLoad struct {
	// Running counts streams that have begun, Waiting requests before their first
	// event, WaitingTokens the prompt tokens of the latter.
	Running, Waiting, WaitingTokens int
}

// stepTime returns the time of one step of a group that runs a number of
// sequences.
func stepTime(e *state.EngineProfile, pace float64, running int) time.Duration {
	step := e.StepTime + time.Duration(running)*e.StepTimePerSequence
	return time.Duration(float64(step) * pace)
}

// firstEvent predicts the time to the first event of a prompt at a group: the
// rest of the pass that runs, reading all prompts ahead and its own, and the
// steps in which that happens.
func firstEvent(e *state.EngineProfile, pace float64, load engineLoad, prompt int) time.Duration {
	step := stepTime(e, pace, load.Running+load.Waiting)
	tokens := load.WaitingTokens + prompt
	steps := 1
	if e.PrefillChunkTokens > 0 {
		steps += tokens / e.PrefillChunkTokens
	}
	reading := time.Duration(0)
	if e.PrefillRate > 0 {
		reading = time.Duration(float64(tokens) / e.PrefillRate * pace * float64(time.Second))
	}
	return time.Duration(e.StepsPerPass)*step/2 + time.Duration(steps+e.StepsPerPass)*step + reading
}

// work returns the time of an engine that a request takes, for the demand for
// its model: reading the prompt, and its part of the steps of a batch of the
// usual size.
func work(e *state.EngineProfile, pace float64, prompt, output int) time.Duration {
	batch := max(e.Slots/2, 1)
	step := stepTime(e, pace, batch)
	reading := 0.0
	if e.PrefillRate > 0 {
		reading = float64(prompt) / e.PrefillRate * pace
	}
	return time.Duration(reading*float64(time.Second)) + step*time.Duration(output)/time.Duration(batch)
}
