// Package process_test runs entry daemons as processes against stand-ins of the
// platform, of engines and of an order service, and injects failures.
package process_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/internal/freeport"
	"github.com/apricotgrade/apricotgrade/internal/testdaemon"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/operator"
	"github.com/apricotgrade/apricotgrade/pkg/standin"
	"github.com/apricotgrade/apricotgrade/pkg/store/memory"
)

// conditionTimeout is far longer than any condition takes on a busy machine.
const conditionTimeout = 60 * time.Second

const pollInterval = 20 * time.Millisecond

var daemonPath string

func TestMain(m *testing.M) { os.Exit(testdaemon.Run(&daemonPath, m.Run, os.Stderr)) }

// rig has the stand-ins that the daemons of one test use.
type rig struct {
	*WithT
	t     *testing.T
	store *memory.Store
	// platformDown makes the platform answer every request with status 503.
	platformDown atomic.Bool
	platformURL  string
	service      *standin.Service
	// serviceURL and engineURLs are the base URLs of the service and of the engines.
	serviceURL string
	engines    []*standin.Engine
	engineURLs []string
}

// groupMembers is the number of hosts of the one replica group.
const groupMembers = 2

// newRig starts the stand-ins with one replica group of groupMembers engines.
// editDocument, unless nil, edits the declarations before they are stored.
func newRig(t *testing.T, editDocument func(*state.Document)) *rig {
	t.Helper()
	r := &rig{WithT: NewWithT(t), t: t, store: memory.New(), service: standin.NewService()}
	r.serviceURL = r.serve(r.service.Handler())
	var hosts []state.ListedHost
	directory := map[state.HostID]string{}
	for i := range groupMembers {
		e := standin.NewEngine(state.Incarnation(i + 1))
		e.ID, e.Directory = state.HostID(fmt.Sprintf("h%d", i+1)), directory
		e.TokenTime, e.AnswerTokens = time.Millisecond, 20
		url := r.serve(e.Handler())
		r.engines, r.engineURLs = append(r.engines, e), append(r.engineURLs, url)
		directory[e.ID] = strings.TrimPrefix(url, "http://")
		hosts = append(hosts, state.ListedHost{
			ID: e.ID, Address: directory[e.ID], DataCentre: []state.DataCentre{"north", "coast"}[i/2%2],
			Domain: state.DomainID(fmt.Sprintf("d%d", i/2+1)),
		})
	}
	r.store.SetHosts(hosts)
	doc := standin.DemoDocument(1, strings.TrimPrefix(r.serviceURL, "http://"))
	if editDocument != nil {
		editDocument(&doc)
	}
	r.Expect(standin.Seed(context.Background(), r.store, doc)).To(Succeed())
	platform := standin.PlatformHandler(r.store)
	r.platformURL = r.serve(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if r.platformDown.Load() {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		platform.ServeHTTP(w, req)
	}))
	return r
}

// serve starts a server that runs until the test ends and returns its base URL.
func (r *rig) serve(h http.Handler) string {
	server := httptest.NewServer(h)
	r.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.URL
}

// injectFault sends a fault to POST /control of stand-ins.
func (r *rig) injectFault(body string, urls ...string) {
	for _, url := range urls {
		res, err := http.Post(url+"/control", "application/json", strings.NewReader(body))
		r.Expect(err).NotTo(HaveOccurred())
		_ = res.Body.Close()
	}
}

// startedGenerations returns the number of generations that the engines have
// started.
func (r *rig) startedGenerations() (total int64) {
	for _, url := range r.engineURLs {
		var stats standin.EngineStats
		getJSON(r.WithT, url+"/stats", &stats)
		total += stats.Started
	}
	return total
}

// process is a running entry daemon.
type process struct {
	rig       *rig
	cmd       *exec.Cmd
	exited    chan error
	callerURL string
	adminURL  string

	mu   sync.Mutex
	logs bytes.Buffer
}

// Write appends to the log of the daemon.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.logs.Write(b)
}

// logText returns the log that the daemon has written so far.
func (p *process) logText() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.logs.String()
}

// startedPattern matches the log line with the addresses of the daemon's listeners
// for callers and for operators.
var startedPattern = regexp.MustCompile(`"msg":"node started","event":1400,"callers":"([^"]+)","peers":"[^"]+","operators":"([^"]+)"`)

// freeAddress returns an address for the peer listener. The settings need a fixed
// port there, because the address is published before the listener opens.
func (r *rig) freeAddress() string {
	a, err := freeport.Address()
	r.Expect(err).NotTo(HaveOccurred())
	return a
}

