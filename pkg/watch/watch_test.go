package watch_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/watch"
)

var errGone = errors.New("gone")

// source answers calls from a list, and then blocks.
type source struct {
	mu      sync.Mutex
	calls   []string
	answers []error
}

func (s *source) next(ctx context.Context, call string) (state.TableUpdate, error) {
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

func (s *source) Whole(ctx context.Context, _ state.TableKind) (state.TableUpdate, error) {
	return s.next(ctx, "whole")
}

func (s *source) Changes(ctx context.Context, _ state.TableKind, _ uint64, _ time.Duration) (state.TableUpdate, error) {
	return s.next(ctx, "changes")
}

func (s *source) IsHistoryGone(err error) bool { return errors.Is(err, errGone) }

func (s *source) seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.calls...)
}

type sink struct {
	mu  sync.Mutex
	fed []state.TableUpdate
}

func (s *sink) Now() time.Duration { return time.Second }

func (s *sink) Feed(in state.Input) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fed = append(s.fed, in.(state.TableUpdate))
}

// TestWatcher guards against a table that is followed from a history that is
// gone, and against a failed call that nobody learns of.
func TestWatcher(t *testing.T) {
	g := gomega.NewWithT(t)
	from := &source{answers: []error{nil, nil, errGone, nil, errors.New("down"), nil}}
	to := &sink{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go watch.New(state.OperatorTable, from, to, slog.New(slog.DiscardHandler)).Run(ctx)
	g.Eventually(from.seen, 3*time.Second).Should(gomega.Equal([]string{
		"whole", "changes", "changes", "whole", "changes", "changes", "changes",
	}))
	to.mu.Lock()
	defer to.mu.Unlock()
	failed := 0
	for _, in := range to.fed {
		if in.Failed {
			failed++
		}
	}
	g.Expect(failed).To(gomega.Equal(1))
}

// TestFollowAgain guards against a watcher that goes on from what it knew before
// others followed for it.
func TestFollowAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	from := &source{answers: []error{nil}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := watch.New(state.InstanceTable, from, &sink{}, slog.New(slog.DiscardHandler))
	w.Follow(state.WatchTables{})
	go w.Run(ctx)
	g.Consistently(from.seen, 100*time.Millisecond).Should(gomega.BeEmpty())
	w.Follow(state.WatchTables{Instances: true})
	g.Eventually(from.seen).Should(gomega.Equal([]string{"whole", "changes"}))
}

// TestPatientWatcher guards against the calls of many nodes in an outage of the
// store, where a few that pass its answers on are enough to see its return.
func TestPatientWatcher(t *testing.T) {
	for _, patient := range []bool{false, true} {
		g := gomega.NewWithT(t)
		down := make([]error, 100)
		for i := range down {
			down[i] = errors.New("down")
		}
		from := &source{answers: down}
		ctx, cancel := context.WithTimeout(context.Background(), 2500*time.Millisecond)
		w := watch.New(state.InstanceTable, from, &sink{}, slog.New(slog.DiscardHandler))
		w.Follow(state.WatchTables{Enabled: true, Instances: true, LongBackoff: patient})
		w.Run(ctx)
		cancel()
		// The pauses double from 100 ms on, each between half of that and the whole.
		if patient {
			g.Expect(len(from.seen())).To(gomega.BeNumerically("<=", 5))
		} else {
			g.Expect(len(from.seen())).To(gomega.BeNumerically(">=", 6))
		}
	}
}
