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

const eventuallyTimeout = 15 * time.Second

// testNode is a set of links with its own listener. It records all inputs and
// log lines.
type testNode struct {
	*Links
	address string

	mu     sync.Mutex
	inputs []state.Input
	logs   bytes.Buffer
}

func (n *testNode) feed(in state.Input) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inputs = append(n.inputs, in)
}

func (n *testNode) Write(b []byte) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.logs.Write(b)
}

func (n *testNode) logOutput() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.logs.String()
}

// countInputs returns how often links went up and down, and the number of
// received messages.
func (n *testNode) countInputs() (up, down, messages int) {
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

func startNode(t *testing.T, id state.NodeID, incarnation state.Incarnation, key string) *testNode {
	t.Helper()
	n := &testNode{}
	n.Links = New(state.Self{ID: id, Incarnation: incarnation}, []byte(key), slog.New(slog.NewTextHandler(n, nil)))
	n.SetInputHandler(n.feed)
	server := httptest.NewServer(n.Handler())
	n.address = strings.TrimPrefix(server.URL, "http://")
	t.Cleanup(func() { n.Close(); server.Close() })
	return n
}

func nodeEntry(id state.NodeID, n *testNode) state.NodeEntry {
	return state.NodeEntry{ID: id, Address: n.address}
}

// TestMutualDialsLeaveWorkingLink guards against two nodes that dial each other
// at the same time and both reject the other's link, and against lost messages.
func TestMutualDialsLeaveWorkingLink(t *testing.T) {
	g := NewWithT(t)
	a, b := startNode(t, "a", 1, "k"), startNode(t, "b", 1, "k")
	peers := []state.NodeEntry{nodeEntry("a", a), nodeEntry("b", b)}
	a.SetPeers(state.SetPeers{Peers: peers})
	b.SetPeers(state.SetPeers{Peers: peers})
	g.Eventually(func() bool { return a.hasLink("b") && b.hasLink("a") }, eventuallyTimeout).Should(BeTrue())
	g.Eventually(func() int {
		b.Send("a", state.Message{ConfigNotice: &state.ConfigNotice{Version: 7}})
		_, _, n := a.countInputs()
		return n
	}, eventuallyTimeout).Should(BeNumerically(">", 0))
	g.Eventually(func() int {
		a.Send("b", state.Message{PollRequest: &state.PollRequest{Seq: 1}})
		_, _, n := b.countInputs()
		return n
	}, eventuallyTimeout).Should(BeNumerically(">", 0))
}

// TestRestartedPeerIsRedialled guards against a node that keeps the link to the
// previous incarnation of a restarted peer.
func TestRestartedPeerIsRedialled(t *testing.T) {
	g := NewWithT(t)
	a, b := startNode(t, "a", 1, "k"), startNode(t, "b", 1, "k")
	a.SetPeers(state.SetPeers{Peers: []state.NodeEntry{nodeEntry("b", b)}})
	g.Eventually(func() bool { return a.hasLink("b") }, eventuallyTimeout).Should(BeTrue())
	b.Close()
	g.Eventually(func() int { _, down, _ := a.countInputs(); return down }, eventuallyTimeout).Should(Equal(1))
	restarted := startNode(t, "b", 2, "k")
	a.SetPeers(state.SetPeers{Peers: []state.NodeEntry{nodeEntry("b", restarted)}})
	g.Eventually(func() bool { return a.hasLink("b") }, eventuallyTimeout).Should(BeTrue())
	g.Eventually(func() int { up, _, _ := a.countInputs(); return up }, eventuallyTimeout).Should(Equal(2))
}

// TestWrongKeyIsRefused guards against a link to a process that does not hold the
// shared key.
func TestWrongKeyIsRefused(t *testing.T) {
	g := NewWithT(t)
	a, b := startNode(t, "a", 1, "k"), startNode(t, "b", 1, "other")
	a.SetPeers(state.SetPeers{Peers: []state.NodeEntry{nodeEntry("b", b)}})
	g.Eventually(a.logOutput, eventuallyTimeout).Should(ContainSubstring("does not hold the peer key"))
	up, _, _ := a.countInputs()
	g.Expect(up).To(BeZero())
	up, _, _ = b.countInputs()
	g.Expect(up).To(BeZero())
}

// dialRaw dials a node and performs the handshake as node "z". The returned
// connection has no read or write loop.
func dialRaw(g *WithT, n *testNode, key string) *websocket.Conn {
	conn, _, err := websocket.DefaultDialer.Dial("ws://"+n.address+linkPath, nil) //nolint:bodyclose // The body of an upgrade is the connection.
	g.Expect(err).NotTo(HaveOccurred())
	client := New(state.Self{ID: "z", Incarnation: 1}, []byte(key), slog.New(slog.NewTextHandler(io.Discard, nil)))
	_, err = client.handshakeAsDialler(conn)
	g.Expect(err).NotTo(HaveOccurred())
	return conn
}

// TestDiallerMustProveKey guards against an acceptor that accepts its own proof
// when a dialler without the key replays it.
func TestDiallerMustProveKey(t *testing.T) {
	g := NewWithT(t)
	a := startNode(t, "a", 1, "k")
	conn, _, err := websocket.DefaultDialer.Dial("ws://"+a.address+linkPath, nil) //nolint:bodyclose // The body of an upgrade is the connection.
	g.Expect(err).NotTo(HaveOccurred())
	client := New(state.Self{ID: "z", Incarnation: 1}, []byte("wrong"), slog.Default())
	local, err := client.newHello()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(writeHandshakeFrame(conn, local)).To(Succeed())
	var remote hello
	g.Expect(readHandshakeFrame(conn, &remote)).To(Succeed())
	// Replay the acceptor's own proof.
	g.Expect(writeHandshakeFrame(conn, diallerProof{Proof: remote.Proof})).To(Succeed())
	g.Eventually(a.logOutput, eventuallyTimeout).Should(ContainSubstring("dialler does not hold the peer key"))
	g.Expect(a.hasLink("z")).To(BeFalse())
}

// TestMalformedFrameEndsLink guards against a malformed frame that takes effect
// or leaves the link open.
func TestMalformedFrameEndsLink(t *testing.T) {
	twoMessages, err := cbor.Marshal(state.Message{PollRequest: &state.PollRequest{Seq: 1}, ConfigNotice: &state.ConfigNotice{Version: 1}})
	if err != nil {
		t.Fatal(err)
	}
	for name, frame := range map[string][]byte{
		"garbage":       {0xff, 0x00, 0x13},
		"empty":         {},
		"no message":    {0xa0},
		"two messages":  twoMessages,
		"unknown field": {0xa1, 0x18, 0x63, 0x01},
		"over limit":    make([]byte, maxFrameBytes+1),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			a := startNode(t, "a", 1, "k")
			conn := dialRaw(g, a, "k")
			g.Eventually(func() bool { return a.hasLink("z") }, eventuallyTimeout).Should(BeTrue())
			g.Expect(conn.WriteMessage(websocket.BinaryMessage, frame)).To(Succeed())
			g.Eventually(func() int { _, down, _ := a.countInputs(); return down }, eventuallyTimeout).Should(Equal(1))
			g.Expect(a.logOutput()).To(ContainSubstring("event=1102"))
			_, _, messages := a.countInputs()
			g.Expect(messages).To(BeZero())
		})
	}
}

