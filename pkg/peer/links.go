package peer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/websocket"
	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/event"
)

const (
	// path is where the listener of peers accepts links.
	path = "/peer"
	// firstBackoff and maxBackoff bound the wait before a redial, which is
	// drawn at random from the second half of the bound.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// acceptorDelay lets the node with the lower id dial first, so that two
	// nodes do not keep replacing each other's link at start.
	acceptorDelay = 500 * time.Millisecond
)

// Links keeps one link to each peer. It is safe for concurrent use; Send and
// SetPeers never block.
type Links struct {
	self        state.NodeID
	incarnation state.Incarnation
	key         []byte
	log         *slog.Logger
	feed        func(state.Input)
	meter       Meter
	ctx         context.Context
	stop        context.CancelFunc

	mu      sync.Mutex
	links   map[state.NodeID]*link
	dials   map[state.NodeID]*dial
	closed  bool
	working sync.WaitGroup
}

type dial struct {
	address string
	cancel  context.CancelFunc
	// down is signalled when the link to the peer ends.
	down chan struct{}
}

// New returns the links of a node. The key is shared by all nodes of an
// installation.
func New(self state.Self, key []byte, log *slog.Logger) *Links {
	ctx, stop := context.WithCancel(context.Background())
	return &Links{
		self: self.ID, incarnation: self.Incarnation, key: key, log: log, ctx: ctx, stop: stop, meter: noMeter{},
		links: map[state.NodeID]*link{}, dials: map[state.NodeID]*dial{},
	}
}

// Start sets where inputs go. It is called once, before all other methods.
func (l *Links) Start(feed func(state.Input)) { l.feed = feed }

// Meter counts the bytes of frames. It is safe for concurrent use.
type Meter interface {
	PeerSent(bytes int)
	PeerReceived(bytes int)
}

// Measure sets the meter. It is called before Start.
func (l *Links) Measure(m Meter) { l.meter = m }

// noMeter counts nothing.
type noMeter struct{}

func (noMeter) PeerSent(int)     {}
func (noMeter) PeerReceived(int) {}

// Handler accepts links from peers.
func (l *Links) Handler() http.Handler {
	upgrader := websocket.Upgrader{HandshakeTimeout: helloTimeout}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
		conn, err := upgrader.Upgrade(w, r, nil)
		if err != nil {
			return
		}
		prepareHello(conn)
		theirs, err := l.greetAccepted(conn)
		if err != nil {
			l.refused(r.RemoteAddr, err)
			_ = conn.Close()
			return
		}
		l.run(newLink(theirs, theirs.Node, conn))
	})
	return mux
}

// SetPeers implements daemon.Links.
func (l *Links) SetPeers(peers []state.NodeEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	wanted := make(map[state.NodeID]string, len(peers))
	for _, p := range peers {
		if p.ID != l.self && p.Address != "" {
			wanted[p.ID] = p.Address
		}
	}
	for id, d := range l.dials {
		if wanted[id] != d.address {
			d.cancel()
			delete(l.dials, id)
			if k := l.links[id]; k != nil {
				k.close()
			}
		}
	}
	for id, address := range wanted {
		if l.dials[id] == nil {
			ctx, cancel := context.WithCancel(l.ctx)
			d := &dial{address: address, cancel: cancel, down: make(chan struct{}, 1)}
			l.dials[id] = d
			l.working.Go(func() { l.keep(ctx, id, d) })
		}
	}
}

// Send implements daemon.Links. A message to a node without a link is dropped.
func (l *Links) Send(to state.NodeID, m state.Message) {
	l.mu.Lock()
	k := l.links[to]
	l.mu.Unlock()
	if k != nil && !k.send(m) {
		l.log.Warn("send queue of peer is full, message dropped", "peer", to)
	}
}

// Close ends all links and waits until their last inputs were fed.
func (l *Links) Close() {
	l.stop()
	l.mu.Lock()
	l.closed = true
	for _, k := range l.links {
		k.close()
	}
	l.mu.Unlock()
	l.working.Wait()
}

