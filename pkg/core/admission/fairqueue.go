package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Lanes of one account, most urgent first: further attempts of requests that
// were sent before, then the three priorities.
const (
	laneRequeued = 0
	laneCount    = 4
)

// meanCostDivisor is the weight of one request in the average cost, which is the
// quantum of an account with weight 1. A quantum far above the usual cost would
// serve the accounts in long bursts.
const meanCostDivisor = 32

// fairQueue is a deficit round robin over accounts. Inside an account it holds the
// requests by lane and by class, so that a class without capacity blocks no
// other.
type fairQueue struct {
	items    map[state.RequestID]*item
	accounts map[state.AccountID]*accountQueue
	classes  map[string]*class
	weights  map[state.AccountID]int
	// ring holds the accounts with queued requests; pos is the one whose turn
	// it is.
	ring []*accountQueue
	pos  int
	// capacityEpoch numbers the changes of capacity; a class is blocked in one epoch.
	capacityEpoch uint64
	seq           uint64
	meanCost      float64
	inFlightCost  int64
	singleQueue   bool
}

type item struct {
	id       state.RequestID
	account  state.AccountID
	seq      uint64
	cost     int64
	lane     int
	class    *class
	queue    *accountQueue
	queuedAt time.Duration
	// resume is set for a generation that continues.
	resume  bool
	removed bool
}

type accountQueue struct {
	id      state.AccountID
	lanes   [laneCount][]*fifo
	count   int
	deficit int64
	// quantumGranted is whether the account has had its quantum in this turn.
	quantumGranted bool
	meter          rateMeter
	// inFlightCost is the cost of the account's running attempts on this node.
	inFlightCost int64
}

// fifo holds the items of one class in one lane of one account.
type fifo struct {
	class *class
	items []*item
	head  int
	cost  int64
}

func newFairQueue() *fairQueue {
	return &fairQueue{
		items: map[state.RequestID]*item{}, accounts: map[state.AccountID]*accountQueue{},
		classes: map[string]*class{}, weights: map[state.AccountID]int{}, capacityEpoch: 1, meanCost: 1,
	}
}

// classKey names what a request needs from a target. Requests with one key can use
// the same targets.
func classKey(req *state.Request) string {
	a := &req.Arrival
	switch {
	case a.Resume != nil:
		return "\x00" + string(a.Resume.Target)
	case req.NextStep == state.NextResume:
		return "\x00" + string(req.Target)
	case a.Kind == state.KindService:
		return "\x01" + a.Service
	case a.Version == "" && a.Adapter == "":
		return a.Model
	default:
		return strings.Join([]string{a.Model, a.Version, a.Adapter}, "\x02")
	}
}

func (q *fairQueue) classFor(req *state.Request) *class {
	k := classKey(req)
	c := q.classes[k]
	if c == nil {
		c = &class{key: k}
		q.classes[k] = c
	}
	return c
}

func (q *fairQueue) accountQueueFor(id state.AccountID) *accountQueue {
	if q.singleQueue {
		id = ""
	}
	a := q.accounts[id]
	if a == nil {
		a = &accountQueue{id: id}
		q.accounts[id] = a
	}
	return a
}

func (q *fairQueue) setWeight(id state.AccountID, weight int) { q.weights[id] = weight }

func (q *fairQueue) weight(id state.AccountID) int64 { return int64(max(q.weights[id], 1)) }

func (q *fairQueue) contains(id state.RequestID) bool { return q.items[id] != nil }

// hasClassChanged reports whether a queued request needs another class than it is in.
func (q *fairQueue) hasClassChanged(req *state.Request) bool {
	it := q.items[req.Arrival.ID]
	return it != nil && it.class.key != classKey(req)
}

func (q *fairQueue) unblockClasses() { q.capacityEpoch++ }

func (q *fairQueue) push(now time.Duration, req *state.Request, lane int) {
	a, c := q.accountQueueFor(req.Arrival.Account), q.classFor(req)
	q.seq++
	it := &item{
		id: req.Arrival.ID, account: req.Arrival.Account, seq: q.seq, cost: max(req.Arrival.CostTokens, 1),
		lane: min(lane, laneCount-1), class: c, queue: a, queuedAt: now, resume: req.NextStep == state.NextResume,
	}
	q.items[it.id] = it
	q.meanCost += (float64(it.cost) - q.meanCost) / meanCostDivisor
	f := a.fifoFor(it.lane, c)
	f.items = append(f.items, it)
	f.cost += it.cost
	c.meter.addQueued(now, it.cost)
	a.meter.addQueued(now, it.cost)
	a.count++
	if a.count == 1 {
		q.activate(a)
	}
}

