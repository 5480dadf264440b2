// Package watch follows the tables of the platform's store and feeds their
// changes to the core.
package watch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// feedWait is how long the store holds a call without a change. A call without an
	// answer is known to be lost only after it, so it is below the time in which
	// a change must be in force.
	feedWait = time.Second
	// answerTimeout is how much longer than the wait an answer may take.
	answerTimeout = 600 * time.Millisecond
	// wholeTimeout bounds a read of a whole table.
	wholeTimeout = 1500 * time.Millisecond
	// firstPause and lastPause bound the wait after a call that failed.
	firstPause = 100 * time.Millisecond
	lastPause  = 400 * time.Millisecond
	// patientPause is the longest wait of a node that others tell when the store is
	// back. With the shorter one, 79 nodes made 8,000 calls in an outage of 8 s.
	patientPause = 3 * time.Second
	// maxDoublings keeps the wait in the range of a duration.
	maxDoublings = 5
)

// gather is the pause after an answer with changes, in which further changes of
// the table are gathered for one call. The table of instances changes in series.
var gather = map[state.TableKind]time.Duration{
	state.OperatorTable: 20 * time.Millisecond,
	state.InstanceTable: 150 * time.Millisecond,
	state.NodeTable:     150 * time.Millisecond,
}

// urgentGather is that pause for the node that forms groups.
const urgentGather = 30 * time.Millisecond

// Source reads the tables of the store.
type Source interface {
	Whole(ctx context.Context, table state.TableKind) (state.TableUpdate, error)
	// Changes returns the rows that changed after a revision, as soon as there is
	// one or the wait has passed.
	Changes(ctx context.Context, table state.TableKind, after uint64, wait time.Duration) (state.TableUpdate, error)
	// IsHistoryGone reports whether an error of Changes asks for Whole.
	IsHistoryGone(err error) bool
}

// Sink takes what was seen. Now is the time of the core.
type Sink interface {
	Feed(state.Input)
	Now() time.Duration
}

// Watcher follows one table.
type Watcher struct {
	table  state.TableKind
	source Source
	sink   Sink
	log    *slog.Logger

	// known is set once the whole table was read; revision is the last one seen.
	known    bool
	revision uint64
	failures int

	mu sync.Mutex
	// idle is closed when the watcher is to follow the table again; nil while it
	// does.
	idle chan struct{}
	// urgent is set while the node acts on each change.
	urgent bool
	// patient is set while other nodes tell when the store is back.
	patient bool
}

// Follow switches the watcher on or off. A call that has begun ends first.
func (w *Watcher) Follow(f state.WatchTables) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.urgent, w.patient = f.LowLatency, f.LongBackoff
	on := f.Enabled
	if w.table == state.InstanceTable {
		on = f.Instances
	}
	switch {
	case on && w.idle != nil:
		close(w.idle)
		w.idle = nil
	case !on && w.idle == nil:
		w.idle = make(chan struct{})
	}
}

func (w *Watcher) wait(ctx context.Context) {
	w.mu.Lock()
	idle := w.idle
	w.mu.Unlock()
	if idle == nil {
		return
	}
	select {
	case <-idle:
		// The rows passed on by peers since are not known here.
		w.known = false
	case <-ctx.Done():
	}
}

// New returns a watcher of a table.
func New(table state.TableKind, source Source, sink Sink, log *slog.Logger) *Watcher {
	return &Watcher{table: table, source: source, sink: sink, log: log}
}

// Run follows the table until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		w.wait(ctx)
		if !w.once(ctx) {
			w.pause(ctx, w.backoff())
		}
	}
}

func (w *Watcher) once(ctx context.Context) bool {
	sentAt := w.sink.Now()
	seen, err := w.call(ctx)
	switch {
	case ctx.Err() != nil:
		return true
	case err != nil && w.source.IsHistoryGone(err):
		w.known = false
		event.Log(ctx, w.log, event.ChangeHistoryTruncated, slog.Int("table", int(w.table)))
		return true
	case err != nil:
		if w.failures++; w.failures == 1 {
			event.Log(ctx, w.log, event.StoreDown, slog.Int("table", int(w.table)), slog.String("error", err.Error()))
		}
		w.sink.Feed(state.TableUpdate{Table: w.table, SentAt: sentAt, Failed: true})
		return false
	}
	if w.failures > 0 {
		event.Log(ctx, w.log, event.StoreUp, slog.Int("table", int(w.table)), slog.Int("failures", w.failures))
	}
	w.failures, w.known, w.revision = 0, true, max(w.revision, seen.Revision)
	seen.SentAt = sentAt
	w.sink.Feed(seen)
	if len(seen.Rows) > 0 && !seen.Snapshot {
		w.pause(ctx, w.gatherTime())
	}
	return true
}

func (w *Watcher) gatherTime() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.urgent {
		return min(gather[w.table], urgentGather)
	}
	return gather[w.table]
}

func (w *Watcher) call(ctx context.Context) (state.TableUpdate, error) {
	if !w.known {
		ctx, cancel := context.WithTimeout(ctx, wholeTimeout)
		defer cancel()
		return w.source.Whole(ctx, w.table)
	}
	ctx, cancel := context.WithTimeout(ctx, feedWait+answerTimeout)
	defer cancel()
	return w.source.Changes(ctx, w.table, w.revision, feedWait)
}

// backoff grows with each failure and is drawn at random, so that nodes do not
// come back all at once.
func (w *Watcher) backoff() time.Duration {
	bound := min(firstPause<<min(w.failures, maxDoublings), w.longestPause())
	return bound/2 + rand.N(bound/2)
}

func (w *Watcher) longestPause() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.patient {
		return patientPause
	}
	return lastPause
}

func (w *Watcher) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
