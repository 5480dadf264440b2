package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/promptcache"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	// urgentPath is the path of requests of priority 0.
	urgentPath = "/u/x"
	// heldReplayNodes is a number of nodes without a full mesh, each of which sees enough
	// requests within the replay to know of most parts. 91 nodes need a minute for that.
	heldReplayNodes = 12
	// replayMemoryTokens is the memory of an engine: a quarter of the parts beside full slots.
	replayMemoryTokens = 100_000
	replayRetention    = 60 * time.Second
	// sharedPart is a part that many requests share. Other keys follow it.
	sharedPart = state.PromptPartID(1)
)

// replayMemory is the memory of an engine that keeps prompts until others take their room.
type replayMemory struct {
	capacity int
	used     int
	// prefixes holds the size of the last part of each prefix, and order the prefixes, the one
	// used last at the end.
	prefixes map[uint64]int
	order    []uint64
	requests uint64
}

// inUse returns the tokens of the running requests.
func (e *replayEngine) inUse() int {
	total := 0
	for _, stream := range e.running {
		total += stream.promptTokens + stream.tokensLeft
	}
	return total
}

// take returns how much of the prompt of a stream the memory holds, and keeps the prompt as far as the
// requests that run leave room.
func (m *replayMemory) take(stream *replayStream, inUse int) int {
	if m == nil {
		return 0
	}
	held, before := 0, 0
	for _, prefix := range stream.prefixes {
		if _, ok := m.prefixes[prefix.Key]; !ok {
			break
		}
		held = prefix.Tokens
	}
	m.requests++
	m.keep(m.requests<<40, stream.promptTokens-held)
	for _, prefix := range stream.prefixes {
		m.keep(prefix.Key, prefix.Tokens-before)
		before = prefix.Tokens
	}
	for len(m.order) > 0 && m.used > max(m.capacity-inUse, 0) {
		m.used -= m.prefixes[m.order[0]]
		delete(m.prefixes, m.order[0])
		m.order = m.order[1:]
	}
	return held
}

func (m *replayMemory) keep(key uint64, tokens int) {
	if _, ok := m.prefixes[key]; ok {
		i := slices.Index(m.order, key)
		m.order = append(slices.Delete(m.order, i, i+1), key)
		return
	}
	m.prefixes[key], m.used, m.order = tokens, m.used+tokens, append(m.order, key)
}

// clear empties the memory, as a restart does.
func (m *replayMemory) clear() { m.used, m.prefixes, m.order = 0, map[uint64]int{}, nil }

// keepPrompts gives memory to all engines, and switches the setting on at all nodes if notice is set.
func (c *replayCluster) keepPrompts(notice bool) {
	for _, engine := range c.engines {
		engine.profile.KVCacheTokens = replayMemoryTokens
		engine.memory = &replayMemory{capacity: replayMemoryTokens, prefixes: map[uint64]int{}}
	}
	config := c.nodes[0].tables.Managed.PlatformConfig
	urgent := config.Routes[0]
	urgent.Name, urgent.PathPrefix, urgent.Priority = "urgent", "/u/", 0
	config.Routes = append(config.Routes, urgent)
	if !notice {
		return
	}
	for _, node := range c.nodes {
		node.tables.Self.PromptCacheRetention = replayRetention
		node.system.heldPrompts = newHeldPrompts(&node.tables.Self)
	}
}

// holdAtFirst makes the first group hold the shared part, which all nodes have seen there.
func (c *replayCluster) holdAtFirst(tokens int) {
	account := state.AccountID(accountName)
	prefixes := promptcache.Prefixes(account, modelName, []state.PromptPartID{sharedPart}, []int{tokens})
	c.engines["g0"].memory.keep(prefixes[0].Key, tokens)
	for _, node := range c.nodes {
		node.step(state.Tick{})
		if t := node.system.targets["g0"]; t.held != nil {
			t.held.Hold(node.now, prefixes)
		}
	}
}

// eachRow changes the row of the first group at all nodes.
func (c *replayCluster) eachRow(change func(*state.Instance)) {
	for _, node := range c.nodes {
		row := *node.tables.Managed.Instances.Get("g0")
		change(&row)
		node.tables.Managed.Instances.Put("g0", &row)
		node.tables.Managed.TargetInputsVersion++
	}
}

