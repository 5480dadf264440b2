package gateway

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/internal/gozero"
	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/daemon"
	"github.com/apricotgrade/apricotgrade/pkg/target"
)

// Form translates the headers of requests whose host name and path choose their
// route.
type Form interface {
	// Read returns what a request says about itself. Its error names what the
	// caller must change.
	Read(r *http.Request) (state.RoutedRequest, error)
	// Prepare sets the header of an attempt, from a copy of the caller's header.
	Prepare(h http.Header, a RoutedAttempt)
	// Judge says what the header of a target's answer means.
	Judge(res *http.Response, attemptID string) Verdict
	// Refuse sets the header of a refusal.
	Refuse(h http.Header, attemptID string, after time.Duration)
}

// RoutedAttempt is what a target is told about an attempt.
type RoutedAttempt struct {
	Instance state.HostID
	Account  state.AccountID
	// Timeout is the time that the request has left.
	Timeout time.Duration
	// LastEvent is the id of the last event that was passed on.
	LastEvent string
}

// Verdict is what the header of an answer means.
type Verdict struct {
	// NotRun means that the target did not run the request.
	NotRun bool
	// Misdirected means that another instance answered.
	Misdirected bool
	// Foreign means that the answer belongs to another request.
	Foreign bool
	// Signed means that a target made the answer as it is.
	Signed bool
	// AtFault is the host that the answer names as the cause.
	AtFault state.HostID
}

// Routed serves callers whose requests are routed by host name and path.
type Routed struct {
	daemon  *daemon.Daemon
	targets *target.Client
	form    Form
	log     *slog.Logger
}

// NewRouted returns a gateway of routed requests.
func NewRouted(d *daemon.Daemon, targets *target.Client, form Form, log *slog.Logger) *Routed {
	gozero.Quiet(log)
	return &Routed{daemon: d, targets: targets, form: form, log: log}
}

// routedExchange is one request of a caller.
type routedExchange struct {
	*exchange
	routed state.RoutedRequest
	// The rest belongs to the goroutine of the request.

	// held is a whole answer that is given to the caller on the core's word.
	held *heldAnswer
	// lastEvent is the id of the last event that was passed on.
	lastEvent string
}

type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// ServeHTTP implements http.Handler.
func (g *Routed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.daemon.Draining() {
		// Callers move to other nodes by themselves, so that no connection has to be
		// closed while a request may be on its way over it.
		w.Header().Set("Connection", "close")
	}
	routed, err := g.form.Read(r)
	if err != nil {
		g.refuse(w, "", invalid("invalid_header", err.Error(), ""))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		g.refuse(w, routed.AttemptID, apierror.New(apierror.KindTooLarge, "body_too_large",
			"the body is over the limit; send less", apierror.NotRun))
		return
	case err != nil:
		// The caller broke off its request.
		panic(http.ErrAbortHandler)
	}
	routed.HeaderBytes, routed.BodyBytes = headerSize(r.Header), len(body)
	c := &call{
		method: r.Method, path: r.RequestURI, header: r.Header, body: body,
		arrival: state.RequestArrived{ID: newRequestID(), Method: r.Method, Path: routed.Path, Routed: &routed},
	}
	g.run(w, r, &routedExchange{exchange: newExchange(c), routed: routed, lastEvent: routed.LastEventID})
}

// run submits a request and carries out the core's decisions until its reply.
func (g *Routed) run(w http.ResponseWriter, r *http.Request, e *routedExchange) {
	id := e.call.arrival.ID
	stop := context.AfterFunc(r.Context(), func() {
		e.callerGone.Store(true)
		g.daemon.Feed(state.CallerDisconnected{Request: id})
	})
	defer stop()
	g.daemon.Submit(e.call.arrival, e.exchange)
	for {
		select {
		case start := <-e.starts:
			e.started = true
			g.daemon.Feed(g.attempt(w, r, e, start))
		case reply := <-e.reply:
			g.finish(w, e, reply)
			return
		case <-g.daemon.Done():
			select {
			case reply := <-e.reply:
				g.finish(w, e, reply)
			default:
				g.finish(w, e, state.Reply{Refusal: shuttingDown(e.started)})
			}
			return
		}
	}
}

