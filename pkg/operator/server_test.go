package operator_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/operator"
	"github.com/apricotgrade/apricotgrade/pkg/store/memory"
)

// TestKeyIdentifiesOperator guards against an operator API that answers requests
// without a valid key, or that attributes a change to the wrong operator.
func TestKeyIdentifiesOperator(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeDaemon(t)
	server := startServer(t, f, memory.New())
	for _, key := range []string{"", "key-", "key-aa", "KEY-A", "dev"} {
		_, err := operator.NewClient([]string{server.URL}, key).Status(t.Context())
		var apiErr *apierror.Error
		g.Expect(errorsAs(err, &apiErr)).To(gomega.BeTrue())
		g.Expect(apiErr.Kind).To(gomega.Equal(apierror.KindAuth), key)
	}
	_, err := operator.NewClient([]string{server.URL}, "key-b").Preset(t.Context(), "peak", 7)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(f.receivedCommands()).To(gomega.HaveLen(1))
	g.Expect(f.receivedCommands()[0].Operator).To(gomega.Equal("bob"))
	g.Expect(f.receivedCommands()[0].BaseVersion).To(gomega.Equal(state.Version(7)))
}

// TestHealthEndpointsNeedNoKey guards against health checks and metrics that require
// a key, and against a readiness check that succeeds before the node is ready, so
// that the load balancer sends it requests.
func TestHealthEndpointsNeedNoKey(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeDaemon(t)
	server := startServer(t, f, memory.New())
	get := func(path string) (int, string) {
		res, err := http.Get(server.URL + path)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = res.Body.Close() }()
		b, err := io.ReadAll(res.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return res.StatusCode, string(b)
	}
	status, _ := get("/readyz")
	g.Expect(status).To(gomega.Equal(http.StatusServiceUnavailable))
	f.ready = true
	status, _ = get("/readyz")
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	status, _ = get("/healthz")
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	_, body := get("/metrics")
	g.Expect(body).To(gomega.ContainSubstring("apricotgrade_core_steps_total"))
	status, body = get("/operator/nothing")
	g.Expect(status).To(gomega.Equal(http.StatusNotFound))
	g.Expect(body).To(gomega.ContainSubstring(`"code":"no_such_path"`))
}

// TestStatusReportsLaggingNodesAndStrandedHosts guards against a status that omits
// the versions of nodes, disabled data centres or stranded hosts, which operators
// need to find faults.
func TestStatusReportsLaggingNodesAndStrandedHosts(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeDaemon(t)
	for _, h := range []state.Host{
		{ID: "h1", Listed: true, Group: "g1"}, {ID: "h2", Listed: true, Group: "g1"}, {ID: "h3", Listed: true},
		{ID: "h4", Listed: true, Leaving: true}, {ID: "h5", Listed: true, UnansweredSince: time.Second}, {ID: "h6"},
	} {
		f.tables.Hosts.Put(h.ID, &h)
	}
	f.tables.Groups.Put("g1", &state.Group{
		ID: "g1", Members: []state.HostID{"h1", "h2"}, Phase: state.GroupServing, Healthy: true, HealthyAt: 9 * time.Second,
	})
	f.tables.Peers.Put("n2", &state.Peer{ID: "n2", Version: 6, VersionAt: 8 * time.Second, Linked: true})
	f.tables.Config.Head.DisabledDataCentres = []state.DataCentre{"south"}
	status, err := operator.NewClient([]string{startServer(t, f, memory.New()).URL}, "key-a").Status(t.Context())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status.Stranded).To(gomega.Equal([]string{"h3"}))
	g.Expect(status.DataCentres[1]).To(gomega.Equal(operator.DataCentreStatus{Name: "south", Disabled: true}))
	g.Expect(status.NodesBehind(7)).To(gomega.Equal([]operator.NodeStatus{{ID: "n2", Linked: true, Version: 6, VersionAgeMS: 2000}}))
	g.Expect(status.Groups[0].Phase).To(gomega.Equal("serving"))
	g.Expect(status.Groups[0].HealthyAgeMS).To(gomega.Equal(int64(1000)))
}

