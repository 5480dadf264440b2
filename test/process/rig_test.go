// Package process_test runs entry daemons as processes against stand-ins of the
// platform, of engines and of an order service, and makes them fail.
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

// bound is far above the time that any condition needs on a busy machine.
const bound = 60 * time.Second

const poll = 20 * time.Millisecond

var daemonPath string

func TestMain(m *testing.M) { os.Exit(testdaemon.Run(&daemonPath, m.Run, os.Stderr)) }

// rig is the stand-ins around the daemons of one test.
type rig struct {
	*WithT
	t       *testing.T
	store   *memory.Store
	down    atomic.Bool
	url     string
	service *standin.Service
	// orders and hosts are the base URLs of the service and of the engines.
	orders  string
	engines []*standin.Engine
	hosts   []string
}

// members is the number of hosts of the one replica group.
const members = 2

// newRig starts the stand-ins with one replica group per pair of engines.
// Change may edit the declarations.
func newRig(t *testing.T, change func(*state.Document)) *rig {
	t.Helper()
	r := &rig{WithT: NewWithT(t), t: t, store: memory.New(), service: standin.NewService()}
	r.orders = r.serve(r.service.Handler())
	var hosts []state.ListedHost
	directory := map[state.HostID]string{}
	for i := range members {
		e := standin.NewEngine(state.Incarnation(i + 1))
		e.ID, e.Directory = state.HostID(fmt.Sprintf("h%d", i+1)), directory
		e.TokenTime, e.Tokens = time.Millisecond, 20
		url := r.serve(e.Handler())
		r.engines, r.hosts = append(r.engines, e), append(r.hosts, url)
		directory[e.ID] = strings.TrimPrefix(url, "http://")
		hosts = append(hosts, state.ListedHost{
			ID: e.ID, Address: directory[e.ID], DataCentre: []state.DataCentre{"north", "coast"}[i/2%2],
			Domain: state.DomainID(fmt.Sprintf("d%d", i/2+1)),
		})
	}
	r.store.SetHosts(hosts)
	doc := standin.DemoDocument(1, strings.TrimPrefix(r.orders, "http://"))
	if change != nil {
		change(&doc)
	}
	r.Expect(standin.Seed(context.Background(), r.store, doc)).To(Succeed())
	platform := standin.PlatformHandler(r.store)
	r.url = r.serve(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if r.down.Load() {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		platform.ServeHTTP(w, req)
	}))
	return r
}

func (r *rig) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	r.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.URL
}

// fault sends a fault to stand-ins.
func (r *rig) fault(body string, urls ...string) {
	for _, url := range urls {
		res, err := http.Post(url+"/control", "application/json", strings.NewReader(body))
		r.Expect(err).NotTo(HaveOccurred())
		_ = res.Body.Close()
	}
}

// started returns the number of generations that engines began.
func (r *rig) started() (n int64) {
	for _, url := range r.hosts {
		var s standin.EngineStats
		getJSON(r.WithT, url+"/stats", &s)
		n += s.Started
	}
	return n
}

// process is a running entry daemon.
type process struct {
	r      *rig
	cmd    *exec.Cmd
	exited chan error
	url    string
	admin  string

	mu   sync.Mutex
	logs bytes.Buffer
}

// Write takes the log of the daemon.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.logs.Write(b)
}

func (p *process) logged() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.logs.String()
}

var listens = regexp.MustCompile(`"msg":"node started","event":1400,"callers":"([^"]+)","peers":"[^"]+","operators":"([^"]+)"`)

// freeAddress returns an address for the listener of peers, which is published
// before it opens.
func (r *rig) freeAddress() string {
	a, err := freeport.Address()
	r.Expect(err).NotTo(HaveOccurred())
	return a
}

