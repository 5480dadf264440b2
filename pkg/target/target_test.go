package target_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/standin"
	"github.com/apricotgrade/apricotgrade/pkg/target"
)

const bound = 20 * time.Second

func address(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// silencer passes connections to a server until it is told to be silent; then
// the open connections carry nothing any more while new ones work.
type silencer struct {
	net.Listener
	silent atomic.Int64
	made   atomic.Int64
}

type silenced struct {
	net.Conn
	s      *silencer
	number int64
}

func (s *silencer) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &silenced{conn, s, s.made.Add(1)}, nil
}

func (c *silenced) Write(b []byte) (int, error) {
	if c.number <= c.s.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func silencedServer(h http.Handler) (*httptest.Server, *silencer) {
	s := httptest.NewUnstartedServer(h)
	listener := &silencer{Listener: s.Listener}
	s.Listener = listener
	s.Start()
	return s, listener
}

// TestProbeRecoversFromSilentConnection guards against probes that keep using
// an established connection that carries nothing any more.
func TestProbeRecoversFromSilentConnection(t *testing.T) {
	g := NewWithT(t)
	s, listener := silencedServer(standin.NewEngine(7).Handler())
	defer s.Close()
	c := target.New()
	ctx := context.Background()
	_, err := c.Probe(ctx, address(s))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Load(ctx, address(s))
	g.Expect(err).NotTo(HaveOccurred())
	listener.silent.Store(listener.made.Load())
	_, err = c.Probe(ctx, address(s))
	g.Expect(err).To(HaveOccurred())
	answer, err := c.Probe(ctx, address(s))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Incarnation).To(Equal(state.Incarnation(7)))
}

// TestDeadHostsDoNotStopProbes guards against a breaker or a limit that many
// dead hosts share with the live one.
func TestDeadHostsDoNotStopProbes(t *testing.T) {
	g := NewWithT(t)
	live := httptest.NewServer(standin.NewEngine(1).Handler())
	defer live.Close()
	dead := httptest.NewServer(http.NotFoundHandler())
	gone := address(dead)
	dead.Close()
	c := target.New()
	for range 200 {
		_, err := c.Probe(context.Background(), gone)
		g.Expect(err).To(HaveOccurred())
		_, err = c.Probe(context.Background(), address(live))
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// TestFailedAttemptsDoNotStopOthers guards against httpc's breaker, which would
// refuse attempts at a healthy target after failures elsewhere.
func TestFailedAttemptsDoNotStopOthers(t *testing.T) {
	g := NewWithT(t)
	failing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }))
	defer failing.Close()
	c := target.New()
	for range 300 {
		req, err := http.NewRequest(http.MethodPost, failing.URL, strings.NewReader("x"))
		g.Expect(err).NotTo(HaveOccurred())
		res, err := c.Do(req, false)
		g.Expect(err).NotTo(HaveOccurred())
		_ = res.Body.Close()
		g.Expect(res.StatusCode).To(Equal(500))
	}
}

// TestOutcomeOfFailedAttempts guards against "not run" for a request of which
// a byte may have left.
func TestOutcomeOfFailedAttempts(t *testing.T) {
	g := NewWithT(t)
	c := target.New()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	var accepted atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			_ = conn.Close()
		}
	}()
	attempt := func() *target.Failure {
		req, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String(), strings.NewReader("x"))
		g.Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Idempotency-Key", "k")
		_, err = c.Do(req, true) //nolint:bodyclose // The attempt fails.
		var failure *target.Failure
		g.Expect(errors.As(err, &failure)).To(BeTrue())
		return failure
	}
	f := attempt()
	g.Expect(f.Kind).To(Equal(state.FailureConnectionLost))
	g.Expect(f.Outcome).To(Equal(apierror.Unknown))
	g.Expect(accepted.Load()).To(Equal(int64(1)), "the transport sent the request again")
	_ = listener.Close()
	f = attempt()
	g.Expect(f.Kind).To(Equal(state.FailureConnect))
	g.Expect(f.Outcome).To(Equal(apierror.NotRun))
}

// TestRedirectIsNotFollowed guards against a request that is sent a second time
// to an address that a target names.
func TestRedirectIsNotFollowed(t *testing.T) {
	g := NewWithT(t)
	var calls atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
	}))
	defer s.Close()
	req, err := http.NewRequest(http.MethodPost, s.URL, strings.NewReader("x"))
	g.Expect(err).NotTo(HaveOccurred())
	res, err := target.New().Do(req, false)
	g.Expect(err).NotTo(HaveOccurred())
	_ = res.Body.Close()
	g.Expect(res.StatusCode).To(Equal(http.StatusTemporaryRedirect))
	g.Expect(calls.Load()).To(Equal(int64(1)))
}

// TestCacheEvents guards against cache hints that are reported twice, lost, or
// kept over a restart of the engine without a gap.
func TestCacheEvents(t *testing.T) {
	g := NewWithT(t)
	e := standin.NewEngine(1)
	e.LoadTime, e.TokenTime = 0, 0
	s := httptest.NewServer(e.Handler())
	defer s.Close()
	c := target.New()
	ctx := context.Background()
	load := func() {
		_, err := c.Order(ctx, state.EngineOrder{Address: address(s), Group: "g", Model: "draft", FencingToken: 1})
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(func() state.EnginePhase { a, _ := c.Probe(ctx, address(s)); return a.Phase }, bound).Should(Equal(state.PhaseReady))
	}
	load()
	prompt := `"` + strings.Repeat("header ", 500) + `"`
	hashes := target.PrefixHashes("draft", []byte(prompt))
	g.Expect(hashes).To(HaveLen(3))
	ask := func() {
		res, err := http.Post(s.URL+"/v1/completions", "application/json", strings.NewReader(`{"model":"draft","prompt":`+prompt+`}`))
		g.Expect(err).NotTo(HaveOccurred())
		_ = res.Body.Close()
	}
	ask()
	report, err := c.Load(ctx, address(s))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.CachedPrefixes).To(Equal(hashes))
	ask()
	report, err = c.Load(ctx, address(s))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.CachedPrefixes).To(BeEmpty())
	g.Expect(report.CacheEventsMissed).To(BeFalse())
	e.Control(standin.Fault{Action: standin.FaultDie})
	load()
	report, err = c.Load(ctx, address(s))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.CacheEventsMissed).To(BeTrue())
	g.Expect(report.CachedPrefixes).To(BeEmpty())
}
