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
	// linkPath is where the listener of peers accepts links.
	linkPath = "/peer"
	// minBackoff and maxBackoff bound the wait before a redial, which is
	// drawn at random from the second half of the bound.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// higherIDDialDelay lets the node with the lower id dial first, so that two
	// nodes do not keep replacing each other's link at start.
	higherIDDialDelay = 500 * time.Millisecond
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
	cancel      context.CancelFunc

	mu        sync.Mutex
	links     map[state.NodeID]*link
	dialTasks map[state.NodeID]*dialTask
	closed    bool
	workers   sync.WaitGroup
}

type dialTask struct {
	address string
	cancel  context.CancelFunc
	// linkDown is signalled when the link to the peer ends.
	linkDown chan struct{}
}

// New returns the links of a node. The key is shared by all nodes of an
// installation.
func New(self state.Self, key []byte, log *slog.Logger) *Links {
	ctx, stop := context.WithCancel(context.Background())
	return &Links{
		self: self.ID, incarnation: self.Incarnation, key: key, log: log, ctx: ctx, cancel: stop, meter: noopMeter{},
		links: map[state.NodeID]*link{}, dialTasks: map[state.NodeID]*dialTask{},
	}
}

// Start sets where inputs go. It is called once, before all other methods.
func (l *Links) Start(feed func(state.Input)) { l.feed = feed }

// Meter counts the bytes of frames. It is safe for concurrent use.
type Meter interface {
	PeerBytesSent(bytes int)
	PeerBytesReceived(bytes int)
}

// Measure sets the meter. It is called before Start.
func (l *Links) Measure(m Meter) { l.meter = m }

// noopMeter counts nothing.
type noopMeter struct{}

func (noopMeter) PeerBytesSent(int)     {}
func (noopMeter) PeerBytesReceived(int) {}

