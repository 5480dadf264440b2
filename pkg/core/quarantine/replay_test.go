package quarantine

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// rule decides at each node which requests are refused.
type rule interface {
	// begin records the first event of an answer, crash the loss of one with its process, and complete
	// its end.
	begin(req *replayRequest)
	crash(req *replayRequest, p Process, age time.Duration)
	complete(req *replayRequest)
	refuses(node int, parts []state.Trait) bool
}

// noRule runs all requests.
type noRule struct{}

func (noRule) begin(*replayRequest)                         {}
func (noRule) crash(*replayRequest, Process, time.Duration) {}
func (noRule) complete(*replayRequest)                      {}
func (noRule) refuses(int, []state.Trait) bool              { return false }

// firstCrashRule refuses all parts of each request that crashed at any node, or only the
// first ones.
type firstCrashRule struct {
	noRule
	quarantined   map[state.Trait]bool
	onlyFirstPart bool
}

func (r firstCrashRule) crash(req *replayRequest, _ Process, _ time.Duration) {
	parts := req.parts
	if r.onlyFirstPart {
		parts = parts[:1]
	}
	for _, part := range parts {
		r.quarantined[part] = true
	}
}

func (r firstCrashRule) refuses(_ int, parts []state.Trait) bool {
	return slices.ContainsFunc(parts, func(trait state.Trait) bool { return r.quarantined[trait] })
}

// ledgerRule is the rule under test: each node has a ledger, and what one learns reaches
// the others after messageTime.
type ledgerRule struct {
	replay  *replay
	ledgers []*Ledger
	// trials holds the last turn in which a node has tried a trait on probation.
	trials map[replayTrial]time.Duration
}

type replayTrial struct {
	node  int
	trait state.Trait
}

func newLedgerRule(p *replay) *ledgerRule {
	r := &ledgerRule{replay: p, trials: map[replayTrial]time.Duration{}}
	for range replayNodes {
		r.ledgers = append(r.ledgers, NewLedger())
	}
	var tick func()
	tick = func() {
		for i, l := range r.ledgers {
			r.spread(i, l.ConfirmRunning(p.now))
			l.Tick(p.now)
		}
		p.after(tickTime, tick)
	}
	p.after(tickTime, tick)
	return r
}

func (r *ledgerRule) spread(from int, news []state.TraitCrash) {
	for i, l := range r.ledgers {
		if i != from {
			r.replay.after(messageTime, func() { l.Merge(r.replay.now, news, false) })
		}
	}
}

func (req *replayRequest) key() attemptKey { return attemptKey{attempt: req.number} }

func (r *ledgerRule) begin(req *replayRequest) {
	r.ledgers[req.node].running[req.key()] = runningAnswer{sentAt: req.sentAt, beganAt: r.replay.now, resumed: req.resumed, traits: req.parts}
}

func (r *ledgerRule) crash(req *replayRequest, p Process, age time.Duration) {
	delete(r.ledgers[req.node].running, req.key())
	r.spread(req.node, r.ledgers[req.node].Crash(r.replay.now, p, req.sentAt, age, req.parts))
}

func (r *ledgerRule) complete(req *replayRequest) {
	l := r.ledgers[req.node]
	running, begun := l.running[req.key()]
	shown := answer{sentAt: req.sentAt, complete: true}
	if begun {
		shown = running.at(r.replay.now)
		shown.complete = true
	}
	delete(l.running, req.key())
	r.spread(req.node, l.Sound(r.replay.now, shown, req.parts))
}

func (r *ledgerRule) refuses(node int, parts []state.Trait) bool {
	l := r.ledgers[node]
	for _, trait := range parts {
		if l.isQuarantined(trait) && !r.isTrial(node, trait) {
			return true
		}
	}
	return false
}

