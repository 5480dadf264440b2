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

// proof is the dialler's second frame.
type proof struct {
	Proof []byte `cbor:"1,keyasint"`
}

// welcome is the acceptor's second frame. It says that the acceptor keeps this
// link, so that the dialler reports no link that is about to close.
type welcome struct {
	Kept bool `cbor:"1,keyasint"`
}

// errRefused means that the other end speaks another protocol version or does
// not hold the key.
var errRefused = errors.New("peer refused")

// errGaveWay means that the acceptor keeps another link to this node.
var errGaveWay = errors.New("another link to the peer is up")

func prove(key []byte, role string, dialler, acceptor hello) []byte {
	mac := hmac.New(sha256.New, key)
	field := func(b []byte) {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(b)))
		mac.Write(size[:])
		mac.Write(b)
	}
	field([]byte(role))
	for _, h := range []hello{dialler, acceptor} {
		var numbers [16]byte
		binary.BigEndian.PutUint64(numbers[:8], uint64(h.Protocol))
		binary.BigEndian.PutUint64(numbers[8:], uint64(h.Incarnation))
		field([]byte(h.Node))
		field(numbers[:])
		field(h.Nonce)
	}
	return mac.Sum(nil)
}

func (l *Links) newHello() (hello, error) {
	h := hello{Protocol: protocolVersion, Node: l.self, Incarnation: l.incarnation, Nonce: make([]byte, nonceBytes)}
	_, err := rand.Read(h.Nonce)
	return h, errors.Wrap(err, "read random nonce")
}

// greetDialled exchanges hellos over a connection that this node dialled.
func (l *Links) greetDialled(conn *websocket.Conn) (hello, error) {
	mine, err := l.newHello()
	if err != nil {
		return hello{}, err
	}
	if err := writeHello(conn, mine); err != nil {
		return hello{}, err
	}
	var theirs hello
	if err := readHello(conn, &theirs); err != nil {
		return hello{}, err
	}
	if err := l.checkHello(theirs); err != nil {
		return hello{}, err
	}
	if !hmac.Equal(theirs.Proof, prove(l.key, roleAcceptor, mine, theirs)) {
		return hello{}, errors.Wrap(errRefused, "acceptor does not hold the peer key")
	}
	if err := writeHello(conn, proof{Proof: prove(l.key, roleDialler, mine, theirs)}); err != nil {
		return hello{}, err
	}
	var kept welcome
	if err := readHello(conn, &kept); err != nil {
		return hello{}, err
	}
	if !kept.Kept {
		return hello{}, errGaveWay
	}
	return theirs, nil
}

// greetAccepted exchanges hellos over a connection that the other end dialled.
func (l *Links) greetAccepted(conn *websocket.Conn) (hello, error) {
	var theirs hello
	if err := readHello(conn, &theirs); err != nil {
		return hello{}, err
	}
	if err := l.checkHello(theirs); err != nil {
		return hello{}, err
	}
	mine, err := l.newHello()
	if err != nil {
		return hello{}, err
	}
	mine.Proof = prove(l.key, roleAcceptor, theirs, mine)
	if err := writeHello(conn, mine); err != nil {
		return hello{}, err
	}
	var answer proof
	if err := readHello(conn, &answer); err != nil {
		return hello{}, err
	}
	if !hmac.Equal(answer.Proof, prove(l.key, roleDialler, theirs, mine)) {
		return hello{}, errors.Wrap(errRefused, "dialler does not hold the peer key")
	}
	return theirs, nil
}

func (l *Links) checkHello(h hello) error {
	switch {
	case h.Protocol != protocolVersion:
		return errors.Wrapf(errRefused, "protocol version %d, this node speaks %d", h.Protocol, protocolVersion)
	case h.Node == "" || h.Node == l.self:
		return errors.Wrapf(errRefused, "node id %q", h.Node)
	case len(h.Nonce) != nonceBytes:
		return errors.Wrap(errRefused, "nonce of wrong length")
	}
	return nil
}

func writeHello(conn *websocket.Conn, v any) error {
	frame, err := cbor.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode hello")
	}
	return errors.Wrap(conn.WriteMessage(websocket.BinaryMessage, frame), "send hello")
}

func readHello(conn *websocket.Conn, v any) error {
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