// Handler accepts links from peers.
func (l *Links) Handler() http.Handler {
	upgrader := websocket.Upgrader{HandshakeTimeout: helloTimeout}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+linkPath, func(w http.ResponseWriter, r *http.Request) {
		conn, err := upgrader.Upgrade(w, r, nil)
		if err != nil {
			return
		}
		setHandshakeLimits(conn)
		remote, err := l.handshakeAsAcceptor(conn)
		if err != nil {
			l.logHandshakeFailure(r.RemoteAddr, err)
			_ = conn.Close()
			return
		}
		l.runLink(newLink(remote, remote.Node, conn))
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
	addresses := make(map[state.NodeID]string, len(peers))
	for _, p := range peers {
		if p.ID != l.self && p.Address != "" {
			addresses[p.ID] = p.Address
		}
	}
	for id, d := range l.dialTasks {
		if addresses[id] != d.address {
			d.cancel()
			delete(l.dialTasks, id)
			if lk := l.links[id]; lk != nil {
				lk.close()
			}
		}
	}
	for id, address := range addresses {
		if l.dialTasks[id] == nil {
			ctx, cancel := context.WithCancel(l.ctx)
			d := &dialTask{address: address, cancel: cancel, linkDown: make(chan struct{}, 1)}
			l.dialTasks[id] = d
			l.workers.Go(func() { l.maintainLink(ctx, id, d) })
		}
	}
}

// Send implements daemon.Links. A message to a node without a link is dropped.
func (l *Links) Send(to state.NodeID, m state.Message) {
	l.mu.Lock()
	lk := l.links[to]
	l.mu.Unlock()
	if lk != nil && !lk.enqueue(m) {
		l.log.Warn("send queue of peer is full, message dropped", "peer", to)
	}
}

// Close ends all links and waits until their last inputs were fed.
func (l *Links) Close() {
	l.cancel()
	l.mu.Lock()
	l.closed = true
	for _, lk := range l.links {
		lk.close()
	}
	l.mu.Unlock()
	l.workers.Wait()
}

// maintainLink dials a peer whenever there is no link to it.
func (l *Links) maintainLink(ctx context.Context, id state.NodeID, d *dialTask) {
	backoff := minBackoff
	if id < l.self && !sleep(ctx, higherIDDialDelay) {
		return
	}
	for ctx.Err() == nil {
		if l.hasLink(id) {
			backoff = minBackoff
			select {
			case <-d.linkDown:
			case <-ctx.Done():
			}
			continue
		}
		if err := l.dialAndRun(ctx, id, d.address); err == nil {
			backoff = minBackoff
			continue
		}
		if !sleep(ctx, backoff/2+rand.N(backoff/2)) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (l *Links) hasLink(id state.NodeID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.links[id] != nil
}

// dialAndRun makes a link and runs it until it ends.
func (l *Links) dialAndRun(ctx context.Context, id state.NodeID, address string) error {
	dialer := websocket.Dialer{
		HandshakeTimeout: helloTimeout,
		NetDialContext:   (&net.Dialer{Timeout: helloTimeout}).DialContext,
	}
	conn, res, err := dialer.DialContext(ctx, "ws://"+address+linkPath, nil)
	if err != nil {
		return errors.Wrap(err, "dial peer")
	}
	_ = res.Body.Close()
	setHandshakeLimits(conn)
	remote, err := l.handshakeAsDialler(conn)
	if err == nil && remote.Node != id {
		err = errors.Wrapf(errHandshakeRejected, "node %q answers at the address of %q", remote.Node, id)
	}
	if err != nil {
		l.logHandshakeFailure(address, err)
		_ = conn.Close()
		return err
	}
	if !l.runLink(newLink(remote, l.self, conn)) {
		return errDuplicateLink
	}
	return nil
}

// runLink adopts a link and carries it until it ends. It returns false for a link
// that gave way to another one to the same peer.
func (l *Links) runLink(lk *link) bool {
	lk.meter = l.meter
	replaced, ok := l.registerLink(lk)
	if lk.dialler != l.self {
		// A welcome that is lost shows as a connection that breaks.
		_ = writeHandshakeFrame(lk.conn, handshakeResult{LinkKept: ok})
	}
	if !ok {
		_ = lk.conn.Close()
		return false
	}
	defer l.workers.Done()
	if replaced != nil {
		replaced.close()
		<-replaced.done
	}
	_ = lk.conn.SetWriteDeadline(time.Time{})
	l.feed(state.PeerLinkChanged{Peer: lk.peer, Incarnation: lk.incarnation, Up: true})
	go lk.writeLoop(func(err error) { l.log.Error("message to peer not sent", "peer", lk.peer, "error", err) })
	err := lk.readLoop(l.feed)
	lk.close()
	if errors.Is(err, errMalformed) {
		event.Log(l.ctx, l.log, event.PeerFrameMalformed, slog.String("peer", string(lk.peer)), slog.String("error", err.Error()))
	}
	l.feed(state.PeerLinkChanged{Peer: lk.peer, Incarnation: lk.incarnation})
	close(lk.done)
	l.unregisterLink(lk)
	return true
}

// registerLink makes a link the one to its peer. Of two links between the same
// incarnations the one that the lower node id dialled stays, so that both ends
// keep the same one; a newer link by the same dialler replaces the older.
func (l *Links) registerLink(lk *link) (existing *link, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, false
	}
	existing = l.links[lk.peer]
	if existing != nil {
		lower := min(l.self, lk.peer)
		if lk.incarnation < existing.incarnation ||
			(lk.incarnation == existing.incarnation && existing.dialler == lower && lk.dialler != lower) {
			return nil, false
		}
	}
	l.links[lk.peer] = lk
	l.workers.Add(1)
	return existing, true
}

func (l *Links) unregisterLink(lk *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.links[lk.peer] == lk {
		delete(l.links, lk.peer)
	}
	if d := l.dialTasks[lk.peer]; d != nil {
		select {
		case d.linkDown <- struct{}{}:
		default:
		}
	}
}

func (l *Links) logHandshakeFailure(address string, err error) {
	if errors.Is(err, errDuplicateLink) {
		return
	}
	if errors.Is(err, errMalformed) {
		event.Log(l.ctx, l.log, event.PeerFrameMalformed, slog.String("address", address), slog.String("error", err.Error()))
		return
	}
	l.log.Warn("no link to peer", "address", address, "error", err)
}

func setHandshakeLimits(conn *websocket.Conn) {
	conn.SetReadLimit(maxHelloBytes)
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	_ = conn.SetWriteDeadline(time.Now().Add(helloTimeout))
}

// sleep waits and returns false when the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
