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

// Handler returns the HTTP handler of the caller API. All middlewares of rest
// are off: its time limits, shedding and breakers refuse without a type.
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

// callerRouter checks the form of each request before go-zero's router cleans
// the path. It carries /services/{service}/{path...} itself, because go-zero's
// router has no parameter that spans several path elements.
type callerRouter struct {
	httpx.Router
	gateway *Gateway
}

// SetNotFoundHandler implements httpx.Router. The handler of rest answers
// without a type, so it is not used.
func (c *callerRouter) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router in the same way.
func (c *callerRouter) SetNotAllowedHandler(http.Handler) {}

// ServeHTTP implements http.Handler.
func (c *callerRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c.gateway.daemon.Draining() {
		// Callers move to other nodes by themselves, so that no connection has
		// to be closed while a request may be on its way over it.
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
		"no such path; see the API documentation for the paths that exist", apierror.NotRun))
}

func methodNotAllowed(w http.ResponseWriter, _ *http.Request) {
	e := apierror.New(apierror.KindInvalid, "method_not_allowed",
		"the path does not take this method; use the documented one", apierror.NotRun)
	writeErrorStatus(w, e, http.StatusMethodNotAllowed)
}
