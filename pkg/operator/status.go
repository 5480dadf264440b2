package operator

// Status is what one entry daemon knows. Ages are in milliseconds and count
// back from the time of the answer; -1 means never.
type Status struct {
	// Node is the entry daemon that answers.
	Node SelfStatus `json:"node"`
	// Version is the configuration that the node holds; Accepted is the latest
	// version known to be in force everywhere.
	Version         uint64 `json:"version"`
	Accepted        uint64 `json:"accepted"`
	DocumentVersion uint64 `json:"document_version"`
	Preset          string `json:"preset"`

	Nodes       []NodeStatus       `json:"nodes"`
	DataCentres []DataCentreStatus `json:"data_centres"`
	// DisabledTargets lists the targets that operators took out.
	DisabledTargets []string        `json:"targets_out"`
	Groups          []GroupStatus   `json:"groups"`
	Hosts           []HostStatus    `json:"hosts"`
	Targets         []TargetStatus  `json:"targets"`
	Accounts        []AccountStatus `json:"accounts"`
	Leases          []LeaseStatus   `json:"leases"`
	// Stranded lists the healthy hosts that are in no serving group.
	Stranded []string `json:"stranded"`
}

// SelfStatus is the state of the answering entry daemon.
type SelfStatus struct {
	ID          string `json:"id"`
	DataCentre  string `json:"data_centre"`
	Incarnation uint64 `json:"incarnation"`
	// ConfigLoaded is whether it has a configuration; Fresh whether it sends new work.
	ConfigLoaded bool `json:"known"`
	Fresh        bool `json:"fresh"`
	Ready        bool `json:"ready"`
	Draining     bool `json:"draining"`
	// EvidenceAgeMS is the age of the evidence that its copy is the newest.
	EvidenceAgeMS int64 `json:"evidence_age_ms"`
	OpenRequests  int   `json:"open_requests"`
}

// NodeStatus is a registered entry daemon as the answering one sees it.
type NodeStatus struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	// Linked is whether there is a link to it. The answering node is linked.
	Linked bool `json:"linked"`
	// Version is the configuration version that it last reported.
	Version      uint64 `json:"version"`
	VersionAgeMS int64  `json:"version_age_ms"`
	Leaving      bool   `json:"leaving"`
}

// DataCentreStatus is a declared data centre.
type DataCentreStatus struct {
	Name     string `json:"name"`
	Region   string `json:"region,omitempty"`
	Disabled bool   `json:"out"`
	// Hosts counts the listed hosts.
	Hosts int `json:"hosts"`
}

// GroupStatus is a declared replica group.
type GroupStatus struct {
	Name       string   `json:"name"`
	Model      string   `json:"model"`
	Version    string   `json:"version,omitempty"`
	Adapters   []string `json:"adapters,omitempty"`
	DataCentre string   `json:"data_centre"`
	Domain     string   `json:"domain,omitempty"`
	// Phase is pending, loading, serving or dissolved.
	Phase string `json:"phase"`
	// Whole is the last verdict of its watchers.
	Whole        bool  `json:"whole"`
	HealthyAgeMS int64 `json:"whole_age_ms"`
	Straggler    bool  `json:"straggler"`
	// Disabled is whether the preset in force gives it no new work.
	Disabled     bool     `json:"idle"`
	Wanted       int      `json:"wanted"`
	Members      []string `json:"members"`
	DeadMembers  []string `json:"dead,omitempty"`
	FencingToken uint64   `json:"fence"`
}

// HostStatus is a host of the platform.
type HostStatus struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Domain     string `json:"domain"`
	// Healthy is whether it is listed, does not leave and answers its probes.
	Healthy bool   `json:"healthy"`
	Listed  bool   `json:"listed"`
	Leaving bool   `json:"leaving"`
	Group   string `json:"group,omitempty"`
	// Phase is what its engine last reported.
	Phase      string `json:"phase"`
	ProbeAgeMS int64  `json:"probe_age_ms"`
}

// TargetStatus is a destination of requests.
type TargetStatus struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// Limit is what it bears over all nodes; Share is the answering node's part.
	Limit int `json:"limit"`
	Share int `json:"share"`
	// InFlight counts the answering node's requests; PeersInFlight the others'.
	InFlight      int  `json:"in_flight"`
	PeersInFlight int  `json:"peers_in_flight"`
	Cold          bool `json:"cold"`
	Suspect       bool `json:"suspect"`
	Disabled      bool `json:"out"`
}

// AccountStatus is a client account with the limits in force.
type AccountStatus struct {
	Name          string `json:"name"`
	Weight        int    `json:"weight"`
	Concurrency   int    `json:"concurrency"`
	InFlight      int    `json:"in_flight"`
	PeersInFlight int    `json:"peers_in_flight"`
	Queued        int    `json:"queued"`
}

// LeaseStatus is the placement lease of a data centre.
type LeaseStatus struct {
	DataCentre string `json:"data_centre"`
	Holder     string `json:"holder"`
	Fence      uint64 `json:"fence"`
	// HeldBySelf is whether the answering node holds it.
	HeldBySelf bool `json:"held"`
}

// NodesBehind lists the registered nodes that have not reported a version.
func (s Status) NodesBehind(version uint64) []NodeStatus {
	var behind []NodeStatus
	for _, n := range s.Nodes {
		if n.Version < version {
			behind = append(behind, n)
		}
	}
	return behind
}
