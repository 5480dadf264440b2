// Package gateway is the caller API: OpenAI-compatible model requests and
// requests to plain services.
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
	"github.com/apricotgrade/apricotgrade/pkg/target"
)

const (
	maxBodyBytes = 4 << 20
	// maxHeaderBytes bounds names and values of a request's header fields.
	maxHeaderBytes = 16 << 10
	// defaultTimeout is the deadline of a request without X-Deadline-Ms. At the
	// deadline a running answer is cut, so it is above the time of any answer;
	// the wait in the queue has its own bound.
	defaultTimeout = 10 * time.Minute
	// defaultInactivityTimeout is how long an answer that has begun, or a stream, may carry
	// nothing before its connection is taken to be silent.
	defaultInactivityTimeout = 5 * time.Second
	// unstreamedFirstByteTimeout is the same for the start of an answer that is not a
	// stream: it comes only when the whole answer has been generated, so a
	// bound of 5 s would take every long draft for a silent connection.
	unstreamedFirstByteTimeout = 30 * time.Second
)

// Options are the settings of a gateway.
type Options struct {
	// TokenKey signs resume tokens. All entry daemons have the same one. Without
	// it tokens are valid at this node only.
	TokenKey []byte
	Log      *slog.Logger
	// InactivityTimeout overrides the bound of 5 s for tests.
	InactivityTimeout time.Duration
}

// Gateway serves callers of one node.
type Gateway struct {
	daemon            *daemon.Daemon
	targets           *target.Client
	tokenKey          []byte
	log               *slog.Logger
	inactivityTimeout time.Duration
	counters          Counters
}

// New returns a gateway. At most one Options is used.
func New(d *daemon.Daemon, targets *target.Client, options ...Options) *Gateway {
	var opts Options
	if len(options) > 0 {
		opts = options[0]
	}
	g := &Gateway{daemon: d, targets: targets, tokenKey: opts.TokenKey, log: opts.Log, inactivityTimeout: opts.InactivityTimeout}
	if len(g.tokenKey) == 0 {
		g.tokenKey = []byte(rand.Text())
	}
	if g.log == nil {
		g.log = slog.Default()
	}
	if g.inactivityTimeout == 0 {
		g.inactivityTimeout = defaultInactivityTimeout
	}
	return g
}

// authenticate returns the client account of a request's key. The key is hashed
// first and all accounts are compared in constant time, so that the time taken
// says nothing about any key.
func (g *Gateway) authenticate(r *http.Request) (state.AccountID, *apierror.Error) {
	snapshot := g.daemon.Snapshot()
	if !snapshot.Known {
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
			"the key is not known; send a valid key as Authorization: Bearer", apierror.NotRun)
	}
	return account, nil
}

func newRequestID() state.RequestID { return state.RequestID("req-" + rand.Text()) }

// newGenerationID returns an id for a generation at an engine. It is never taken
// from a caller, so that two requests cannot meet in one generation.
func newGenerationID() string { return "gen-" + rand.Text() }
