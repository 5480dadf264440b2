package dispatch

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/promptcache"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	replayNodes  = 91
	replayGroups = 19
	// replayStep is the resolution of the replay.
	replayStep = time.Millisecond
	// replayFixedLatency is the time before a request joins a pass, which the profile of the
	// engine does not name.
	replayFixedLatency = 100 * time.Millisecond
	// Requests that arrive between replayWarmUp and replayArrivals count. The replay goes on
	// until they have ended.
	replayWarmUp   = 2 * time.Second
	replayArrivals = 6 * time.Second
	replayTime     = 11 * time.Second
	// replayDelay is how long a report of loads is on its way through two hubs.
	replayDelay = 150 * time.Millisecond
)

// replayEngine is the engine of one group: in each pass it prefills the prompts that have
// arrived, as far as it has slots, and all running streams produce the tokens of the pass.
type replayEngine struct {
	profile    *state.EngineProfile
	timeFactor float64
	arriving   []*replayStream
	running    []*replayStream
	passEnd    time.Duration
	// memory holds the prompts that the engine keeps, nil if it keeps none.
	memory *replayMemory
}

// replayStream is an attempt at an engine.
type replayStream struct {
	node         *replayNode
	start        state.StartAttempt
	joinsAt      time.Duration
	promptTokens int
	tokensLeft   int
	begun        bool
	prefixes     []promptcache.Prefix
}

// step ends the current pass if it is due, reports its events, and begins the next one.
func (e *replayEngine) step(now time.Duration) {
	if now < e.passEnd {
		return
	}
	for _, stream := range e.running {
		if !stream.begun {
			stream.begun = true
			stream.node.step(state.AttemptEvent{Request: stream.start.Request, Attempt: stream.start.Attempt, Stage: state.AttemptFirstByte, AnswerStarted: true})
		}
		if stream.tokensLeft -= e.profile.StepsPerPass; stream.tokensLeft <= 0 {
			stream.node.step(state.AttemptEvent{
				Request: stream.start.Request, Attempt: stream.start.Attempt, Stage: state.AttemptEnded, Outcome: apierror.Done, AnswerStarted: true,
			})
		}
	}
	e.running = slices.DeleteFunc(e.running, func(s *replayStream) bool { return s.tokensLeft <= 0 })
	prefill := 0
	e.arriving = slices.DeleteFunc(e.arriving, func(s *replayStream) bool {
		joins := s.joinsAt <= now && len(e.running) < e.profile.Slots
		if joins {
			e.running, prefill = append(e.running, s), prefill+s.promptTokens-e.memory.take(s, e.inUse())
		}
		return joins
	})
	if len(e.running) == 0 {
		return
	}
	e.passEnd = now + time.Duration(e.profile.StepsPerPass)*stepTime(e.profile, e.timeFactor, len(e.running)) +
		time.Duration(float64(prefill)/e.profile.PrefillRate*e.timeFactor*float64(time.Second))
}

// replayNode is one node, with its open requests.
type replayNode struct{ *rig }

// replayResult counts the requests of a replay after its warm-up.
type replayResult struct {
	asked, inTime, late, refused int
	// peak is the largest number of requests at one engine.
	peak int
	// urgentAsked and urgentInTime count the requests of priority 0.
	urgentAsked, urgentInTime int
	firstEvents               []time.Duration
}

func (r *replayResult) inTimePart() float64 { return float64(r.inTime) / float64(max(r.asked, 1)) }

// replayCluster is an installation whose nodes learn the loads of the others late.
type replayCluster struct {
	nodes    []*replayNode
	engines  map[state.TargetID]*replayEngine
	rand     *rand.Rand
	now      time.Duration
	reports  []replayReport
	arrivals map[state.RequestID]time.Duration
	result   replayResult
	// answerTokens holds the length of the answer to each request.
	answerTokens map[state.RequestID]int
	// shape changes a request before it arrives, and each is called in each step. Both may be nil.
	shape func(*state.RoutedRequest)
	each  func(elapsed time.Duration)
}

