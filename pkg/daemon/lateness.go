package daemon

import (
	"context"
	"log/slog"
	"reflect"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// lateAfter is how long an input may wait for the event loop before the loop counts as
	// late. It is the time after which the gateway no longer sends what the core has decided.
	lateAfter = 250 * time.Millisecond
	// latenessLogPeriod is the interval between log lines on a late loop.
	latenessLogPeriod = time.Second
)

// queuedInput is an input that waits for the event loop since queuedAt.
type queuedInput struct {
	state.Input
	queuedAt time.Duration
}

// lateness watches how long inputs wait for the event loop and which kinds of input keep
// it busy. Only the event loop uses it.
type lateness struct {
	since       time.Duration
	longestWait time.Duration
	longestStep time.Duration
	busy        time.Duration
	busyByKind  map[reflect.Type]time.Duration
	inputs      int
}

// InputKind returns the name of the kind of an input in logs and metrics.
func InputKind(kind reflect.Type) string { return kind.Name() }

// record adds one step to the current period and logs the period at its end if the loop was
// late in it.
func (l *lateness) record(ctx context.Context, d *Daemon, in state.Input, waited, elapsed time.Duration) {
	if l.busyByKind == nil {
		l.busyByKind = map[reflect.Type]time.Duration{}
	}
	l.inputs++
	l.busy += elapsed
	l.busyByKind[reflect.TypeOf(in)] += elapsed
	l.longestWait, l.longestStep = max(l.longestWait, waited), max(l.longestStep, elapsed)
	now := d.Now()
	if now-l.since < latenessLogPeriod {
		return
	}
	if l.longestWait >= lateAfter {
		kind, busy := l.busiestKind()
		event.Log(ctx, d.log, event.LoopLate, slog.Duration("waited", l.longestWait), slog.Duration("longest_step", l.longestStep),
			slog.Duration("period", now-l.since), slog.Duration("busy", l.busy), slog.Int("inputs", l.inputs), slog.Int("waiting", len(d.inputs)),
			slog.String("busiest", kind), slog.Duration("busiest_time", busy))
	}
	clear(l.busyByKind)
	*l = lateness{since: now, busyByKind: l.busyByKind}
}

// busiestKind returns the kind of input that took the most time.
func (l *lateness) busiestKind() (name string, busy time.Duration) {
	for kind, elapsed := range l.busyByKind {
		if candidate := InputKind(kind); elapsed > busy || elapsed == busy && candidate < name {
			name, busy = candidate, elapsed
		}
	}
	return name, busy
}
