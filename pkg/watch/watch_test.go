package watch_test

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/watch"
)

var errHistoryTruncated = errors.New("gone")

// fakeSource answers each call with the next of a list of errors, of which nil
// means success. After the list it blocks until the context ends.
type fakeSource struct {
	mu      sync.Mutex
	calls   []string
	answers []error
	// revisions and waits are those of the calls for changes.
	revisions []uint64
	waits     []time.Duration
}

func (s *fakeSource) nextAnswer(ctx context.Context, call string) (state.TableUpdate, error) {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	if len(s.answers) > 0 {
		err := s.answers[0]
		s.answers = s.answers[1:]
		s.mu.Unlock()
		return state.TableUpdate{Revision: uint64(len(s.calls))}, err
	}
	s.mu.Unlock()
	<-ctx.Done()
	return state.TableUpdate{}, ctx.Err()
}

func (s *fakeSource) Snapshot(ctx context.Context, _ state.TableKind) (state.TableUpdate, error) {
	return s.nextAnswer(ctx, "whole")
}

func (s *fakeSource) Changes(ctx context.Context, _ state.TableKind, after uint64, wait time.Duration) (state.TableUpdate, error) {
	s.mu.Lock()
	s.revisions, s.waits = append(s.revisions, after), append(s.waits, wait)
	s.mu.Unlock()
	return s.nextAnswer(ctx, "changes")
}

func (s *fakeSource) IsHistoryTruncated(err error) bool { return errors.Is(err, errHistoryTruncated) }

func (s *fakeSource) recordedCalls() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.calls...)
}

type fakeSink struct {
	mu      sync.Mutex
	updates []state.TableUpdate
}

func (s *fakeSink) Now() time.Duration { return time.Second }

func (s *fakeSink) Feed(in state.Input) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updates = append(s.updates, in.(state.TableUpdate))
}