// alwaysFollow is the plainest rule that uses held prompts: the target that holds most of
// the prompt, if it has a free slot, however loaded it is.
func alwaysFollow(s *System) func(time.Duration, *activeRequest) *target {
	return func(now time.Duration, active *activeRequest) *target {
		var best *target
		most := 0
		for _, t := range active.pool.targets {
			if s.exclusion(now, t, active) != "" || t.inFlight() >= t.capacity() {
				continue
			}
			held := s.heldTokens(now, t, active)
			if held > most || held > 0 && held == most && s.cost(now, t, active) < s.cost(now, best, active) {
				best, most = t, held
			}
		}
		if best != nil {
			return best
		}
		// Without a holder that has a free slot the request is placed as if nothing were held.
		prefixes := active.prefixes
		active.prefixes = nil
		defer func() { active.prefixes = prefixes }()
		return s.pickOnRelayedCounts(now, active)
	}
}

// heldPattern is a load pattern of TestReplayOfHeldPrompts.
type heldPattern struct {
	name string
	rate float64
	// shape returns what changes the requests of a cluster.
	shape func(*replayCluster) func(*state.RoutedRequest)
	// begin prepares a cluster, and each changes it with time.
	begin func(*replayCluster)
	each  func(c *replayCluster, elapsed time.Duration)
	// saves is set if the new rule has to be better than ignoring what is held.
	saves bool
}

// heldRule is a rule of TestReplayOfHeldPrompts. on is set if nodes know what targets hold.
type heldRule struct {
	name string
	rule func(*System) func(time.Duration, *activeRequest) *target
	on   bool
}

// replay plays a pattern by a rule with three seeds and returns the sum of the results.
func (p heldPattern) replay(t *testing.T, rule heldRule) *replayResult {
	total := &replayResult{}
	for seed := range uint64(3) {
		cluster := newReplayClusterOf(t, seed+1, heldReplayNodes, rule.rule)
		cluster.keepPrompts(rule.on)
		if p.begin != nil {
			p.begin(cluster)
		}
		cluster.shape = p.shape(cluster)
		if p.each != nil {
			cluster.each = func(elapsed time.Duration) { p.each(cluster, elapsed) }
		}
		result := cluster.run(func(time.Duration) float64 { return p.rate })
		total.asked, total.inTime = total.asked+result.asked, total.inTime+result.inTime
		total.late, total.refused = total.late+result.late, total.refused+result.refused
		total.urgentAsked, total.urgentInTime = total.urgentAsked+result.urgentAsked, total.urgentInTime+result.urgentInTime
		total.firstEvents, total.peak = append(total.firstEvents, result.firstEvents...), max(total.peak, result.peak)
	}
	slices.Sort(total.firstEvents)
	return total
}

// withPart puts a shared part before a prompt.
func withPart(routed *state.RoutedRequest, part state.PromptPartID, tokens int) {
	routed.PromptParts, routed.PrefixTokens = []state.PromptPartID{part}, []int{tokens}
	routed.PromptTokens += tokens
}

// oneKey gives one key much of the traffic. The other requests have keys of their own.
func oneKey(c *replayCluster) func(*state.RoutedRequest) {
	return func(routed *state.RoutedRequest) {
		routed.PromptTokens = max(routed.PromptTokens/4, 1)
		if c.rand.Float64() < 0.4 {
			withPart(routed, sharedPart, 1960)
		} else {
			withPart(routed, state.PromptPartID(100+c.rand.IntN(80)), 1960)
		}
	}
}

// besideUrgent is the same beside urgent requests of which none has a shared part.
func besideUrgent(c *replayCluster) func(*state.RoutedRequest) {
	withKey := oneKey(c)
	return func(routed *state.RoutedRequest) {
		if c.rand.Float64() < 0.3 {
			routed.Path = urgentPath
			return
		}
		withKey(routed)
	}
}

// shortPrompts gives a quarter of the requests the same long part. The others are short.
func shortPrompts(c *replayCluster) func(*state.RoutedRequest) {
	return func(routed *state.RoutedRequest) {
		routed.PromptTokens = 20 + c.rand.IntN(100)
		if c.rand.Float64() < 0.25 {
			withPart(routed, sharedPart, 6000)
		}
	}
}