// start runs a daemon and waits until it is ready and serves model requests.
// Another process may take the port of the peer listener between its choice and
// its use; the daemon then runs again with another one.
func (r *rig) start(id string) *process {
	r.t.Helper()
	for {
		p, ok := r.launch(id)
		if ok {
			r.Eventually(func() int { return p.chat("").status }, bound, poll).Should(Equal(http.StatusOK))
			return p
		}
		r.Expect(p.logged()).To(ContainSubstring("address already in use"), "the daemon ended")
	}
}

// launch runs a daemon until it listens. It returns false when it has ended.
func (r *rig) launch(id string) (*process, bool) {
	r.t.Helper()
	p := &process{r: r, exited: make(chan error, 1)}
	path := filepath.Join(r.t.TempDir(), id+".ini")
	ini := fmt.Sprintf(`[node]
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
`, id, r.freeAddress(), r.url)
	r.Expect(os.WriteFile(path, []byte(ini), 0o600)).To(Succeed())
	p.cmd = exec.Command(daemonPath, "-settings", path)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	r.Expect(p.cmd.Start()).To(Succeed())
	go func() { p.exited <- p.cmd.Wait() }()
	r.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		if r.t.Failed() {
			r.t.Logf("log of %s:\n%s", id, p.logged())
		}
	})
	ended := false
	r.Eventually(func() bool {
		select {
		case err := <-p.exited:
			ended = true
			r.t.Logf("%s ended: %v", id, err)
		default:
		}
		return ended || listens.MatchString(p.logged())
	}, bound, poll).Should(BeTrue())
	if ended {
		return p, false
	}
	m := listens.FindStringSubmatch(p.logged())
	p.url, p.admin = "http://"+m[1], "http://"+m[2]
	return p, true
}

func (p *process) signal(s syscall.Signal) { p.r.Expect(p.cmd.Process.Signal(s)).To(Succeed()) }

func (p *process) operator() *operator.Client {
	return operator.NewClient([]string{p.admin}, "process-test-operator-key")
}

// answer is an answer to a caller; status is 0 when the connection broke.
type answer struct {
	status  int
	header  http.Header
	body    string
	brokeBy error
}

// client makes a new connection for each request, as a balancer may.
func client() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * bound}
}

func (p *process) request(method, path, body string, header ...string) (*http.Response, error) {
	req, err := http.NewRequest(method, p.url+path, strings.NewReader(body))
	p.r.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer dev")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return client().Do(req)
}

func (p *process) do(method, path, body string, header ...string) answer {
	res, err := p.request(method, path, body, header...) //nolint:bodyclose // Closed by read.
	if err != nil {
		return answer{brokeBy: err}
	}
	return read(res)
}

func read(res *http.Response) answer {
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	a := answer{status: res.StatusCode, header: res.Header, body: string(b), brokeBy: err}
	if err != nil {
		a.status = 0
	}
	return a
}

// chat sends a model request; extra is added to its fields.
func (p *process) chat(extra string) answer {
	return p.do(http.MethodPost, "/v1/chat/completions", `{"model":"draft","messages":[]`+extra+`}`)
}

func (p *process) order(key string) answer {
	return p.do(http.MethodPost, "/services/orders/orders", "20 gondola headers", "Idempotency-Key", key)
}

var contentField = regexp.MustCompile(`"content":"([^"]*)"`)

func textOf(body string) string {
	var text strings.Builder
	for _, m := range contentField.FindAllStringSubmatch(body, -1) {
		text.WriteString(m[1])
	}
	return text.String()
}

// expectWhole checks that a streamed answer has all its text once and its end
// marker.
func (r *rig) expectWhole(a answer, tokens int) {
	r.t.Helper()
	r.Expect(a.brokeBy).NotTo(HaveOccurred())
	r.Expect(a.status).To(Equal(http.StatusOK), a.body)
	r.Expect(textOf(a.body)).To(Equal(standin.Text(tokens)))
	r.Expect(a.body).To(HaveSuffix("data: [DONE]\n\n"))
}
