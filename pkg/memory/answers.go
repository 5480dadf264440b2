package memory

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// answerCeiling is the part of a budget up to which memory is reserved for large answers.
// Together with the ceiling of small bodies it leaves a fifth of a budget to small requests
// and all of the rest to small answers.
const answerCeiling = 0.55

// ErrTooLarge means that a reservation would not fit into an empty budget.
var ErrTooLarge = errors.New("the answer is larger than the memory for answers")

// AnswerPurpose returns the purpose of an answer of a size in bytes.
func AnswerPurpose(size int64) Purpose {
	if size <= SmallBodyBytes {
		return Answer
	}
	return LargeAnswer
}

// answerShares tracks what the large answers of each target hold.
type answerShares struct {
	mu    sync.Mutex
	held  map[string]int64
	total int64
}

// grow adds n bytes to the large answers of a target, if those of all targets then hold at most
// limit bytes, and those of this target no more than is left for others, or are the only ones:
// a target whose answers do not end leaves memory to all others, however many requests it gets,
// and a target alone may use half.
//
// This is the rule of dynamic queue thresholds (Choudhury and Hahne, 1998) with a factor of 1.
func (s *answerShares) grow(target string, n, limit int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, total := s.held[target]+n, s.total+n
	if total > limit || held > n && held > limit-total {
		return false
	}
	s.held[target], s.total = held, total
	return true
}

func (s *answerShares) shrink(target string, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total -= n
	if s.held[target] -= n; s.held[target] == 0 {
		delete(s.held, target)
	}
}

// waiters wakes those that wait for memory.
type waiters struct {
	mu sync.Mutex
	// freed is closed when memory is given back; nil if nobody waits.
	freed chan struct{}
}

// wait returns a channel that is closed when memory is given back.
func (w *waiters) wait() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.freed == nil {
		w.freed = make(chan struct{})
	}
	return w.freed
}

func (w *waiters) wake() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.freed != nil {
		close(w.freed)
		w.freed = nil
	}
}

// LargestAnswer returns the size in bytes of the largest answer that GrowForAnswer can reserve.
func (b *Budget) LargestAnswer() int64 { return int64(float64(b.bytes) * answerCeiling) }

// NewAnswerReservation returns an empty reservation for an answer of a target.
func (b *Budget) NewAnswerReservation(target string) *Reservation {
	return &Reservation{budget: b, target: target}
}

// GrowForAnswer reserves n more bytes for a large answer. It waits until others give memory
// back: the answer is not lost, and its target stops sending meanwhile. The error is ErrTooLarge
// or the cause of the end of the context.
func (r *Reservation) GrowForAnswer(ctx context.Context, n int64) error {
	if n > r.budget.LargestAnswer() {
		return ErrTooLarge
	}
	for {
		freed := r.budget.waiters.wait()
		if r.Grow(n, LargeAnswer) {
			return nil
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}
