package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/declaration"
	"github.com/apricotgrade/apricotgrade/pkg/inifile"
)

// defaultAuditEntries is the limit of an audit query that names none.
const defaultAuditEntries = 100

// maxAuditEntries bounds the limit of an audit query, and so the rows of one read
// of the table service.
const maxAuditEntries = 500

func (s *Server) status(*http.Request, string) (any, error) {
	return ReadStatus(s.daemon), nil
}

func (s *Server) declarations(*http.Request, string) (any, error) {
	version, doc, err := s.currentDocument()
	if err != nil {
		return nil, err
	}
	return Declarations{Version: uint64(version), Text: declaration.Format(doc)}, nil
}

// currentDocument returns the document in force and the configuration version. The
// document is shared with the tables, which replace it and never modify it.
func (s *Server) currentDocument() (state.Version, state.Document, error) {
	var version state.Version
	var doc state.Document
	loaded := false
	s.daemon.View(func(t *state.Tables) {
		version, doc, loaded = t.Config.Head.Version, t.Config.Document, t.Config.Loaded
	})
	if !loaded {
		return 0, doc, apierror.New(apierror.KindUnavailable, "no_configuration",
			"this node has no configuration yet; ask another node or wait until it is ready", apierror.NotRun).WithRetryAfter(time.Second)
	}
	return version, doc, nil
}

func (s *Server) audit(r *http.Request, _ string) (any, error) {
	since, limit := uint64(0), defaultAuditEntries
	var err error
	if v := r.URL.Query().Get("since"); v != "" {
		if since, err = strconv.ParseUint(v, 10, 64); err != nil {
			return nil, invalidValueError("since", "since must be a version number")
		}
	}
	if v := r.URL.Query().Get("limit"); v != "" {
		if limit, err = strconv.Atoi(v); err != nil || limit < 1 || limit > maxAuditEntries {
			return nil, invalidValueError("limit", "limit must be a number from 1 to "+strconv.Itoa(maxAuditEntries))
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
	defer cancel()
	latestVersion, err := s.latestVersion(ctx)
	if err != nil {
		return nil, err
	}
	rows, err := s.platform.Read(ctx, auditKeys(latestVersion, since, limit))
	if err != nil {
		return nil, storeDownError(err)
	}
	audit := Audit{Entries: []AuditEntry{}}
	for _, row := range rows {
		var record state.AuditRecord
		if err := state.Decode(row.Value, &record); err != nil {
			return nil, errors.Wrap(err, row.Key)
		}
		audit.Entries = append(audit.Entries, auditEntry(record))
	}
	return audit, nil
}

// latestVersion reads the configuration version from the table service, because
// the node's own copy may be older.
func (s *Server) latestVersion(ctx context.Context) (uint64, error) {
	rows, err := s.platform.Read(ctx, []string{state.KeyHead})
	if err != nil {
		return 0, storeDownError(err)
	}
	if len(rows) == 0 {
		return 0, nil
	}
	var head state.Head
	if err := state.Decode(rows[0].Value, &head); err != nil {
		return 0, errors.Wrap(err, state.KeyHead)
	}
	return uint64(head.Version), nil
}

// auditKeys returns the row keys of the latest versions above since, at most limit.
// The cost of a read by key does not grow with the length of the audit trail, unlike
// that of a scan.
func auditKeys(latestVersion, since uint64, limit int) []string {
	first := since + 1
	if latestVersion >= uint64(limit) {
		first = max(first, latestVersion-uint64(limit)+1)
	}
	var keys []string
	for v := first; v <= latestVersion; v++ {
		keys = append(keys, state.KeyAudit(state.Version(v)))
	}
	return keys
}

func auditEntry(r state.AuditRecord) AuditEntry {
	e := AuditEntry{Version: uint64(r.Version), Operator: r.Operator, Action: r.Action, Before: r.Before, After: r.After}
	if r.AtUnixMilli != 0 {
		e.Time = time.UnixMilli(r.AtUnixMilli).UTC().Format(time.RFC3339)
	}
	return e
}

var claimStates = map[state.ClaimPhase]string{
	state.ClaimHeld: "in_flight", state.ClaimNotRun: "not_run", state.ClaimDone: "done", state.ClaimUnknown: "unknown",
}

var claimOutcomes = map[state.ClaimPhase]apierror.Outcome{
	state.ClaimNotRun: apierror.NotRun, state.ClaimDone: apierror.Done, state.ClaimUnknown: apierror.Unknown,
}

func (s *Server) requestOutcome(r *http.Request, _ string) (any, error) {
	vars := pathvar.Vars(r)
	account, errAccount := url.PathUnescape(vars["account"])
	key, errKey := url.PathUnescape(vars["key"])
	if errAccount != nil || errKey != nil {
		return nil, invalidValueError("key", "account and key must be escaped as path segments")
	}
	ctx, cancel := context.WithTimeout(r.Context(), storeTimeout)
	defer cancel()
	rows, err := s.platform.Read(ctx, []string{state.KeyClaim(state.AccountID(account), key)})
	if err != nil {
		return nil, storeDownError(err)
	}
	if len(rows) == 0 {
		return nil, apierror.New(apierror.KindNotFound, "no_claim",
			"no request of this account has used this key; check the account and the key", apierror.NotRun)
	}
	var row state.ClaimRow
	if err := state.Decode(rows[0].Value, &row); err != nil {
		return nil, errors.Wrap(err, rows[0].Key)
	}
	outcome := RequestOutcome{
		Account: account, IdempotencyKey: key, State: claimStates[row.Phase], Outcome: claimOutcomes[row.Phase],
		Service: row.Service, RequestID: string(row.Request), Node: string(row.Holder),
	}
	if row.Answer == nil && row.AnswerObjectKey != "" {
		if row.Answer, err = s.storedAnswer(ctx, row.AnswerObjectKey); err != nil {
			return nil, err
		}
	}
	if row.Answer != nil {
		outcome.Status, outcome.Answer = row.Answer.Status, string(row.Answer.Body)
	}
	return outcome, nil
}

// storedAnswer reads an answer that is too large for a row from the object store.
func (s *Server) storedAnswer(ctx context.Context, key string) (*state.Answer, error) {
	encoded, err := s.platform.Get(ctx, key)
	if err != nil {
		return nil, storeDownError(err)
	}
	var answer state.Answer
	if err := state.Decode(encoded, &answer); err != nil {
		return nil, errors.Wrap(err, key)
	}
	return &answer, nil
}

func (s *Server) plan(r *http.Request, _ string) (any, error) {
	_, doc, err := decodeDeclarations(r)
	if err != nil {
		return nil, err
	}
	version, current, err := s.currentDocument()
	if err != nil {
		return nil, err
	}
	if err := s.checkPresetDeclared(doc); err != nil {
		return nil, err
	}
	return Plan{BaseVersion: uint64(version), Changes: append(declaration.Changes{}, declaration.Diff(current, doc)...)}, nil
}

func decodeChange(r *http.Request) (ChangeRequest, error) {
	var change ChangeRequest
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return change, apierror.New(apierror.KindTooLarge, "body_too_large", "the request body exceeds 4 MiB; send a smaller body", apierror.NotRun)
		}
		return change, invalidValueError("", "the body is not a valid request: "+strings.TrimPrefix(err.Error(), "json: ")+"; docs/OPERATIONS.md lists the fields")
	}
	return change, nil
}

