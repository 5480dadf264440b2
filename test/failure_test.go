package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/command"
	"github.com/apricotgrade/apricotgrade/pkg/standin"
)

// recoveryTimeout limits the wait until an outcome is known or requests are served
// again after a failure. Leases expire after 5 s and silent connections are
// abandoned after 5 s; the rest is allowance for a loaded machine.
const recoveryTimeout = 40 * time.Second

// executions returns the number of executions of orders with this key at the
// service.
func (tr *transcript) executions(key string) int {
	tr.t.Helper()
	status, body := tr.request(http.MethodGet, "orders", "/orders/office:"+key, "")
	if status == http.StatusNotFound {
		return 0
	}
	var order standin.OrderStatus
	if err := json.Unmarshal([]byte(body), &order); err != nil {
		tr.t.Fatalf("%v: %s", err, body)
	}
	return order.Executions
}

// errorOutcome returns the outcome field of an error answer.
func errorOutcome(body string) string {
	var answer struct {
		Error struct {
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(body), &answer)
	return answer.Error.Outcome
}

// injectFault sends a fault to POST /control of a stand-in.
func (tr *transcript) injectFault(name, fault string) {
	tr.t.Helper()
	if status, body := tr.request(http.MethodPost, name, "/control", fault); status != http.StatusNoContent {
		tr.t.Fatalf("inject fault into %s: status %d: %s", name, status, body)
	}
}

// TestOrderNotRepeatedAfterReset guards against an order that is sent again, or
// reported as not run, after the service has run it and reset the connection.
func TestOrderNotRepeatedAfterReset(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	in, _ := startInstallation(t)
	tr := &transcript{t: t, inst: in}
	tr.injectFault("orders", `{"action":"reset"}`)
	for range 3 {
		for _, node := range []string{"n1", "n2"} {
			status, body := tr.request(http.MethodPost, node, "/services/orders/orders", orderBody, header{"Idempotency-Key", "k"})
			g.Expect(errorOutcome(body)).NotTo(gomega.Equal("not_run"), "%s answered %d %s", node, status, body)
		}
	}
	g.Expect(tr.executions("k")).To(gomega.Equal(1))
}

// TestOrderNotRepeatedAfterNodeKill guards against an order that is executed a
// second time, or reported as not run, when the node that holds its claim is killed
// while the service works on it.
func TestOrderNotRepeatedAfterNodeKill(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	inst, nodes := startInstallation(t)
	tr := &transcript{t: t, inst: inst}
	tr.injectFault("orders", `{"action":"slow","delay_ms":2000}`)
	requestErr := make(chan error, 1)
	go func() {
		res, err := tr.openRequest(http.MethodPost, "n1", "/services/orders/orders", orderBody, header{"Idempotency-Key", "k"})
		if err == nil {
			_ = res.Body.Close()
		}
		requestErr <- err
	}()
	time.Sleep(time.Second)
	nodes["n1"].signal(t, syscall.SIGKILL)
	g.Expect(<-requestErr).To(gomega.HaveOccurred(), "the order was answered before its node was killed")
	for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(time.Second) {
		status, body := tr.request(http.MethodPost, "n2", "/services/orders/orders", orderBody, header{"Idempotency-Key", "k"})
		g.Expect(errorOutcome(body)).NotTo(gomega.Equal("not_run"), "n2 answered %d %s", status, body)
		g.Expect(tr.executions("k")).To(gomega.BeNumerically("<=", 1))
	}
	g.Expect(tr.executions("k")).To(gomega.Equal(1))
}

// TestModelRequestsServedWhilePlatformDown guards against model requests that fail
// while the platform does not answer, and against orders and configuration changes
// that are reported as done without it.
func TestModelRequestsServedWhilePlatformDown(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	inst, nodes := startInstallation(t)
	tr := &transcript{t: t, inst: inst}
	nodes["platform"].signal(t, syscall.SIGSTOP)
	time.Sleep(6 * time.Second)
	for _, node := range []string{"n1", "n2"} {
		status, body := tr.request(http.MethodPost, node, "/v1/chat/completions", chatBody)
		g.Expect(status).To(gomega.Equal(http.StatusOK), "%s: %s", node, body)
		status, body = tr.request(http.MethodPost, node, "/services/orders/orders", orderBody, header{"Idempotency-Key", "k-" + node})
		g.Expect(errorOutcome(body)).To(gomega.Equal("not_run"), "%s answered %d %s", node, status, body)
		g.Expect(tr.executions("k-" + node)).To(gomega.BeZero())
	}
	out, code := inst.runOperator("preset", "peak", "--wait", "1s", "--server", "http://"+inst.address("n1-admin"))
	g.Expect(code).To(gomega.Or(gomega.Equal(command.ExitRefused), gomega.Equal(command.ExitUnknown)), out)
	nodes["platform"].signal(t, syscall.SIGCONT)
	eventually(t, recoveryTimeout, func() string {
		status, body := tr.request(http.MethodPost, "n1", "/services/orders/orders", orderBody, header{"Idempotency-Key", "k-n1"})
		if status != http.StatusOK {
			return fmt.Sprintf("order answered %d %s", status, body)
		}
		return ""
	})
	g.Expect(tr.executions("k-n1")).To(gomega.Equal(1))
	out, code = inst.runOperator("preset", "peak", "--server", "http://"+inst.address("n1-admin"))
	g.Expect(code).To(gomega.Equal(command.ExitOK), out)
}

// TestStreamResumedAfterSilentConnection guards against a stream that hangs, or
// loses or repeats tokens, when its connection goes silent in the middle.
func TestStreamResumedAfterSilentConnection(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	in, _ := startInstallation(t)
	tr := &transcript{t: t, inst: in}
	for _, e := range engines {
		tr.injectFault(e.id, `{"action":"silent","after":3}`)
	}
	status, body := tr.request(http.MethodPost, "n1", "/v1/chat/completions", streamedChatBody)
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	for i := range answerTokens {
		g.Expect(strings.Count(body, fmt.Sprintf(`"word%d "`, i))).To(gomega.Equal(1), body)
	}
	g.Expect(strings.TrimSpace(body)).To(gomega.HaveSuffix("data: [DONE]"))
	_, metrics := tr.request(http.MethodGet, "n1-admin", "/metrics", "")
	g.Expect(metrics).To(gomega.MatchRegexp(`apricotgrade_resumes_total [1-9]`))
}

// TestPausedLeaseHolderIsReplaced guards against two holders of a placement lease,
// hosts in two groups, and a node that serves with an old configuration, after the
// lease holder was paused for longer than its lease.
func TestPausedLeaseHolderIsReplaced(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	inst, nodes := startInstallation(t)
	before, problem := inst.status("n2")
	g.Expect(problem).To(gomega.BeEmpty())
	holder, other := before.Leases[0].Holder, "n1"
	if holder == "n1" {
		other = "n2"
	}
	nodes[holder].signal(t, syscall.SIGSTOP)
	eventually(t, recoveryTimeout, func() string {
		nodeStatus, problem := inst.status(other)
		if problem != "" {
			return problem
		}
		if lease := nodeStatus.Leases[0]; lease.Holder != other || lease.FencingToken <= before.Leases[0].FencingToken {
			return fmt.Sprintf("lease of %s is still held by %s", lease.DataCentre, lease.Holder)
		}
		return ""
	})
	nodes[holder].signal(t, syscall.SIGCONT)
	for _, node := range []string{"n1", "n2"} {
		eventually(t, recoveryTimeout, func() string { return notServingReason(inst, node, 2) })
		nodeStatus, problem := inst.status(node)
		g.Expect(problem).To(gomega.BeEmpty())
		g.Expect(nodeStatus.Leases[0].Holder).To(gomega.Equal(other))
		groupOfHost := map[string]string{}
		for _, group := range nodeStatus.Groups {
			g.Expect(group.Members).To(gomega.HaveLen(group.DeclaredMembers))
			for _, host := range group.Members {
				g.Expect(groupOfHost).NotTo(gomega.HaveKey(host))
				groupOfHost[host] = group.Name
			}
		}
	}
}
