// Package settings reads the INI settings of the entry daemon and of the
// stand-ins. One table per program describes its keys; parsing, checking and
// docs/settings.md follow it.
package settings

import (
	"log/slog"
	"net/netip"
	"path/filepath"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/inifile"
	"github.com/apricotgrade/apricotgrade/pkg/memory"
)

// Node holds the settings of an entry daemon.
type Node struct {
	ID         string
	DataCentre string
	// Listen, AdminListen and PeerListen are the addresses of the listeners for
	// callers, operators and other entry daemons.
	Listen      string
	AdminListen string
	PeerListen  string
	// PeerAddress is the address at which other entry daemons reach PeerListen.
	PeerAddress string
	PeerKey     string
	// PlatformURL is the base URL of the platform's services.
	PlatformURL string
	// DrainNotice is the time for which a node that shuts down still accepts
	// requests after its health check fails.
	DrainNotice time.Duration
	LogLevel    slog.Level
	Operators   []Operator
	// Managed is set if the platform holds the configuration.
	Managed bool
	// FirstStart is set if the whole installation starts for the first time.
	FirstStart bool
	// ReadyListen is the address of the listener for health checks, which is empty
	// if they go to AdminListen. ReadyPath is the path of the checks.
	ReadyListen string
	ReadyPath   string
	// RetryRatio and RetryBase are the platform's bound on the retries of a service over
	// all nodes: a ratio to its requests and an absolute number, in 10 s.
	RetryRatio float64
	RetryBase  int
	// ProcessorShare is the part of a processor core that the process may use.
	ProcessorShare float64
	// PromptCacheRetention is how long targets are expected to keep the prefix of a
	// prompt; 0 if they keep none.
	PromptCacheRetention time.Duration
	// MemoryMB is the memory in MiB that the process may use, or 0 for the default.
	MemoryMB int
}

// MemoryBytes returns the memory that the process may use.
func (n *Node) MemoryBytes() int64 {
	if n.MemoryMB == 0 {
		return memory.DefaultProcessBytes
	}
	return int64(n.MemoryMB) << 20
}

// Operator is the name and key of one operator.
type Operator struct {
	Name string
	Key  string
}

// LoadNode reads the settings of an entry daemon. The error is of type
// inifile.Problems and holds all faults.
func LoadNode(path string) (Node, error) {
	file, err := NodeTable.ParseFile(path)
	if err != nil {
		return Node{}, err
	}
	section := file.Section("node")
	n := Node{
		ID: section.Text("id"), DataCentre: section.Text("data_centre"),
		Listen: section.Text("listen"), AdminListen: section.Text("admin_listen"),
		PeerListen: section.Text("peer_listen"), PeerAddress: section.Text("peer_address"), PeerKey: section.Text("peer_key"),
		PlatformURL: section.Text("platform"), DrainNotice: section.Duration("drain_notice"), LogLevel: logLevels[section.Text("log_level")],
		Managed: section.Text("configuration") == "platform", ReadyListen: section.Text("ready_listen"), ReadyPath: section.Text("ready_path"),
		FirstStart: section.Bool("first_start"), RetryRatio: section.Ratio("retry_ratio"), RetryBase: int(section.Int("retry_base")),
		ProcessorShare: section.Ratio("processor_share"), PromptCacheRetention: section.Duration("prompt_cache_retention"),
		MemoryMB: int(section.Int("memory_mb")),
	}
	for _, op := range file.Sections("operator") {
		n.Operators = append(n.Operators, Operator{Name: op.Name, Key: op.Text("key")})
	}
	return n, n.completeAndCheck(path).Err()
}

