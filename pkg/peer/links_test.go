package peer

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gorilla/websocket"
	. "github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/core/state"
)

const bound = 15 * time.Second

type node struct {
	*Links
	address string

	mu     sync.Mutex
	inputs []state.Input
	logs   bytes.Buffer
}

func (n *node) feed(in state.Input) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inputs = append(n.inputs, in)
}

func (n *node) Write(b []byte) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.logs.Write(b)
}

func (n *node) logged() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.logs.String()
}

// count returns how often the link to a peer went up and down, and the number
// of messages.
func (n *node) count() (up, down, messages int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, in := range n.inputs {
		switch in := in.(type) {
		case state.PeerLinkChanged:
			if in.Up {
				up++
			} else {
				down++
			}
		case state.PeerMessage:
			messages++
		}
	}
	return up, down, messages
}

func start(t *testing.T, id state.NodeID, incarnation state.Incarnation, key string) *node {
	t.Helper()
	n := &node{}
	n.Links = New(state.Self{ID: id, Incarnation: incarnation}, []byte(key), slog.New(slog.NewTextHandler(n, nil)))
	n.Start(n.feed)
	server := httptest.NewServer(n.Handler())
	n.address = strings.TrimPrefix(server.URL, "http://")
	t.Cleanup(func() { n.Close(); server.Close() })
	return n
}

func entry(id state.NodeID, n *node) state.NodeEntry {
	return state.NodeEntry{ID: id, Address: n.address}
}

// TestOneLinkCarriesMessages guards against two nodes that dial each other at
// once and end with no link, and against messages that do not arrive.
func TestOneLinkCarriesMessages(t *testing.T) {
	g := NewWithT(t)
	a, b := start(t, "a", 1, "k"), start(t, "b", 1, "k")
	peers := []state.NodeEntry{entry("a", a), entry("b", b)}
	a.SetPeers(peers)
	b.SetPeers(peers)
	g.Eventually(func() bool { return a.linked("b") && b.linked("a") }, bound).Should(BeTrue())
	g.Eventually(func() int {
		b.Send("a", state.Message{ConfigNotice: &state.ConfigNotice{Version: 7}})
		_, _, n := a.count()
		return n
	}, bound).Should(BeNumerically(">", 0))
	g.Eventually(func() int {
		a.Send("b", state.Message{PollRequest: &state.PollRequest{Seq: 1}})
		_, _, n := b.count()
		return n
	}, bound).Should(BeNumerically(">", 0))
}

// TestRestartedPeerIsRedialled guards against a link that stays with the former
// incarnation of a peer.
func TestRestartedPeerIsRedialled(t *testing.T) {
	g := NewWithT(t)
	a, b := start(t, "a", 1, "k"), start(t, "b", 1, "k")
	a.SetPeers([]state.NodeEntry{entry("b", b)})
	g.Eventually(func() bool { return a.linked("b") }, bound).Should(BeTrue())
	b.Close()
	g.Eventually(func() int { _, down, _ := a.count(); return down }, bound).Should(Equal(1))
	b2 := start(t, "b", 2, "k")
	a.SetPeers([]state.NodeEntry{entry("b", b2)})
	g.Eventually(func() bool { return a.linked("b") }, bound).Should(BeTrue())
	g.Eventually(func() int { up, _, _ := a.count(); return up }, bound).Should(Equal(2))
}

// TestWrongKeyIsRefused guards against a link to a process without the key.
func TestWrongKeyIsRefused(t *testing.T) {
	g := NewWithT(t)
	a, b := start(t, "a", 1, "k"), start(t, "b", 1, "other")
	a.SetPeers([]state.NodeEntry{entry("b", b)})
	g.Eventually(a.logged, bound).Should(ContainSubstring("does not hold the peer key"))
	up, _, _ := a.count()
	g.Expect(up).To(BeZero())
	up, _, _ = b.count()
	g.Expect(up).To(BeZero())
}

// raw dials a node and greets it as node "z".
func raw(g *WithT, n *node, key string) *websocket.Conn {
	conn, _, err := websocket.DefaultDialer.Dial("ws://"+n.address+path, nil) //nolint:bodyclose // The body of an upgrade is the connection.
	g.Expect(err).NotTo(HaveOccurred())
	z := New(state.Self{ID: "z", Incarnation: 1}, []byte(key), slog.New(slog.NewTextHandler(io.Discard, nil)))
	_, err = z.greetDialled(conn)
	g.Expect(err).NotTo(HaveOccurred())
	return conn
}