// TestReplayOfHeldPrompts replays 91 nodes and 19 groups that keep prompts. It guards against a
// rule that sends requests to a target that holds their prefix although others answer sooner,
// and against one that saves nothing.
func TestReplayOfHeldPrompts(t *testing.T) {
	// noise is the difference of two replays of one rule with different seeds.
	const noise = 0.02
	// peakNoise is the difference of the peaks of two replays with different seeds.
	const peakNoise = 5
	g := gomega.NewWithT(t)
	from := func(at time.Duration, change func(*replayCluster)) func(*replayCluster, time.Duration) {
		return func(c *replayCluster, elapsed time.Duration) {
			if elapsed == at {
				change(c)
			}
		}
	}
	holdAtFirst := func(c *replayCluster) { c.holdAtFirst(1960) }
	for _, pattern := range []heldPattern{
		{name: "one key, half of the room", rate: 225, shape: oneKey},
		{name: "one key, most of the room", rate: 350, shape: oneKey},
		{name: "one key, more than the room", rate: 500, shape: oneKey, saves: true},
		{name: "short prompts, half of the room", rate: 225, shape: shortPrompts},
		{name: "short prompts, most of the room", rate: 350, shape: shortPrompts},
		{name: "short prompts, more than the room", rate: 500, shape: shortPrompts, saves: true},
		{name: "one key beside urgent requests", rate: 500, shape: besideUrgent, saves: true},
		{name: "holder slow", rate: 300, shape: oneKey, begin: func(c *replayCluster) {
			holdAtFirst(c)
			c.engines["g0"].timeFactor *= 3
		}},
		{name: "holder departs", rate: 300, shape: oneKey, begin: holdAtFirst, each: from(3*time.Second, func(c *replayCluster) {
			c.eachRow(func(row *state.Instance) { row.Draining = true })
		})},
		{name: "holder restarts cold", rate: 300, shape: oneKey, begin: holdAtFirst, each: from(3*time.Second, func(c *replayCluster) {
			c.engines["g0"].memory.clear()
			c.eachRow(func(row *state.Instance) {
				row.StartID, row.ColdRemaining, row.RevisionSeenAt = row.StartID+1, 2*time.Second, c.now
			})
		})},
		{name: "holder limited", rate: 300, shape: oneKey, begin: func(c *replayCluster) {
			holdAtFirst(c)
			for _, node := range c.nodes {
				node.tables.Managed.TargetLimits["g0"] = state.TargetLimit{Host: "g0", StartID: 1, Rate: 8, ConfirmedAt: node.now}
			}
		}},
	} {
		inTime, urgentInTime, peak := map[string]float64{}, map[string]float64{}, map[string]int{}
		for _, rule := range []heldRule{{"ignore", waterFilling, false}, {"follow", alwaysFollow, true}, {"weigh", waterFilling, true}} {
			sum := pattern.replay(t, rule)
			inTime[rule.name], peak[rule.name] = sum.inTimePart(), sum.peak
			urgentInTime[rule.name] = float64(sum.urgentInTime) / float64(max(sum.urgentAsked, 1))
			t.Logf("%-34s %-7s asked %d, in time %.3f, late %.3f, refused %.3f, urgent in time %.3f, first event p50 %v, p90 %v, peak %d", pattern.name, rule.name, sum.asked,
				sum.inTimePart(), float64(sum.late)/float64(sum.asked), float64(sum.refused)/float64(sum.asked), urgentInTime[rule.name],
				sum.firstEvents[len(sum.firstEvents)/2].Round(time.Millisecond), sum.firstEvents[len(sum.firstEvents)*9/10].Round(time.Millisecond), sum.peak)
		}
		g.Expect(inTime["weigh"]).To(gomega.BeNumerically(">=", inTime["ignore"]-noise), pattern.name)
		g.Expect(inTime["weigh"]).To(gomega.BeNumerically(">=", inTime["follow"]-noise), pattern.name)
		g.Expect(urgentInTime["weigh"]).To(gomega.BeNumerically(">=", urgentInTime["ignore"]-noise), pattern.name)
		if pattern.begin != nil {
			g.Expect(peak["weigh"]).To(gomega.BeNumerically("<=", peak["ignore"]+peakNoise), pattern.name)
		}
		if pattern.saves {
			g.Expect(inTime["weigh"]).To(gomega.BeNumerically(">", inTime["ignore"]+noise), pattern.name)
		}
	}
}
