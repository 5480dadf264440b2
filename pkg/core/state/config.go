package state

import "time"

// Head is the configuration in force at one version: table row "config/head".
type Head struct {
	Version Version `cbor:"1,keyasint"`
	// Op is the write that made this version.
	Op OpID `cbor:"2,keyasint"`
	// Preset is the one preset in force.
	Preset string `cbor:"3,keyasint"`
	// DisabledDataCentres and OutTargets receive no new work. Both are sorted.
	DisabledDataCentres []DataCentre `cbor:"4,keyasint,omitempty"`
	DisabledTargets     []TargetID   `cbor:"5,keyasint,omitempty"`
	// Nodes is the registry of entry daemons, sorted by id.
	Nodes []NodeEntry `cbor:"6,keyasint,omitempty"`
	// DocumentVersion is the version at which the document last changed. The
	// document is in table row "config/doc/<version>".
	DocumentVersion Version `cbor:"7,keyasint"`
	// AddedNode and Left are the node that this version added to the registry and
	// the one that it removed. With Nodes they give the registry of the version
	// before, which the acceptance of this version needs.
	AddedNode   NodeID     `cbor:"8,keyasint,omitempty"`
	RemovedNode *NodeEntry `cbor:"9,keyasint,omitempty"`
	// RemovedByOperator is set when an operator stated that Left is gone for good. Such
	// a node answers nobody, so that acceptance need not wait for it.
	RemovedByOperator bool `cbor:"10,keyasint,omitempty"`
	// OperatorVersion is the version of the last change by an operator. Changes
	// of the registry leave it as it is.
	OperatorVersion Version `cbor:"11,keyasint,omitempty"`
}

// NodeEntry is one registered entry daemon.
type NodeEntry struct {
	ID          NodeID      `cbor:"1,keyasint"`
	DataCentre  DataCentre  `cbor:"2,keyasint"`
	Address     string      `cbor:"3,keyasint"`
	Incarnation Incarnation `cbor:"4,keyasint"`
}

// Document is what operators declare.
type Document struct {
	Accounts    []AccountSpec    `cbor:"1,keyasint,omitempty"`
	DataCentres []DataCentreSpec `cbor:"2,keyasint,omitempty"`
	Models      []ModelSpec      `cbor:"3,keyasint,omitempty"`
	Groups      []GroupSpec      `cbor:"4,keyasint,omitempty"`
	Services    []ServiceSpec    `cbor:"5,keyasint,omitempty"`
	Presets     []PresetSpec     `cbor:"6,keyasint,omitempty"`
}

// AccountSpec declares a client account.
type AccountSpec struct {
	Name AccountID `cbor:"1,keyasint"`
	// KeyHash is the hex SHA-256 of the account's key.
	KeyHash string `cbor:"2,keyasint"`
	// Weight is its share relative to other accounts; at least 1.
	Weight int `cbor:"3,keyasint"`
	// Concurrency bounds its requests in flight over all nodes; 0 means none.
	Concurrency int `cbor:"4,keyasint,omitempty"`
}

// DataCentreSpec declares a data centre.
type DataCentreSpec struct {
	Name   DataCentre `cbor:"1,keyasint"`
	Region string     `cbor:"2,keyasint,omitempty"`
	// WeightStoreRate is what the weight store delivers to this data centre in
	// bytes per second; 0 means that loads are not paced.
	WeightStoreRate int64 `cbor:"3,keyasint,omitempty"`
}

// ModelSpec declares a model with its versions and adapters.
type ModelSpec struct {
	Name     string   `cbor:"1,keyasint"`
	Versions []string `cbor:"2,keyasint,omitempty"`
	Adapters []string `cbor:"3,keyasint,omitempty"`
	// WeightBytes is the size of the weights that each member loads.
	WeightBytes int64 `cbor:"4,keyasint,omitempty"`
}

// GroupSpec declares a replica group.
type GroupSpec struct {
	Name       GroupID    `cbor:"1,keyasint"`
	Model      string     `cbor:"2,keyasint"`
	Version    string     `cbor:"3,keyasint,omitempty"`
	Adapters   []string   `cbor:"4,keyasint,omitempty"`
	Members    int        `cbor:"5,keyasint"`
	DataCentre DataCentre `cbor:"6,keyasint"`
	// ColdLimit and WarmLimit are requests in flight over all nodes.
	ColdLimit int `cbor:"7,keyasint"`
	WarmLimit int `cbor:"8,keyasint"`
	// Role is "serve" (default), "prefill" or "decode".
	Role string `cbor:"9,keyasint,omitempty"`
}

// ServiceSpec declares a plain service.
type ServiceSpec struct {
	Name             string            `cbor:"1,keyasint"`
	Replicas         []ServiceReplica  `cbor:"2,keyasint,omitempty"`
	AtMostOnceRoutes []ServiceRoute    `cbor:"3,keyasint,omitempty"`
	LookupPath       string            `cbor:"4,keyasint,omitempty"`
	ColdLimit        int               `cbor:"5,keyasint"`
	WarmLimit        int               `cbor:"6,keyasint"`
	Labels           map[string]string `cbor:"7,keyasint,omitempty"`
}

// ServiceReplica is one replica of a plain service.
type ServiceReplica struct {
	Name       string     `cbor:"1,keyasint"`
	Address    string     `cbor:"2,keyasint"`
	DataCentre DataCentre `cbor:"3,keyasint"`
}

// ServiceRoute names a method and a path prefix that may not be repeated.
type ServiceRoute struct {
	Method string `cbor:"1,keyasint"`
	Path   string `cbor:"2,keyasint"`
}

// PresetSpec declares a preset. Fields that are not set leave the declared
// values in force.
type PresetSpec struct {
	Name string `cbor:"1,keyasint"`
	// Weights and Concurrency override those of accounts, sorted by account.
	Weights     []AccountValue `cbor:"2,keyasint,omitempty"`
	Concurrency []AccountValue `cbor:"3,keyasint,omitempty"`
	// Groups that take no new work while the preset is in force.
	DisabledGroups []GroupID `cbor:"4,keyasint,omitempty"`
	// MaxQueueTime bounds waiting; 0 means the default of 30 s.
	MaxQueueTime time.Duration `cbor:"5,keyasint,omitempty"`
}

// AccountValue is a number for one account.
type AccountValue struct {
	Account AccountID `cbor:"1,keyasint"`
	Value   int       `cbor:"2,keyasint"`
}

// AuditRecord is one change, written in the transaction that made it: table
// row "audit/<version>".
type AuditRecord struct {
	Version  Version `cbor:"1,keyasint"`
	Operator string  `cbor:"2,keyasint"`
	Action   string  `cbor:"3,keyasint"`
	Before   string  `cbor:"4,keyasint"`
	After    string  `cbor:"5,keyasint"`
	// AtUnixMilli is the wall clock of the node that took the command; 0 for
	// changes of the registry, which nodes make themselves.
	AtUnixMilli int64 `cbor:"6,keyasint"`
	// Op is the write that made the change. It settles a lost answer even when a
	// later version has replaced the head.
	Op OpID `cbor:"7,keyasint,omitempty"`
}