// start runs a daemon and waits until it serves model requests. Another process
// can take the port of the peer listener between the choice of the port and its
// use; start then runs the daemon again with another port.
func (r *rig) start(id string) *process {
	r.t.Helper()
	for {
		p, ok := r.launch(id)
		if ok {
			r.Eventually(func() int { return p.chat("").status }, conditionTimeout, pollInterval).Should(Equal(http.StatusOK))
			return p
		}
		r.Expect(p.logText()).To(ContainSubstring("address already in use"), "the daemon exited")
	}
}

// launch starts a daemon and waits until it listens. It returns false when the
// daemon exits instead.
func (r *rig) launch(id string) (*process, bool) {
	r.t.Helper()
	p := &process{rig: r, exited: make(chan error, 1)}
	path := filepath.Join(r.t.TempDir(), id+".ini")
	settings := fmt.Sprintf(`[node]
id = %s
data_centre = north
listen = 127.0.0.1:0
admin_listen = 127.0.0.1:0
peer_listen = %s
peer_key = process-test-peer-key
platform = %s
drain_notice = 200ms

[operator tester]
key = process-test-operator-key
`, id, r.freeAddress(), r.platformURL)
	r.Expect(os.WriteFile(path, []byte(settings), 0o600)).To(Succeed())
	p.cmd = exec.Command(daemonPath, "-settings", path)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	r.Expect(p.cmd.Start()).To(Succeed())
	go func() { p.exited <- p.cmd.Wait() }()
	r.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		if r.t.Failed() {
			r.t.Logf("log of %s:\n%s", id, p.logText())
		}
	})
	exited := false
	r.Eventually(func() bool {
		select {
		case err := <-p.exited:
			exited = true
			r.t.Logf("%s exited: %v", id, err)
		default:
		}
		return exited || startedPattern.MatchString(p.logText())
	}, conditionTimeout, pollInterval).Should(BeTrue())
	if exited {
		return p, false
	}
	match := startedPattern.FindStringSubmatch(p.logText())
	p.callerURL, p.adminURL = "http://"+match[1], "http://"+match[2]
	return p, true
}

func (p *process) signal(s syscall.Signal) { p.rig.Expect(p.cmd.Process.Signal(s)).To(Succeed()) }

func (p *process) operator() *operator.Client {
	return operator.NewClient([]string{p.adminURL}, "process-test-operator-key")
}

// answer is the answer to a caller. The status is 0 when the connection broke
// before its end.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// newClient returns a client that opens a new connection for each request, as a
// load balancer may.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * conditionTimeout}
}

// openRequest sends a request with the key of the client account and returns the
// response with its body still open. The header arguments alternate names and values.
func (p *process) openRequest(method, path, body string, header ...string) (*http.Response, error) {
	req, err := http.NewRequest(method, p.callerURL+path, strings.NewReader(body))
	p.rig.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer dev")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return newClient().Do(req)
}

// request sends a request and reads the whole answer.
func (p *process) request(method, path, body string, header ...string) answer {
	res, err := p.openRequest(method, path, body, header...) //nolint:bodyclose // Closed by readAnswer.
	if err != nil {
		return answer{err: err}
	}
	return readAnswer(res)
}

func readAnswer(res *http.Response) answer {
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	a := answer{status: res.StatusCode, header: res.Header, body: string(b), err: err}
	if err != nil {
		a.status = 0
	}
	return a
}

// chat sends a model request. The JSON text extra is appended to its fields.
func (p *process) chat(extra string) answer {
	return p.request(http.MethodPost, "/v1/chat/completions", `{"model":"draft","messages":[]`+extra+`}`)
}

// order sends an order with an idempotency key.
func (p *process) order(key string) answer {
	return p.request(http.MethodPost, "/services/orders/orders", "20 gondola headers", "Idempotency-Key", key)
}

var contentField = regexp.MustCompile(`"content":"([^"]*)"`)

// streamText returns the concatenated text of the events of a stream.
func streamText(body string) string {
	var text strings.Builder
	for _, m := range contentField.FindAllStringSubmatch(body, -1) {
		text.WriteString(m[1])
	}
	return text.String()
}

// expectFullStream checks that a streamed answer has all its text exactly once and
// ends with the end marker.
func (r *rig) expectFullStream(a answer, tokens int) {
	r.t.Helper()
	r.Expect(a.err).NotTo(HaveOccurred())
	r.Expect(a.status).To(Equal(http.StatusOK), a.body)
	r.Expect(streamText(a.body)).To(Equal(standin.GeneratedText(tokens)))
	r.Expect(a.body).To(HaveSuffix("data: [DONE]\n\n"))
}
