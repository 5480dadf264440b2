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
	// silence is how long a link may carry nothing before it is closed.
	silence = 3 * time.Second
	// queueLimit bounds the messages that wait for a slow link.
	queueLimit = 128
)

// errMalformed means that a frame does not decode.
var errMalformed = errors.New("malformed frame")

// link is one authenticated connection to a peer.
type link struct {
	peer        state.NodeID
	incarnation state.Incarnation
	// dialler is the node that dialled the connection.
	dialler state.NodeID
	conn    *websocket.Conn
	meter   Meter

	mu    sync.Mutex
	queue []state.Message
	wake  chan struct{}
	quit  chan struct{}
	once  sync.Once
	// ended is closed after the last input of the link was fed.
	ended chan struct{}
}

func newLink(peer hello, dialler state.NodeID, conn *websocket.Conn) *link {
	return &link{
		peer: peer.Node, incarnation: peer.Incarnation, dialler: dialler, conn: conn,
		wake: make(chan struct{}, 1), quit: make(chan struct{}), ended: make(chan struct{}),
	}
}

// close ends the link. It does not wait.
func (k *link) close() {
	k.once.Do(func() {
		close(k.quit)
		_ = k.conn.Close()
	})
}

// send queues a message. With a full queue the oldest hint gives way; without
// a hint the new message is dropped, which its protocol must bear anyway.
func (k *link) send(m state.Message) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.queue) >= queueLimit && !k.dropHint() {
		return false
	}
	k.queue = append(k.queue, m)
	select {
	case k.wake <- struct{}{}:
	default:
	}
	return true
}

func (k *link) dropHint() bool {
	for i := range k.queue {
		if isHint(&k.queue[i]) {
			k.queue = append(k.queue[:i], k.queue[i+1:]...)
			return true
		}
	}
	return false
}

func (k *link) take() []state.Message {
	k.mu.Lock()
	defer k.mu.Unlock()
	messages := k.queue
	k.queue = nil
	return messages
}

// write sends queued messages and pings until the link closes.
func (k *link) write(oversized func(error)) {
	defer k.close()
	ticker := time.NewTicker(pingPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-k.quit:
			return
		case <-ticker.C:
			if k.conn.WriteControl(websocket.PingMessage, nil, time.Now().Add(silence)) != nil {
				return
			}
		case <-k.wake:
			for _, m := range k.take() {
				frame, err := encodeMessage(m)
				if err != nil {
					oversized(err)
					continue
				}
				_ = k.conn.SetWriteDeadline(time.Now().Add(silence))
				if k.conn.WriteMessage(websocket.BinaryMessage, frame) != nil {
					return
				}
				k.meter.PeerSent(len(frame))
			}
		}
	}
}

// read feeds messages until the link closes. It returns errMalformed when a
// frame ended it.
func (k *link) read(feed func(state.Input)) error {
	alive := func(string) error { return k.conn.SetReadDeadline(time.Now().Add(silence)) }
	k.conn.SetPongHandler(alive)
	k.conn.SetPingHandler(func(data string) error {
		// A pong that cannot be written now is left out: the write side finds a
		// broken connection by itself.
		_ = k.conn.WriteControl(websocket.PongMessage, []byte(data), time.Now().Add(pingPeriod))
		return alive(data)
	})
	k.conn.SetReadLimit(maxFrameBytes)
	for {
		if err := alive(""); err != nil {
			return errors.Wrap(err, "set read deadline")
		}
		kind, frame, err := k.conn.ReadMessage()
		if errors.Is(err, websocket.ErrReadLimit) {
			return errors.Wrap(errMalformed, err.Error())
		}
		if err != nil {
			return errors.Wrap(err, "read from peer")
		}
		if kind != websocket.BinaryMessage {
			return errors.Wrap(errMalformed, "frame is not binary")
		}
		k.meter.PeerReceived(len(frame))
		m, err := decodeMessage(frame)
		if err != nil {
			return errors.Wrap(errMalformed, err.Error())
		}
		feed(state.PeerMessage{From: k.peer, Message: m})
	}
}
