package standin_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/standin"
	"github.com/apricotgrade/apricotgrade/pkg/target"
)

const conditionTimeout = 20 * time.Second

// TestLeaderRestartsWhenMemberDies guards against a stand-in whose group keeps
// running after one of its members has died, which no real model engine does.
func TestLeaderRestartsWhenMemberDies(t *testing.T) {
	g := NewWithT(t)
	directory := map[state.HostID]string{}
	engines := map[state.HostID]*standin.Engine{}
	servers := map[state.HostID]*httptest.Server{}
	for _, id := range []state.HostID{"h1", "h2"} {
		e := standin.NewEngine(1)
		e.ID, e.Directory, e.LoadTime = id, directory, 0
		server := httptest.NewServer(e.Handler())
		defer server.Close()
		engines[id], servers[id], directory[id] = e, server, strings.TrimPrefix(server.URL, "http://")
	}
	client, ctx := target.New(), context.Background()
	probe := func() state.ProbeAnswer {
		answer, err := client.Probe(ctx, directory["h1"])
		g.Expect(err).NotTo(HaveOccurred())
		return answer
	}
	for id := range engines {
		_, err := client.Order(ctx, state.EngineOrder{Address: directory[id], Group: "g", Members: []state.HostID{"h1", "h2"}, FencingToken: 3})
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Eventually(func() state.EnginePhase { return probe().Phase }, conditionTimeout).Should(Equal(state.PhaseReady))
	res, err := client.Order(ctx, state.EngineOrder{Address: directory["h1"], Group: "g", FencingToken: 2})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.Refused).To(BeTrue())
	servers["h2"].CloseClientConnections()
	servers["h2"].Close()
	g.Eventually(func() state.EnginePhase { return probe().Phase }, conditionTimeout).Should(Equal(state.PhaseEmpty))
	g.Expect(probe().Incarnation).To(BeNumerically(">", 1))
}
