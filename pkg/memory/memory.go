// Package memory bounds what a node holds in memory for the requests and answers of all
// callers together. A process that exceeds the memory of its host is killed, and all its
// requests are lost with it.
package memory

import "sync/atomic"

// Purpose is what memory is reserved for. It determines which part of a budget may be in
// use afterwards.
type Purpose int

const (
	// Answer is for answers to requests that a target has run, and which would be lost.
	Answer Purpose = iota
	// LargeAnswer is for answers of more than SmallBodyBytes. A faulty target may send
	// such answers without end.
	LargeAnswer
	// SmallBody is for request bodies of at most SmallBodyBytes, so that large ones do
	// not turn them away.
	SmallBody
	// LargeBody is for all other request bodies.
	LargeBody
)

// SmallBodyBytes is the size up to which a request body counts as small.
const SmallBodyBytes = 64 << 10

// BodyPurpose returns the purpose of a request body of a size in bytes.
func BodyPurpose(size int64) Purpose {
	if size <= SmallBodyBytes {
		return SmallBody
	}
	return LargeBody
}

// ceilings is the part of a budget up to which memory is reserved for each purpose.
var ceilings = map[Purpose]float64{Answer: 1, LargeAnswer: 1, SmallBody: 0.75, LargeBody: 0.625}

// DefaultProcessBytes is the memory of the smallest entry hosts of the platform.
const DefaultProcessBytes = 184 << 20

const (
	// requestShare is the part of a process's memory for requests and answers. The rest is
	// for connections, tables and garbage.
	requestShare = 0.6
	// connectionShare is the part of a process's memory for connections whose requests are not
	// complete.
	connectionShare = 0.12
	// collectorShare is the part of a process's memory from which on garbage is collected
	// without waiting for the heap to double.
	collectorShare = 0.8
)

// ConnectionBytes returns what the connections of callers may hold before their requests are
// complete, in a process with a number of bytes.
func ConnectionBytes(process int64) int64 { return int64(connectionShare * float64(process)) }

// RequestBytes returns the size of the budget of a process with a number of bytes.
func RequestBytes(process int64) int64 { return int64(requestShare * float64(process)) }

// CollectorBytes returns the memory limit of the garbage collector of such a process.
func CollectorBytes(process int64) int64 { return int64(collectorShare * float64(process)) }

// Budget is the memory that all reservations share. Its methods may be called
// concurrently.
type Budget struct {
	bytes   int64
	used    atomic.Int64
	answers answerShares
	waiters waiters
}

// NewBudget returns a budget of a size in bytes.
func NewBudget(bytes int64) *Budget {
	return &Budget{bytes: bytes, answers: answerShares{held: map[string]int64{}}}
}

// Used returns the reserved memory in bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// Largest returns the size in bytes of the largest reservation for a purpose.
func (b *Budget) Largest(purpose Purpose) int64 { return int64(float64(b.bytes) * ceilings[purpose]) }

// NewReservation returns an empty reservation.
func (b *Budget) NewReservation() *Reservation { return &Reservation{budget: b} }

// Reservation is the memory that one request, or one answer to it, holds. Its methods may be
// called concurrently.
type Reservation struct {
	budget *Budget
	held   atomic.Int64
	// large is the part of held that was reserved for a large answer of target.
	large  atomic.Int64
	target string
}

// Grow reserves n more bytes and reports whether the budget allows it. If not, it reserves
// nothing.
func (r *Reservation) Grow(n int64, purpose Purpose) bool {
	b := r.budget
	if purpose == LargeAnswer && !b.answers.grow(r.target, n, b.LargestAnswer()) {
		return false
	}
	if b.used.Add(n) > b.Largest(purpose) {
		b.used.Add(-n)
		if purpose == LargeAnswer {
			b.answers.shrink(r.target, n)
		}
		return false
	}
	r.held.Add(n)
	if purpose == LargeAnswer {
		r.large.Add(n)
	}
	return true
}

// Shrink gives n bytes back, those of a large answer first.
func (r *Reservation) Shrink(n int64) {
	large := min(n, r.large.Load())
	r.large.Add(-large)
	r.held.Add(-n)
	r.giveBack(n, large)
}

// Release gives all bytes back.
func (r *Reservation) Release() {
	if n, large := r.held.Swap(0), r.large.Swap(0); n != 0 {
		r.giveBack(n, large)
	}
}

// giveBack gives bytes back to the budget, some of them from a large answer.
func (r *Reservation) giveBack(n, large int64) {
	r.budget.used.Add(-n)
	if large > 0 {
		r.budget.answers.shrink(r.target, large)
	}
	r.budget.waiters.wake()
}