// finish gives the caller the end of its answer.
func (g *Routed) finish(w http.ResponseWriter, e *routedExchange, reply state.Reply) {
	switch {
	case e.callerGone.Load():
		panic(http.ErrAbortHandler)
	case reply.Refusal != nil && e.passedOn:
		// An answer that ends early must not look whole.
		panic(http.ErrAbortHandler)
	case reply.Refusal != nil:
		g.refuse(w, e.routed.AttemptID, reply.Refusal)
	case reply.UseBufferedAnswer && e.held != nil:
		copyRoutedHeader(w.Header(), e.held.header)
		w.Header().Set("Content-Length", strconv.Itoa(len(e.held.body)))
		w.WriteHeader(e.held.status)
		_, _ = w.Write(e.held.body)
	case !e.passedOn:
		g.refuse(w, e.routed.AttemptID, apierror.New(apierror.KindInternal, "no_answer",
			"the request ended without an answer; check before sending it again", apierror.Unknown))
	}
}

// promises are the statuses that mean that a request has not run.
var promises = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

func (g *Routed) refuse(w http.ResponseWriter, attemptID string, e *apierror.Error) {
	status := e.Status()
	if promises[status] && e.Outcome != apierror.NotRun {
		status = http.StatusBadGateway
		if e.Kind == apierror.KindDeadline {
			status = http.StatusGatewayTimeout
		}
	}
	g.form.Refuse(w.Header(), attemptID, e.RetryAfter)
	if e.Kind == apierror.KindTooLarge {
		w.Header().Set("Connection", "close")
	}
	writeJSON(w, status, errorBody{e})
}

// attempt carries out one attempt and returns its last event.
func (g *Routed) attempt(w http.ResponseWriter, r *http.Request, e *routedExchange, start state.StartAttempt) state.AttemptEvent {
	ctx, cancel := e.begin(start.Attempt)
	defer e.end()
	defer cancel(nil)
	a := &routedAttempt{g: g, e: e, start: start, ctx: ctx, ev: state.AttemptEvent{
		Request: start.Request, Attempt: start.Attempt, Stage: state.AttemptEnded, Outcome: apierror.Unknown, AnswerStarted: e.passedOn,
	}}
	e.held = nil
	if start.DecidedAt > 0 && g.daemon.Now()-start.DecidedAt > sendWithin {
		a.ev.Failure, a.ev.Outcome = state.FailureDecisionExpired, apierror.NotRun
		return a.ev
	}
	req, err := a.request(r)
	if err != nil {
		g.log.Error("attempt not built", "request", e.routed.AttemptID, "error", err)
		a.ev.Failure, a.ev.Outcome = state.FailureConnect, apierror.NotRun
		return a.ev
	}
	a.watch()
	defer a.unwatch()
	res, err := g.targets.Do(req, true)
	if err != nil {
		a.fail(err)
		return a.ev
	}
	defer func() { _ = res.Body.Close() }()
	a.receive(w, res)
	a.ev.AnswerStarted = e.passedOn
	return a.ev
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

func dropHopHeaders(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

func copyRoutedHeader(to, from http.Header) {
	from = from.Clone()
	dropHopHeaders(from)
	from.Del("Content-Length")
	for name, values := range from {
		to[name] = values
	}
}

// request builds the request of an attempt, with the path and the body as the
// caller sent them.
func (a *routedAttempt) request(r *http.Request) (*http.Request, error) {
	c := a.e.call
	var body io.Reader = http.NoBody
	if len(c.body) > 0 {
		body = bytes.NewReader(c.body)
	}
	req, err := http.NewRequestWithContext(a.ctx, c.method, "http://"+a.start.Address, body)
	if err != nil {
		return nil, errors.Wrap(err, "build attempt")
	}
	path, query, hasQuery := strings.Cut(c.path, "?")
	req.URL = &url.URL{Scheme: "http", Host: a.start.Address, Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}
	req.Host = r.Host
	req.Header = c.header.Clone()
	dropHopHeaders(req.Header)
	req.Header.Del("Content-Length")
	req.Header.Del("Expect")
	if req.Header.Get("User-Agent") == "" {
		req.Header["User-Agent"] = nil
	}
	a.g.form.Prepare(req.Header, RoutedAttempt{
		Instance: a.start.ExpectedInstance, Account: a.start.Account,
		Timeout:   a.start.Timeout - (a.g.daemon.Now() - a.start.DecidedAt),
		LastEvent: a.e.lastEvent,
	})
	return req, nil
}
