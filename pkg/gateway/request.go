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

// requestStatus answers GET /v1/requests/{id}.
type requestStatus struct {
	ID      state.RequestID  `json:"id"`
	Object  string           `json:"object"`
	State   string           `json:"state"`
	Outcome apierror.Outcome `json:"outcome,omitempty"`
	// Offset is the number of events of a stream that were passed on when the
	// request last changed.
	Offset int64        `json:"offset,omitempty"`
	Answer *knownAnswer `json:"answer,omitempty"`
	// Node is the entry daemon that took the request.
	Node state.NodeID `json:"node"`
}

// outcomeTimeout is above the time that the core gives its peers.
const outcomeTimeout = 3 * time.Second

// knownAnswer is the stored answer of a request that may not be repeated.
type knownAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        string `json:"body"`
}

// outcome answers what is known of a request. With a resume token any node
// gives the answer of a generation that was not streamed.
func (g *Gateway) outcome(w http.ResponseWriter, r *http.Request) {
	account, apiErr := g.account(r)
	if apiErr != nil {
		writeError(w, apiErr)
		return
	}
	id := state.RequestID(pathID(r))
	token := r.Header.Get("X-Resume-Token")
	if token != "" {
		t, apiErr := g.checkToken(token, account, id)
		if apiErr != nil {
			writeError(w, apiErr)
			return
		}
		if !t.Stream {
			g.resumeGeneration(w, r, t, 0)
			return
		}
	}
	status, apiErr := g.status(r.Context(), account, id)
	if apiErr != nil {
		writeError(w, apiErr)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

// status asks this node and its peers.
func (g *Gateway) status(ctx context.Context, account state.AccountID, id state.RequestID) (requestStatus, *apierror.Error) {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	found, err := g.daemon.Outcome(ctx, account, id)
	if err != nil || !found.Answer.Found {
		return requestStatus{}, apierror.New(apierror.KindNotFound, "request_not_known",
			"no node that answers knows the request; send its X-Resume-Token, or repeat it with its Idempotency-Key", apierror.Unknown)
	}
	a := &found.Answer
	status := requestStatus{ID: id, Object: "request", State: "ended", Outcome: a.Outcome, Node: found.Node}
	if a.Running {
		status.State = "running"
	}
	if a.Resume != nil {
		status.Offset = a.Resume.Offset
	}
	g.daemon.View(func(t *state.Tables) {
		req := t.Requests.Get(id)
		if req == nil || req.Arrival.Account != account || !req.Arrival.AtMostOnce {
			return
		}
		claim := t.Claims.Get(state.KeyClaim(account, req.Arrival.IdempotencyKey))
		if claim != nil && claim.Row.Request == id && claim.Row.Answer != nil {
			known := claim.Row.Answer
			status.Answer = &knownAnswer{known.Status, known.ContentType, string(known.Body)}
		}
	})
	return status, nil
}

// resume continues a stream from an offset, at any node.
func (g *Gateway) resume(w http.ResponseWriter, r *http.Request) {
	account, apiErr := g.account(r)
	if apiErr != nil {
		writeError(w, apiErr)
		return
	}
	offset := int64(0)
	if v := r.URL.Query().Get("offset"); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil || n < 0 {
			writeError(w, invalid("invalid_offset", "send the id of the last event that arrived as the offset", "offset"))
			return
		}
		offset = n
	}
	t, apiErr := g.checkToken(r.Header.Get("X-Resume-Token"), account, state.RequestID(pathID(r)))
	if apiErr != nil {
		writeError(w, apiErr)
		return
	}
	if !t.Stream {
		writeError(w, invalid("not_a_stream", "the request was not streamed; ask for its answer by its id", "stream"))
		return
	}
	g.resumeGeneration(w, r, t, offset)
}

// resumeGeneration submits a request that continues a generation at the target
// that runs it.
func (g *Gateway) resumeGeneration(w http.ResponseWriter, r *http.Request, t resumeToken, offset int64) {
	c, apiErr := readCommon(http.Header{
		"X-Deadline-Ms": r.Header.Values("X-Deadline-Ms"), "X-Priority": r.Header.Values("X-Priority"),
	})
	if apiErr != nil {
		writeError(w, apiErr)
		return
	}
	groups := g.daemon.Snapshot().Document.Groups
	i := slices.IndexFunc(groups, func(s state.GroupSpec) bool { return state.TargetID(s.Name) == t.Target })
	if i < 0 {
		writeError(w, apierror.New(apierror.KindTargetLost, "target_gone",
			"the replica group that generated the answer is no longer declared; send the request again", apierror.Unknown))
		return
	}
	w.Header().Set("X-Request-Id", string(t.Request))
	g.run(w, r, &call{
		method: http.MethodGet, header: http.Header{}, origin: t.Request,
		arrival: state.RequestArrived{
			ID: c.id, Account: t.Account, Kind: state.KindModel, Model: groups[i].Model, Version: groups[i].Version,
			Method: http.MethodGet, Path: r.URL.Path, Priority: c.priority, Stream: t.Stream,
			Timeout: min(c.timeout, time.Hour), CostTokens: 1,
			Resume: &state.ResumePoint{Target: t.Target, Generation: t.Generation, Offset: offset},
		},
	})
}
