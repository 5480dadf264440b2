package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/daemon"
	"github.com/apricotgrade/apricotgrade/pkg/standin"
	"github.com/apricotgrade/apricotgrade/pkg/store/memory"
	"github.com/apricotgrade/apricotgrade/pkg/target"
)

// testGateway is the gateway of a running node with two engines and an order service.
type testGateway struct {
	*WithT
	gateway *Gateway
	daemon  *daemon.Daemon
	service *standin.Service
	engines []*standin.Engine
	url     string
}

func newTestGateway(t *testing.T) *testGateway {
	t.Helper()
	r := &testGateway{WithT: NewWithT(t), service: standin.NewService()}
	services := httptest.NewServer(r.service.Handler())
	t.Cleanup(services.Close)
	store := memory.New()
	var hosts []state.ListedHost
	for i, id := range []state.HostID{"h1", "h2"} {
		e := standin.NewEngine(state.Incarnation(i + 1))
		e.LoadTime, e.TokenTime, e.AnswerTokens = 0, 0, answerTokens
		r.engines = append(r.engines, e)
		s := httptest.NewServer(e.Handler())
		t.Cleanup(s.Close)
		hosts = append(hosts, state.ListedHost{ID: id, Address: address(s), DataCentre: "north", Domain: "d1"})
	}
	store.SetHosts(hosts)
	doc := standin.DemoDocument(1, address(services))
	doc.Models[0].Adapters = []string{"tags"}
	doc.Groups[0].Adapters = []string{"tags"}
	r.Expect(standin.Seed(context.Background(), store, doc)).To(Succeed())
	log := slog.New(slog.DiscardHandler)
	targets := target.New()
	r.daemon = daemon.New(core.New(state.Self{ID: "n1", DataCentre: "north", Incarnation: 1}, state.Switches{}, 1), store, targets, nil, log)
	r.gateway = New(r.daemon, targets, Options{Log: log})
	server := httptest.NewServer(r.gateway.Handler())
	r.url = server.URL
	ctx, cancel := context.WithCancel(context.Background())
	go r.daemon.Run(ctx)
	t.Cleanup(func() { cancel(); <-r.daemon.Done(); server.Close() })
	r.Eventually(func() int {
		status, _, _ := r.do("POST", "/v1/chat/completions", `{"model":"draft","messages":[]}`)
		return status
	}, eventuallyTimeout).Should(Equal(http.StatusOK))
	return r
}

// do sends a request. It has a valid API key unless header, a list of names and values,
// contains another one.
func (r *testGateway) do(method, path, body string, header ...string) (int, http.Header, string) {
	req, err := http.NewRequest(method, r.url, strings.NewReader(body))
	r.Expect(err).NotTo(HaveOccurred())
	path, req.URL.RawQuery, _ = strings.Cut(path, "?")
	req.URL.Opaque = path
	req.Header.Set("Authorization", "Bearer dev")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	r.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	r.Expect(err).NotTo(HaveOccurred())
	return res.StatusCode, res.Header, string(b)
}

// recordCount returns the number of requests and claims in the state of the node.
func (r *testGateway) recordCount() (n int) {
	r.daemon.View(func(t *state.Tables) { n = t.Requests.Len() + t.Claims.Len() })
	return n
}