// keep dials a peer whenever there is no link to it.
func (l *Links) keep(ctx context.Context, id state.NodeID, d *dial) {
	backoff := firstBackoff
	if id < l.self && !pause(ctx, acceptorDelay) {
		return
	}
	for ctx.Err() == nil {
		if l.linked(id) {
			backoff = firstBackoff
			select {
			case <-d.down:
			case <-ctx.Done():
			}
			continue
		}
		if err := l.dial(ctx, id, d.address); err == nil {
			backoff = firstBackoff
			continue
		}
		if !pause(ctx, backoff/2+rand.N(backoff/2)) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (l *Links) linked(id state.NodeID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.links[id] != nil
}

// dial makes a link and runs it until it ends.
func (l *Links) dial(ctx context.Context, id state.NodeID, address string) error {
	dialer := websocket.Dialer{
		HandshakeTimeout: helloTimeout,
		NetDialContext:   (&net.Dialer{Timeout: helloTimeout}).DialContext,
	}
	conn, res, err := dialer.DialContext(ctx, "ws://"+address+path, nil)
	if err != nil {
		return errors.Wrap(err, "dial peer")
	}
	_ = res.Body.Close()
	prepareHello(conn)
	theirs, err := l.greetDialled(conn)
	if err == nil && theirs.Node != id {
		err = errors.Wrapf(errRefused, "node %q answers at the address of %q", theirs.Node, id)
	}
	if err != nil {
		l.refused(address, err)
		_ = conn.Close()
		return err
	}
	if !l.run(newLink(theirs, l.self, conn)) {
		return errGaveWay
	}
	return nil
}

// run adopts a link and carries it until it ends. It returns false for a link
// that gave way to another one to the same peer.
func (l *Links) run(k *link) bool {
	k.meter = l.meter
	old, ok := l.adopt(k)
	if k.dialler != l.self {
		// A welcome that is lost shows as a connection that breaks.
		_ = writeHello(k.conn, welcome{Kept: ok})
	}
	if !ok {
		_ = k.conn.Close()
		return false
	}
	defer l.working.Done()
	if old != nil {
		old.close()
		<-old.ended
	}
	_ = k.conn.SetWriteDeadline(time.Time{})
	l.feed(state.PeerLinkChanged{Peer: k.peer, Incarnation: k.incarnation, Up: true})
	go k.write(func(err error) { l.log.Error("message to peer not sent", "peer", k.peer, "error", err) })
	err := k.read(l.feed)
	k.close()
	if errors.Is(err, errMalformed) {
		event.Log(l.ctx, l.log, event.PeerFrameMalformed, slog.String("peer", string(k.peer)), slog.String("error", err.Error()))
	}
	l.feed(state.PeerLinkChanged{Peer: k.peer, Incarnation: k.incarnation})
	close(k.ended)
	l.forget(k)
	return true
}

// adopt makes a link the one to its peer. Of two links between the same
// incarnations the one that the lower node id dialled stays, so that both ends
// keep the same one; a newer link by the same dialler replaces the older.
func (l *Links) adopt(k *link) (old *link, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, false
	}
	old = l.links[k.peer]
	if old != nil {
		lower := min(l.self, k.peer)
		if k.incarnation < old.incarnation ||
			(k.incarnation == old.incarnation && old.dialler == lower && k.dialler != lower) {
			return nil, false
		}
	}
	l.links[k.peer] = k
	l.working.Add(1)
	return old, true
}

func (l *Links) forget(k *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[k.peer] == k {
		delete(l.links, k.peer)
	}
	if d := l.dials[k.peer]; d != nil {
		select {
		case d.down <- struct{}{}:
		default:
		}
	}
}

func (l *Links) refused(address string, err error) {
	if errors.Is(err, errGaveWay) {
		return
	}
	if errors.Is(err, errMalformed) {
		event.Log(l.ctx, l.log, event.PeerFrameMalformed, slog.String("address", address), slog.String("error", err.Error()))
		return
	}
	l.log.Warn("no link to peer", "address", address, "error", err)
}

func prepareHello(conn *websocket.Conn) {
	conn.SetReadLimit(maxHelloBytes)
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	_ = conn.SetWriteDeadline(time.Now().Add(helloTimeout))
}

// pause waits and returns false when the context ended first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
