package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/target"
)

const (
	// bytesPerToken is the usual length of a token of English text.
	bytesPerToken = 4
	// defaultAnswerTokens is the expected answer without max_tokens.
	defaultAnswerTokens = 256
	maxAnswerTokens     = 1 << 20
	maxChoices          = 128
)

// completionBody is what the gateway reads of a completion request. All other
// fields pass through.
type completionBody struct {
	model     string
	stream    bool
	maxTokens int64
	choices   int64
	// prompt is the JSON of "messages" or "prompt".
	prompt []byte
	// modelAt and modelEnd delimit the JSON of the model name in the body.
	modelAt, modelEnd int
}

func malformed(message, param string) *apierror.Error {
	return invalid("invalid_json", message, param)
}

// parseCompletion reads the top level of a completion request.
func parseCompletion(body []byte) (completionBody, *apierror.Error) {
	c := completionBody{choices: 1, maxTokens: defaultAnswerTokens}
	notObject := malformed("the body is not a JSON object; send one with a model", "")
	if !json.Valid(body) {
		return c, notObject
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return c, notObject
	}
	seen := map[string]bool{}
	for dec.More() {
		t, err := dec.Token()
		key, ok := t.(string)
		if err != nil || !ok {
			return c, notObject
		}
		var raw json.RawMessage
		if err := dec.Decode(&raw); err != nil {
			return c, notObject
		}
		if seen[key] {
			return c, malformed("a field is given twice; give it once", key)
		}
		seen[key] = true
		if !c.field(key, raw, int(dec.InputOffset())) {
			return c, malformed("a field has the wrong type; see the API documentation", key)
		}
	}
	if c.model == "" {
		return c, malformed("the model is missing; name one of GET /v1/models", "model")
	}
	return c, nil
}

func (c *completionBody) field(key string, raw json.RawMessage, end int) bool {
	switch key {
	case "model":
		c.modelAt, c.modelEnd = end-len(raw), end
		return json.Unmarshal(raw, &c.model) == nil
	case "stream":
		return json.Unmarshal(raw, &c.stream) == nil
	case "max_tokens", "max_completion_tokens":
		n := c.maxTokens
		ok := json.Unmarshal(raw, &n) == nil && n >= 0 && n <= maxAnswerTokens
		c.maxTokens = n
		return ok
	case "n":
		ok := json.Unmarshal(raw, &c.choices) == nil && c.choices >= 0 && c.choices <= maxChoices
		return ok
	case "messages", "prompt":
		c.prompt = raw
	}
	return true
}

// cost is the expected work of a request in tokens.
func (c *completionBody) cost() int64 {
	return int64(len(c.prompt))/bytesPerToken + c.maxTokens*max(c.choices, 1)
}

// modelName is a parsed model, model:adapter, model@version or
// model:adapter@version.
type modelName struct{ model, adapter, version string }

func parseModelName(s string) modelName {
	rest, version, _ := strings.Cut(s, "@")
	model, adapter, _ := strings.Cut(rest, ":")
	return modelName{model, adapter, version}
}

// engineName is the name by which an engine knows the model: it serves one
// version, so the version is left out.
func (m modelName) engineName() string {
	if m.adapter == "" {
		return m.model
	}
	return m.model + ":" + m.adapter
}

// declared reports whether the document declares the model with this adapter
// and version.
func declared(doc *state.Document, s string, m modelName) bool {
	if strings.HasSuffix(s, "@") || strings.HasSuffix(s, ":") || strings.Contains(s, ":@") {
		return false
	}
	i := slices.IndexFunc(doc.Models, func(spec state.ModelSpec) bool { return spec.Name == m.model })
	if i < 0 {
		return false
	}
	spec := &doc.Models[i]
	return (m.adapter == "" || slices.Contains(spec.Adapters, m.adapter)) &&
		(m.version == "" || slices.Contains(spec.Versions, m.version))
}

// rewriteModel replaces the model name and leaves all other bytes as they are.
func rewriteModel(body []byte, c *completionBody, name string) []byte {
	if name == c.model {
		return body
	}
	quoted, err := json.Marshal(name)
	if err != nil {
		return body
	}
	return slices.Concat(body[:c.modelAt], quoted, body[c.modelEnd:])
}

func (g *Gateway) completion(w http.ResponseWriter, r *http.Request) {
	account, c, apiErr := g.identify(w, r)
	if apiErr != nil {
		writeError(w, apiErr)
		return
	}
	body, err := readBody(w, r)
	if err != nil {
		fail(w, err)
		return
	}
	fields, apiErr := parseCompletion(body)
	if apiErr != nil {
		writeError(w, apiErr)
		return
	}
	name := parseModelName(fields.model)
	if !declared(&g.daemon.Snapshot().Document, fields.model, name) {
		e := apierror.New(apierror.KindNotFound, "model_not_found", "the model does not exist; name one of GET /v1/models", apierror.NotRun)
		e.Param = "model"
		writeError(w, e)
		return
	}
	g.run(w, r, &call{
		method: http.MethodPost, path: r.URL.Path, body: rewriteModel(body, &fields, name.engineName()),
		header: modelHeader(r.Header),
		arrival: state.RequestArrived{
			ID: c.id, Account: account, Kind: state.KindModel, Model: name.model, Version: name.version,
			Adapter: name.adapter, Method: http.MethodPost, Path: r.URL.Path, Priority: c.priority,
			Stream: fields.stream, Timeout: c.timeout, CostTokens: fields.cost(),
			PrefixHashes: target.PrefixHashes(name.engineName(), fields.prompt),
		},
	})
}

func modelHeader(h http.Header) http.Header {
	out := http.Header{"Content-Type": {"application/json"}}
	for _, name := range []string{"Accept", "Traceparent", "Tracestate"} {
		if v := h.Get(name); v != "" {
			out.Set(name, v)
		}
	}
	return out
}

// model is an entry of GET /v1/models.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

func (g *Gateway) models(w http.ResponseWriter, r *http.Request) {
	if _, err := g.account(r); err != nil {
		writeError(w, err)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, m := range g.daemon.Snapshot().Document.Models {
		for _, adapter := range append([]string{""}, m.Adapters...) {
			name := modelName{model: m.Name, adapter: adapter}.engineName()
			list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: "operator"})
			for _, version := range m.Versions {
				list.Data = append(list.Data, model{ID: name + "@" + version, Object: "model", OwnedBy: "operator"})
			}
		}
	}
	writeJSON(w, http.StatusOK, list)
}
