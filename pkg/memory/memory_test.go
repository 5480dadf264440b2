package memory

import (
	"sync"
	"testing"

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
