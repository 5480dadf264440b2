package dispatch

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const testPart = state.PromptPartID(7)

// newHeldRig returns a rig whose targets keep prompts for 30 s in 100,000 tokens of memory.
func newHeldRig(t *testing.T, groups int) *rig {
	r := newRig(t, groups)
	r.tables.Self.PromptCacheRetention = 30 * time.Second
	r.tables.Managed.PlatformConfig.Services[0].Engine.KVCacheTokens = 100_000
	r.system.heldPrompts = newHeldPrompts(&r.tables.Self)
	return r
}

// sendLong feeds a request of 4,100 tokens, of which the first part has 4,000.
func (r *rig) sendLong() state.RequestID {
	r.requestCount++
	id := state.RequestID(fmt.Sprintf("r%d", r.requestCount))
	r.step(state.RequestArrived{ID: id, Routed: &state.RoutedRequest{
		HostName: "shop.example", Path: "/a/x", HasKey: true, KeyHash: sha256.Sum256([]byte(apiKey)), AttemptID: string(id),
		Model: modelName, PromptTokens: 4100, OutputTokens: 100, Timeout: 8 * time.Second, PromptParts: []state.PromptPartID{testPart}, PrefixTokens: []int{4000},
	}})
	return id
}

// serve lets the target of a request answer it as fast as predicted.
func (r *rig) serve(id state.RequestID) {
	r.now += r.system.activeRequests[id].predicted
	r.reportStage(id, state.AttemptFirstByte)
	r.endAttempt(id, state.FailureNone, apierror.Done)
}

// holder lets a target hold the part and returns it.
func (r *rig) holder() *target {
	id := r.sendLong()
	holder := r.system.targets[state.HostID(r.lastAttempt(id).Target)]
	r.serve(id)
	return holder
}

// heldAt returns what a request with the part is expected to find at a target.
func (r *rig) heldAt(id state.HostID) int {
	req := &state.Request{Account: accountName, Arrival: state.RequestArrived{Routed: &state.RoutedRequest{
		Model: modelName, PromptTokens: 4100, PromptParts: []state.PromptPartID{testPart}, PrefixTokens: []int{4000},
	}}}
	active := &activeRequest{req: req, pool: r.system.pool(poolKey{engineService, modelName})}
	r.system.readPrefixes(active)
	return r.system.heldTokens(r.now, r.system.targets[id], active)
}

// TestHolderIsPreferredWhileItSaves guards against a held prefix that has no effect, and against
// a holder that gets requests although its load costs more than the prefix saves.
func TestHolderIsPreferredWhileItSaves(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newHeldRig(t, 6)
	holder := r.holder()
	for range 5 {
		id := r.sendLong()
		g.Expect(r.lastAttempt(id).Target).To(gomega.Equal(state.TargetID(holder.id)))
		g.Expect(r.system.activeRequests[id].heldTokens).To(gomega.Equal(4000))
		r.serve(id)
	}
	holder.load.Waiting, holder.load.WaitingTokens = 2, 8200
	g.Expect(r.lastAttempt(r.sendLong()).Target).NotTo(gomega.Equal(state.TargetID(holder.id)))
}

// TestHeldPromptIsForgotten guards against a saving at a target that no longer holds the prompt.
func TestHeldPromptIsForgotten(t *testing.T) {
	change := func(f func(*state.Instance)) func(*rig, *target) {
		return func(r *rig, holder *target) {
			row := *r.tables.Managed.Instances.Get(holder.id)
			f(&row)
			r.tables.Managed.Instances.Put(holder.id, &row)
			r.tables.Managed.TargetInputsVersion++
			r.step(state.Tick{})
		}
	}
	for name, lose := range map[string]func(*rig, *target){
		"restart":   change(func(row *state.Instance) { row.StartID++ }),
		"new epoch": change(func(row *state.Instance) { row.Membership.Epoch++ }),
		"departure": change(func(row *state.Instance) { row.Draining = true }),
		"return": func(r *rig, holder *target) {
			change(func(row *state.Instance) { row.Draining = true })(r, holder)
			change(func(row *state.Instance) { row.Draining = false })(r, holder)
		},
		"expiry":             func(r *rig, _ *target) { r.now += 30 * time.Second },
		"memory":             func(r *rig, holder *target) { holder.held.Fill(96_001) },
		"requests in flight": func(_ *rig, holder *target) { holder.peerLoad.Running = 24 },
		"lost connection": func(r *rig, holder *target) {
			for id := r.sendLong(); ; id = r.sendLong() {
				if r.lastAttempt(id).Target == state.TargetID(holder.id) {
					r.endAttempt(id, state.FailureConnectionLost, apierror.Unknown)
					return
				}
			}
		},
	} {
		g := gomega.NewWithT(t)
		r := newHeldRig(t, 3)
		holder := r.holder()
		g.Expect(r.heldAt(holder.id)).To(gomega.Equal(4000), name)
		lose(r, holder)
		if r.system.targets[holder.id] != nil {
			g.Expect(r.heldAt(holder.id)).To(gomega.BeZero(), name)
		}
	}
}

