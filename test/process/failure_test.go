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

// getJSON decodes the JSON answer to a GET request.
func getJSON(g *WithT, url string, v any) {
	res, err := http.Get(url)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = res.Body.Close() }()
	g.Expect(json.NewDecoder(res.Body).Decode(v)).To(Succeed())
}

// TestStreamCompletesAfterSIGTERM guards against a shutdown that cuts a stream
// because of a time limit of the daemon, or because of go-zero's signal handler,
// which ends a process 5.5 s after SIGTERM.
func TestStreamCompletesAfterSIGTERM(t *testing.T) {
	r := newRig(t, nil)
	p := r.start("n1")
	const tokens = 80
	for _, e := range r.engines {
		e.TokenTime, e.AnswerTokens = 100*time.Millisecond, tokens
	}
	res, err := p.openRequest(http.MethodPost, "/v1/chat/completions", `{"model":"draft","stream":true,"messages":[]}`)
	r.Expect(err).NotTo(HaveOccurred())
	prefix := make([]byte, 16)
	_, err = io.ReadFull(res.Body, prefix)
	r.Expect(err).NotTo(HaveOccurred())
	signalledAt := time.Now()
	p.signal(syscall.SIGTERM)
	// A second signal does not shorten the shutdown.
	p.signal(syscall.SIGTERM)
	r.Eventually(func() bool {
		models, err := p.openRequest(http.MethodGet, "/v1/models", "")
		if err == nil {
			_ = models.Body.Close()
		}
		return err != nil
	}, conditionTimeout, pollInterval).Should(BeTrue(), "the listener stays open")
	streamAnswer := readAnswer(res)
	streamAnswer.body = string(prefix) + streamAnswer.body
	r.expectFullStream(streamAnswer, tokens)
	r.Expect(time.Since(signalledAt)).To(BeNumerically(">", 6*time.Second), "the stream ended before go-zero's handler would act")
	r.Eventually(p.exited, conditionTimeout, pollInterval).Should(Receive(BeNil()))
}

// TestStreamCompletesAfterSilentConnection guards against an answer with missing
// or repeated text after the connection to an engine went silent.
func TestStreamCompletesAfterSilentConnection(t *testing.T) {
	r := newRig(t, nil)
	p := r.start("n1")
	r.injectFault(`{"action":"silent","after":7}`, r.engineURLs...)
	r.expectFullStream(p.chat(`,"stream":true`), 20)
}

// TestOrderRunsOnceAfterReset guards against a second execution of an order that
// the service read before it reset the connection, and against a definite outcome
// in the answer although nothing proves it.
func TestOrderRunsOnceAfterReset(t *testing.T) {
	r := newRig(t, func(doc *state.Document) { doc.Services[0].LookupPath = "" })
	p := r.start("n1")
	r.injectFault(`{"action":"reset","count":10}`, r.serviceURL)
	for range 3 {
		a := p.order("k1")
		r.Expect(a.status).To(BeNumerically(">=", 400), a.body)
		r.Expect(a.body).To(ContainSubstring(`"outcome":"unknown"`))
		r.Expect(r.service.Executions("dev:k1")).To(Equal(1))
	}
}

// TestOrderOutcomeLookedUpAfterReset guards against an outcome that stays unknown
// after a reset although the service has a path to look it up.
func TestOrderOutcomeLookedUpAfterReset(t *testing.T) {
	r := newRig(t, nil)
	p := r.start("n1")
	r.injectFault(`{"action":"reset"}`, r.serviceURL)
	a := p.order("k1")
	r.Expect(a.status).To(Equal(http.StatusOK), a.body)
	r.Expect(a.body).To(ContainSubstring(`"executions":1`))
	r.Expect(p.order("k1").body).To(Equal(a.body))
	r.Expect(r.service.Executions("dev:k1")).To(Equal(1))
}

// TestOrderRunsOnceWhenClaimHolderKilled guards against a second execution of an
// order when the node that holds its claim is killed and the caller repeats it at
// another node.
func TestOrderRunsOnceWhenClaimHolderKilled(t *testing.T) {
	r := newRig(t, nil)
	n1, n2 := r.start("n1"), r.start("n2")
	r.waitForPeerLinks(n1, n2)
	r.injectFault(`{"action":"slow","delay_ms":1500}`, r.serviceURL)
	go func() { _ = n1.order("k1") }()
	r.Eventually(func() int {
		var load state.LoadAnswer
		getJSON(r.WithT, r.serviceURL+"/load", &load)
		return load.Running
	}, conditionTimeout, pollInterval).Should(Equal(1))
	n1.signal(syscall.SIGKILL)
	r.Eventually(n1.exited, conditionTimeout, pollInterval).Should(Receive())
	r.Eventually(func() int {
		status := n2.order("k1").status
		r.Expect(r.service.Executions("dev:k1")).To(BeNumerically("<=", 1))
		return status
	}, conditionTimeout, pollInterval).Should(Equal(http.StatusOK))
	r.Expect(r.service.Executions("dev:k1")).To(Equal(1))
}

// waitForPeerLinks waits until each node has logged a peer link (event 1100) to
// each other node.
func (r *rig) waitForPeerLinks(nodes ...*process) {
	for _, p := range nodes {
		r.Eventually(func() int { return strings.Count(p.logText(), `"event":1100`) }, conditionTimeout, pollInterval).
			Should(BeNumerically(">=", len(nodes)-1))
	}
}