// TestDiallerMustProveKey guards against an acceptor that believes a replayed
// or invented proof.
func TestDiallerMustProveKey(t *testing.T) {
	g := NewWithT(t)
	a := start(t, "a", 1, "k")
	conn, _, err := websocket.DefaultDialer.Dial("ws://"+a.address+path, nil) //nolint:bodyclose // The body of an upgrade is the connection.
	g.Expect(err).NotTo(HaveOccurred())
	z := New(state.Self{ID: "z", Incarnation: 1}, []byte("wrong"), slog.Default())
	mine, err := z.newHello()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(writeHello(conn, mine)).To(Succeed())
	var theirs hello
	g.Expect(readHello(conn, &theirs)).To(Succeed())
	// The acceptor's own proof sent back must not pass either.
	g.Expect(writeHello(conn, proof{Proof: theirs.Proof})).To(Succeed())
	g.Eventually(a.logged, bound).Should(ContainSubstring("dialler does not hold the peer key"))
	g.Expect(a.linked("z")).To(BeFalse())
}

// TestMalformedFrameEndsLink guards against a frame that does not decode but
// has an effect, or that leaves the link open.
func TestMalformedFrameEndsLink(t *testing.T) {
	two, err := cbor.Marshal(state.Message{PollRequest: &state.PollRequest{Seq: 1}, ConfigNotice: &state.ConfigNotice{Version: 1}})
	if err != nil {
		t.Fatal(err)
	}
	for name, frame := range map[string][]byte{
		"garbage":       {0xff, 0x00, 0x13},
		"empty":         {},
		"no message":    {0xa0},
		"two messages":  two,
		"unknown field": {0xa1, 0x18, 0x63, 0x01},
		"over limit":    make([]byte, maxFrameBytes+1),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a := start(t, "a", 1, "k")
			conn := raw(g, a, "k")
			g.Eventually(func() bool { return a.linked("z") }, bound).Should(BeTrue())
			g.Expect(conn.WriteMessage(websocket.BinaryMessage, frame)).To(Succeed())
			g.Eventually(func() int { _, down, _ := a.count(); return down }, bound).Should(Equal(1))
			g.Expect(a.logged()).To(ContainSubstring("event=1102"))
			_, _, messages := a.count()
			g.Expect(messages).To(BeZero())
		})
	}
}

// TestSilentLinkIsClosed guards against a link that stays up although nothing
// arrives over it any more.
func TestSilentLinkIsClosed(t *testing.T) {
	g := NewWithT(t)
	a := start(t, "a", 1, "k")
	// The client does not read, so it answers no ping.
	raw(g, a, "k")
	g.Eventually(func() bool { return a.linked("z") }, bound).Should(BeTrue())
	began := time.Now()
	g.Eventually(func() int { _, down, _ := a.count(); return down }, bound).Should(Equal(1))
	g.Expect(time.Since(began)).To(BeNumerically(">", silence/2))
}

// TestFullQueueDropsHints guards against a slow link that blocks the loop or
// loses messages that are sent once.
func TestFullQueueDropsHints(t *testing.T) {
	g := NewWithT(t)
	k := newLink(hello{Node: "b"}, "a", nil)
	for i := range queueLimit {
		g.Expect(k.send(state.Message{PollRequest: &state.PollRequest{Seq: uint64(i)}})).To(BeTrue())
	}
	g.Expect(k.send(state.Message{ClaimQuery: &state.ClaimQuery{IdempotencyKey: "x"}})).To(BeTrue())
	queue := k.take()
	g.Expect(queue).To(HaveLen(queueLimit))
	g.Expect(queue[0].PollRequest.Seq).To(Equal(uint64(1)))
	g.Expect(queue[queueLimit-1].ClaimQuery).NotTo(BeNil())
	for range queueLimit {
		g.Expect(k.send(state.Message{ClaimQuery: &state.ClaimQuery{}})).To(BeTrue())
	}
	g.Expect(k.send(state.Message{ClaimQuery: &state.ClaimQuery{}})).To(BeFalse())
}

// TestUnreachablePeerDoesNotBlock guards against SetPeers or Send that waits
// for a peer that does not answer.
func TestUnreachablePeerDoesNotBlock(t *testing.T) {
	g := NewWithT(t)
	a := start(t, "a", 1, "k")
	// A listener that accepts nothing leaves the handshake without an answer.
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = silent.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.SetPeers([]state.NodeEntry{{ID: "b", Address: silent.Addr().String()}})
		for range 10 * queueLimit {
			a.Send("b", state.Message{ClaimQuery: &state.ClaimQuery{}})
		}
	}()
	g.Eventually(done, bound).Should(BeClosed())
}
