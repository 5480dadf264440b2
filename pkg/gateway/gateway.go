// Package gateway is the caller API: OpenAI-compatible model requests and
// requests to plain services.
package gateway

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/daemon"
	"github.com/apricotgrade/apricotgrade/pkg/target"
)

const (
	maxBodyBytes   = 4 << 20
	defaultTimeout = 120 * time.Second
)

// Gateway serves callers of one node.
type Gateway struct {
	daemon  *daemon.Daemon
	targets *target.Client
}

// New returns a gateway.
func New(d *daemon.Daemon, targets *target.Client) *Gateway {
	return &Gateway{daemon: d, targets: targets}
}

// Handler returns the HTTP handler of the caller API.
func (g *Gateway) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/models", g.models)
	mux.HandleFunc("POST /v1/chat/completions", g.completion)
	mux.HandleFunc("POST /v1/completions", g.completion)
	mux.HandleFunc("/services/{service}/{path...}", g.service)
	return mux
}

func (g *Gateway) account(r *http.Request) (state.AccountID, *apierror.Error) {
	key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	var found state.AccountID
	g.daemon.View(func(t *state.Tables) {
		for id, a := range t.Accounts.All() {
			if subtle.ConstantTimeCompare([]byte(a.KeyHash), []byte(hash)) == 1 {
				found = id
			}
		}
	})
	if found == "" {
		return "", apierror.New(apierror.KindAuth, "invalid_api_key",
			"the key is not known; send a valid key as Authorization: Bearer", apierror.NotRun)
	}
	return found, nil
}

func (g *Gateway) models(w http.ResponseWriter, r *http.Request) {
	if _, err := g.account(r); err != nil {
		writeError(w, err)
		return
	}
	type entry struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []entry `json:"data"`
	}{Object: "list"}
	g.daemon.View(func(t *state.Tables) {
		for _, m := range t.Config.Document.Models {
			list.Data = append(list.Data, entry{m.Name, "model", "operator"})
		}
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

func (g *Gateway) completion(w http.ResponseWriter, r *http.Request) {
	account, apiErr := g.account(r)
	if apiErr != nil {
		writeError(w, apiErr)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, apierror.New(apierror.KindTooLarge, "body_too_large", "the body is over 4 MiB; send less", apierror.NotRun))
		return
	}
	var fields struct {
		Model  string `json:"model"`
		Stream bool   `json:"stream"`
	}
	if err := json.Unmarshal(body, &fields); err != nil || fields.Model == "" {
		writeError(w, apierror.New(apierror.KindInvalid, "invalid_json", "send a JSON object with a model", apierror.NotRun))
		return
	}
	g.run(w, r, body, state.RequestArrived{
		ID: newRequestID(), Account: account, Kind: state.KindModel, Model: fields.Model,
		Stream: fields.Stream, Timeout: defaultTimeout,
	})
}

func (g *Gateway) service(w http.ResponseWriter, r *http.Request) {
	account, apiErr := g.account(r)
	if apiErr != nil {
		writeError(w, apiErr)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, apierror.New(apierror.KindTooLarge, "body_too_large", "the body is over 4 MiB; send less", apierror.NotRun))
		return
	}
	g.run(w, r, body, state.RequestArrived{
		ID: newRequestID(), Account: account, Kind: state.KindService, Service: r.PathValue("service"),
		Method: r.Method, Path: "/" + r.PathValue("path"), Timeout: defaultTimeout,
	})
}

func newRequestID() state.RequestID {
	return state.RequestID("req-" + rand.Text())
}

func writeError(w http.ResponseWriter, e *apierror.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.Status())
	_ = json.NewEncoder(w).Encode(struct {
		Error *apierror.Error `json:"error"`
	}{e})
}
