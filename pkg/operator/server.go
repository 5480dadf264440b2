package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/metric"
	"github.com/apricotgrade/apricotgrade/pkg/settings"
	"github.com/apricotgrade/apricotgrade/pkg/store"
)

const (
	// changeTimeout bounds the wait for the outcome of a change. It covers a
	// write to the table service and reading it back after a lost answer.
	changeTimeout = 15 * time.Second
	// storeTimeout bounds the reads of the platform's stores for one request.
	storeTimeout = 3 * time.Second
	// healthTimeout is the time after which an event loop that does not answer
	// counts as unhealthy.
	healthTimeout = time.Second
)

// Daemon is the side of the event loop that the server uses.
type Daemon interface {
	Operate(ctx context.Context, command state.OperatorCommand) (state.OperatorReply, error)
	View(f func(*state.Tables))
	Now() time.Duration
	Ready() bool
}

// Server serves the operator API of one node.
type Server struct {
	daemon    Daemon
	platform  store.Platform
	metrics   *metric.Recorder
	operators []credential
}

// credential is an operator with the digest of its key. Digests have one
// length, so that comparing them takes the same time for every key.
type credential struct {
	name   string
	digest [sha256.Size]byte
}

// NewServer returns the operator API of a node.
func NewServer(daemon Daemon, platform store.Platform, metrics *metric.Recorder, operators []settings.Operator) *Server {
	s := &Server{daemon: daemon, platform: platform, metrics: metrics}
	for _, op := range operators {
		s.operators = append(s.operators, credential{op.Name, sha256.Sum256([]byte(op.Key))})
	}
	return s
}

// Handler returns the HTTP handler. The library's own time limit, body limit,
// connection limit, load shedding, breaker, log and statistics are all off,
// because they refuse without a type.
func (s *Server) Handler() (http.Handler, error) {
	conf := rest.RestConf{ServiceConf: service.ServiceConf{Name: "operator", Mode: service.PreMode}}
	conf.Telemetry.Disabled = true
	server, err := rest.NewServer(conf, rest.WithNotFoundHandler(http.HandlerFunc(notFound)),
		rest.WithNotAllowedHandler(http.HandlerFunc(notAllowed)))
	if err != nil {
		return nil, errors.Wrap(err, "build operator server")
	}
	server.AddRoutes(s.routes())
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, errors.Wrap(err, "build operator routes")
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The router splits the decoded path. Keeping it escaped leaves a "/"
		// inside an idempotency key in its segment.
		r.URL.Path = r.URL.EscapedPath()
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		serverless.Serve(w, r)
	}), nil
}

func (s *Server) routes() []rest.Route {
	route := func(method, path string, h handler) rest.Route {
		return rest.Route{Method: method, Path: path, Handler: s.requireOperator(h)}
	}
	return []rest.Route{
		route(http.MethodGet, pathStatus, s.status),
		route(http.MethodGet, pathAudit, s.audit),
		route(http.MethodGet, pathDeclarations, s.declarations),
		route(http.MethodGet, pathOrders+":account/:key", s.requestOutcome),
		route(http.MethodPost, pathPlan, s.plan),
		route(http.MethodPost, pathApply, s.apply),
		route(http.MethodPost, pathPreset, s.preset),
		route(http.MethodPost, pathOut, s.disable),
		route(http.MethodPost, pathIn, s.enable),
		route(http.MethodPost, pathForget, s.forget),
		{Method: http.MethodGet, Path: "/healthz", Handler: s.healthz},
		{Method: http.MethodGet, Path: "/readyz", Handler: s.readyz},
		{Method: http.MethodGet, Path: "/metrics", Handler: s.writeMetrics},
	}
}

// handler answers a request of a named operator with a value or an error.
type handler func(r *http.Request, operator string) (any, error)

func (s *Server) requireOperator(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name := s.operatorName(r.Header.Get("Authorization"))
		if name == "" {
			writeError(w, apierror.New(apierror.KindAuth, "invalid_operator_key",
				"the key is no operator's; send one of the keys in the [operator] sections of the settings as Authorization: Bearer", apierror.NotRun))
			return
		}
		answer, err := h(r, name)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, answer)
	}
}

// operatorName returns the name of the operator whose key is given. All keys are
// compared, so that the time tells nothing about them.
func (s *Server) operatorName(authorization string) string {
	key, found := strings.CutPrefix(authorization, "Bearer ")
	digest := sha256.Sum256([]byte(key))
	name := ""
	for _, c := range s.operators {
		if subtle.ConstantTimeCompare(digest[:], c.digest[:]) == 1 && found {
			name = c.name
		}
	}
	return name
}

// healthz reports whether the event loop answers.
func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	answered := make(chan struct{})
	go func() {
		s.daemon.View(func(*state.Tables) {})
		close(answered)
	}()
	select {
	case <-answered:
		writeText(w, http.StatusOK, "ok\n")
	case <-time.After(healthTimeout):
		writeText(w, http.StatusServiceUnavailable, "event loop does not answer\n")
	}
}

// readyz reports whether the load balancer may send requests here.
func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if s.daemon.Ready() {
		writeText(w, http.StatusOK, "ready\n")
		return
	}
	writeText(w, http.StatusServiceUnavailable, "not ready\n")
}

func (s *Server) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.metrics.Write(w)
}

func notFound(w http.ResponseWriter, _ *http.Request) {
	writeError(w, apierror.New(apierror.KindNotFound, "no_such_path", "the path does not exist; docs/OPERATIONS.md lists the operator API", apierror.NotRun))
}

func notAllowed(w http.ResponseWriter, _ *http.Request) {
	writeError(w, apierror.New(apierror.KindInvalid, "method_not_allowed", "the path exists with another method; docs/OPERATIONS.md lists the operator API", apierror.NotRun))
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
