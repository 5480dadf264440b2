package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// newBenchNode returns a node of a registry of the given size. All groups serve
// the same model and have the same cold and warm limit.
func newBenchNode(groups, limit, nodes, accounts int) *fakeNode {
	doc := draftDocument(groups, limit, limit)
	doc.Presets = []state.PresetSpec{{Name: "ordinary", MaxQueueTime: 1000 * time.Hour}}
	for i := range accounts {
		doc.Accounts = append(doc.Accounts, state.AccountSpec{Name: state.AccountID(fmt.Sprintf("account%d", i)), Weight: 1 + i%3})
	}
	return newSimulation(nodes, state.Switches{}, doc).nodes[0]
}

// stepSystems passes an input to the systems without performing their outputs.
func (n *fakeNode) stepSystems(now time.Duration, in state.Input, out *state.Outbox) {
	out.Outputs = out.Outputs[:0]
	for _, s := range n.systems {
		s.Step(now, in, out)
	}
}

func (n *fakeNode) renewHealthEvidence(now time.Duration) {
	for _, g := range n.tables.Groups.All() {
		g.HealthyAt = now
	}
}

// BenchmarkRequest measures one request through the request systems: arrival,
// first byte and end. At 100 requests per second of virtual time, the rows of the
// last five minutes stay in memory.
func BenchmarkRequest(b *testing.B) {
	for _, groups := range []int{50, 600} {
		b.Run(fmt.Sprintf("targets=%d", groups), func(b *testing.B) {
			n := newBenchNode(groups, 64, 1, 10)
			var out state.Outbox
			now := time.Second
			n.stepSystems(now, state.Tick{}, &out)
			ids := make([]state.RequestID, b.N)
			for i := range ids {
				ids[i] = state.RequestID(fmt.Sprintf("req-%016d", i))
			}
			prefixes := []uint64{1, 2, 3, 4}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now += 10 * time.Millisecond
				if i%100 == 0 {
					n.renewHealthEvidence(now)
				}
				n.stepSystems(now, state.RequestArrived{
					ID: ids[i], Account: "account0", Model: "draft", Stream: true, CostTokens: 300, Timeout: time.Minute, PrefixHashes: prefixes,
				}, &out)
				if n.tables.Requests.Get(ids[i]).Attempt != 1 {
					b.Fatal("the request was not sent")
				}
				n.stepSystems(now, state.AttemptEvent{Request: ids[i], Attempt: 1, Stage: state.AttemptFirstByte}, &out)
				n.stepSystems(now, state.AttemptEvent{Request: ids[i], Attempt: 1, Stage: state.AttemptEnded, Outcome: apierror.Done}, &out)
			}
		})
	}
}

// BenchmarkTick measures a tick of the request systems with 1,000 queued
// requests of ten accounts and 600 targets at their limit.
func BenchmarkTick(b *testing.B) {
	n := newBenchNode(600, 1, 1, 10)
	var out state.Outbox
	now := time.Second
	n.stepSystems(now, state.Tick{}, &out)
	n.renewHealthEvidence(now)
	for i := range 1600 {
		n.stepSystems(now, state.RequestArrived{
			ID: state.RequestID(fmt.Sprintf("req-%d", i)), Account: state.AccountID(fmt.Sprintf("account%d", i%10)),
			Model: "draft", CostTokens: 300, Timeout: 1000 * time.Hour,
		}, &out)
	}
	queued := 0
	for _, a := range n.tables.Accounts.All() {
		queued += a.Queued
	}
	if queued != 1000 {
		b.Fatalf("%d requests are queued", queued)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now += state.TickPeriod
		if i%20 == 0 {
			n.renewHealthEvidence(now)
		}
		n.stepSystems(now, state.Tick{}, &out)
	}
}

// BenchmarkFreedSlot measures the end of an attempt and the start of the next
// one with 1,000 queued requests and 600 targets.
func BenchmarkFreedSlot(b *testing.B) {
	n := newBenchNode(600, 1, 1, 10)
	var out state.Outbox
	now := time.Second
	n.stepSystems(now, state.Tick{}, &out)
	n.renewHealthEvidence(now)
	var running []state.RequestID
	requestCount := 0
	arrive := func() {
		requestCount++
		n.stepSystems(now, state.RequestArrived{
			ID: state.RequestID(fmt.Sprintf("req-%d", requestCount)), Account: state.AccountID(fmt.Sprintf("account%d", requestCount%10)),
			Model: "draft", CostTokens: 300, Timeout: 1000 * time.Hour,
		}, &out)
		running = appendStarted(running, out.Outputs)
	}
	for range 1600 {
		arrive()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		id := running[i]
		n.stepSystems(now, state.AttemptEvent{Request: id, Attempt: 1, Stage: state.AttemptEnded, Outcome: apierror.Done}, &out)
		running = appendStarted(running, out.Outputs)
		b.StopTimer()
		arrive()
		b.StartTimer()
	}
}

func appendStarted(ids []state.RequestID, out []state.Output) []state.RequestID {
	for _, o := range out {
		if s, ok := o.(state.StartAttempt); ok {
			ids = append(ids, s.Request)
		}
	}
	return ids
}
