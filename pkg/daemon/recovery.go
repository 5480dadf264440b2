package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

// maxFailedTicks is the number of consecutive ticks that may fail before the process
// ends. A single input that cannot be processed is dropped, but tables in which no
// tick succeeds any more are only mended by a restart, which takes less time.
const maxFailedTicks = 20

// stepSafely runs one step of the core. A panic drops the input: a message that the
// core cannot process, and that all nodes receive, must not end them all.
func (d *Daemon) stepSafely(ctx context.Context, in state.Input) (outputs []state.Output) {
	_, isTick := in.(state.Tick)
	defer func() {
		cause := recover()
		if cause == nil {
			if isTick {
				d.failedTicks = 0
			}
			return
		}
		if isTick {
			d.failedTicks++
		}
		event.Log(ctx, d.log, event.InputDropped, slog.String("input", fmt.Sprintf("%T", in)), slog.Any("cause", cause),
			slog.String("stack", string(debug.Stack())))
		if d.failedTicks > maxFailedTicks {
			panic(cause)
		}
		if arrival, ok := in.(state.RequestArrived); ok {
			outputs = []state.Output{state.Reply{Request: arrival.ID, Refusal: apierror.New(apierror.KindInternal, "request_failed",
				"this node could not process the request; check its effect before sending it again", apierror.Unknown)}}
		}
	}()
	return d.stepCore(in)
}

// logPanic logs the panic of a call in the background, whose result is then lost.
func (d *Daemon) logPanic(ctx context.Context, out state.Output) {
	if cause := recover(); cause != nil {
		event.Log(ctx, d.log, event.CallFailed, slog.String("call", fmt.Sprintf("%T", out)), slog.Any("cause", cause),
			slog.String("stack", string(debug.Stack())))
	}
}