// isTrial reports whether a node may try a trait on probation. Nodes have turns of two seconds.
func (r *ledgerRule) isTrial(node int, trait state.Trait) bool {
	const slot = 2 * time.Second
	since, onProbation := r.ledgers[node].probation[trait]
	turn := (r.replay.now - since) / slot
	key, at := replayTrial{node, trait}, since+turn*slot
	if !onProbation || int(turn)%replayNodes != node || r.trials[key] == at {
		return false
	}
	r.trials[key] = at
	return true
}

// replay runs a load over targets that end when they begin to answer a request with the
// part at fault, or by themselves.
type replay struct {
	rule rule
	// targets is the number of targets.
	targets int
	// headless is set for targets whose answers have no head before they are complete, so
	// that all their open requests look alike when they end.
	headless bool
	rnd      *rand.Rand
	now      time.Duration
	events   replayEvents
	seq      int
	alive    []bool
	starts   []int64
	// answerTime is how long an answer goes on after its first event.
	answerTime time.Duration
	// open holds the requests at each target.
	open [][]*replayRequest

	attempts                                  int
	ends, faultySent, soundSent, soundRefused int
}

type replayRequest struct {
	node   int
	parts  []state.Trait
	target int
	sentAt time.Duration
	begun  bool
	ended  bool
	// number identifies the attempt, and resumed is set for one that goes on with an answer.
	number  int
	resumed bool
	// firstEventAt is 0 before the first event.
	firstEventAt time.Duration
}

type replayEvent struct {
	at  time.Duration
	seq int
	run func()
}

type replayEvents []replayEvent

