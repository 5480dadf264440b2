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
	// longPollWait is how long the store holds a call without a change. A call without an
	// answer is known to be lost only after it, so it is below the time in which
	// a change must be in force.
	longPollWait = time.Second
	// answerMargin is how much longer than the wait an answer may take.
	answerMargin = 600 * time.Millisecond
	// snapshotTimeout bounds a read of a whole table.
	snapshotTimeout = 1500 * time.Millisecond
	// firstBackoff and lastPause bound the wait after a call that failed.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond
	// maxLongBackoff is the longest wait of a node that others tell when the store is
	// back. With the shorter one, 79 nodes made 8,000 calls in an outage of 8 s.
	maxLongBackoff = 3 * time.Second
	// maxBackoffDoublings keeps the wait in the range of a duration.
	maxBackoffDoublings = 5
)

// coalesceDelays is the pause after an answer with changes, in which further changes of
// the table are gathered for one call. The table of instances changes in series.
var coalesceDelays = map[state.TableKind]time.Duration{
	state.OperatorTable: 20 * time.Millisecond,
	state.InstanceTable: 150 * time.Millisecond,
	state.NodeTable:     150 * time.Millisecond,
}

// lowLatencyCoalesceDelay is that pause for the node that forms groups.
const lowLatencyCoalesceDelay = 30 * time.Millisecond

// Source reads the tables of the store.
type Source interface {
	Snapshot(ctx context.Context, table state.TableKind) (state.TableUpdate, error)
	// Changes returns the rows that changed after a revision, as soon as there is
	// one or the wait has passed.
	Changes(ctx context.Context, table state.TableKind, after uint64, wait time.Duration) (state.TableUpdate, error)
	// IsHistoryTruncated reports whether an error of Changes asks for Whole.
	IsHistoryTruncated(err error) bool
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

	// hasSnapshot is set once the whole table was read; revision is the last one seen.
	hasSnapshot bool
	revision    uint64
	failures    int

	mu sync.Mutex
	// resume is closed when the watcher is to follow the table again; nil while it
	// does.
	resume chan struct{}
	// lowLatency is set while the node acts on each change.
	lowLatency bool
	// longBackoff is set while other nodes tell when the store is back.
	longBackoff bool
}

// Configure switches the watcher on or off. A call that has begun ends first.
func (w *Watcher) Configure(options state.WatchTables) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lowLatency, w.longBackoff = options.LowLatency, options.LongBackoff
	enabled := options.Enabled
	if w.table == state.InstanceTable {
		enabled = options.Instances
	}
	switch {
	case enabled && w.resume != nil:
		close(w.resume)
		w.resume = nil
	case !enabled && w.resume == nil:
		w.resume = make(chan struct{})
	}
}

func (w *Watcher) waitUntilEnabled(ctx context.Context) {
	w.mu.Lock()
	resume := w.resume
	w.mu.Unlock()
	if resume == nil {
		return
	}
	select {
	case <-resume:
		// The rows passed on by peers since are not known here.
		w.hasSnapshot = false
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
		w.waitUntilEnabled(ctx)
		if !w.poll(ctx) {
			w.sleep(ctx, w.backoff())
		}
	}
}

func (w *Watcher) poll(ctx context.Context) bool {
	sentAt := w.sink.Now()
	update, err := w.fetch(ctx)
	switch {
	case ctx.Err() != nil:
		return true
	case err != nil && w.source.IsHistoryTruncated(err):
		w.hasSnapshot = false
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
	w.failures, w.hasSnapshot, w.revision = 0, true, max(w.revision, update.Revision)
	update.SentAt = sentAt
	w.sink.Feed(update)
	if len(update.Rows) > 0 && !update.Snapshot {
		w.sleep(ctx, w.coalesceTime())
	}
	return true
}

func (w *Watcher) coalesceTime() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lowLatency {
		return min(coalesceDelays[w.table], lowLatencyCoalesceDelay)
	}
	return coalesceDelays[w.table]
}

func (w *Watcher) fetch(ctx context.Context) (state.TableUpdate, error) {
	if !w.hasSnapshot {
		ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		defer cancel()
		return w.source.Snapshot(ctx, w.table)
	}
	ctx, cancel := context.WithTimeout(ctx, longPollWait+answerMargin)
	defer cancel()
	return w.source.Changes(ctx, w.table, w.revision, longPollWait)
}

// backoff grows with each failure and is drawn at random, so that nodes do not
// come back all at once.
func (w *Watcher) backoff() time.Duration {
	bound := min(firstBackoff<<min(w.failures, maxBackoffDoublings), w.longestBackoff())
	return bound/2 + rand.N(bound/2)
}

func (w *Watcher) longestBackoff() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.longBackoff {
		return maxLongBackoff
	}
	return maxBackoff
}

func (w *Watcher) sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