// TestPausedNodeObeysTargetDisabledMeanwhile guards against a node that resumes
// after a pause and sends new work to a target that was disabled during the pause.
func TestPausedNodeObeysTargetDisabledMeanwhile(t *testing.T) {
	r := newRig(t, nil)
	n1, n2 := r.start("n1"), r.start("n2")
	r.waitForPeerLinks(n1, n2)
	ctx, cancel := context.WithTimeout(context.Background(), conditionTimeout)
	defer cancel()
	n1.signal(syscall.SIGSTOP)
	r.Eventually(n2.logText, conditionTimeout, pollInterval).Should(ContainSubstring(`"event":1101`))
	reply, err := n2.operator().DisableTarget(ctx, "g1", 0)
	r.Expect(err).NotTo(HaveOccurred())
	_, err = n2.operator().WaitInForce(ctx, reply.Version)
	r.Expect(err).NotTo(HaveOccurred())
	r.Eventually(func() int { return n2.chat("").status }, conditionTimeout, pollInterval).ShouldNot(Equal(http.StatusOK))
	startedBefore := r.startedGenerations()
	// The requests start while the node is paused and wait for it to resume.
	answers := make(chan answer, 8)
	for range cap(answers) {
		go func() {
			answers <- n1.request(http.MethodPost, "/v1/chat/completions", `{"model":"draft"}`, "X-Deadline-Ms", "3000")
		}()
	}
	n1.signal(syscall.SIGCONT)
	for range cap(answers) {
		var got answer
		r.Eventually(answers, conditionTimeout, pollInterval).Should(Receive(&got))
		r.Expect(got.status).To(BeNumerically(">=", 400))
		r.Expect(got.body).To(ContainSubstring(`"outcome":"not_run"`))
	}
	r.Expect(r.startedGenerations()).To(Equal(startedBefore))
	_, err = n2.operator().EnableTarget(ctx, "g1", 0)
	r.Expect(err).NotTo(HaveOccurred())
	r.Eventually(func() int { return n1.chat("").status }, conditionTimeout, pollInterval).Should(Equal(http.StatusOK))
}

// TestModelRequestsServedDuringPlatformOutage guards against model requests that
// fail during a long outage of the platform, and against orders that are sent
// without a claim.
func TestModelRequestsServedDuringPlatformOutage(t *testing.T) {
	r := newRig(t, nil)
	nodes := []*process{r.start("n1"), r.start("n2"), r.start("n3")}
	r.waitForPeerLinks(nodes...)
	r.platformDown.Store(true)
	r.Eventually(nodes[0].logText, conditionTimeout, pollInterval).Should(ContainSubstring(`"event":1404`))
	// Evidence from the platform is valid for 2 s; the outage lasts several times
	// that.
	for start := time.Now(); time.Since(start) < 10*time.Second; time.Sleep(100 * time.Millisecond) {
		for _, p := range nodes {
			a := p.chat("")
			r.Expect(a.status).To(Equal(http.StatusOK), a.body)
		}
	}
	a := nodes[1].order("k1")
	r.Expect(a.status).To(Equal(http.StatusServiceUnavailable), a.body)
	r.Expect(a.body).To(ContainSubstring(`"outcome":"not_run"`))
	r.Expect(r.service.Executions("dev:k1")).To(BeZero())
	r.platformDown.Store(false)
	r.Eventually(func() int { return nodes[1].order("k2").status }, conditionTimeout, pollInterval).Should(Equal(http.StatusOK))
	r.Expect(r.service.Executions("dev:k2")).To(Equal(1))
}

// TestStreamResumesAtAnotherNode guards against a caller that cannot resume its
// stream at another node after its entry host has died, or receives text twice.
func TestStreamResumesAtAnotherNode(t *testing.T) {
	r := newRig(t, nil)
	n1, n2 := r.start("n1"), r.start("n2")
	const tokens = 60
	for _, e := range r.engines {
		e.TokenTime, e.AnswerTokens = 20*time.Millisecond, tokens
	}
	res, err := n1.openRequest(http.MethodPost, "/v1/chat/completions", `{"model":"draft","stream":true,"messages":[]}`)
	r.Expect(err).NotTo(HaveOccurred())
	received := ""
	buf := make([]byte, 512)
	for strings.Count(received, "id: ") < 5 {
		n, err := res.Body.Read(buf)
		r.Expect(err).NotTo(HaveOccurred())
		received += string(buf[:n])
	}
	n1.signal(syscall.SIGKILL)
	_ = res.Body.Close()
	fullEvents := received[:strings.LastIndex(received, "\n\n")+2]
	id, token := res.Header.Get("X-Request-Id"), res.Header.Get("X-Resume-Token")
	rest := n2.request(http.MethodGet, fmt.Sprintf("/v1/requests/%s/stream?offset=%d", id, strings.Count(fullEvents, "id: ")), "", "X-Resume-Token", token)
	rest.body = fullEvents + rest.body
	r.expectFullStream(rest, tokens)
	r.Expect(standin.GeneratedText(tokens)).To(Equal(streamText(rest.body)))
}