func (h replayEvents) Len() int { return len(h) }
func (h replayEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h replayEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *replayEvents) Push(x any)   { *h = append(*h, x.(replayEvent)) }
func (h *replayEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

const (
	replayNodes    = 6
	replayTargets  = 12
	messageTime    = 5 * time.Millisecond
	replayTime     = 60 * time.Second
	restartTime    = 5 * time.Second
	firstEventTime = 60 * time.Millisecond
	tickTime       = 100 * time.Millisecond
	// replayAnswerTime is that of a stream of 27 events.
	replayAnswerTime = 800 * time.Millisecond
)

func newReplay(seed uint64, targets int) *replay {
	p := &replay{rule: noRule{}, targets: targets, rnd: rand.New(rand.NewPCG(seed, 3)), alive: make([]bool, targets), starts: make([]int64, targets), open: make([][]*replayRequest, targets)}
	for i := range p.alive {
		p.alive[i] = true
	}
	return p
}

func (p *replay) after(d time.Duration, run func()) {
	p.seq++
	heap.Push(&p.events, replayEvent{p.now + d, p.seq, run})
}

func (p *replay) every(mean time.Duration, run func()) {
	var next func()
	next = func() {
		run()
		p.after(time.Duration(p.rnd.ExpFloat64()*float64(mean)), next)
	}
	p.after(time.Duration(p.rnd.ExpFloat64()*float64(mean)), next)
}

func (p *replay) run() {
	for p.events.Len() > 0 && p.events[0].at < replayTime {
		e := heap.Pop(&p.events).(replayEvent)
		p.now = e.at
		e.run()
	}
}

// sendSound sends a request of one of five first parts, one of 40 common second parts and
// a third part that only about four requests share.
func (p *replay) sendSound() {
	parts := parts(part(1+p.rnd.IntN(5)), part(100+p.rnd.IntN(40)), part(1000+int(p.now/(40*time.Millisecond))))
	node := p.rnd.IntN(replayNodes)
	if p.rule.refuses(node, parts) {
		p.soundRefused++
		return
	}
	p.soundSent++
	p.place(&replayRequest{node: node, parts: parts}, false, 2)
}

func (p *replay) sendFaulty() {
	parts := parts(part(1+p.rnd.IntN(5)), faulty, part(100+p.rnd.IntN(40)))
	if node := p.rnd.IntN(replayNodes); !p.rule.refuses(node, parts) {
		p.place(&replayRequest{node: node, parts: parts}, true, 2)
	}
}

// place sends a request to a random target, where it waits, begins its answer and
// delivers an event. A request without an event is repeated once.
func (p *replay) place(req *replayRequest, isFaulty bool, attempts int) {
	if isFaulty {
		p.faultySent++
	}
	i := p.rnd.IntN(p.targets)
	if !p.alive[i] {
		return
	}
	p.attempts++
	req.target, req.sentAt, req.number = i, p.now, p.attempts
	p.open[i] = append(p.open[i], req)
	p.after(time.Duration(p.rnd.IntN(300))*time.Millisecond, func() {
		if req.ended {
			p.repeat(req, isFaulty, attempts)
			return
		}
		req.begun = true
		if isFaulty {
			p.end(i)
			p.repeat(req, isFaulty, attempts)
			return
		}
		p.after(firstEventTime, func() {
			if req.ended {
				p.repeat(req, isFaulty, attempts)
				return
			}
			if !p.headless {
				req.firstEventAt = p.now
				p.rule.begin(req)
			}
			p.after(p.answerTime, func() {
				if req.ended {
					p.repeat(req, isFaulty, attempts)
					return
				}
				req.ended = true
				p.rule.complete(req)
			})
		})
	})
}

func (p *replay) repeat(req *replayRequest, isFaulty bool, attempts int) {
	if attempts > 1 && !p.rule.refuses(req.node, req.parts) {
		p.place(&replayRequest{node: req.node, parts: req.parts, resumed: req.firstEventAt > 0}, isFaulty, attempts-1)
	}
}

// end ends a target with all its requests.
func (p *replay) end(i int) {
	if !p.alive[i] {
		return
	}
	p.ends++
	p.alive[i] = false
	for _, req := range p.open[i] {
		if (req.begun || p.headless) && !req.ended {
			age := time.Duration(0)
			if req.firstEventAt > 0 {
				age = p.now - req.firstEventAt
			}
			p.rule.crash(req, Process{process(i).Host, p.starts[i]}, age)
		}
		req.ended = true
	}
	p.open[i] = nil
	p.after(restartTime, func() { p.alive[i] = true; p.starts[i]++ })
}

// TestReplayOfPartAtFault replays the load pattern of this package with no rule, with
// two plain rules and with the ledger. It guards against targets that go on ending, and
// against a rule that refuses sound requests.
func TestReplayOfPartAtFault(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(5) {
		run := func(newRule func(p *replay) rule) *replay {
			p := newReplay(seed, replayTargets)
			p.answerTime, p.rule = replayAnswerTime, newRule(p)
			p.every(10*time.Millisecond, p.sendSound)
			p.after(10*time.Second, func() { p.every(200*time.Millisecond, p.sendFaulty) })
			p.run()
			return p
		}
		off := run(func(*replay) rule { return noRule{} })
		firstCrash := run(func(*replay) rule { return firstCrashRule{quarantined: map[state.Trait]bool{}} })
		firstPart := run(func(*replay) rule {
			return firstCrashRule{quarantined: map[state.Trait]bool{}, onlyFirstPart: true}
		})
		ledger := run(func(p *replay) rule { return newLedgerRule(p) })
		for i, p := range []*replay{off, firstCrash, firstPart, ledger} {
			t.Logf("seed %d, %s: %d targets ended, %d requests with the part sent, %d of %d sound requests refused",
				seed, []string{"off", "first crash", "first part", "ledger"}[i], p.ends, p.faultySent, p.soundRefused, p.soundSent+p.soundRefused)
		}
		g.Expect(off.ends).To(gomega.BeNumerically(">", 50))
		g.Expect(ledger.ends).To(gomega.BeNumerically("<=", 2*minCrashes))
		g.Expect(ledger.soundRefused).To(gomega.BeZero())
		for _, plain := range []*replay{firstCrash, firstPart} {
			g.Expect(plain.soundRefused).To(gomega.BeNumerically(">", 500))
		}
	}
}

// TestReplayOfRandomEnds replays targets that end by themselves, one at a time and all at
// once, without a part at fault. It guards against the refusal of sound requests, also of
// those with a part that only four requests share.
func TestReplayOfRandomEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(10) {
		p := newReplay(seed, replayTargets)
		p.answerTime = replayAnswerTime
		rule := newLedgerRule(p)
		p.rule = rule
		p.every(10*time.Millisecond, p.sendSound)
		p.every(500*time.Millisecond, func() { p.end(p.rnd.IntN(p.targets)) })
		p.every(10*time.Second, func() {
			for i := range replayTargets {
				p.end(i)
			}
		})
		crashes := 0
		p.every(time.Second, func() {
			for _, l := range rule.ledgers {
				crashes = max(crashes, len(l.Crashes(1000)))
			}
		})
		p.run()
		t.Logf("seed %d: %d targets ended, at most %d crashes known at a time, %d of %d requests refused", seed, p.ends, crashes, p.soundRefused, p.soundSent+p.soundRefused)
		g.Expect(p.ends).To(gomega.BeNumerically(">", 60))
		g.Expect(crashes).To(gomega.BeNumerically(">", 10))
		g.Expect(p.soundRefused).To(gomega.BeZero())
	}
}