// replayReport holds the loads of all nodes at one moment.
type replayReport struct {
	arrivesAt time.Duration
	loads     [][]state.TargetLoad
}

// newReplayCluster returns a cluster whose nodes decide by a rule.
func newReplayCluster(t *testing.T, seed uint64, rule func(*System) func(time.Duration, *activeRequest) *target) *replayCluster {
	return newReplayClusterOf(t, seed, replayNodes, rule)
}

// newReplayClusterOf returns a cluster with a number of nodes.
func newReplayClusterOf(t *testing.T, seed uint64, nodes int, rule func(*System) func(time.Duration, *activeRequest) *target) *replayCluster {
	c := &replayCluster{engines: map[state.TargetID]*replayEngine{}, rand: rand.New(rand.NewPCG(seed, 1)), arrivals: map[state.RequestID]time.Duration{}, answerTokens: map[state.RequestID]int{}}
	config := platformConfig(1)
	profile := config.Services[0].Engine
	profile.Slots, profile.TypicalAnswerTokens = 34, 115
	profile.StepTime, profile.StepTimePerSequence = 6070*time.Microsecond, 241*time.Microsecond
	profile.Models[0].TimeFactor = 0.6
	config.Routes[0].LatencyObjective, config.Routes[0].MaxEventGap = 250*time.Millisecond, 200*time.Millisecond
	for i := range replayGroups {
		c.engines[state.TargetID(fmt.Sprintf("g%d", i))] = &replayEngine{profile: profile, timeFactor: profile.Models[0].TimeFactor}
	}
	for i := range nodes {
		node := &replayNode{rig: newRig(t, replayGroups)}
		node.tables.Self.ID, node.tables.Rand = state.NodeID(fmt.Sprintf("n%d", i)), rand.New(rand.NewPCG(seed, uint64(i)))
		node.tables.Managed.PlatformConfig = config
		for j := range nodes {
			node.tables.Managed.Nodes.Put(state.NodeID(fmt.Sprintf("n%d", j)), &state.RegisteredNode{Entry: state.NodeEntry{DataCentre: "a"}})
		}
		node.system.pickOnRelayed = rule(node.system)
		c.nodes = append(c.nodes, node)
	}
	return c
}

// run plays the load of rate requests per second, which may change with time.
func (c *replayCluster) run(rate func(time.Duration) float64) *replayResult {
	start, nextArrival := c.nodes[0].now, time.Duration(0)
	for c.now = start; c.now < start+replayTime; c.now += replayStep {
		elapsed := c.now - start
		for _, node := range c.nodes {
			node.now = c.now
		}
		if c.each != nil {
			c.each(elapsed)
		}
		for ; nextArrival <= elapsed; nextArrival += time.Duration(c.rand.ExpFloat64() / rate(elapsed) * float64(time.Second)) {
			c.arrive(elapsed >= replayWarmUp && elapsed < replayArrivals)
		}
		for id := range replayGroups {
			c.engines[state.TargetID(fmt.Sprintf("g%d", id))].step(c.now)
		}
		if elapsed%(50*time.Millisecond) == 0 {
			for _, node := range c.nodes {
				node.step(state.Tick{})
			}
		}
		c.exchangeLoads(elapsed)
		for _, node := range c.nodes {
			c.collect(node)
		}
	}
	return &c.result
}