// TestInvalidChangesAreRefused guards against commands with unknown names that reach
// the decision core, and against refusals without a typed error.
func TestInvalidChangesAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeDaemon(t)
	client := operator.NewClient([]string{startServer(t, f, memory.New()).URL}, "key-a")
	ctx := context.Background()
	for name, call := range map[string]func() (operator.ChangeReply, error){
		"unknown preset":      func() (operator.ChangeReply, error) { return client.Preset(ctx, "none", 0) },
		"unknown data centre": func() (operator.ChangeReply, error) { return client.DisableDataCentre(ctx, "west", 0) },
		"unknown target":      func() (operator.ChangeReply, error) { return client.DisableTarget(ctx, "g9", 0) },
		"unknown node":        func() (operator.ChangeReply, error) { return client.ForgetNode(ctx, "n9", 0) },
		"forgetting itself":   func() (operator.ChangeReply, error) { return client.ForgetNode(ctx, "n1", 0) },
		"bad declarations":    func() (operator.ChangeReply, error) { return client.Apply(ctx, "[account a]\n", 0) },
		"preset in force gone": func() (operator.ChangeReply, error) {
			return client.Apply(ctx, strings.Replace(testDeclarations, "[preset ordinary]\n", "", 1), 0)
		},
	} {
		_, err := call()
		var apiErr *apierror.Error
		g.Expect(errorsAs(err, &apiErr)).To(gomega.BeTrue(), name)
		g.Expect(apiErr.Outcome).To(gomega.Equal(apierror.NotRun), name)
		g.Expect(apiErr.Status()).To(gomega.BeNumerically("<", 500), name)
	}
	g.Expect(f.receivedCommands()).To(gomega.BeEmpty())
	_, err := client.Plan(ctx, "[account a]\nkey_sha256 = x\n[nope]\n")
	var invalid *operator.InvalidDeclarationsError
	g.Expect(errorsAs(err, &invalid)).To(gomega.BeTrue())
	g.Expect(len(invalid.Problems)).To(gomega.BeNumerically(">=", 3))
}

// TestPlanReportsBaseVersion guards against a plan that is compared with, or reports,
// a version other than the one in force.
func TestPlanReportsBaseVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	client := operator.NewClient([]string{startServer(t, newFakeDaemon(t), memory.New()).URL}, "key-a")
	plan, err := client.Plan(t.Context(), strings.Replace(testDeclarations, "members = 2", "members = 3", 1))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(plan.BaseVersion).To(gomega.Equal(uint64(7)))
	g.Expect(plan.Changes.String()).To(gomega.Equal("~ [group g1] members: 2 -> 3"))
}

