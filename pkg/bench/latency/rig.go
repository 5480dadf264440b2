package latency

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/node"
	"github.com/apricotgrade/apricotgrade/pkg/settings"
	"github.com/apricotgrade/apricotgrade/pkg/standin"
	"github.com/apricotgrade/apricotgrade/pkg/store/memory"
)

const (
	// maxInFlight is more than any measurement has in flight, so that limits have
	// no effect.
	maxInFlight = 1 << 16
	// readyTimeout bounds the start of the node and its replica group.
	readyTimeout    = 30 * time.Second
	readyPollPeriod = 50 * time.Millisecond
)

// rig runs two engine stand-ins and an entry node in front of them in this
// process.
type rig struct {
	engineURL string
	nodeURL   string
	servers   []*httptest.Server
	stop      context.CancelFunc
	done      <-chan struct{}
}

// newRig starts the engines and the node. The engines load at once and send
// answers of the given number of tokens.
func newRig(ctx context.Context, tokens int) (*rig, error) {
	r := &rig{}
	store := memory.New()
	var hosts []state.ListedHost
	for i, id := range []state.HostID{"h1", "h2"} {
		engine := standin.NewEngine(state.Incarnation(i + 1))
		engine.LoadTime, engine.TokenTime, engine.AnswerTokens = 0, 0, tokens
		server := httptest.NewServer(engine.Handler())
		r.servers = append(r.servers, server)
		hosts = append(hosts, state.ListedHost{
			ID: id, Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: "north", Domain: "d1",
		})
	}
	r.engineURL = r.servers[0].URL
	store.SetHosts(hosts)
	doc := standin.DemoDocument(1, "127.0.0.1:1")
	doc.Groups[0].ColdLimit, doc.Groups[0].WarmLimit = maxInFlight, maxInFlight
	if err := standin.Seed(ctx, store, doc); err != nil {
		r.close()
		return nil, err
	}
	cfg := settings.Node{
		ID: "n1", DataCentre: "north", Listen: "127.0.0.1:0", AdminListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		PeerKey: "latency", DrainNotice: 0,
	}
	n, err := node.New(cfg, store, slog.New(slog.DiscardHandler))
	if err != nil {
		r.close()
		return nil, err
	}
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	r.stop, r.done, r.nodeURL = stop, n.Done(), "http://"+n.CallerAddress()
	go n.Run(runCtx)
	return r, nil
}

// waitUntilReady waits until the node serves requests.
func (r *rig) waitUntilReady(ctx context.Context, c *caller) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		_, err := c.call(ctx, r.nodeURL, plainBody)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "entry node is not ready before the timeout")
		case <-time.After(readyPollPeriod):
		}
	}
}

// injectFault sends a control request, which sets or clears a fault, to all
// engines.
func (r *rig) injectFault(body string) error {
	for _, s := range r.servers {
		res, err := http.Post(s.URL+"/control", "application/json", strings.NewReader(body))
		if err != nil {
			return errors.Wrap(err, "send fault to engine")
		}
		_ = res.Body.Close()
	}
	return nil
}

func (r *rig) close() {
	if r.stop != nil {
		r.stop()
		<-r.done
	}
	for _, s := range r.servers {
		s.CloseClientConnections()
		s.Close()
	}
}

// newClient returns a client whose connection pool keeps one connection per
// caller.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression: true, MaxIdleConnsPerHost: maxInFlight,
	}}
}
