package slopes

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	entry "github.com/apricotgrade/apricotgrade/pkg/node"
	"github.com/apricotgrade/apricotgrade/pkg/settings"
	"github.com/apricotgrade/apricotgrade/pkg/standin"
	"github.com/apricotgrade/apricotgrade/pkg/store/memory"
)

const (
	rigKey = "slopes"
	// rigMaxInFlight is more than any point has in flight, so that limits have no
	// effect.
	rigMaxInFlight = 1 << 16
	// rigReadyTimeout bounds the start of an entry daemon and its replica groups.
	rigReadyTimeout = 20 * time.Second
	// rigMaxTokens bounds the tokens of one answer of an engine.
	rigMaxTokens = 1 << 16
	// rigReadHeaderTimeout bounds the time in which a client must send its
	// headers to an engine.
	rigReadHeaderTimeout = 10 * time.Second
)

// rig runs an entry daemon and engine stand-ins on the loopback interface.
type rig struct {
	node    *entry.Node
	engines []*http.Server
	// daemonURL is the URL of the daemon and engineURL that of the first engine.
	daemonURL string
	engineURL string
	client    *http.Client
	cancel    context.CancelFunc
	done      chan struct{}
}

// newRig starts a daemon in front of engines that send a token every tokenTime.
// Each engine is a replica group of one member.
func newRig(ctx context.Context, tokenTime time.Duration, engines int) (*rig, error) {
	r := &rig{
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: rigMaxInFlight}},
		done:   make(chan struct{}),
	}
	err := r.start(ctx, tokenTime, engines)
	if err != nil {
		r.close()
		return nil, err
	}
	return r, nil
}

func (r *rig) start(ctx context.Context, tokenTime time.Duration, engines int) error {
	var hosts []state.ListedHost
	for i := range engines {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "open listener of engine stand-in")
		}
		host := state.ListedHost{
			ID: state.HostID(fmt.Sprintf("h%d", i)), Address: listener.Addr().String(), DataCentre: "dc", Domain: "f",
		}
		engine := standin.NewEngine(1)
		engine.ID, engine.TokenTime, engine.AnswerTokens = host.ID, tokenTime, rigMaxTokens
		server := &http.Server{Handler: engine.Handler(), ReadHeaderTimeout: rigReadHeaderTimeout}
		hosts, r.engines = append(hosts, host), append(r.engines, server)
		go func() { _ = server.Serve(listener) }()
	}
	r.engineURL = "http://" + hosts[0].Address
	store := memory.New()
	store.SetHosts(hosts)
	if err := standin.Seed(ctx, store, rigDocument(engines)); err != nil {
		return err
	}
	n, err := entry.New(settings.Node{
		ID: "n", DataCentre: "dc", Listen: "127.0.0.1:0", AdminListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", PeerKey: rigKey,
		Operators: []settings.Operator{{Name: rigKey, Key: rigKey}},
	}, store, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	r.node, r.daemonURL = n, "http://"+n.CallerAddress()
	ctx, r.cancel = context.WithCancel(ctx)
	go func() {
		n.Run(ctx)
		close(r.done)
	}()
	return r.waitUntilReady(ctx, engines)
}

// rigDocument returns a document with a number of replica groups of one member.
func rigDocument(groups int) state.Document {
	sum := sha256.Sum256([]byte(rigKey))
	doc := state.Document{
		Accounts:    []state.AccountSpec{{Name: rigKey, KeyHash: hex.EncodeToString(sum[:]), Weight: 1}},
		DataCentres: []state.DataCentreSpec{{Name: "dc"}},
		Models:      []state.ModelSpec{{Name: "m", WeightBytes: 1}},
		Presets:     []state.PresetSpec{{Name: "ordinary"}},
	}
	for i := range groups {
		doc.Groups = append(doc.Groups, state.GroupSpec{
			Name: state.GroupID(fmt.Sprintf("g%d", i)), Model: "m", Members: 1, DataCentre: "dc",
			ColdLimit: rigMaxInFlight, WarmLimit: rigMaxInFlight,
		})
	}
	return doc
}

// waitUntilReady waits until the daemon is ready and all groups are healthy.
func (r *rig) waitUntilReady(ctx context.Context, groups int) error {
	ctx, cancel := context.WithTimeout(ctx, rigReadyTimeout)
	defer cancel()
	for {
		status, healthyGroups := r.node.Status(), 0
		for _, g := range status.Groups {
			if g.Healthy {
				healthyGroups++
			}
		}
		if status.Node.Ready && healthyGroups == groups {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for the entry daemon and its replica groups")
		case <-time.After(state.TickPeriod):
		}
	}
}

func (r *rig) close() {
	if r.cancel != nil {
		r.cancel()
		<-r.done
	}
	r.client.CloseIdleConnections()
	for _, e := range r.engines {
		_ = e.Close()
	}
}
