package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/memory"
)

// endlessReader is a body without an end.
type endlessReader struct{ text string }

// Read implements io.Reader.
func (r endlessReader) Read(b []byte) (int, error) { return copy(b, r.text), nil }

// TestAbandonedAnswerShowsNoCrash guards against requests and prompt parts that count as having
// crashed targets, and are refused, because this node has given up the answers of targets that
// go on.
func TestAbandonedAnswerShowsNoCrash(t *testing.T) {
	streamOf := func(text string) *http.Response {
		return &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}},
			ContentLength: -1, TransferEncoding: []string{"chunked"}, Body: io.NopCloser(endlessReader{text})}
	}
	for name, receive := range map[string]func(*RoutedGateway, *routedAttempt){
		"an answer that is too long": func(g *RoutedGateway, a *routedAttempt) {
			g.memory = memory.NewBudget(64 << 20)
			a.bufferAnswer(streamOf("bytes"), AnswerMetadata{Signed: true})
		},
		"no memory for an answer": func(g *RoutedGateway, a *routedAttempt) {
			g.memory = memory.NewBudget(1 << 10)
			a.bufferAnswer(streamOf("bytes"), AnswerMetadata{Signed: true})
		},
		"an event that is too long": func(_ *RoutedGateway, a *routedAttempt) { a.relayStream(nil, streamOf("data: bytes")) },
		"comments without end":      func(_ *RoutedGateway, a *routedAttempt) { a.relayStream(nil, streamOf(":\n\n")) },
	} {
		p := newRoutedPair(t)
		a := p.begin(2, true)
		a.result.Status = http.StatusOK
		receive(p.gateway, a)
		p.g.Expect(a.result.Failure).To(Equal(state.FailureConnectionLost), name)
		p.g.Expect(a.result.LostBeforeAnswer()).To(BeFalse(), name)
	}
}

// TestMalformedAnswerShowsNoCrash guards against the same for bytes that are no answer.
func TestMalformedAnswerShowsNoCrash(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		c, err := listener.Accept()
		if err == nil {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	p := newRoutedPair(t)
	a := p.begin(2, true)
	req, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String(), http.NoBody)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = p.gateway.targets.Do(req, true) //nolint:bodyclose // There is no answer.
	g.Expect(err).To(HaveOccurred())
	a.fail(err)
	g.Expect(a.result.Failure).To(Equal(state.FailureConnectionLost))
	g.Expect(a.result.Outcome).To(Equal(apierror.Unknown))
	g.Expect(a.result.LostBeforeAnswer()).To(BeFalse())
}