// arrive feeds a request to a random node. Sizes of prompts and answers are spread like those
// of short notes.
func (c *replayCluster) arrive(counts bool) {
	node := c.nodes[c.rand.IntN(len(c.nodes))]
	node.requestCount++
	id := state.RequestID(fmt.Sprintf("%s-r%d", node.tables.Self.ID, node.requestCount))
	if counts {
		c.arrivals[id] = c.now
		c.result.asked++
	}
	routed := &state.RoutedRequest{
		HostName: "shop.example", Path: "/a/x", HasKey: true, KeyHash: sha256.Sum256([]byte(apiKey)), AttemptID: string(id),
		Model: modelName, OutputTokens: 115, Timeout: 6 * time.Second,
	}
	routed.PromptTokens = min(int(674*math.Exp(0.8*c.rand.NormFloat64()-0.32)), 2340)
	c.answerTokens[id] = max(int(115*math.Exp(0.6*c.rand.NormFloat64()-0.18)), 5)
	if c.shape != nil {
		c.shape(routed)
	}
	if counts && routed.Path == urgentPath {
		c.result.urgentAsked++
	}
	node.step(state.RequestArrived{ID: id, Routed: routed})
}

// exchangeLoads takes the loads of all nodes each status period and delivers them later.
func (c *replayCluster) exchangeLoads(elapsed time.Duration) {
	if elapsed%state.PeerStatusPeriod == 0 {
		report := replayReport{arrivesAt: c.now + replayDelay, loads: make([][]state.TargetLoad, len(c.nodes))}
		for i, node := range c.nodes {
			for _, id := range state.SortedKeys(node.tables.Managed.Loads) {
				report.loads[i] = append(report.loads[i], *node.tables.Managed.Loads[id])
			}
		}
		c.reports = append(c.reports, report)
	}
	for len(c.reports) > 0 && c.now >= c.reports[0].arrivesAt {
		report := c.reports[0]
		c.reports = c.reports[1:]
		totals := map[state.HostID]state.TargetLoad{}
		for _, loads := range report.loads {
			addLoads(totals, loads, 1)
		}
		for i, node := range c.nodes {
			others := map[state.HostID]state.TargetLoad{}
			for id, load := range totals {
				others[id] = load
			}
			addLoads(others, report.loads[i], -1)
			var list []state.TargetLoad
			for _, id := range state.SortedKeys(others) {
				list = append(list, others[id])
			}
			node.tables.Managed.PeerLoads["hub"] = list
			node.step(state.PeerMessage{From: "hub", Message: state.Message{PeerStatus: &state.PeerStatus{Loads: list}}})
		}
	}
}

func addLoads(sum map[state.HostID]state.TargetLoad, loads []state.TargetLoad, sign int) {
	for _, load := range loads {
		total := sum[load.Target]
		total.Target = load.Target
		total.Running += sign * load.Running
		total.Waiting += sign * load.Waiting
		total.WaitingTokens += sign * load.WaitingTokens
		sum[load.Target] = total
	}
}

// collect sends the attempts that a node has started to their engines and counts its answers.
func (c *replayCluster) collect(node *replayNode) {
	for _, start := range node.starts {
		req := node.tables.Requests.Get(start.Request)
		engine := c.engines[start.Target]
		c.result.peak = max(c.result.peak, len(engine.arriving)+len(engine.running)+1)
		engine.arriving = append(engine.arriving, &replayStream{
			prefixes: promptcache.Prefixes(req.Account, modelName, req.Arrival.Routed.PromptParts, req.Arrival.Routed.PrefixTokens),
			node:     node, start: start, joinsAt: c.now + replayFixedLatency, promptTokens: req.Arrival.Routed.PromptTokens, tokensLeft: c.answerTokens[start.Request],
		})
	}
	node.starts = node.starts[:0]
	for _, reply := range node.replies {
		arrivedAt, counts := c.arrivals[reply.Request]
		if !counts {
			continue
		}
		delete(c.arrivals, reply.Request)
		req := node.tables.Requests.Get(reply.Request)
		switch {
		case reply.Refusal != nil:
			c.result.refused++
		case node.firstEvents[reply.Request]-arrivedAt <= req.Route.LatencyObjective:
			c.result.inTime++
			if req.Arrival.Routed.Path == urgentPath {
				c.result.urgentInTime++
			}
		default:
			c.result.late++
		}
		if reply.Refusal == nil {
			c.result.firstEvents = append(c.result.firstEvents, node.firstEvents[reply.Request]-arrivedAt)
		}
	}
	node.replies = node.replies[:0]
}

