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

// settleTimeout bounds the time in which an outcome is settled or service is
// back after a failure. Leases expire after 5 s and silent connections are
// given up after 5 s; the rest is for a loaded machine.
const settleTimeout = 40 * time.Second

// executions returns how often the service executed a key.
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

// outcome returns the outcome of an error answer.
func outcome(body string) string {
	var answer struct {
		Error struct {
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(body), &answer)
	return answer.Error.Outcome
}

func (tr *transcript) control(name, fault string) {
	tr.t.Helper()
	if status, body := tr.request(http.MethodPost, name, "/control", fault); status != http.StatusNoContent {
		tr.t.Fatalf("control of %s: %d %s", name, status, body)
	}
}

// TestTargetResets guards against an order that is sent again, or called not
// run, after a target read it, ran it and reset the connection.
func TestTargetResets(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	in, _ := startInstallation(t)
	tr := &transcript{t: t, in: in}
	tr.control("orders", `{"action":"reset"}`)
	for range 3 {
		for _, node := range []string{"n1", "n2"} {
			status, body := tr.request(http.MethodPost, node, "/services/orders/orders", order, header{"Idempotency-Key", "k"})
			g.Expect(outcome(body)).NotTo(gomega.Equal("not_run"), "%s answered %d %s", node, status, body)
		}
	}
	g.Expect(tr.executions("k")).To(gomega.Equal(1))
}

// TestNodeKilled guards against an order that is executed a second time, or
// called not run, when the node that holds its claim is killed in the middle.
func TestNodeKilled(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	in, nodes := startInstallation(t)
	tr := &transcript{t: t, in: in}
	tr.control("orders", `{"action":"slow","delay_ms":2000}`)
	ended := make(chan error, 1)
	go func() {
		res, err := tr.open(http.MethodPost, "n1", "/services/orders/orders", order, header{"Idempotency-Key", "k"})
		if err == nil {
			_ = res.Body.Close()
		}
		ended <- err
	}()
	time.Sleep(time.Second)
	nodes["n1"].signal(t, syscall.SIGKILL)
	g.Expect(<-ended).To(gomega.HaveOccurred(), "the order was answered before its node was killed")
	for begin := time.Now(); time.Since(begin) < 10*time.Second; time.Sleep(time.Second) {
		status, body := tr.request(http.MethodPost, "n2", "/services/orders/orders", order, header{"Idempotency-Key", "k"})
		g.Expect(outcome(body)).NotTo(gomega.Equal("not_run"), "n2 answered %d %s", status, body)
		g.Expect(tr.executions("k")).To(gomega.BeNumerically("<=", 1))
	}
	g.Expect(tr.executions("k")).To(gomega.Equal(1))
}

// TestPlatformDown guards against a service that stops with the platform, and
// against orders and changes that pretend to be made without it.
func TestPlatformDown(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	in, nodes := startInstallation(t)
	tr := &transcript{t: t, in: in}
	nodes["platform"].signal(t, syscall.SIGSTOP)
	time.Sleep(6 * time.Second)
	for _, node := range []string{"n1", "n2"} {
		status, body := tr.request(http.MethodPost, node, "/v1/chat/completions", plain)
		g.Expect(status).To(gomega.Equal(http.StatusOK), "%s: %s", node, body)
		status, body = tr.request(http.MethodPost, node, "/services/orders/orders", order, header{"Idempotency-Key", "k-" + node})
		g.Expect(outcome(body)).To(gomega.Equal("not_run"), "%s answered %d %s", node, status, body)
		g.Expect(tr.executions("k-" + node)).To(gomega.BeZero())
	}
	out, code := in.operate("preset", "peak", "--wait", "1s", "--server", "http://"+in.address("n1-admin"))
	g.Expect(code).To(gomega.Or(gomega.Equal(command.ExitRefused), gomega.Equal(command.ExitUnknown)), out)
	nodes["platform"].signal(t, syscall.SIGCONT)
	eventually(t, settleTimeout, func() string {
		status, body := tr.request(http.MethodPost, "n1", "/services/orders/orders", order, header{"Idempotency-Key", "k-n1"})
		if status != http.StatusOK {
			return fmt.Sprintf("order answered %d %s", status, body)
		}
		return ""
	})
	g.Expect(tr.executions("k-n1")).To(gomega.Equal(1))
	out, code = in.operate("preset", "peak", "--server", "http://"+in.address("n1-admin"))
	g.Expect(code).To(gomega.Equal(command.ExitOK), out)
}

// TestStreamGoesSilent guards against a stream that hangs or loses or repeats
// words when its connection goes silent in the middle.
func TestStreamGoesSilent(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	in, _ := startInstallation(t)
	tr := &transcript{t: t, in: in}
	for _, e := range engines {
		tr.control(e.id, `{"action":"silent","after":3}`)
	}
	status, body := tr.request(http.MethodPost, "n1", "/v1/chat/completions", streamed)
	g.Expect(status).To(gomega.Equal(http.StatusOK))
	for i := range tokens {
		g.Expect(strings.Count(body, fmt.Sprintf(`"word%d "`, i))).To(gomega.Equal(1), body)
	}
	g.Expect(strings.TrimSpace(body)).To(gomega.HaveSuffix("data: [DONE]"))
	_, metrics := tr.request(http.MethodGet, "n1-admin", "/metrics", "")
	g.Expect(metrics).To(gomega.MatchRegexp(`apricotgrade_resumes_total [1-9]`))
}

// TestLeaseHolderPaused guards against two holders of a placement lease, hosts
// in two groups, and a node that serves with an old configuration after a
// pause.
func TestLeaseHolderPaused(t *testing.T) {
	t.Parallel()
	g := gomega.NewWithT(t)
	in, nodes := startInstallation(t)
	before, missing := in.status("n2")
	g.Expect(missing).To(gomega.BeEmpty())
	holder, other := before.Leases[0].Holder, "n1"
	if holder == "n1" {
		other = "n2"
	}
	nodes[holder].signal(t, syscall.SIGSTOP)
	eventually(t, settleTimeout, func() string {
		s, missing := in.status(other)
		if missing != "" {
			return missing
		}
		if l := s.Leases[0]; l.Holder != other || l.Fence <= before.Leases[0].Fence {
			return fmt.Sprintf("lease of %s is still held by %s", l.DataCentre, l.Holder)
		}
		return ""
	})
	nodes[holder].signal(t, syscall.SIGCONT)
	for _, node := range []string{"n1", "n2"} {
		eventually(t, settleTimeout, func() string { return notServing(in, node, 2) })
		s, missing := in.status(node)
		g.Expect(missing).To(gomega.BeEmpty())
		g.Expect(s.Leases[0].Holder).To(gomega.Equal(other))
		member := map[string]string{}
		for _, group := range s.Groups {
			g.Expect(group.Members).To(gomega.HaveLen(group.Wanted))
			for _, m := range group.Members {
				g.Expect(member).NotTo(gomega.HaveKey(m))
				member[m] = group.Name
			}
		}
	}
}
