package process_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/standin"
)

func getJSON(g *WithT, url string, v any) {
	res, err := http.Get(url)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = res.Body.Close() }()
	g.Expect(json.NewDecoder(res.Body).Decode(v)).To(Succeed())
}

// TestStreamEndsWholeThroughSIGTERM guards against a shutdown that cuts a
// stream: by a limit of the daemon, or by go-zero's signal handler, which ends
// a process 5.5 s after SIGTERM.
func TestStreamEndsWholeThroughSIGTERM(t *testing.T) {
	r := newRig(t, nil)
	p := r.start("n1")
	const tokens = 80
	for _, e := range r.engines {
		e.TokenTime, e.Tokens = 100*time.Millisecond, tokens
	}
	res, err := p.request(http.MethodPost, "/v1/chat/completions", `{"model":"draft","stream":true,"messages":[]}`)
	r.Expect(err).NotTo(HaveOccurred())
	first := make([]byte, 16)
	_, err = io.ReadFull(res.Body, first)
	r.Expect(err).NotTo(HaveOccurred())
	began := time.Now()
	p.signal(syscall.SIGTERM)
	// A second signal does not shorten the shutdown.
	p.signal(syscall.SIGTERM)
	r.Eventually(func() bool {
		other, err := p.request(http.MethodGet, "/v1/models", "")
		if err == nil {
			_ = other.Body.Close()
		}
		return err != nil
	}, bound, poll).Should(BeTrue(), "the listener stays open")
	a := read(res)
	a.body = string(first) + a.body
	r.expectWhole(a, tokens)
	r.Expect(time.Since(began)).To(BeNumerically(">", 6*time.Second), "the stream ended before go-zero's handler would act")
	r.Eventually(p.exited, bound, poll).Should(Receive(BeNil()))
}

// TestSilentConnectionInStream guards against an answer with missing or
// repeated text after a connection to an engine went silent.
func TestSilentConnectionInStream(t *testing.T) {
	r := newRig(t, nil)
	p := r.start("n1")
	r.fault(`{"action":"silent","after":7}`, r.hosts...)
	r.expectWhole(p.chat(`,"stream":true`), 20)
}

// TestOrderResetRunsOnce guards against a second execution of an order that the
// service has read before it reset the connection, and against an outcome that
// is claimed without proof.
func TestOrderResetRunsOnce(t *testing.T) {
	r := newRig(t, func(doc *state.Document) { doc.Services[0].LookupPath = "" })
	p := r.start("n1")
	r.fault(`{"action":"reset","count":10}`, r.orders)
	for range 3 {
		a := p.order("k1")
		r.Expect(a.status).To(BeNumerically(">=", 400), a.body)
		r.Expect(a.body).To(ContainSubstring(`"outcome":"unknown"`))
		r.Expect(r.service.Executions("dev:k1")).To(Equal(1))
	}
}

// TestOrderResetIsLookedUp guards against an unknown outcome that stays unknown
// although the service can be asked.
func TestOrderResetIsLookedUp(t *testing.T) {
	r := newRig(t, nil)
	p := r.start("n1")
	r.fault(`{"action":"reset"}`, r.orders)
	a := p.order("k1")
	r.Expect(a.status).To(Equal(http.StatusOK), a.body)
	r.Expect(a.body).To(ContainSubstring(`"executions":1`))
	r.Expect(p.order("k1").body).To(Equal(a.body))
	r.Expect(r.service.Executions("dev:k1")).To(Equal(1))
}

// TestKilledHolderOfOrder guards against a second execution when the node that
// holds an order is killed and the caller repeats it at another node.
func TestKilledHolderOfOrder(t *testing.T) {
	r := newRig(t, nil)
	a, b := r.start("n1"), r.start("n2")
	r.linked(a, b)
	r.fault(`{"action":"slow","delay_ms":1500}`, r.orders)
	go func() { _ = a.order("k1") }()
	r.Eventually(func() int {
		var load state.LoadAnswer
		getJSON(r.WithT, r.orders+"/load", &load)
		return load.Running
	}, bound, poll).Should(Equal(1))
	a.signal(syscall.SIGKILL)
	r.Eventually(a.exited, bound, poll).Should(Receive())
	r.Eventually(func() int {
		status := b.order("k1").status
		r.Expect(r.service.Executions("dev:k1")).To(BeNumerically("<=", 1))
		return status
	}, bound, poll).Should(Equal(http.StatusOK))
	r.Expect(r.service.Executions("dev:k1")).To(Equal(1))
}