// bestOfThree is the rule that was there before: the best of three random targets, by the
// counts as they are.
func bestOfThree(s *System) func(time.Duration, *activeRequest) *target {
	return func(now time.Duration, active *activeRequest) *target {
		var eligible []candidate
		for _, t := range active.pool.targets {
			if s.exclusion(now, t, active) == "" && t.inFlight() < t.capacity() {
				predicted := timeToFirstEvent(t.engine, t.timeFactor, t.engineLoad(), active.req.Arrival.Routed.PromptTokens)
				eligible = append(eligible, candidate{t, s.penalty(now, t) + predicted})
			}
		}
		s.tables.Rand.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
		eligible = eligible[:min(3, len(eligible))]
		if len(eligible) == 0 {
			return nil
		}
		return slices.MinFunc(eligible, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) }).target
	}
}

// anyTarget is the simplest baseline: a random target that is not full.
func anyTarget(s *System) func(time.Duration, *activeRequest) *target {
	return func(now time.Duration, active *activeRequest) *target {
		var eligible []*target
		for _, t := range active.pool.targets {
			if s.exclusion(now, t, active) == "" && t.inFlight() < t.capacity() {
				eligible = append(eligible, t)
			}
		}
		if len(eligible) == 0 {
			return nil
		}
		return eligible[s.tables.Rand.IntN(len(eligible))]
	}
}

func waterFilling(s *System) func(time.Duration, *activeRequest) *target {
	return s.pickOnRelayedCounts
}

// TestReplayOfTargetsOnRelayedCounts replays 91 nodes that send to 19 groups by old counts. It
// guards against targets that get the requests of all nodes at once, so that their first
// events are late although the other groups have room.
func TestReplayOfTargetsOnRelayedCounts(t *testing.T) {
	// noise is the difference of two replays of one rule with different seeds.
	const noise = 0.02
	g := gomega.NewWithT(t)
	steady := func(rate float64) func(time.Duration) float64 { return func(time.Duration) float64 { return rate } }
	for _, load := range []struct {
		name string
		rate func(time.Duration) float64
		slow int
	}{
		{"half of the room", steady(225), 0},
		{"most of the room", steady(400), 0},
		{"a third more than the room", steady(600), 0},
		{"burst of 1.7 times for 2 s", func(at time.Duration) float64 {
			if at > 3*time.Second && at < 5*time.Second {
				return 510
			}
			return 300
		}, 0},
		{"three of the groups slow", steady(270), 3},
	} {
		inTime := map[string]float64{}
		for _, rule := range []struct {
			name string
			rule func(*System) func(time.Duration, *activeRequest) *target
		}{{"any target", anyTarget}, {"best of three", bestOfThree}, {"water-filling", waterFilling}} {
			cluster := newReplayCluster(t, 1, rule.rule)
			for i := range load.slow {
				cluster.engines[state.TargetID(fmt.Sprintf("g%d", i))].timeFactor *= 3
			}
			result := cluster.run(load.rate)
			slices.Sort(result.firstEvents)
			inTime[rule.name] = result.inTimePart()
			t.Logf("%-28s %-14s asked %d, in time %.3f, late %.3f, refused %.3f, first event p50 %v, p90 %v", load.name, rule.name, result.asked,
				result.inTimePart(), float64(result.late)/float64(result.asked), float64(result.refused)/float64(result.asked),
				result.firstEvents[len(result.firstEvents)/2].Round(time.Millisecond), result.firstEvents[len(result.firstEvents)*9/10].Round(time.Millisecond))
		}
		g.Expect(inTime["water-filling"]).To(gomega.BeNumerically(">=", inTime["best of three"]-noise), load.name)
		g.Expect(inTime["water-filling"]).To(gomega.BeNumerically(">=", inTime["any target"]-noise), load.name)
	}
}
