package memory

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestBudgetBoundsAllReservations guards against more memory in use than a budget has, also
// while many requests reserve and release at the same time.
func TestBudgetBoundsAllReservations(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBudget(1000)
	var all sync.WaitGroup
	for range 50 {
		all.Go(func() {
			for range 200 {
				r := b.NewReservation()
				if r.Grow(90, Answer) && b.Used() > 1000+50*90 {
					t.Error("more than the budget and the attempts under way is in use")
				}
				r.Release()
				r.Release()
			}
		})
	}
	all.Wait()
	g.Expect(b.Used()).To(gomega.BeZero())
}

// TestBodiesLeaveMemoryForAnswers guards against answers of requests that were run and are
// lost, and against small requests that are turned away, because large bodies take all of
// the memory.
func TestBodiesLeaveMemoryForAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBudget(100 << 20)
	bodies := b.NewReservation()
	for bodies.Grow(4<<20, BodyPurpose(4<<20)) {
	}
	g.Expect(b.Used()).To(gomega.Equal(int64(60 << 20)))
	small := b.NewReservation()
	for small.Grow(SmallBodyBytes, BodyPurpose(SmallBodyBytes)) {
	}
	g.Expect(b.Used()).To(gomega.Equal(int64(75 << 20)))
	answer := b.NewReservation()
	g.Expect(answer.Grow(25<<20, Answer)).To(gomega.BeTrue())
	g.Expect(answer.Grow(1, Answer)).To(gomega.BeFalse())
	answer.Shrink(1)
	g.Expect(answer.Grow(1, Answer)).To(gomega.BeTrue())
	bodies.Release()
	g.Expect(b.NewReservation().Grow(4<<20, LargeBody)).To(gomega.BeTrue())
}

// TestLargeAnswersOfOneTargetLeaveMemoryForOthers guards against a target whose answers have no
// end and fill what all answers may hold.
func TestLargeAnswersOfOneTargetLeaveMemoryForOthers(t *testing.T) {
	const answerBytes = 8 << 20
	g := gomega.NewWithT(t)
	b := NewBudget(RequestBytes(DefaultProcessBytes))
	fill := func(target string) (held []*Reservation) {
		for {
			r := b.NewAnswerReservation(target)
			if !r.Grow(answerBytes, LargeAnswer) {
				return held
			}
			held = append(held, r)
		}
	}
	first := fill("first faulty")
	g.Expect(len(first)).To(gomega.BeNumerically(">", 1))
	g.Expect(fill("second faulty")).NotTo(gomega.BeEmpty())
	sound := b.NewAnswerReservation("sound")
	g.Expect(sound.Grow(answerBytes, LargeAnswer)).To(gomega.BeTrue())
	bodies := b.NewReservation()
	for bodies.Grow(SmallBodyBytes, SmallBody) {
	}
	g.Expect(bodies.held.Load()).To(gomega.BeNumerically(">", b.bytes/10), "small requests find memory")
	g.Expect(b.NewAnswerReservation("first faulty").Grow(SmallBodyBytes, AnswerPurpose(SmallBodyBytes))).To(gomega.BeTrue(), "small answers do")
	before := b.Used()
	sound.Shrink(answerBytes / 2)
	sound.Release()
	g.Expect(before - b.Used()).To(gomega.Equal(int64(answerBytes)))
	for _, r := range first {
		r.Release()
	}
	g.Expect(b.answers.held).NotTo(gomega.HaveKey("first faulty"))
	g.Expect(b.NewAnswerReservation("sound").Grow(2*answerBytes, LargeAnswer)).To(gomega.BeTrue())
}

// TestLargeAnswerFitsTheSmallestNode guards against a node that cannot pass on the largest
// answer while a faulty target holds memory.
func TestLargeAnswerFitsTheSmallestNode(t *testing.T) {
	const answerBytes = 8<<20 + 1
	g := gomega.NewWithT(t)
	b := NewBudget(RequestBytes(64 << 20))
	g.Expect(b.NewAnswerReservation("faulty").Grow(answerBytes, LargeAnswer)).To(gomega.BeTrue())
	g.Expect(b.NewAnswerReservation("faulty").Grow(answerBytes, LargeAnswer)).To(gomega.BeFalse())
	g.Expect(b.NewAnswerReservation("sound").Grow(answerBytes, LargeAnswer)).To(gomega.BeTrue())
}

// TestLargeAnswerWaitsForMemory guards against answers that are lost because many are large at
// the same time, and against waiting for ever.
func TestLargeAnswerWaitsForMemory(t *testing.T) {
	g := gomega.NewWithT(t)
	b := NewBudget(10 << 20)
	const answerBytes = 1 << 20
	var all sync.WaitGroup
	for range 40 {
		all.Go(func() {
			r := b.NewAnswerReservation("t")
			if err := r.GrowForAnswer(context.Background(), answerBytes); err != nil {
				t.Error(err)
			}
			if b.Used() > b.LargestAnswer() {
				t.Error("more than the memory for answers is in use")
			}
			r.Release()
		})
	}
	all.Wait()
	g.Expect(b.Used()).To(gomega.BeZero())
	g.Expect(b.NewAnswerReservation("t").GrowForAnswer(context.Background(), b.LargestAnswer()+1)).To(gomega.MatchError(ErrTooLarge))
	blocking := b.NewAnswerReservation("t")
	g.Expect(blocking.GrowForAnswer(context.Background(), b.LargestAnswer())).To(gomega.Succeed())
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	g.Expect(b.NewAnswerReservation("other").GrowForAnswer(ctx, answerBytes)).To(gomega.MatchError(context.DeadlineExceeded))
}
