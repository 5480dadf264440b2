package peer

import (
	"sync"
	"time"

	"github.com/gorilla/websocket"
	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	pingPeriod = time.Second
	// linkTimeout is how long a link may receive nothing, or a write may take,
	// before the link is closed.
	linkTimeout = 3 * time.Second
	// maxQueuedMessages limits the send queue of a slow link.
	maxQueuedMessages = 128
)

// errMalformed means that a frame cannot be decoded or exceeds the size limit.
var errMalformed = errors.New("malformed frame")

// link is one authenticated connection to a peer.
type link struct {
	peer        state.NodeID
	incarnation state.Incarnation
	// dialler is the node that dialled the connection.
	dialler state.NodeID
	conn    *websocket.Conn
	meter   Meter

	// mu guards queue.
	mu    sync.Mutex
	queue []*frame
	// wake signals the write loop that the queue is not empty.
	wake chan struct{}
	// quit is closed when the link closes.
	quit      chan struct{}
	closeOnce sync.Once
	// done is closed after the last input of the link has been passed to the
	// input handler.
	done chan struct{}
}

func newLink(peer hello, dialler state.NodeID, conn *websocket.Conn) *link {
	return &link{
		peer: peer.Node, incarnation: peer.Incarnation, dialler: dialler, conn: conn,
		wake: make(chan struct{}, 1), quit: make(chan struct{}), done: make(chan struct{}),
	}
}

// close closes the connection and stops both loops. It does not wait for them.
func (lk *link) close() {
	lk.closeOnce.Do(func() {
		close(lk.quit)
		_ = lk.conn.Close()
	})
}

// enqueue adds a message to the send queue. If the queue is full, the oldest
// droppable message is removed. If it contains none, the new message is dropped
// and enqueue returns false; protocols must tolerate lost messages anyway.
func (lk *link) enqueue(f *frame) bool {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	if len(lk.queue) >= maxQueuedMessages && !lk.dropOldestDroppable() {
		return false
	}
	lk.queue = append(lk.queue, f)
	select {
	case lk.wake <- struct{}{}:
	default:
	}
	return true
}

// dropOldestDroppable removes the oldest droppable message from the queue. It
// returns false if there is none. The caller holds mu.
func (lk *link) dropOldestDroppable() bool {
	for i := range lk.queue {
		if isDroppable(&lk.queue[i].message) {
			lk.queue = append(lk.queue[:i], lk.queue[i+1:]...)
			return true
		}
	}
	return false
}

// drainQueue empties the queue and returns its messages.
func (lk *link) drainQueue() []*frame {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	messages := lk.queue
	lk.queue = nil
	return messages
}

// writeLoop sends queued messages and pings until the link is closed. A message
// that cannot be encoded is skipped and its error is passed to onEncodeError.
func (lk *link) writeLoop(onEncodeError func(error)) {
	defer lk.close()
	ticker := time.NewTicker(pingPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-lk.quit:
			return
		case <-ticker.C:
			if lk.conn.WriteControl(websocket.PingMessage, nil, time.Now().Add(linkTimeout)) != nil {
				return
			}
		case <-lk.wake:
			for _, f := range lk.drainQueue() {
				encoded, err := f.encode()
				if err != nil {
					onEncodeError(err)
					continue
				}
				_ = lk.conn.SetWriteDeadline(time.Now().Add(linkTimeout))
				if lk.conn.WriteMessage(websocket.BinaryMessage, encoded) != nil {
					return
				}
				lk.meter.PeerBytesSent(len(encoded))
			}
		}
	}
}

// readLoop passes received messages to feed until the link is closed. Its error
// wraps errMalformed if an invalid frame ended the link.
func (lk *link) readLoop(feed func(state.Input)) error {
	extendDeadline := func(string) error { return lk.conn.SetReadDeadline(time.Now().Add(linkTimeout)) }
	lk.conn.SetPongHandler(extendDeadline)
	lk.conn.SetPingHandler(func(data string) error {
		// A failed pong is ignored: the write loop detects a broken connection by
		// itself.
		_ = lk.conn.WriteControl(websocket.PongMessage, []byte(data), time.Now().Add(pingPeriod))
		return extendDeadline(data)
	})
	lk.conn.SetReadLimit(maxFrameBytes)
	for {
		if err := extendDeadline(""); err != nil {
			return errors.Wrap(err, "set read deadline")
		}
		kind, frame, err := lk.conn.ReadMessage()
		if errors.Is(err, websocket.ErrReadLimit) {
			return errors.Wrap(errMalformed, err.Error())
		}
		if err != nil {
			return errors.Wrap(err, "read frame from peer")
		}
		if kind != websocket.BinaryMessage {
			return errors.Wrap(errMalformed, "frame is not binary")
		}
		lk.meter.PeerBytesReceived(len(frame))
		m, err := decodeMessage(frame)
		if err != nil {
			return errors.Wrap(errMalformed, err.Error())
		}
		feed(state.PeerMessage{From: lk.peer, Message: m})
	}
}