func invalidValueError(param, message string) *apierror.Error {
	e := apierror.New(apierror.KindInvalid, "invalid_value", message, apierror.NotRun)
	e.Param = param
	return e
}

func storeDownError(err error) *apierror.Error {
	return apierror.New(apierror.KindStoreDown, "store_down",
		fmt.Sprintf("the platform's store does not answer (%s); retry later", err), apierror.NotRun).WithRetryAfter(time.Second)
}

// writeError answers with the *apierror.Error in the chain of err, or with one built
// from it: invalid_declarations for problems of declarations, internal otherwise.
func writeError(w http.ResponseWriter, err error) {
	var problems inifile.Problems
	var apiErr *apierror.Error
	body := ErrorBody{}
	switch {
	case errors.As(err, &problems):
		body.Problems = problems
		apiErr = apierror.New(apierror.KindInvalid, "invalid_declarations",
			fmt.Sprintf("the declarations have %d faults; correct all listed faults", len(problems)), apierror.NotRun)
	case errors.As(err, &apiErr):
	default:
		apiErr = apierror.New(apierror.KindInternal, "internal", err.Error()+"; report this as a bug", apierror.Unknown)
	}
	body.Error = apiErr
	if apiErr.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((apiErr.RetryAfter+time.Second-1)/time.Second)))
	}
	writeJSON(w, apiErr.Status(), body)
}

// containsName reports whether an item has the wanted name.
func containsName[T any, K comparable](items []T, name func(T) K, want K) bool {
	return slices.ContainsFunc(items, func(item T) bool { return name(item) == want })
}
