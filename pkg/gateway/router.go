package gateway

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"
	"github.com/zeromicro/go-zero/rest/pathvar"
	"github.com/zeromicro/go-zero/rest/router"

	"github.com/apricotgrade/apricotgrade/internal/gozero"
	"github.com/apricotgrade/apricotgrade/pkg/apierror"
)

const servicesPrefix = "/services/"

// Handler returns the HTTP handler of the caller API. It disables all middlewares
// of rest, because their timeouts, load shedding and circuit breakers refuse
// requests without a typed error.
func (g *Gateway) Handler() http.Handler {
	routes := &callerRouter{Router: router.NewRouter(), gateway: g}
	server, err := rest.NewServer(rest.RestConf{}, rest.WithRouter(routes))
	if err != nil {
		panic(errors.Wrap(err, "build caller API"))
	}
	gozero.Quiet(g.log)
	server.AddRoutes([]rest.Route{
		{Method: http.MethodGet, Path: "/v1/models", Handler: g.handleModels},
		{Method: http.MethodPost, Path: "/v1/chat/completions", Handler: g.handleCompletion},
		{Method: http.MethodPost, Path: "/v1/completions", Handler: g.handleCompletion},
		{Method: http.MethodGet, Path: "/v1/requests/:id", Handler: g.handleOutcome},
		{Method: http.MethodGet, Path: "/v1/requests/:id/stream", Handler: g.handleResume},
	})
	routes.Router.SetNotFoundHandler(http.HandlerFunc(notFound))
	routes.Router.SetNotAllowedHandler(http.HandlerFunc(methodNotAllowed))
	serverless, err := rest.NewServerless(server)
	if err != nil {
		panic(errors.Wrap(err, "build caller API"))
	}
	return http.HandlerFunc(serverless.Serve)
}

// callerRouter checks the header and the path of each request before go-zero's
// router cleans the path. It routes /services/{service}/{path...} itself, because
// go-zero's router has no parameter that spans several path elements.
type callerRouter struct {
	httpx.Router
	gateway *Gateway
}

// SetNotFoundHandler implements httpx.Router. It ignores the handler of rest, which
// answers without a typed error.
func (c *callerRouter) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router. It ignores the handler of rest for
// the same reason as SetNotFoundHandler.
func (c *callerRouter) SetNotAllowedHandler(http.Handler) {}

// ServeHTTP implements http.Handler.
func (c *callerRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c.gateway.daemon.Draining() {
		// Callers reconnect to another node after this answer, so that the node
		// never has to close a connection that may carry a request in transit.
		w.Header().Set("Connection", "close")
	}
	if err := checkHeaderAndPath(r); err != nil {
		writeError(w, err)
		return
	}
	if strings.HasPrefix(r.URL.Path, servicesPrefix) {
		c.gateway.handleService(w, r)
		return
	}
	c.Router.ServeHTTP(w, r)
}

func requestIDFromPath(r *http.Request) string { return pathvar.Vars(r)["id"] }

func notFound(w http.ResponseWriter, _ *http.Request) {
	writeError(w, apierror.New(apierror.KindNotFound, "unknown_path",
		"the path does not exist; see the API documentation for the valid paths", apierror.NotRun))
}

func methodNotAllowed(w http.ResponseWriter, _ *http.Request) {
	e := apierror.New(apierror.KindInvalid, "method_not_allowed",
		"the path does not support this method; use the documented method", apierror.NotRun)
	writeErrorStatus(w, e, http.StatusMethodNotAllowed)
}
