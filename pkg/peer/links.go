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
	// linkPath is the URL path at which the peer listener accepts links.
	linkPath = "/peer"
	// minBackoff and maxBackoff limit the back-off, which doubles with each
	// failed dial. The wait is drawn at random from the upper half of the back-off.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// higherIDDialDelay delays the first dial of the node with the higher id, so
	// that two starting nodes do not repeatedly replace each other's link.
	higherIDDialDelay = 500 * time.Millisecond
)

// Links maintains one link to each peer. It is safe for concurrent use. Send and
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
	// recent holds the last frames that were sent, newest first. A message to several
	// peers, such as a status or rows of a table, is sent to one after another.
	recent  [recentFrames]*frame
	closed  bool
	workers sync.WaitGroup
}

// recentFrames is the number of messages that are sent alternately: a hub has one status for
// hubs and one for leaves.
const recentFrames = 2

// dialTask is the goroutine that maintains the link to one peer.
type dialTask struct {
	address string
	cancel  context.CancelFunc
	// linkDown receives a signal when the link to the peer has ended.
	linkDown chan struct{}
}

// New returns the links of a node. All nodes of an installation share the key.
func New(self state.Self, key []byte, log *slog.Logger) *Links {
	ctx, stop := context.WithCancel(context.Background())
	return &Links{
		self: self.ID, incarnation: self.Incarnation, key: key, log: log, ctx: ctx, cancel: stop, meter: noopMeter{},
		links: map[state.NodeID]*link{}, dialTasks: map[state.NodeID]*dialTask{},
	}
}

// SetInputHandler sets the function that receives the inputs of all links. It must be
// called once, after SetMeter and before all other methods.
func (l *Links) SetInputHandler(feed func(state.Input)) { l.feed = feed }

// Meter counts the bytes of sent and received frames. Implementations must be
// safe for concurrent use.
type Meter interface {
	PeerBytesSent(bytes int)
	PeerBytesReceived(bytes int)
}

// SetMeter sets the meter. If used, it must be called before SetInputHandler.
func (l *Links) SetMeter(m Meter) { l.meter = m }

// noopMeter is the Meter of links without a configured meter.
type noopMeter struct{}

func (noopMeter) PeerBytesSent(int)     {}
func (noopMeter) PeerBytesReceived(int) {}

// Handler returns the HTTP handler that accepts links from peers.
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

// SetPeers implements daemon.Links. It starts a dial task for each new peer and
// closes the link to each peer that is removed or has a new address.
func (l *Links) SetPeers(set state.SetPeers) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	addresses := make(map[state.NodeID]string, len(set.Peers))
	for _, p := range set.Peers {
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
			l.workers.Go(func() { l.maintainLink(ctx, id, d, !set.DialAtOnce && id < l.self) })
		}
	}
}

// Send implements daemon.Links. It drops a message to a node without a link.
func (l *Links) Send(to state.NodeID, m state.Message) {
	l.mu.Lock()
	lk := l.links[to]
	var f *frame
	if lk != nil {
		f = l.frameOf(m)
	}
	l.mu.Unlock()
	if lk != nil && !lk.enqueue(f) {
		l.log.Warn("send queue of peer is full; message dropped", "peer", to)
	}
}

// frameOf returns the frame of a message, which is that of an earlier one with the same
// content. Messages are not changed once they are sent. The caller holds mu.
func (l *Links) frameOf(m state.Message) *frame {
	for _, f := range l.recent {
		if f != nil && f.message == m {
			return f
		}
	}
	f := &frame{message: m}
	copy(l.recent[1:], l.recent[:])
	l.recent[0] = f
	return f
}

// Close closes all links and waits until the input handler has received their
// last inputs.
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

// maintainLink dials a peer whenever there is no link to it, until the context
// is cancelled. If yield is set, the peer may dial first.
func (l *Links) maintainLink(ctx context.Context, id state.NodeID, d *dialTask, yield bool) {
	backoff := minBackoff
	if yield && !sleep(ctx, higherIDDialDelay) {
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

// dialAndRun dials a peer and runs the link until it ends. It returns an error
// if no link was established.
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
		err = errors.Wrapf(errHandshakeRejected, "node %q answered at the address of node %q", remote.Node, id)
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

// runLink registers a link and runs it until it ends. It returns false if the
// link was not registered because another link to the peer is kept or the links
// are closed.
func (l *Links) runLink(lk *link) bool {
	lk.meter = l.meter
	replaced, ok := l.registerLink(lk)
	if lk.dialler != l.self {
		// A write error is ignored: the dialler then sees a broken connection.
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
	go lk.writeLoop(func(err error) {
		l.log.Error("message to peer not sent: encoding failed", "peer", lk.peer, "error", err)
	})
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

// registerLink stores a link as the current link to its peer and returns the
// link that it replaces. Of two links between the same incarnations the link
// dialled by the lower node id is kept, so that both ends keep the same link.
// Otherwise the newer link replaces the existing one, unless it belongs to an
// older incarnation of the peer. The result ok is false if the new link is not
// kept, as for every link after Close.
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

// unregisterLink removes a link that has ended and signals the dial task of its
// peer.
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

// logHandshakeFailure logs a failed handshake. Duplicate links are expected and
// not logged.
func (l *Links) logHandshakeFailure(address string, err error) {
	if errors.Is(err, errDuplicateLink) {
		return
	}
	if errors.Is(err, errMalformed) {
		event.Log(l.ctx, l.log, event.PeerFrameMalformed, slog.String("address", address), slog.String("error", err.Error()))
		return
	}
	l.log.Warn("handshake with peer failed", "address", address, "error", err)
}

// setHandshakeLimits limits the frame size and the duration of the handshake.
func setHandshakeLimits(conn *websocket.Conn) {
	conn.SetReadLimit(maxHelloBytes)
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	_ = conn.SetWriteDeadline(time.Now().Add(helloTimeout))
}

// sleep waits for a duration. It returns false if the context ends first.
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
