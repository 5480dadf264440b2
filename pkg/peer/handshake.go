package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gorilla/websocket"
	"github.com/pkg/errors"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const (
	nonceBytes = 32
	// helloTimeout bounds the whole exchange of hellos.
	helloTimeout = 3 * time.Second
	// maxHelloBytes is the frame limit until the other end has proved the key.
	maxHelloBytes = 1 << 10
)

// Roles keep a proof of one end from being sent back as the proof of the other.
const (
	roleDialler  = "apricotgrade peer dialler"
	roleAcceptor = "apricotgrade peer acceptor"
)

// hello is the first frame of each end.
type hello struct {
	Protocol    int               `cbor:"1,keyasint"`
	Node        state.NodeID      `cbor:"2,keyasint"`
	Incarnation state.Incarnation `cbor:"3,keyasint"`
	Nonce       []byte            `cbor:"4,keyasint"`
	// Proof is empty in the dialler's hello, which knows no nonce yet.
	Proof []byte `cbor:"5,keyasint,omitempty"`
}

// diallerProof is the dialler's second frame.
type diallerProof struct {
	Proof []byte `cbor:"1,keyasint"`
}

// handshakeResult is the acceptor's second frame. It says that the acceptor keeps this
// link, so that the dialler reports no link that is about to close.
type handshakeResult struct {
	LinkKept bool `cbor:"1,keyasint"`
}

// errHandshakeRejected means that the other end speaks another protocol version or does
// not hold the key.
var errHandshakeRejected = errors.New("peer refused")

// errDuplicateLink means that the acceptor keeps another link to this node.
var errDuplicateLink = errors.New("another link to the peer is up")

func computeProof(key []byte, role string, dialler, acceptor hello) []byte {
	mac := hmac.New(sha256.New, key)
	writeField := func(b []byte) {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(b)))
		mac.Write(size[:])
		mac.Write(b)
	}
	writeField([]byte(role))
	for _, h := range []hello{dialler, acceptor} {
		var integers [16]byte
		binary.BigEndian.PutUint64(integers[:8], uint64(h.Protocol))
		binary.BigEndian.PutUint64(integers[8:], uint64(h.Incarnation))
		writeField([]byte(h.Node))
		writeField(integers[:])
		writeField(h.Nonce)
	}
	return mac.Sum(nil)
}

func (l *Links) newHello() (hello, error) {
	h := hello{Protocol: protocolVersion, Node: l.self, Incarnation: l.incarnation, Nonce: make([]byte, nonceBytes)}
	_, err := rand.Read(h.Nonce)
	return h, errors.Wrap(err, "read random nonce")
}

// handshakeAsDialler exchanges hellos over a connection that this node dialled.
func (l *Links) handshakeAsDialler(conn *websocket.Conn) (hello, error) {
	local, err := l.newHello()
	if err != nil {
		return hello{}, err
	}
	if err := writeHandshakeFrame(conn, local); err != nil {
		return hello{}, err
	}
	var remote hello
	if err := readHandshakeFrame(conn, &remote); err != nil {
		return hello{}, err
	}
	if err := l.checkHello(remote); err != nil {
		return hello{}, err
	}
	if !hmac.Equal(remote.Proof, computeProof(l.key, roleAcceptor, local, remote)) {
		return hello{}, errors.Wrap(errHandshakeRejected, "acceptor does not hold the peer key")
	}
	if err := writeHandshakeFrame(conn, diallerProof{Proof: computeProof(l.key, roleDialler, local, remote)}); err != nil {
		return hello{}, err
	}
	var result handshakeResult
	if err := readHandshakeFrame(conn, &result); err != nil {
		return hello{}, err
	}
	if !result.LinkKept {
		return hello{}, errDuplicateLink
	}
	return remote, nil
}

// handshakeAsAcceptor exchanges hellos over a connection that the other end dialled.
func (l *Links) handshakeAsAcceptor(conn *websocket.Conn) (hello, error) {
	var remote hello
	if err := readHandshakeFrame(conn, &remote); err != nil {
		return hello{}, err
	}
	if err := l.checkHello(remote); err != nil {
		return hello{}, err
	}
	local, err := l.newHello()
	if err != nil {
		return hello{}, err
	}
	local.Proof = computeProof(l.key, roleAcceptor, remote, local)
	if err := writeHandshakeFrame(conn, local); err != nil {
		return hello{}, err
	}
	var received diallerProof
	if err := readHandshakeFrame(conn, &received); err != nil {
		return hello{}, err
	}
	if !hmac.Equal(received.Proof, computeProof(l.key, roleDialler, remote, local)) {
		return hello{}, errors.Wrap(errHandshakeRejected, "dialler does not hold the peer key")
	}
	return remote, nil
}

func (l *Links) checkHello(h hello) error {
	switch {
	case h.Protocol != protocolVersion:
		return errors.Wrapf(errHandshakeRejected, "protocol version %d, this node speaks %d", h.Protocol, protocolVersion)
	case h.Node == "" || h.Node == l.self:
		return errors.Wrapf(errHandshakeRejected, "node id %q", h.Node)
	case len(h.Nonce) != nonceBytes:
		return errors.Wrap(errHandshakeRejected, "nonce of wrong length")
	}
	return nil
}

func writeHandshakeFrame(conn *websocket.Conn, v any) error {
	frame, err := cbor.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode hello")
	}
	return errors.Wrap(conn.WriteMessage(websocket.BinaryMessage, frame), "send hello")
}

func readHandshakeFrame(conn *websocket.Conn, v any) error {
	kind, frame, err := conn.ReadMessage()
	if err != nil {
		return errors.Wrap(err, "receive hello")
	}
	if kind != websocket.BinaryMessage {
		return errors.Wrap(errMalformed, "hello is not binary")
	}
	if err := decoder.Unmarshal(frame, v); err != nil {
		return errors.Wrap(errMalformed, err.Error())
	}
	return nil
}
