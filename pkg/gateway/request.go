package gateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

// requestStatus is the body of the answer to GET /v1/requests/{id}.
type requestStatus struct {
	ID      state.RequestID  `json:"id"`
	Object  string           `json:"object"`
	State   string           `json:"state"`
	Outcome apierror.Outcome `json:"outcome,omitempty"`
	// Offset is the number of stream events that the caller had been sent when the
	// state of the request last changed.
	Offset int64         `json:"offset,omitempty"`
	Answer *storedAnswer `json:"answer,omitempty"`
	// Node is the entry daemon that accepted the request.
	Node state.NodeID `json:"node"`
}

// outcomeTimeout exceeds the time for which the core waits for its peers.
const outcomeTimeout = 3 * time.Second

// storedAnswer is the stored answer to an at-most-once request.
type storedAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        string `json:"body"`
}

// handleOutcome serves the status of a request. With a resume token, any node
// returns the answer of a generation that was not streamed.
func (g *Gateway) handleOutcome(w http.ResponseWriter, r *http.Request) {
	account, apiErr := g.authenticate(r)
	if apiErr != nil {
		writeError(w, apiErr)
		return
	}
	id := state.RequestID(requestIDFromPath(r))
	tokenText := r.Header.Get("X-Resume-Token")
	if tokenText != "" {
		token, apiErr := g.checkResumeToken(tokenText, account, id)
		if apiErr != nil {
			writeError(w, apiErr)
			return
		}
		if !token.Stream {
			g.resumeGeneration(w, r, token, 0)
			return
		}
	}
	status, apiErr := g.lookUpStatus(r.Context(), account, id)
	if apiErr != nil {
		writeError(w, apiErr)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

// lookUpStatus returns the status of a request from this node or one of its peers.
func (g *Gateway) lookUpStatus(ctx context.Context, account state.AccountID, id state.RequestID) (requestStatus, *apierror.Error) {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	reply, err := g.daemon.Outcome(ctx, account, id)
	if err != nil || !reply.Answer.Found {
		return requestStatus{}, apierror.New(apierror.KindNotFound, "request_not_known",
			"no reachable node has a record of the request; send its X-Resume-Token, or repeat the request with its Idempotency-Key", apierror.Unknown)
	}
	answer := &reply.Answer
	status := requestStatus{ID: id, Object: "request", State: "ended", Outcome: answer.Outcome, Node: reply.Node}
	if answer.Running {
		status.State = "running"
	}
	if answer.Resume != nil {
		status.Offset = answer.Resume.Offset
	}
	g.daemon.View(func(t *state.Tables) {
		req := t.Requests.Get(id)
		if req == nil || req.Arrival.Account != account || !req.Arrival.AtMostOnce {
			return
		}
		claim := t.Claims.Get(state.KeyClaim(account, req.Arrival.IdempotencyKey))
		if claim != nil && claim.Row.Request == id && claim.Row.Answer != nil {
			stored := claim.Row.Answer
			status.Answer = &storedAnswer{stored.Status, stored.ContentType, string(stored.Body)}
		}
	})
	return status, nil
}

// handleResume continues a stream from an offset. Any node can serve it.
func (g *Gateway) handleResume(w http.ResponseWriter, r *http.Request) {
	account, apiErr := g.authenticate(r)
	if apiErr != nil {
		writeError(w, apiErr)
		return
	}
	offset := int64(0)
	if v := r.URL.Query().Get("offset"); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 0 {
			writeError(w, invalidRequestError("invalid_offset", "send the id of the last received event as the offset", "offset"))
			return
		}
		offset = n
	}
	token, apiErr := g.checkResumeToken(r.Header.Get("X-Resume-Token"), account, state.RequestID(requestIDFromPath(r)))
	if apiErr != nil {
		writeError(w, apiErr)
		return
	}
	if !token.Stream {
		writeError(w, invalidRequestError("not_a_stream", "the request was not streamed; get its answer from GET /v1/requests/{id}", "stream"))
		return
	}
	g.resumeGeneration(w, r, token, offset)
}

// resumeGeneration submits a request that continues a generation at the target
// that runs it.
func (g *Gateway) resumeGeneration(w http.ResponseWriter, r *http.Request, token resumeToken, offset int64) {
	options, apiErr := parseRequestOptions(http.Header{
		"X-Deadline-Ms": r.Header.Values("X-Deadline-Ms"), "X-Priority": r.Header.Values("X-Priority"),
	})
	if apiErr != nil {
		writeError(w, apiErr)
		return
	}
	groups := g.daemon.Snapshot().Document.Groups
	i := slices.IndexFunc(groups, func(s state.GroupSpec) bool { return state.TargetID(s.Name) == token.Target })
	if i < 0 {
		writeError(w, apierror.New(apierror.KindTargetLost, "target_gone",
			"the replica group that generated the answer is no longer declared; send the request again", apierror.Unknown))
		return
	}
	w.Header().Set("X-Request-Id", string(token.Request))
	g.run(w, r, &callerRequest{
		method: http.MethodGet, header: http.Header{}, resumedRequest: token.Request,
		arrival: state.RequestArrived{
			ID: options.id, Account: token.Account, Kind: state.KindModel, Model: groups[i].Model, Version: groups[i].Version,
			Method: http.MethodGet, Path: r.URL.Path, Priority: options.priority, Stream: token.Stream,
			Timeout: min(options.timeout, time.Hour), CostTokens: 1,
			Resume: &state.ResumePoint{Target: token.Target, Generation: token.Generation, Offset: offset},
		},
	})
}
