package dispatch

import (
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// engineLoad is the load of one replica group from all nodes.
type engineLoad struct {
	// Running counts streams that have delivered events, Waiting requests before
	// their first event, and WaitingTokens the prompt tokens of the latter.
	Running, Waiting, WaitingTokens int
}

// stepTime returns the duration of one step of a group with the given number of
// running sequences.
func stepTime(e *state.EngineProfile, timeFactor float64, running int) time.Duration {
	step := e.StepTime + time.Duration(running)*e.StepTimePerSequence
	return time.Duration(float64(step) * timeFactor)
}

// timeToFirstEvent predicts when a group delivers the first event of a new
// request. It adds half a pass as the mean remainder of the current one, the
// prefill of all waiting prompts and of the new one, the steps in which the
// prefill runs, and one whole pass, since events leave at the end of a pass.
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

// engineTime returns the engine time that a request uses, which counts as demand
// for its model: the prefill of the prompt, and the request's part of the steps
// of a batch of the usual size, which is half of the slots.
func engineTime(e *state.EngineProfile, timeFactor float64, promptTokens, outputTokens int) time.Duration {
	batch := max(e.Slots/2, 1)
	step := stepTime(e, timeFactor, batch)
	prefillSeconds := 0.0
	if e.PrefillRate > 0 {
		prefillSeconds = float64(promptTokens) / e.PrefillRate * timeFactor
	}
	return time.Duration(prefillSeconds*float64(time.Second)) + step*time.Duration(outputTokens)/time.Duration(batch)
}
