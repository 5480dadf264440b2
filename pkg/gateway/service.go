package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// unforwardedHeaders are the header fields that a service does not receive: those
// of the connection with the caller, those of this API and the API key, and those
// that could override the request method at the service.
var unforwardedHeaders = []string{
	"Authorization", "Connection", "Content-Length", "Expect", "Host", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"X-Resume-Token", "X-Deadline-Ms", "X-Priority", "X-Request-Id", "X-Attempt", "X-Generation-Id",
	"X-Http-Method", "X-Http-Method-Override", "X-Method-Override",
}

// forwardedHeader returns the header fields of a request that a service receives.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, options := range h.Values("Connection") {
		for name := range strings.SplitSeq(options, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range unforwardedHeaders {
		out.Del(name)
	}
	return out
}

// isAtMostOnce reports whether a service declares at most one execution for a
// request. The comparison ignores case and a trailing slash, because the service
// may ignore them too.
func isAtMostOnce(spec *state.ServiceSpec, method, path string) bool {
	path = strings.TrimSuffix(strings.ToLower(path), "/")
	for _, route := range spec.AtMostOnceRoutes {
		prefix := strings.TrimSuffix(strings.ToLower(route.Path), "/")
		if strings.EqualFold(route.Method, method) && (path == prefix || strings.HasPrefix(path, prefix+"/")) {
			return true
		}
	}
	return false
}

// authenticateAndParse returns the client account and the options of a request, and
// sets the request id in the header of the answer.
func (g *Gateway) authenticateAndParse(w http.ResponseWriter, r *http.Request) (state.AccountID, requestOptions, *apierror.Error) {
	account, apiErr := g.authenticate(r)
	if apiErr != nil {
		return "", requestOptions{}, apiErr
	}
	options, apiErr := parseRequestOptions(r.Header)
	if apiErr != nil {
		return "", requestOptions{}, apiErr
	}
	w.Header().Set("X-Request-Id", string(options.id))
	return account, options, nil
}

// handleService serves requests under /services/{service}/.
func (g *Gateway) handleService(w http.ResponseWriter, r *http.Request) {
	account, options, apiErr := g.authenticateAndParse(w, r)
	if apiErr != nil {
		writeError(w, apiErr)
		return
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, servicesPrefix), "/")
	_, escapedPath, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), servicesPrefix), "/")
	services := g.daemon.Snapshot().Document.Services
	i := slices.IndexFunc(services, func(s state.ServiceSpec) bool { return s.Name == name })
	if i < 0 {
		writeError(w, apierror.New(apierror.KindNotFound, "service_not_found",
			"the service does not exist; use a declared service", apierror.NotRun))
		return
	}
	arrival := state.RequestArrived{
		ID: options.id, Account: account, Kind: state.KindService, Service: name, Method: r.Method, Path: "/" + path,
		Priority: options.priority, Timeout: options.timeout, CostTokens: 1, AtMostOnce: isAtMostOnce(&services[i], r.Method, "/"+path),
	}
	if arrival.AtMostOnce {
		if arrival.IdempotencyKey, apiErr = readIdempotencyKey(r.Header); apiErr != nil {
			writeError(w, apiErr)
			return
		}
	}
	held := g.memory.NewReservation()
	defer held.Release()
	body, ok := g.readBody(w, r, options.timeout, held)
	if !ok {
		return
	}
	targetPath := "/" + escapedPath
	if r.URL.RawQuery != "" {
		targetPath += "?" + r.URL.RawQuery
	}
	if arrival.AtMostOnce {
		arrival.BodyHash = hashRequest(r.Method, name, targetPath, r.Header.Get("Content-Type"), body)
	}
	header := forwardedHeader(r.Header)
	if arrival.AtMostOnce {
		header.Set("Idempotency-Key", state.ServiceIdempotencyKey(account, arrival.IdempotencyKey))
	}
	g.run(w, r, &callerRequest{method: r.Method, path: targetPath, header: header, body: body, arrival: arrival})
}

// hashRequest returns a hash of the content of a request. It detects a different
// request under an Idempotency-Key that is already in use.
func hashRequest(method, service, path, contentType string, body []byte) string {
	h := sha256.New()
	for _, s := range []string{method, service, path, contentType} {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}
