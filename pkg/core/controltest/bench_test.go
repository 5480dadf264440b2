package controltest

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// BenchmarkSteadySecond measures one second of a cluster in steady state: ticks,
// polls, probes and head reads of all nodes, including the delivery of messages by
// the test. Divide by the number of nodes and by 20 for the cost per tick of a node.
func BenchmarkSteadySecond(b *testing.B) {
	for _, groups := range []int{0, 50, 600} {
		b.Run(fmt.Sprintf("6 nodes %d groups", groups), func(b *testing.B) {
			gomega.RegisterTestingT(b)
			c := newClusterWithGroups(6, groups)
			b.ReportAllocs()
			for b.Loop() {
				c.run(time.Second)
			}
			b.ReportMetric(float64(len(state.Encode(state.Message{PollReply: c.lastPollReplies["n1"]}))), "B/reply")
		})
	}
}

// BenchmarkIdleTick measures a tick of a node on which nothing is due.
func BenchmarkIdleTick(b *testing.B) {
	for _, groups := range []int{0, 600} {
		b.Run(fmt.Sprintf("%d groups", groups), func(b *testing.B) {
			gomega.RegisterTestingT(b)
			c := newClusterWithGroups(6, groups)
			n := c.nodes["n1"]
			n.feed(state.Tick{})
			b.ReportAllocs()
			for b.Loop() {
				var out state.Outbox
				for _, s := range n.systems {
					s.Step(n.clock(), state.Tick{}, &out)
				}
			}
		})
	}
}
