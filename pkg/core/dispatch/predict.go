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
func stepTime(e *state.EngineProfile, timeFactor float64, running int) time.Duration {
	step := e.StepTime + time.Duration(running)*e.StepTimePerSequence
	return time.Duration(float64(step) * timeFactor)
}

// timeToFirstEvent predicts the time to the first event of a prompt at a group: the
// rest of the pass that runs, reading all prompts ahead and its own, and the
// steps in which that happens.
func timeToFirstEvent(e *state.EngineProfile, timeFactor float64, load engineLoad, promptTokens int) time.Duration {
	step := stepTime(e, timeFactor, load.Running+load.Waiting)
	tokens := load.WaitingTokens + promptTokens
	steps := 1
	if e.PrefillChunkTokens > 0 {
		steps += tokens / e.PrefillChunkTokens
	}
	prefill := time.Duration(0)
	if e.PrefillRate > 0 {
		prefill = time.Duration(float64(tokens) / e.PrefillRate * timeFactor * float64(time.Second))
	}
	return time.Duration(e.StepsPerPass)*step/2 + time.Duration(steps+e.StepsPerPass)*step + prefill
}

// engineTime returns the time of an engine that a request takes, for the demand for
// its model: reading the prompt, and its part of the steps of a batch of the
// usual size.
func engineTime(e *state.EngineProfile, timeFactor float64, promptTokens, outputTokens int) time.Duration {
	batch := max(e.Slots/2, 1)
	step := stepTime(e, timeFactor, batch)
	prefillSeconds := 0.0
	if e.PrefillRate > 0 {
		prefillSeconds = float64(promptTokens) / e.PrefillRate * timeFactor
	}
	return time.Duration(prefillSeconds*float64(time.Second)) + step*time.Duration(outputTokens)/time.Duration(batch)
}
