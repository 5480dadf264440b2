// Package operator is the operator API of an entry daemon: its server and its
// client.
package operator

import (
	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/declaration"
	"github.com/apricotgrade/apricotgrade/pkg/inifile"
)

// Paths of the operator API.
const (
	pathStatus       = "/operator/status"
	pathAudit        = "/operator/audit"
	pathDeclarations = "/operator/declarations"
	pathOrders       = "/operator/orders/"
	pathPlan         = "/operator/plan"
	pathApply        = "/operator/apply"
	pathPreset       = "/operator/preset"
	pathOut          = "/operator/out"
	pathIn           = "/operator/in"
	pathForget       = "/operator/forget"
)

// maxBodyBytes bounds a request of an operator. Declarations of 600 groups
// take about 100 KiB.
const maxBodyBytes = 4 << 20

// ChangeRequest is a change that an operator asks for. Which fields are used depends
// on the endpoint.
type ChangeRequest struct {
	// BaseVersion is the version that the change was planned against; 0 for any.
	BaseVersion uint64 `json:"base,omitempty"`
	// Declarations are used by plan and apply.
	Declarations string `json:"declarations,omitempty"`
	Preset       string `json:"preset,omitempty"`
	// DataCentre or Target is used by out and in.
	DataCentre string `json:"data_centre,omitempty"`
	Target     string `json:"target,omitempty"`
	// Node is used by forget.
	Node string `json:"node,omitempty"`
}

// ChangeReply is the answer to a change that was committed.
type ChangeReply struct {
	Version uint64 `json:"version"`
	// Accepted is whether the version is in force everywhere already.
	Accepted bool `json:"accepted"`
	// UnconfirmedNodes lists the nodes that have not reported the version.
	UnconfirmedNodes []string `json:"missing"`
}

// Plan is what applying declarations would change.
type Plan struct {
	// BaseVersion is the version that the plan is made against.
	BaseVersion uint64              `json:"base"`
	Changes     declaration.Changes `json:"changes"`
}

// Declarations are the declarations in force.
type Declarations struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// AuditEntry is one change of the configuration.
type AuditEntry struct {
	Version  uint64 `json:"version"`
	Operator string `json:"operator"`
	Action   string `json:"action"`
	Before   string `json:"before"`
	After    string `json:"after"`
	// Time is the wall clock of the node that took the change, in RFC 3339. A
	// registration of a node has none.
	Time string `json:"time,omitempty"`
}

// Audit is the audit trail, latest version last.
type Audit struct {
	Entries []AuditEntry `json:"entries"`
}

// RequestOutcome is the outcome of a request that may not be repeated.
type RequestOutcome struct {
	Account        string `json:"account"`
	IdempotencyKey string `json:"key"`
	// State is in_flight, not_run, done or unknown.
	State     string           `json:"state"`
	Outcome   apierror.Outcome `json:"outcome,omitempty"`
	Service   string           `json:"service,omitempty"`
	RequestID string           `json:"request"`
	// Node is the entry daemon that holds or held the claim.
	Node string `json:"node"`
	// Status and Answer are those of the stored answer, when State is done.
	Status int    `json:"status,omitempty"`
	Answer string `json:"answer,omitempty"`
}

// ErrorBody is the body of an answer that is not 200.
type ErrorBody struct {
	Error *apierror.Error `json:"error"`
	// Problems are the faults of declarations.
	Problems inifile.Problems `json:"problems,omitempty"`
}
