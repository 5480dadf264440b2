package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// Lanes of one account, most urgent first: further attempts of requests that were
// already sent, then the three priorities.
const (
	laneRequeued = 0
	laneCount    = 4
)

// meanCostDivisor is the inverse weight of one request in the moving average of the
// cost, which is the quantum of an account with weight 1. A quantum far above the
// usual cost would serve the accounts in long bursts.
const meanCostDivisor = 32

// fairQueue is a deficit round robin queue over accounts. Each account holds its
// requests by lane and class, so that a class without capacity does not block others.
type fairQueue struct {
	items    map[state.RequestID]*item
	accounts map[state.AccountID]*accountQueue
	classes  map[string]*class
	weights  map[state.AccountID]int
	// ring holds the accounts with queued requests; pos is the index of the account
	// whose turn it is.
	ring []*accountQueue
	pos  int
	// capacityEpoch is incremented when capacity may have grown. A class is blocked
	// while its blockedEpoch equals it.
	capacityEpoch uint64
	// seq numbers the queued items.
	seq uint64
	// meanCost is the moving average of the cost of a request, in tokens.
	meanCost float64
	// inFlightCost is the cost of all running attempts on this node, in tokens.
	inFlightCost int64
	// singleQueue puts the requests of all accounts into one account queue.
	singleQueue bool
}

// item is a queued request.
type item struct {
	id      state.RequestID
	account state.AccountID
	seq     uint64
	// cost is the expected work in tokens, at least 1.
	cost     int64
	lane     int
	class    *class
	queue    *accountQueue
	queuedAt time.Duration
	// resume is set for the resume of a generation.
	resume bool
	// removed is set once the item has left the queue. Its fifo drops it later.
	removed bool
}

// accountQueue holds the queued requests of one account.
type accountQueue struct {
	id    state.AccountID
	lanes [laneCount][]*fifo
	// count is the number of queued requests.
	count int
	// deficit is the deficit counter of the round robin: the cost in tokens that the
	// account may still send in its turn.
	deficit int64
	// quantumGranted is set once the account has received its quantum in this turn.
	quantumGranted bool
	meter          rateMeter
	// inFlightCost is the cost of the account's running attempts on this node, in
	// tokens.
	inFlightCost int64
}

// fifo holds the items of one class in one lane of one account.
type fifo struct {
	class *class
	items []*item
	// head is the index of the oldest item.
	head int
	// cost is the cost of all items that are not removed, in tokens.
	cost int64
}

func newFairQueue() *fairQueue {
	return &fairQueue{
		items: map[state.RequestID]*item{}, accounts: map[state.AccountID]*accountQueue{},
		classes: map[string]*class{}, weights: map[state.AccountID]int{}, capacityEpoch: 1, meanCost: 1,
	}
}

// classKey returns the class key of a request. Requests with the same key can use the
// same targets.
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

// hasClassChanged reports whether a queued request belongs to another class than the
// one in which it is queued.
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

// activate adds an account with new demand to the ring. An account below its share of
// the work in flight is served first, and its deficit counter starts with the missing
// work. Any other account is served last; otherwise an account with a steady low rate of
// requests would keep the turn forever.
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

// deactivate removes an account without queued requests from the ring.
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

// grantQuantum adds the quantum of an account to its deficit counter once per turn.
func (q *fairQueue) grantQuantum(a *accountQueue) {
	if !a.quantumGranted {
		a.quantumGranted = true
		a.deficit += max(int64(q.meanCost), 1) * q.weight(a.id)
	}
}

// nextUnblocked returns the most urgent request of an account whose class is not
// blocked, or nil.
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

// first returns the oldest item that is not removed, or nil.
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

// remove removes a request from any position of its queue and returns its account.
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

// dequeue removes a request that is sent now and counts its cost as in flight.
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

// requestsInClassOf returns all queued requests in the class of a queued request,
// ordered by account, lane and age.
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
