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
	// helloTimeout limits the duration of the whole handshake.
	helloTimeout = 3 * time.Second
	// maxHelloBytes is the frame size limit until the other end has authenticated.
	maxHelloBytes = 1 << 10
)

// Roles are part of each proof, so that the proof of one end cannot be replayed
// as the proof of the other end.
const (
	roleDialler  = "apricotgrade peer dialler"
	roleAcceptor = "apricotgrade peer acceptor"
)

// hello is the first frame that each end sends.
type hello struct {
	Protocol    int               `cbor:"1,keyasint"`
	Node        state.NodeID      `cbor:"2,keyasint"`
	Incarnation state.Incarnation `cbor:"3,keyasint"`
	Nonce       []byte            `cbor:"4,keyasint"`
	// Proof is empty in the dialler's hello, because the dialler has not received
	// the acceptor's nonce yet.
	Proof []byte `cbor:"5,keyasint,omitempty"`
}

// diallerProof is the second frame of the dialler.
type diallerProof struct {
	Proof []byte `cbor:"1,keyasint"`
}

// handshakeResult is the second frame of the acceptor. It states whether the
// acceptor keeps the link. Without it the dialler would report a link as up that
// the acceptor is about to close.
type handshakeResult struct {
	LinkKept bool `cbor:"1,keyasint"`
}

// errHandshakeRejected means that the handshake frames of the other end are
// invalid: it uses another protocol version, has an unexpected node id, sent an
// invalid nonce or does not hold the shared key.
var errHandshakeRejected = errors.New("peer handshake rejected")

// errDuplicateLink means that another link to the same peer is kept instead, or
// that this end or the other is shutting down.
var errDuplicateLink = errors.New("link not kept: another link to the peer is up, or links are closed")

// computeProof returns the HMAC-SHA256 of the role and both hellos. Each field
// is preceded by its length, so that different field values never yield the
// same input.
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

// handshakeAsDialler performs the handshake over a connection that this node
// dialled. It returns the hello of the acceptor.
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

// handshakeAsAcceptor authenticates the dialler of an accepted connection and
// returns its hello. The caller then sends the handshakeResult.
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

// checkHello validates the hello of the other end, except for its proof.
func (l *Links) checkHello(h hello) error {
	switch {
	case h.Protocol != protocolVersion:
		return errors.Wrapf(errHandshakeRejected, "peer uses protocol version %d, this node uses %d", h.Protocol, protocolVersion)
	case h.Node == "" || h.Node == l.self:
		return errors.Wrapf(errHandshakeRejected, "invalid node id %q", h.Node)
	case len(h.Nonce) != nonceBytes:
		return errors.Wrap(errHandshakeRejected, "nonce has the wrong length")
	}
	return nil
}

func writeHandshakeFrame(conn *websocket.Conn, v any) error {
	frame, err := cbor.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode handshake frame")
	}
	return errors.Wrap(conn.WriteMessage(websocket.BinaryMessage, frame), "send handshake frame")
}

func readHandshakeFrame(conn *websocket.Conn, v any) error {
	kind, frame, err := conn.ReadMessage()
	if err != nil {
		return errors.Wrap(err, "receive handshake frame")
	}
	if kind != websocket.BinaryMessage {
		return errors.Wrap(errMalformed, "handshake frame is not binary")
	}
	if err := decoder.Unmarshal(frame, v); err != nil {
		return errors.Wrap(errMalformed, err.Error())
	}
	return nil
}