// TestWatcherRereadsTableAndReportsFailures guards against a watcher that requests
// changes from a truncated history instead of a snapshot, and against a failed
// call that is not reported to the core.
func TestWatcherRereadsTableAndReportsFailures(t *testing.T) {
	g := gomega.NewWithT(t)
	src := &fakeSource{answers: []error{nil, nil, errHistoryTruncated, nil, errors.New("down"), nil}}
	dst := &fakeSink{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watch.New(state.OperatorTable, src, dst, slog.New(slog.DiscardHandler)).Run(ctx)
	g.Eventually(src.recordedCalls, 3*time.Second).Should(gomega.Equal([]string{
		"whole", "changes", "changes", "whole", "changes", "changes", "changes",
	}))
	dst.mu.Lock()
	defer dst.mu.Unlock()
	failed := 0
	for _, in := range dst.updates {
		if in.Failed {
			failed++
		}
	}
	g.Expect(failed).To(gomega.Equal(1))
}

// TestReenabledWatcherReadsSnapshot guards against a watcher that continues from
// its old revision after it was disabled, although peers have forwarded newer
// rows.
func TestReenabledWatcherReadsSnapshot(t *testing.T) {
	g := gomega.NewWithT(t)
	src := &fakeSource{answers: []error{nil}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := watch.New(state.InstanceTable, src, &fakeSink{}, slog.New(slog.DiscardHandler))
	w.Configure(state.WatchTables{})
	go w.Run(ctx)
	g.Consistently(src.recordedCalls, 100*time.Millisecond).Should(gomega.BeEmpty())
	w.Configure(state.WatchTables{Instances: true})
	g.Eventually(src.recordedCalls).Should(gomega.Equal([]string{"whole", "changes"}))
}

// enabledFrom are the options of a watcher of the list of instances whose node has
// received the table up to a revision.
func enabledFrom(revision uint64, answerSoon bool) state.WatchTables {
	options := state.WatchTables{Instances: true, AnswerSoon: answerSoon}
	options.ContinueFrom[state.InstanceTable] = revision
	return options
}

// TestReenabledWatcherContinues guards against a watcher that reads a whole table although
// its node has received all rows from peers, and against nodes that wait for the next
// change because the one that takes over has no recent answer of the store.
func TestReenabledWatcherContinues(t *testing.T) {
	for answerSoon, wait := range map[bool]time.Duration{false: time.Second, true: 0} {
		g := gomega.NewWithT(t)
		src := &fakeSource{answers: []error{nil}}
		ctx, cancel := context.WithCancel(context.Background())
		w := watch.New(state.InstanceTable, src, &fakeSink{}, slog.New(slog.DiscardHandler))
		w.Configure(state.WatchTables{})
		w.Configure(enabledFrom(700, answerSoon))
		w.Configure(state.WatchTables{})
		go w.Run(ctx)
		g.Consistently(src.recordedCalls, 50*time.Millisecond).Should(gomega.BeEmpty())
		w.Configure(enabledFrom(800, answerSoon))
		g.Eventually(src.recordedCalls).Should(gomega.Equal([]string{"changes", "changes"}))
		g.Expect(src.revisions).To(gomega.Equal([]uint64{800, 800}))
		g.Expect(src.waits).To(gomega.Equal([]time.Duration{wait, time.Second}))
		cancel()
	}
}

// TestWatcherContinuesWithTruncatedHistory guards against a node that misses changes which
// the store no longer has, or that are of another era, after its watcher was enabled.
func TestWatcherContinuesWithTruncatedHistory(t *testing.T) {
	g := gomega.NewWithT(t)
	src := &fakeSource{answers: []error{errHistoryTruncated, nil}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := watch.New(state.InstanceTable, src, &fakeSink{}, slog.New(slog.DiscardHandler))
	w.Configure(state.WatchTables{})
	go w.Run(ctx)
	g.Consistently(src.recordedCalls, 50*time.Millisecond).Should(gomega.BeEmpty())
	w.Configure(enabledFrom(700, true))
	g.Eventually(src.recordedCalls).Should(gomega.Equal([]string{"changes", "whole", "changes"}))
}

// TestWatcherDisabledDuringCall guards against a watcher that is disabled and enabled while
// a call is in progress and then loses the rows of the answer, or those after it.
func TestWatcherDisabledDuringCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		store, sink := newFleetStore(), &fakeSink{}
		put := func(id string) { store.put(state.InstanceTable, id, state.Instance{ID: state.HostID(id)}) }
		put("i1")
		w := watch.New(state.InstanceTable, nodeSource{store, "n1"}, sink, slog.New(slog.DiscardHandler))
		go w.Run(ctx)
		time.Sleep(500 * time.Millisecond)
		for _, pause := range []time.Duration{10 * time.Millisecond, 2 * time.Second} {
			w.Configure(state.WatchTables{})
			put("i2")
			time.Sleep(pause)
			put("i3")
			// The node has received nothing from peers.
			w.Configure(enabledFrom(1001, false))
			time.Sleep(time.Second)
		}
		cancel()
		time.Sleep(time.Second)
		seen := map[uint64]bool{}
		for _, update := range sink.updates {
			for _, row := range update.Rows {
				seen[row.Revision] = true
			}
		}
		g.Expect(slices.Sorted(maps.Keys(seen))).To(gomega.Equal([]uint64{1001, 1002, 1003, 1004, 1005}))
	})
}

// TestLongBackoffLimitsCallsInOutage guards against calls of many nodes in an
// outage of the store. The few nodes that forward its answers are enough to detect
// its return.
func TestLongBackoffLimitsCallsInOutage(t *testing.T) {
	for _, longBackoff := range []bool{false, true} {
		g := gomega.NewWithT(t)
		failures := make([]error, 100)
		for i := range failures {
			failures[i] = errors.New("down")
		}
		src := &fakeSource{answers: failures}
		ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
		w := watch.New(state.InstanceTable, src, &fakeSink{}, slog.New(slog.DiscardHandler))
		w.Configure(state.WatchTables{Nodes: true, Configuration: true, Instances: true, LongBackoff: longBackoff})
		w.Run(ctx)
		cancel()
		// The first backoff is at least 100 ms. The bound doubles with each
		// failure, and each backoff is between half of the bound and the bound.
		if longBackoff {
			g.Expect(len(src.recordedCalls())).To(gomega.BeNumerically("<=", 5))
		} else {
			g.Expect(len(src.recordedCalls())).To(gomega.BeNumerically(">=", 6))
		}
	}
}