// TestUnresponsiveLinkIsClosed guards against a link that stays up although no
// data arrives over it any more.
func TestUnresponsiveLinkIsClosed(t *testing.T) {
	g := NewWithT(t)
	a := startNode(t, "a", 1, "k")
	// The client does not read, so it answers no ping. If it were dropped, the garbage collector
	// could close its connection before the link times out.
	client := dialRaw(g, a, "k")
	defer func() { _ = client.Close() }()
	g.Eventually(func() bool { return a.hasLink("z") }, eventuallyTimeout).Should(BeTrue())
	linkedAt := time.Now()
	g.Eventually(func() int { _, down, _ := a.countInputs(); return down }, eventuallyTimeout).Should(Equal(1))
	g.Expect(time.Since(linkedAt)).To(BeNumerically(">", linkTimeout/2))
}

// TestFullQueueDropsDroppableMessages guards against a slow link that blocks the
// event loop, or whose full queue loses messages that are sent only once.
func TestFullQueueDropsDroppableMessages(t *testing.T) {
	g := NewWithT(t)
	lk := newLink(hello{Node: "b"}, "a", nil)
	for i := range maxQueuedMessages {
		g.Expect(lk.enqueue(&frame{message: state.Message{PollRequest: &state.PollRequest{Seq: uint64(i)}}})).To(BeTrue())
	}
	g.Expect(lk.enqueue(&frame{message: state.Message{ClaimQuery: &state.ClaimQuery{IdempotencyKey: "x"}}})).To(BeTrue())
	queue := lk.drainQueue()
	g.Expect(queue).To(HaveLen(maxQueuedMessages))
	g.Expect(queue[0].message.PollRequest.Seq).To(Equal(uint64(1)))
	g.Expect(queue[maxQueuedMessages-1].message.ClaimQuery).NotTo(BeNil())
	for range maxQueuedMessages {
		g.Expect(lk.enqueue(&frame{message: state.Message{ClaimQuery: &state.ClaimQuery{}}})).To(BeTrue())
	}
	g.Expect(lk.enqueue(&frame{message: state.Message{ClaimQuery: &state.ClaimQuery{}}})).To(BeFalse())
}

// TestUnreachablePeerDoesNotBlock guards against SetPeers or Send blocking on a
// peer that does not answer.
func TestUnreachablePeerDoesNotBlock(t *testing.T) {
	g := NewWithT(t)
	a := startNode(t, "a", 1, "k")
	// The listener never accepts a connection, so the handshake gets no answer.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = listener.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.SetPeers(state.SetPeers{Peers: []state.NodeEntry{{ID: "b", Address: listener.Addr().String()}}})
		for range 10 * maxQueuedMessages {
			a.Send("b", state.Message{ClaimQuery: &state.ClaimQuery{}})
		}
	}()
	g.Eventually(done, eventuallyTimeout).Should(BeClosed())
}

// TestMessageToManyPeersIsEncodedOnce guards against a hub that encodes the same status or the
// same rows again for each of its leaves.
func TestMessageToManyPeersIsEncodedOnce(t *testing.T) {
	g := NewWithT(t)
	l := New(state.Self{ID: "a"}, nil, nil)
	peers := []state.NodeID{"b", "c", "d", "e"}
	for _, id := range peers {
		l.links[id] = newLink(hello{Node: id}, "a", nil)
	}
	forHubs, forLeaves := &state.PeerStatus{StoreReplyAge: 1}, &state.PeerStatus{StoreReplyAge: 2}
	for i, id := range peers {
		l.Send(id, state.Message{PeerStatus: []*state.PeerStatus{forHubs, forLeaves}[i%2]})
	}
	frames := map[*frame]bool{}
	for _, id := range peers {
		for _, f := range l.links[id].drainQueue() {
			frames[f] = true
			encoded, err := f.encode()
			g.Expect(err).NotTo(HaveOccurred())
			m, err := decodeMessage(encoded)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(m.PeerStatus).To(Equal(f.message.PeerStatus))
		}
	}
	g.Expect(frames).To(HaveLen(2))
}