// TestInvalidRequestIsRefused guards against a refusal without a typed error, and
// against an invalid request that changes the state of the node.
func TestInvalidRequestIsRefused(t *testing.T) {
	r := newTestGateway(t)
	const chat, good = "/v1/chat/completions", `{"model":"draft","messages":[]}`
	longText := strings.Repeat("k", 200)
	for _, c := range []struct {
		name, method, path, body string
		header                   []string
		status                   int
		code                     string
	}{
		{"wrong key", "POST", chat, good, []string{"Authorization", "Bearer wrong"}, 401, "invalid_api_key"},
		{"no bearer", "POST", chat, good, []string{"Authorization", "dev"}, 401, "invalid_api_key"},
		{"malformed", "POST", chat, `{"model":`, nil, 400, "invalid_json"},
		{"array", "POST", chat, `[1]`, nil, 400, "invalid_json"},
		{"trailing", "POST", chat, good + good, nil, 400, "invalid_json"},
		{"empty", "POST", chat, ``, nil, 400, "invalid_json"},
		{"no model", "POST", chat, `{"messages":[]}`, nil, 400, "invalid_json"},
		{"model twice", "POST", chat, `{"model":"draft","model":"other"}`, nil, 400, "invalid_json"},
		{"model type", "POST", chat, `{"model":1}`, nil, 400, "invalid_json"},
		{"stream type", "POST", chat, `{"model":"draft","stream":"yes"}`, nil, 400, "invalid_json"},
		{"negative tokens", "POST", chat, `{"model":"draft","max_tokens":-1}`, nil, 400, "invalid_json"},
		{"unknown model", "POST", chat, `{"model":"none"}`, nil, 404, "model_not_found"},
		{"unknown adapter", "POST", chat, `{"model":"draft:none"}`, nil, 404, "model_not_found"},
		{"unknown version", "POST", chat, `{"model":"draft@9"}`, nil, 404, "model_not_found"},
		{"empty version", "POST", chat, `{"model":"draft@"}`, nil, 404, "model_not_found"},
		{"body over limit", "POST", chat, strings.Repeat(" ", maxBodyBytes+1), nil, 413, "body_too_large"},
		{"header over limit", "POST", chat, good, []string{"X-Long", strings.Repeat("x", maxHeaderBytes)}, 413, "header_too_large"},
		{"request id", "POST", chat, good, []string{"X-Request-Id", "a b"}, 400, "invalid_request_id"},
		{"long request id", "POST", chat, good, []string{"X-Request-Id", longText}, 400, "invalid_request_id"},
		{"deadline", "POST", chat, good, []string{"X-Deadline-Ms", "-5"}, 400, "invalid_deadline"},
		{"priority", "POST", chat, good, []string{"X-Priority", "urgent"}, 400, "invalid_priority"},
		{"unknown path", "GET", "/v2/models", "", nil, 404, "unknown_path"},
		{"method", "DELETE", "/v1/models", "", nil, 405, "method_not_allowed"},
		{"unknown service", "GET", "/services/none/x", "", nil, 404, "service_not_found"},
		{"climb", "GET", "/services/orders/../../operator/status", "", nil, 400, "invalid_path"},
		{"encoded climb", "GET", "/services/orders/%2e%2e/load", "", nil, 400, "invalid_path"},
		{"twice encoded climb", "GET", "/services/orders/%252e%252e/load", "", nil, 400, "invalid_path"},
		{"encoded slash", "GET", "/services/orders/..%2fload", "", nil, 400, "invalid_path"},
		{"backslash", "GET", "/services/orders/..%5cload", "", nil, 400, "invalid_path"},
		{"climb to model", "POST", "/v1/x/../chat/completions", good, nil, 400, "invalid_path"},
		{"empty element", "POST", "/services/orders//orders", "x", []string{"Idempotency-Key", "k"}, 400, "invalid_path"},
		{"no key", "POST", "/services/orders/orders", "x", nil, 400, "missing_idempotency_key"},
		{"no key, case", "POST", "/services/orders/Orders/", "x", nil, 400, "missing_idempotency_key"},
		{"long key", "POST", "/services/orders/orders", "x", []string{"Idempotency-Key", longText}, 400, "idempotency_key_too_long"},
		{"key form", "POST", "/services/orders/orders", "x", []string{"Idempotency-Key", "a b"}, 400, "invalid_idempotency_key"},
		{"unknown request", "GET", "/v1/requests/none", "", nil, 404, "request_not_known"},
		{"token", "GET", "/v1/requests/x/stream?offset=0", "", []string{"X-Resume-Token", "a.b"}, 400, "invalid_resume_token"},
		{"offset", "GET", "/v1/requests/x/stream?offset=-1", "", nil, 400, "invalid_offset"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			before := r.recordCount()
			status, header, body := r.do(c.method, c.path, c.body, c.header...)
			g.Expect(status).To(Equal(c.status), body)
			g.Expect(header.Get("Content-Type")).To(Equal("application/json"))
			var answer struct {
				Error struct{ Type, Code, Message, Outcome string }
			}
			g.Expect(json.Unmarshal([]byte(body), &answer)).To(Succeed(), body)
			g.Expect(answer.Error.Code).To(Equal(c.code))
			g.Expect(answer.Error.Type).NotTo(BeEmpty())
			g.Expect(answer.Error.Message).NotTo(BeEmpty())
			if c.code != "request_not_known" {
				g.Expect(answer.Error.Outcome).To(Equal("not_run"))
			}
			g.Expect(r.recordCount()).To(Equal(before))
		})
	}
	r.Expect(r.service.Executions("dev:k")).To(BeZero())
}

// TestListedModelsAreServed guards against a model, adapter or version that
// GET /v1/models lists but completion requests cannot use.
func TestListedModelsAreServed(t *testing.T) {
	r := newTestGateway(t)
	_, _, body := r.do("GET", "/v1/models", "")
	for _, name := range []string{"draft", "draft@1", "draft:tags", "draft:tags@1"} {
		r.Expect(body).To(ContainSubstring(`"id":"` + name + `"`))
		status, _, answer := r.do("POST", "/v1/chat/completions", `{"model":"`+name+`","messages":[],"unknown_field":{"x":[1]}}`)
		r.Expect(status).To(Equal(http.StatusOK), answer)
		// The engine receives the model and the adapter without the version.
		engine, _, _ := strings.Cut(name, "@")
		r.Expect(answer).To(ContainSubstring(`"model":"` + engine + `"`))
		r.Expect(answer).To(ContainSubstring(`"usage":`))
	}
}