func (a *accountQueue) fifoFor(lane int, c *class) *fifo {
	for _, f := range a.lanes[lane] {
		if f.class == c {
			return f
		}
	}
	f := &fifo{class: c}
	a.lanes[lane] = append(a.lanes[lane], f)
	return f
}

// activate takes up an account with new demand. One with less than its share of
// the work in flight is served first, with a credit of what it lacks; any other
// is served last, or a steady trickle of requests would keep the turn for ever.
func (q *fairQueue) activate(a *accountQueue) {
	totalWeight := q.weight(a.id)
	for _, other := range q.ring {
		totalWeight += q.weight(other.id)
	}
	a.deficit = max(q.inFlightCost*q.weight(a.id)/totalWeight-a.inFlightCost, 0)
	q.ring = append(q.ring, nil)
	copy(q.ring[q.pos+1:], q.ring[q.pos:])
	q.ring[q.pos] = a
	if a.deficit == 0 && len(q.ring) > 1 {
		q.pos++
	}
}

func (q *fairQueue) deactivate(a *accountQueue) {
	a.deficit, a.quantumGranted = 0, false
	i := slices.Index(q.ring, a)
	q.ring = slices.Delete(q.ring, i, i+1)
	if i < q.pos {
		q.pos--
	}
	if q.pos >= len(q.ring) {
		q.pos = 0
	}
}

// grantQuantum gives an account its quantum, once in each of its turns.
func (q *fairQueue) grantQuantum(a *accountQueue) {
	if !a.quantumGranted {
		a.quantumGranted = true
		a.deficit += max(int64(q.meanCost), 1) * q.weight(a.id)
	}
}

// nextUnblocked returns the account's most urgent request whose class is not blocked.
func (q *fairQueue) nextUnblocked(a *accountQueue) *item {
	for lane := range a.lanes {
		var best *item
		for i := 0; i < len(a.lanes[lane]); i++ {
			f := a.lanes[lane][i]
			it := f.first()
			if it == nil {
				a.lanes[lane] = append(a.lanes[lane][:i], a.lanes[lane][i+1:]...)
				i--
				continue
			}
			if f.class.blockedEpoch != q.capacityEpoch && (best == nil || it.seq < best.seq) {
				best = it
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// first returns the oldest item that is still there.
func (f *fifo) first() *item {
	for f.head < len(f.items) && f.items[f.head].removed {
		f.items[f.head] = nil
		f.head++
	}
	if f.head == len(f.items) {
		return nil
	}
	if f.head > len(f.items)/2 && f.head > 64 {
		f.items = append(f.items[:0], f.items[f.head:]...)
		f.head = 0
	}
	return f.items[f.head]
}

// remove takes a request out, wherever it is in its queue.
func (q *fairQueue) remove(now time.Duration, id state.RequestID) (state.AccountID, bool) {
	it := q.items[id]
	if it == nil {
		return "", false
	}
	delete(q.items, id)
	it.removed = true
	it.queue.fifoFor(it.lane, it.class).cost -= it.cost
	it.class.meter.addQueued(now, -it.cost)
	it.queue.meter.addQueued(now, -it.cost)
	it.queue.count--
	if it.queue.count == 0 {
		for lane := range it.queue.lanes {
			it.queue.lanes[lane] = nil
		}
		q.deactivate(it.queue)
	}
	return it.account, true
}

// dequeue takes a request out that is sent now.
func (q *fairQueue) dequeue(now time.Duration, it *item) {
	a := it.queue
	a.deficit -= it.cost
	a.inFlightCost += it.cost
	q.inFlightCost += it.cost
	if now > it.queuedAt {
		it.class.meter.recordSent(now, it.cost)
		a.meter.recordSent(now, it.cost)
	}
	q.remove(now, it.id)
}

func (q *fairQueue) releaseInFlight(a attempt) {
	q.accountQueueFor(a.account).inFlightCost -= a.cost
	q.inFlightCost -= a.cost
}

// classRepresentatives returns one queued request of each class.
func (q *fairQueue) classRepresentatives() []state.RequestID {
	var ids []state.RequestID
	seen := map[*class]bool{}
	for _, a := range q.ring {
		for _, lane := range a.lanes {
			for _, f := range lane {
				if it := f.first(); it != nil && !seen[f.class] {
					seen[f.class] = true
					ids = append(ids, it.id)
				}
			}
		}
	}
	return ids
}

// requestsInClassOf returns the queued requests of the class of a request, in order.
func (q *fairQueue) requestsInClassOf(id state.RequestID) []state.RequestID {
	var ids []state.RequestID
	c := q.items[id].class
	for _, a := range q.ring {
		for _, lane := range a.lanes {
			for _, f := range lane {
				if f.class != c {
					continue
				}
				for _, it := range f.items[f.head:] {
					if !it.removed {
						ids = append(ids, it.id)
					}
				}
			}
		}
	}
	return ids
}