// request returns the trait of a whole request.
func request(id int) state.Trait { return state.Trait{Kind: state.RequestTrait, ID: uint64(id)} }

// TestReplayOfRequestAtFault replays a plain service with three replicas. One request ends
// each replica that runs it, with all requests there, and comes again at any node. Three
// of ten sound requests are one of five that callers send all the time. The test guards
// against replicas that go on ending, and against a rule that refuses sound requests.
func TestReplayOfRequestAtFault(t *testing.T) {
	g := gomega.NewWithT(t)
	const faultyID = 1 << 40
	refusedAtFirstCrash := 0
	for seed := range uint64(5) {
		run := func(newRule func(p *replay) rule) *replay {
			p := newReplay(seed, 3)
			p.headless, p.rule = true, newRule(p)
			unique := 1000
			p.every(50*time.Millisecond, func() {
				unique++
				traits := parts(request(unique))
				if p.rnd.IntN(10) < 3 {
					traits = parts(request(p.rnd.IntN(5)))
				}
				node := p.rnd.IntN(replayNodes)
				if p.rule.refuses(node, traits) {
					p.soundRefused++
					return
				}
				p.soundSent++
				p.place(&replayRequest{node: node, parts: traits}, false, 2)
			})
			p.after(10*time.Second, func() {
				p.every(500*time.Millisecond, func() {
					if node := p.rnd.IntN(replayNodes); !p.rule.refuses(node, parts(request(faultyID))) {
						p.place(&replayRequest{node: node, parts: parts(request(faultyID))}, true, 2)
					}
				})
			})
			p.run()
			return p
		}
		off := run(func(*replay) rule { return noRule{} })
		firstCrash := run(func(*replay) rule { return firstCrashRule{quarantined: map[state.Trait]bool{}} })
		ledger := run(func(p *replay) rule { return newLedgerRule(p) })
		for i, p := range []*replay{off, firstCrash, ledger} {
			t.Logf("seed %d, %s: %d replicas ended, the request sent %d times, %d of %d sound requests refused",
				seed, []string{"off", "first crash", "ledger"}[i], p.ends, p.faultySent, p.soundRefused, p.soundSent+p.soundRefused)
		}
		g.Expect(off.ends).To(gomega.BeNumerically(">", 15))
		g.Expect(ledger.ends).To(gomega.BeNumerically("<=", 2*minCrashes))
		g.Expect(ledger.soundRefused).To(gomega.BeZero())
		refusedAtFirstCrash += firstCrash.soundRefused
	}
	g.Expect(refusedAtFirstCrash).To(gomega.BeNumerically(">", 50))
}