// TestDepartedTargetHoldsNothing guards against evidence on a target that departs or restarts
// while requests run there: what it held, and first events that arrive later.
func TestDepartedTargetHoldsNothing(t *testing.T) {
	for name, change := range map[string]func(*state.Instance){
		"departure": func(row *state.Instance) { row.Draining = true },
		"restart":   func(row *state.Instance) { row.StartID++ },
	} {
		g := gomega.NewWithT(t)
		r := newHeldRig(t, 3)
		holder := r.holder()
		running := r.sendLong()
		g.Expect(r.lastAttempt(running).Target).To(gomega.Equal(state.TargetID(holder.id)), name)
		row := *r.tables.Managed.Instances.Get(holder.id)
		change(&row)
		r.tables.Managed.Instances.Put(holder.id, &row)
		r.tables.Managed.TargetInputsVersion++
		r.step(state.Tick{})
		g.Expect(r.system.heldPrompts.Len()).To(gomega.BeZero(), name)
		r.reportStage(running, state.AttemptFirstByte)
		g.Expect(r.system.heldPrompts.Len()).To(gomega.BeZero(), "%s: first event of the previous process", name)
	}
}

// TestShortfallConsumesSaving guards against requests that follow a target that keeps nothing, or
// that is slower than predicted, and against a saving of requests without parts when a target
// is faster than predicted.
func TestShortfallConsumesSaving(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newHeldRig(t, 3)
	holder := r.holder()
	for range 40 {
		id := r.sendLong()
		active := r.system.activeRequests[id]
		r.now += r.system.predict(active.target, active)
		r.reportStage(id, state.AttemptFirstByte)
		r.endAttempt(id, state.FailureNone, apierror.Done)
	}
	active := &activeRequest{req: &state.Request{Account: accountName, Arrival: state.RequestArrived{Routed: &state.RoutedRequest{
		Model: modelName, PromptTokens: 4100, PromptParts: []state.PromptPartID{testPart}, PrefixTokens: []int{4000},
	}}}, pool: holder.poolOf(r)}
	r.system.readPrefixes(active)
	full := r.system.prefillSaved(holder, active, 4000)
	g.Expect(full).To(gomega.BeNumerically(">", 80*time.Millisecond))
	g.Expect(r.system.savedTime(r.now, holder, active)).To(gomega.BeNumerically("<", full/4))

	holder.shortfall = -time.Second
	active.prefixes = nil
	g.Expect(r.system.savedTime(r.now, holder, active)).To(gomega.BeZero())
}

func (t *target) poolOf(r *rig) *targetPool { return r.system.pool(poolKey{t.service, t.model}) }

// TestNothingHeldChangesNothing guards against decisions or random draws that change without a
// held prefix: the setting is on, but no prompt has parts, or the platform names no memory.
func TestNothingHeldChangesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	replay := func(prepare func(*replayCluster)) (*replayResult, []uint64) {
		c := newReplayClusterOf(t, 5, heldReplayNodes, waterFilling)
		prepare(c)
		result := c.run(func(time.Duration) float64 { return 400 })
		var draws []uint64
		for _, node := range c.nodes {
			draws = append(draws, node.tables.Rand.Uint64())
		}
		return result, draws
	}
	switchOn := func(c *replayCluster) {
		for _, node := range c.nodes {
			node.tables.Self.PromptCacheRetention = replayRetention
			node.system.heldPrompts = newHeldPrompts(&node.tables.Self)
		}
	}
	expected, expectedDraws := replay(func(c *replayCluster) { c.shape = shortPrompts(c) })
	for name, prepare := range map[string]func(*replayCluster){
		"no memory named": func(c *replayCluster) {
			switchOn(c)
			c.shape = shortPrompts(c)
		},
		"no parts": func(c *replayCluster) {
			switchOn(c)
			c.nodes[0].tables.Managed.PlatformConfig.Services[0].Engine.KVCacheTokens = replayMemoryTokens
			withParts := shortPrompts(c)
			c.shape = func(routed *state.RoutedRequest) {
				withParts(routed)
				routed.PromptParts, routed.PrefixTokens = nil, nil
			}
		},
	} {
		result, draws := replay(prepare)
		g.Expect(result).To(gomega.Equal(expected), name)
		g.Expect(draws).To(gomega.Equal(expectedDraws), name)
	}
}