// linked waits until all nodes have a link to each other.
func (r *rig) linked(nodes ...*process) {
	for _, p := range nodes {
		r.Eventually(func() int { return strings.Count(p.logged(), `"event":1100`) }, bound, poll).
			Should(BeNumerically(">=", len(nodes)-1))
	}
}

// TestPausedNodeSendsNothingStale guards against a node that was paused and
// sends new work to a target that was taken out in the meantime.
func TestPausedNodeSendsNothingStale(t *testing.T) {
	r := newRig(t, nil)
	a, b := r.start("n1"), r.start("n2")
	r.linked(a, b)
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	a.signal(syscall.SIGSTOP)
	r.Eventually(b.logged, bound, poll).Should(ContainSubstring(`"event":1101`))
	reply, err := b.operator().OutTarget(ctx, "g1", 0)
	r.Expect(err).NotTo(HaveOccurred())
	_, err = b.operator().WaitInForce(ctx, reply.Version)
	r.Expect(err).NotTo(HaveOccurred())
	r.Eventually(func() int { return b.chat("").status }, bound, poll).ShouldNot(Equal(http.StatusOK))
	before := r.started()
	// Requests reach the paused node before it runs again.
	answers := make(chan answer, 8)
	for range cap(answers) {
		go func() {
			answers <- a.do(http.MethodPost, "/v1/chat/completions", `{"model":"draft"}`, "X-Deadline-Ms", "3000")
		}()
	}
	a.signal(syscall.SIGCONT)
	for range cap(answers) {
		var got answer
		r.Eventually(answers, bound, poll).Should(Receive(&got))
		r.Expect(got.status).To(BeNumerically(">=", 400))
		r.Expect(got.body).To(ContainSubstring(`"outcome":"not_run"`))
	}
	r.Expect(r.started()).To(Equal(before))
	_, err = b.operator().InTarget(ctx, "g1", 0)
	r.Expect(err).NotTo(HaveOccurred())
	r.Eventually(func() int { return a.chat("").status }, bound, poll).Should(Equal(http.StatusOK))
}

// TestPlatformDownForLong guards against model requests that stop with the
// platform, and against orders that are sent without a claim.
func TestPlatformDownForLong(t *testing.T) {
	r := newRig(t, nil)
	nodes := []*process{r.start("n1"), r.start("n2"), r.start("n3")}
	r.linked(nodes...)
	r.down.Store(true)
	r.Eventually(nodes[0].logged, bound, poll).Should(ContainSubstring(`"event":1404`))
	// Evidence from the platform lasts 2 s; the outage lasts several times that.
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(100 * time.Millisecond) {
		for _, p := range nodes {
			a := p.chat("")
			r.Expect(a.status).To(Equal(http.StatusOK), a.body)
		}
	}
	a := nodes[1].order("k1")
	r.Expect(a.status).To(Equal(http.StatusServiceUnavailable), a.body)
	r.Expect(a.body).To(ContainSubstring(`"outcome":"not_run"`))
	r.Expect(r.service.Executions("dev:k1")).To(BeZero())
	r.down.Store(false)
	r.Eventually(func() int { return nodes[1].order("k2").status }, bound, poll).Should(Equal(http.StatusOK))
	r.Expect(r.service.Executions("dev:k2")).To(Equal(1))
}

// TestResumeAtAnotherNode guards against a caller that cannot go on with its
// stream when its entry host dies, or gets text twice.
func TestResumeAtAnotherNode(t *testing.T) {
	r := newRig(t, nil)
	a, b := r.start("n1"), r.start("n2")
	const tokens = 60
	for _, e := range r.engines {
		e.TokenTime, e.Tokens = 20*time.Millisecond, tokens
	}
	res, err := a.request(http.MethodPost, "/v1/chat/completions", `{"model":"draft","stream":true,"messages":[]}`)
	r.Expect(err).NotTo(HaveOccurred())
	part := ""
	buf := make([]byte, 512)
	for strings.Count(part, "id: ") < 5 {
		n, err := res.Body.Read(buf)
		r.Expect(err).NotTo(HaveOccurred())
		part += string(buf[:n])
	}
	a.signal(syscall.SIGKILL)
	_ = res.Body.Close()
	whole := part[:strings.LastIndex(part, "\n\n")+2]
	id, token := res.Header.Get("X-Request-Id"), res.Header.Get("X-Resume-Token")
	rest := b.do(http.MethodGet, fmt.Sprintf("/v1/requests/%s/stream?offset=%d", id, strings.Count(whole, "id: ")), "", "X-Resume-Token", token)
	rest.body = whole + rest.body
	r.expectWhole(rest, tokens)
	r.Expect(standin.Text(tokens)).To(Equal(textOf(rest.body)))
}
