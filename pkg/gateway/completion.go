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
	// bytesPerToken is the typical length of a token of English text.
	bytesPerToken = 4
	// defaultAnswerTokens is the expected length of an answer without max_tokens.
	defaultAnswerTokens = 256
	maxAnswerTokens     = 1 << 20
	maxChoices          = 128
)

// completionBody holds the fields of a completion request that the gateway uses. It
// forwards all other fields unchanged.
type completionBody struct {
	model     string
	stream    bool
	maxTokens int64
	choices   int64
	// prompt is the JSON of "messages" or "prompt".
	prompt []byte
	// modelStart and modelEnd are the byte offsets of the JSON of the model name in
	// the body.
	modelStart, modelEnd int
}

func invalidJSONError(message, param string) *apierror.Error {
	return invalidRequestError("invalid_json", message, param)
}

// parseCompletion parses the top-level fields of a completion request.
func parseCompletion(body []byte) (completionBody, *apierror.Error) {
	fields := completionBody{choices: 1, maxTokens: defaultAnswerTokens}
	notObject := invalidJSONError("the request body is not a JSON object; send a JSON object with a model", "")
	if !json.Valid(body) {
		return fields, notObject
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	if t, err := dec.Token(); err != nil || t != json.Delim('{') {
		return fields, notObject
	}
	seen := map[string]bool{}
	for dec.More() {
		t, err := dec.Token()
		key, ok := t.(string)
		if err != nil || !ok {
			return fields, notObject
		}
		var raw json.RawMessage
		if err := dec.Decode(&raw); err != nil {
			return fields, notObject
		}
		if seen[key] {
			return fields, invalidJSONError("a field occurs twice; send it once", key)
		}
		seen[key] = true
		if !fields.setField(key, raw, int(dec.InputOffset())) {
			return fields, invalidJSONError("a field has an invalid type or value; see the API documentation", key)
		}
	}
	if fields.model == "" {
		return fields, invalidJSONError("the model is missing; send a model that GET /v1/models lists", "model")
	}
	return fields, nil
}

// setField stores the value of a field that the gateway uses. end is the offset of
// the end of the value in the body. The result is false for a value of the wrong
// type or outside its limits.
func (c *completionBody) setField(key string, raw json.RawMessage, end int) bool {
	switch key {
	case "model":
		c.modelStart, c.modelEnd = end-len(raw), end
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

// costTokens returns the expected cost of a request in tokens.
func (c *completionBody) costTokens() int64 {
	return int64(len(c.prompt))/bytesPerToken + c.maxTokens*max(c.choices, 1)
}

// modelName is a parsed model name of the form model, model:adapter, model@version
// or model:adapter@version.
type modelName struct{ model, adapter, version string }

func parseModelName(s string) modelName {
	rest, version, _ := strings.Cut(s, "@")
	model, adapter, _ := strings.Cut(rest, ":")
	return modelName{model, adapter, version}
}

// engineName returns the name of the model at an engine. It omits the version,
// because an engine serves a single one.
func (m modelName) engineName() string {
	if m.adapter == "" {
		return m.model
	}
	return m.model + ":" + m.adapter
}

// isDeclared reports whether the document declares the model m, parsed from s, with
// its adapter and version.
func isDeclared(doc *state.Document, s string, m modelName) bool {
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

// rewriteModel returns the body with another model name and all other bytes unchanged.
func rewriteModel(body []byte, fields *completionBody, name string) []byte {
	if name == fields.model {
		return body
	}
	quoted, err := json.Marshal(name)
	if err != nil {
		return body
	}
	return slices.Concat(body[:fields.modelStart], quoted, body[fields.modelEnd:])
}

// handleCompletion serves POST /v1/chat/completions and POST /v1/completions.
func (g *Gateway) handleCompletion(w http.ResponseWriter, r *http.Request) {
	account, options, apiErr := g.authenticateAndParse(w, r)
	if apiErr != nil {
		writeError(w, apiErr)
		return
	}
	held := g.memory.NewReservation()
	defer held.Release()
	body, ok := g.readBody(w, r, options.timeout, held)
	if !ok {
		return
	}
	fields, apiErr := parseCompletion(body)
	if apiErr != nil {
		writeError(w, apiErr)
		return
	}
	name := parseModelName(fields.model)
	if !isDeclared(&g.daemon.Snapshot().Document, fields.model, name) {
		e := apierror.New(apierror.KindNotFound, "model_not_found", "the model does not exist; send a model that GET /v1/models lists", apierror.NotRun)
		e.Param = "model"
		writeError(w, e)
		return
	}
	g.run(w, r, &callerRequest{
		method: http.MethodPost, path: r.URL.Path, body: rewriteModel(body, &fields, name.engineName()),
		header: forwardedModelHeader(r.Header),
		arrival: state.RequestArrived{
			ID: options.id, Account: account, Kind: state.KindModel, Model: name.model, Version: name.version,
			Adapter: name.adapter, Method: http.MethodPost, Path: r.URL.Path, Priority: options.priority,
			Stream: fields.stream, Timeout: options.timeout, CostTokens: fields.costTokens(),
			PrefixHashes: target.PrefixHashes(name.engineName(), fields.prompt),
		},
	})
}

// forwardedModelHeader returns the header fields of a request that an engine receives.
func forwardedModelHeader(h http.Header) http.Header {
	out := http.Header{"Content-Type": {"application/json"}}
	for _, name := range []string{"Accept", "Traceparent", "Tracestate"} {
		if v := h.Get(name); v != "" {
			out.Set(name, v)
		}
	}
	return out
}

// modelEntry is an entry of the answer to GET /v1/models.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// handleModels serves GET /v1/models.
func (g *Gateway) handleModels(w http.ResponseWriter, r *http.Request) {
	if _, err := g.authenticate(r); err != nil {
		writeError(w, err)
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range g.daemon.Snapshot().Document.Models {
		for _, adapter := range append([]string{""}, m.Adapters...) {
			name := modelName{model: m.Name, adapter: adapter}.engineName()
			list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "operator"})
			for _, version := range m.Versions {
				list.Data = append(list.Data, modelEntry{ID: name + "@" + version, Object: "model", OwnedBy: "operator"})
			}
		}
	}
	writeJSON(w, http.StatusOK, list)
}
