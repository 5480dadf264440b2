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

const eventuallyTimeout = 20 * time.Second

func serverAddress(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// blackholeListener numbers the connections that it accepts and discards what
// the server writes to connections up to the number lastBlackholed. Later
// connections work.
type blackholeListener struct {
	net.Listener
	lastBlackholed atomic.Int64
	accepted       atomic.Int64
}

// blackholeConn is a connection accepted by a blackholeListener.
type blackholeConn struct {
	net.Conn
	listener *blackholeListener
	number   int64
}

func (s *blackholeListener) Accept() (net.Conn, error) {
	conn, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &blackholeConn{conn, s, s.accepted.Add(1)}, nil
}

func (c *blackholeConn) Write(b []byte) (int, error) {
	if c.number <= c.listener.lastBlackholed.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func newBlackholeServer(h http.Handler) (*httptest.Server, *blackholeListener) {
	s := httptest.NewUnstartedServer(h)
	listener := &blackholeListener{Listener: s.Listener}
	s.Listener = listener
	s.Start()
	return s, listener
}

// TestProbeRecoversFromUnresponsiveConnection guards against probes that keep
// using an established connection after it stopped carrying data.
func TestProbeRecoversFromUnresponsiveConnection(t *testing.T) {
	g := NewWithT(t)
	s, listener := newBlackholeServer(standin.NewEngine(7).Handler())
	defer s.Close()
	c := target.New()
	ctx := context.Background()
	_, err := c.Probe(ctx, serverAddress(s))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.FetchLoadReport(ctx, serverAddress(s))
	g.Expect(err).NotTo(HaveOccurred())
	listener.lastBlackholed.Store(listener.accepted.Load())
	_, err = c.Probe(ctx, serverAddress(s))
	g.Expect(err).To(HaveOccurred())
	answer, err := c.Probe(ctx, serverAddress(s))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Incarnation).To(Equal(state.Incarnation(7)))
}

// TestDeadHostsDoNotStopProbes guards against a breaker or a limit shared by all
// hosts, by which failed probes of dead hosts stop the probes of a live one.
func TestDeadHostsDoNotStopProbes(t *testing.T) {
	g := NewWithT(t)
	live := httptest.NewServer(standin.NewEngine(1).Handler())
	defer live.Close()
	dead := httptest.NewServer(http.NotFoundHandler())
	deadAddress := serverAddress(dead)
	dead.Close()
	c := target.New()
	for range 200 {
		_, err := c.Probe(context.Background(), deadAddress)
		g.Expect(err).To(HaveOccurred())
		_, err = c.Probe(context.Background(), serverAddress(live))
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// TestFailedAttemptsTripNoBreaker guards against the breaker of httpc, which
// would refuse attempts at a healthy target after failures of other targets.
func TestFailedAttemptsTripNoBreaker(t *testing.T) {
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

// TestFailureIsNotRunOnlyBeforeSending guards against the outcome "not run" for
// a request of which a byte may have been sent: it would be sent again although
// the target may have run it.
func TestFailureIsNotRunOnlyBeforeSending(t *testing.T) {
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
	failure := attempt()
	g.Expect(failure.Kind).To(Equal(state.FailureConnectionLost))
	g.Expect(failure.Outcome).To(Equal(apierror.Unknown))
	g.Expect(accepted.Load()).To(Equal(int64(1)), "the transport sent the request again")
	_ = listener.Close()
	failure = attempt()
	g.Expect(failure.Kind).To(Equal(state.FailureConnect))
	g.Expect(failure.Outcome).To(Equal(apierror.NotRun))
}

// TestRedirectIsNotFollowed guards against a request that is sent a second time,
// to an address chosen by a target.
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

// TestLoadReportsCacheEventsOnce guards against cache events that are reported
// twice or lost, and against a restart of the engine that is not reported as
// missed events.
func TestLoadReportsCacheEventsOnce(t *testing.T) {
	g := NewWithT(t)
	engine := standin.NewEngine(1)
	engine.LoadTime, engine.TokenTime = 0, 0
	s := httptest.NewServer(engine.Handler())
	defer s.Close()
	c := target.New()
	ctx := context.Background()
	loadModel := func() {
		_, err := c.Order(ctx, state.EngineOrder{Address: serverAddress(s), Group: "g", Model: "draft", FencingToken: 1})
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(func() state.EnginePhase { a, _ := c.Probe(ctx, serverAddress(s)); return a.Phase }, eventuallyTimeout).Should(Equal(state.PhaseReady))
	}
	loadModel()
	prompt := `"` + strings.Repeat("header ", 500) + `"`
	hashes := target.PrefixHashes("draft", []byte(prompt))
	g.Expect(hashes).To(HaveLen(3))
	sendPrompt := func() {
		res, err := http.Post(s.URL+"/v1/completions", "application/json", strings.NewReader(`{"model":"draft","prompt":`+prompt+`}`))
		g.Expect(err).NotTo(HaveOccurred())
		_ = res.Body.Close()
	}
	sendPrompt()
	report, err := c.FetchLoadReport(ctx, serverAddress(s))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.CachedPrefixes).To(Equal(hashes))
	sendPrompt()
	report, err = c.FetchLoadReport(ctx, serverAddress(s))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.CachedPrefixes).To(BeEmpty())
	g.Expect(report.CacheEventsMissed).To(BeFalse())
	engine.ApplyFault(standin.Fault{Action: standin.FaultCrash})
	loadModel()
	report, err = c.FetchLoadReport(ctx, serverAddress(s))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.CacheEventsMissed).To(BeTrue())
	g.Expect(report.CachedPrefixes).To(BeEmpty())
}
