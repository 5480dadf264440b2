// Package gateway implements the caller API: OpenAI-compatible model requests,
// requests to services, and requests that are routed by host name and path.
package gateway

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/daemon"
	"github.com/apricotgrade/apricotgrade/pkg/memory"
	"github.com/apricotgrade/apricotgrade/pkg/target"
)

const (
	// maxBodyBytes bounds the body of a request.
	maxBodyBytes = 4 << 20
	// maxHeaderBytes bounds the names and values of a request's header fields.
	maxHeaderBytes = 16 << 10
	// defaultTimeout is the timeout of a request without X-Deadline-Ms. The
	// deadline also aborts a running answer, so the timeout is longer than any
	// answer takes. The time in the queue has a limit of its own.
	defaultTimeout = 10 * time.Minute
	// defaultInactivityTimeout is how long a stream, or an answer that has started,
	// may deliver no data before its connection counts as lost.
	defaultInactivityTimeout = 5 * time.Second
	// unstreamedFirstByteTimeout is the corresponding timeout for the start of an
	// answer that is not a stream. Such an answer starts only after the target has
	// generated all of it, so with 5 s every long generation would time out.
	unstreamedFirstByteTimeout = 30 * time.Second
)

// Options are the settings of a gateway.
type Options struct {
	// TokenKey signs resume tokens. All entry daemons use the same key. Without a
	// key, the tokens of this node are valid at this node only.
	TokenKey []byte
	Log      *slog.Logger
	// InactivityTimeout overrides the default of 5 s in tests.
	InactivityTimeout time.Duration
	// Memory bounds the request bodies of all callers. Without one the default applies.
	Memory *memory.Budget
}

// Gateway serves the callers of one node.
type Gateway struct {
	daemon            *daemon.Daemon
	targets           *target.Client
	tokenKey          []byte
	log               *slog.Logger
	inactivityTimeout time.Duration
	memory            *memory.Budget
	counters          Counters
}

// New returns a gateway. It uses the first of the options only.
func New(d *daemon.Daemon, targets *target.Client, options ...Options) *Gateway {
	var opts Options
	if len(options) > 0 {
		opts = options[0]
	}
	g := &Gateway{daemon: d, targets: targets, tokenKey: opts.TokenKey, log: opts.Log, inactivityTimeout: opts.InactivityTimeout, memory: opts.Memory}
	if len(g.tokenKey) == 0 {
		g.tokenKey = []byte(rand.Text())
	}
	if g.log == nil {
		g.log = slog.Default()
	}
	if g.memory == nil {
		g.memory = memory.NewBudget(memory.RequestBytes(memory.DefaultProcessBytes))
	}
	if g.inactivityTimeout == 0 {
		g.inactivityTimeout = defaultInactivityTimeout
	}
	return g
}

// authenticate returns the client account that a request's API key belongs to. It
// hashes the key and compares the hash with all accounts in constant time, so that
// the response time reveals nothing about any key.
func (g *Gateway) authenticate(r *http.Request) (state.AccountID, *apierror.Error) {
	snapshot := g.daemon.Snapshot()
	if !snapshot.Loaded {
		return "", apierror.New(apierror.KindUnavailable, "starting",
			"this node has no configuration yet; send the request again", apierror.NotRun).WithRetryAfter(time.Second)
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	hash := make([]byte, hex.EncodedLen(len(sum)))
	hex.Encode(hash, sum[:])
	var account state.AccountID
	for i := range snapshot.Document.Accounts {
		a := &snapshot.Document.Accounts[i]
		if subtle.ConstantTimeCompare([]byte(a.KeyHash), hash) == 1 {
			account = a.Name
		}
	}
	if !ok || account == "" {
		return "", apierror.New(apierror.KindAuth, "invalid_api_key",
			"the API key is not valid; send a valid key as Authorization: Bearer", apierror.NotRun)
	}
	return account, nil
}

func newRequestID() state.RequestID { return state.RequestID("req-" + rand.Text()) }

// newGenerationID returns an id for a generation at an engine. It never comes from
// a caller, so that two requests cannot share a generation.
func newGenerationID() string { return "gen-" + rand.Text() }