// completeAndCheck fills in the defaults that depend on other keys and returns the
// contradictions between keys.
func (n *Node) completeAndCheck(path string) inifile.Problems {
	var problems inifile.Problems
	if n.PeerAddress == "" {
		n.PeerAddress = n.PeerListen
		if addrPort, err := netip.ParseAddrPort(n.PeerListen); err != nil || addrPort.Addr().IsUnspecified() || addrPort.Port() == 0 {
			problems = append(problems, inifile.Problem{
				File: path, Section: "node", Key: "peer_address", Message: "key is missing, and peer_listen = " + n.PeerListen + " is not an address that other entry daemons can reach",
				Allowed: "the IP address and port at which other entry daemons reach peer_listen",
			})
		}
	}
	if len(n.Operators) == 0 && !n.Managed {
		problems = append(problems, inifile.Problem{
			File: path, Section: "operator", Message: "section is missing", Allowed: "at least one [operator NAME] with its key",
		})
	}
	operatorByKey := map[string]string{}
	for _, op := range n.Operators {
		if other, ok := operatorByKey[op.Key]; ok {
			problems = append(problems, inifile.Problem{
				File: path, Section: "operator " + op.Name, Key: "key", Message: "has the same key as operator " + other,
				Allowed: "a different key for each operator, because the key determines the name in the audit trail",
			})
		}
		operatorByKey[op.Key] = op.Name
	}
	return problems
}

var logLevels = map[string]slog.Level{
	"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
}

// Platform holds the settings of the platform stand-in.
type Platform struct {
	Listen string
	// Declaration is the path of the file with the declarations of the first
	// configuration. If it is empty, the table service starts empty.
	Declaration string
	Preset      string
	Hosts       []Host
}

// Host is one entry of the platform stand-in's host list.
type Host struct {
	ID         string
	Address    string
	DataCentre string
	Domain     string
}

// LoadPlatform reads the settings of the platform stand-in. The error is of type
// inifile.Problems and holds all faults.
func LoadPlatform(path string) (Platform, error) {
	file, err := PlatformTable.ParseFile(path)
	if err != nil {
		return Platform{}, err
	}
	section := file.Section("platform")
	p := Platform{Listen: section.Text("listen"), Declaration: section.Text("declaration"), Preset: section.Text("preset")}
	if p.Declaration != "" && !filepath.IsAbs(p.Declaration) {
		p.Declaration = filepath.Join(filepath.Dir(path), p.Declaration)
	}
	for _, h := range file.Sections("host") {
		p.Hosts = append(p.Hosts, Host{
			ID: h.Name, Address: h.Text("address"), DataCentre: h.Text("data_centre"), Domain: h.Text("domain"),
		})
	}
	return p, nil
}

// Engine holds the settings of an engine stand-in.
type Engine struct {
	Listen    string
	LoadTime  time.Duration
	TokenTime time.Duration
	Tokens    int
	ID        string
	// Directory maps the id of each host to the address of its engine.
	Directory map[string]string
	ColdLimit int
	WarmLimit int
	// CacheLag is the delay of cache events.
	CacheLag time.Duration
	// ChecksFencingToken is set if the engine refuses orders with an outdated
	// fencing token.
	ChecksFencingToken bool
}

// LoadEngine reads the settings of an engine stand-in. The error is of type
// inifile.Problems and holds all faults.
func LoadEngine(path string) (Engine, error) {
	file, err := EngineTable.ParseFile(path)
	if err != nil {
		return Engine{}, err
	}
	section := file.Section("engine")
	e := Engine{
		Listen: section.Text("listen"), LoadTime: section.Duration("load_time"),
		TokenTime: section.Duration("token_time"), Tokens: int(section.Int("tokens")), ID: section.Text("id"),
		ColdLimit: int(section.Int("cold_limit")), WarmLimit: int(section.Int("warm_limit")),
		CacheLag: section.Duration("cache_lag"), ChecksFencingToken: section.Bool("checks_fence"),
	}
	for _, host := range section.Pairs("directory") {
		if e.Directory == nil {
			e.Directory = map[string]string{}
		}
		e.Directory[host.Name] = host.Text
	}
	return e, nil
}

// Service holds the settings of a service stand-in.
type Service struct {
	Listen    string
	ColdLimit int
	WarmLimit int
}

// LoadService reads the settings of a service stand-in. The error is of type
// inifile.Problems and holds all faults.
func LoadService(path string) (Service, error) {
	file, err := ServiceTable.ParseFile(path)
	if err != nil {
		return Service{}, err
	}
	section := file.Section("service")
	return Service{Listen: section.Text("listen"), ColdLimit: int(section.Int("cold_limit")), WarmLimit: int(section.Int("warm_limit"))}, nil
}
