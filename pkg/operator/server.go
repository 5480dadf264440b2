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
	// changeTimeout bounds the wait for the outcome of a change. It covers a write to
	// the table service and the read-back after a lost answer.
	changeTimeout = 15 * time.Second
	// storeTimeout bounds all reads of the platform's stores for one request.
	storeTimeout = 3 * time.Second
	// healthTimeout is the time within which the event loop of a healthy daemon
	// answers.
	healthTimeout = time.Second
)

// Daemon is the part of the entry daemon's event loop that the server uses.
type Daemon interface {
	// Operate runs a command and waits for its result.
	Operate(ctx context.Context, command state.OperatorCommand) (state.OperatorReply, error)
	// View runs f on the tables inside the event loop. f must not modify or keep them.
	View(f func(*state.Tables))
	// Now returns the time on the event loop's clock.
	Now() time.Duration
	// Ready reports whether the load balancer may send requests to this node.
	Ready() bool
}

// Server serves the operator API, the health checks and the metrics of one node.
type Server struct {
	daemon    Daemon
	platform  store.Platform
	metrics   *metric.Recorder
	operators []credential
}

// credential is an operator's name with the digest of its key. All digests have the
// same length, so that a comparison takes the same time for every key.
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

// Handler returns the HTTP handler. The library's time limit, body limit, connection
// limit, load shedding, circuit breaker, log and statistics are all disabled, because
// they refuse requests without a typed error.
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
		// The router splits r.URL.Path, which is decoded. The escaped path keeps a "/"
		// inside an idempotency key within its segment.
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
		route(http.MethodGet, pathQuarantine, s.quarantines),
		route(http.MethodPost, pathLift, s.lift),
		{Method: http.MethodGet, Path: "/healthz", Handler: s.healthz},
		{Method: http.MethodGet, Path: "/readyz", Handler: s.readyz},
		{Method: http.MethodGet, Path: "/metrics", Handler: s.writeMetrics},
	}
}

// handler serves a request of an authenticated operator. It returns the value to
// encode as JSON, or an error.
type handler func(r *http.Request, operator string) (any, error)

// requireOperator refuses requests without a valid operator key and passes the
// name of the operator to h.
func (s *Server) requireOperator(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		name := s.operatorName(r.Header.Get("Authorization"))
		if name == "" {
			writeError(w, apierror.New(apierror.KindAuth, "invalid_operator_key",
				"the key belongs to no operator; send a key of an [operator] section of the settings in the header Authorization: Bearer", apierror.NotRun))
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

// operatorName returns the name of the operator whose key the Authorization header
// contains, or "". It compares all keys in constant time, so that the duration reveals
// nothing about them.
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

// healthz reports whether the event loop answers within healthTimeout.
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

// readyz reports whether the load balancer may send requests to this node.
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
	writeError(w, apierror.New(apierror.KindInvalid, "method_not_allowed", "the path does not support this method; docs/OPERATIONS.md lists the operator API", apierror.NotRun))
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