// TestStreamHasOpenAIFormat guards against streams that OpenAI clients cannot parse.
func TestStreamHasOpenAIFormat(t *testing.T) {
	r := newTestGateway(t)
	for _, path := range []string{"/v1/chat/completions", "/v1/completions"} {
		status, header, body := r.do("POST", path,
			`{"model":"draft","stream":true,"stream_options":{"include_usage":true},"messages":[],"prompt":"x"}`, "X-Request-Id", "mine"+strings.ReplaceAll(path, "/", "-"))
		r.Expect(status).To(Equal(http.StatusOK), body)
		r.Expect(header.Get("X-Request-Id")).To(HavePrefix("mine"))
		r.Expect(header.Get("X-Resume-Token")).NotTo(BeEmpty())
		r.Expect(body).To(HaveSuffix("data: [DONE]\n\n"))
		r.Expect(body).To(ContainSubstring(`"usage":{`))
		r.Expect(body).To(ContainSubstring(`"finish_reason":"stop"`))
		events := bufio.NewScanner(strings.NewReader(body))
		for events.Scan() {
			if data, ok := strings.CutPrefix(events.Text(), "data: "); ok && data != "[DONE]" {
				r.Expect(json.Valid([]byte(data))).To(BeTrue(), data)
			}
		}
	}
}

// TestDuplicateRequestIDIsRefused guards against two requests with the same id, one of
// which would receive the answer to the other.
func TestDuplicateRequestIDIsRefused(t *testing.T) {
	r := newTestGateway(t)
	status, _, _ := r.do("POST", "/v1/chat/completions", `{"model":"draft"}`, "X-Request-Id", "same")
	r.Expect(status).To(Equal(http.StatusOK))
	status, _, body := r.do("POST", "/v1/chat/completions", `{"model":"draft"}`, "X-Request-Id", "same")
	r.Expect(status).To(Equal(http.StatusConflict))
	r.Expect(body).To(ContainSubstring("request_id_in_use"))
	status, _, body = r.do("GET", "/v1/requests/same", "")
	r.Expect(status).To(Equal(http.StatusOK))
	r.Expect(body).To(ContainSubstring(`"outcome":"done"`))
}

// TestRepeatedOrderReturnsStoredAnswer guards against an order that runs twice when
// it is repeated with its Idempotency-Key, and against an order that cannot be looked up.
func TestRepeatedOrderReturnsStoredAnswer(t *testing.T) {
	r := newTestGateway(t)
	send := func() (int, string) {
		status, _, body := r.do("POST", "/services/orders/orders", "20 headers", "Idempotency-Key", "k7")
		return status, body
	}
	status, first := send()
	r.Expect(status).To(Equal(http.StatusOK), first)
	status, second := send()
	r.Expect(status).To(Equal(http.StatusOK), second)
	r.Expect(second).To(Equal(first))
	r.Expect(r.service.Executions("dev:k7")).To(Equal(1))
	status, _, body := r.do("GET", "/services/orders/orders/dev:k7", "")
	r.Expect(status).To(Equal(http.StatusOK))
	r.Expect(body).To(ContainSubstring(`"executions":1`))
}

// TestCallerDisconnectEndsRequest guards against a request that never ends, or a
// stream that stays open, after the caller has closed its connection.
func TestCallerDisconnectEndsRequest(t *testing.T) {
	r := newTestGateway(t)
	for _, e := range r.engines {
		e.TokenTime, e.AnswerTokens = 10*time.Millisecond, 50
	}
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+"/v1/chat/completions", strings.NewReader(`{"model":"draft","stream":true}`))
	r.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer dev")
	req.Header.Set("X-Request-Id", "gone")
	res, err := http.DefaultClient.Do(req)
	r.Expect(err).NotTo(HaveOccurred())
	_, err = res.Body.Read(make([]byte, 16))
	r.Expect(err).NotTo(HaveOccurred())
	cancel()
	_ = res.Body.Close()
	r.Eventually(func() (phase state.RequestPhase) {
		r.daemon.View(func(t *state.Tables) {
			phase = state.RequestEnded
			if req := t.Requests.Get("gone"); req != nil {
				phase = req.Phase
			}
		})
		return phase
	}, eventuallyTimeout).Should(Equal(state.RequestEnded))
	r.Eventually(func() int64 { return r.gateway.Counters().OpenStreams.Load() }, eventuallyTimeout).Should(BeZero())
}

// TestShutdownServesLateRequests guards against a request that is aborted because it
// arrives on an idle connection while the node shuts down.
func TestShutdownServesLateRequests(t *testing.T) {
	g := NewWithT(t)
	server := NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, 200, 1) }), wideConnections())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	reader := bufio.NewReader(conn)
	sendRequest := func() {
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		res, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, res.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(res.StatusCode).To(Equal(200))
	}
	sendRequest()
	server.StopAccepting()
	g.Eventually(served, eventuallyTimeout).Should(Receive(BeNil()))
	down := make(chan error, 1)
	go func() { down <- server.Shutdown(context.Background()) }()
	sendRequest()
	g.Eventually(down, eventuallyTimeout).Should(Receive(BeNil()))
	_, err = net.Dial("tcp", listener.Addr().String())
	g.Expect(err).To(HaveOccurred())
}