// TestRequestOutcomeAndAuditLookup guards against claims and audit entries that are
// read under the wrong row key, for example when an idempotency key contains a slash.
func TestRequestOutcomeAndAuditLookup(t *testing.T) {
	g := gomega.NewWithT(t)
	store := memory.New()
	write := func(key string, value any) {
		_, err := store.Transact(t.Context(), state.Transaction{Writes: []state.Write{{Key: key, Value: state.Encode(value)}}})
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	write(state.KeyClaim("a", "k/1 x"), state.ClaimRow{
		Phase: state.ClaimDone, Holder: "n2", Request: "r", Service: "orders", Answer: &state.Answer{Status: 201, Body: []byte("made")},
	})
	for v := state.Version(1); v <= 5; v++ {
		write(state.KeyAudit(v), state.AuditRecord{Version: v, Operator: "ann", Action: "preset", AtUnixMilli: 1000})
	}
	write(state.KeyHead, state.Head{Version: 5})
	client := operator.NewClient([]string{startServer(t, newFakeDaemon(t), store).URL}, "key-a")
	outcome, err := client.RequestOutcome(t.Context(), "a", "k/1 x")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(outcome).To(gomega.Equal(operator.RequestOutcome{
		Account: "a", IdempotencyKey: "k/1 x", State: "done", Outcome: apierror.Done, Service: "orders", RequestID: "r", Node: "n2", Status: 201, Answer: "made",
	}))
	_, err = client.RequestOutcome(t.Context(), "a", "other")
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("no_claim")))
	write(state.KeyClaim("a", "large"), state.ClaimRow{Phase: state.ClaimDone, AnswerObjectKey: "claim-answer/x"})
	g.Expect(store.Put(t.Context(), "claim-answer/x", state.Encode(state.Answer{Status: 200, Body: []byte("large")}))).To(gomega.Succeed())
	outcome, err = client.RequestOutcome(t.Context(), "a", "large")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(outcome.Answer).To(gomega.Equal("large"))
	for since, want := range map[uint64]int{0: 5, 3: 2, 5: 0, 9: 0} {
		audit, err := client.Audit(t.Context(), since, 500)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(audit.Entries).To(gomega.HaveLen(want))
	}
	_, err = client.Audit(t.Context(), 0, 501)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("from 1 to 500")))
	audit, err := client.Audit(t.Context(), 2, 2)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(audit.Entries).To(gomega.HaveLen(2))
	g.Expect(audit.Entries[0].Version).To(gomega.Equal(uint64(4)))
	g.Expect(audit.Entries[0].Time).To(gomega.Equal("1970-01-01T00:00:01Z"))
}

// TestQuarantinesAreListedAndLifted guards against a list that names a trait in another way than
// lift expects it, and against a lift without the name of the operator.
func TestQuarantinesAreListedAndLifted(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeDaemon(t)
	client := operator.NewClient([]string{startServer(t, f, memory.New()).URL}, "key-b")
	quarantines, err := client.Quarantines(t.Context())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(quarantines.Entries).To(gomega.BeEmpty())
	_, err = client.Lift(t.Context(), "part/fa")
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("not_quarantined")), "declared installation")

	part, request := state.Trait{Kind: state.PromptPartTrait, ID: 0xfa}, state.Trait{Kind: state.RequestTrait, ID: 0xfa}
	f.tables.Managed = state.NewManagedState()
	f.tables.Managed.Quarantined[request] = 9 * time.Second
	f.tables.Managed.Quarantined[part] = 12 * time.Second
	f.tables.Managed.QuarantinedArrivals[part] = 7 * time.Second
	f.tables.Managed.QuarantineRows[state.QuarantineKey(part)] = state.QuarantineRow{Trait: part, Crashes: []state.TraitCrash{{Trait: part, Host: "h1"}, {Trait: part, Host: "h2"}}}
	quarantines, err = client.Quarantines(t.Context())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(quarantines.Entries).To(gomega.Equal([]operator.Quarantine{
		{Trait: "part/fa", Hosts: []string{"h1", "h2"}, NextTrialMS: 2000, LastArrivalMS: 3000},
		{Trait: "request/fa", Hosts: []string{}, NextTrialMS: 0, LastArrivalMS: -1},
	}))
	for _, name := range []string{"", "fa", "part/", "part/xyz", "whole/fa"} {
		_, err = client.Lift(t.Context(), name)
		g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("invalid_value")), name)
	}
	for _, q := range quarantines.Entries {
		_, err = client.Lift(t.Context(), q.Trait)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	commands := f.receivedCommands()
	g.Expect(commands).To(gomega.HaveLen(2))
	g.Expect(commands[0].Trait).To(gomega.Equal(part))
	g.Expect(commands[1].Trait).To(gomega.Equal(request))
	g.Expect(commands[1].Action).To(gomega.Equal(state.ActionLift))
	g.Expect(commands[1].Operator).To(gomega.Equal("bob"))
}
