package transport

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/net/http/httpguts"
)

const soundAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"

// startPeer runs a peer that answers the requests on each connection with the given answers,
// one after the other, and returns its URL and the number of requests.
func startPeer(t *testing.T, answers ...string) (url string, requests *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	requests = new(atomic.Int64)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for _, answer := range answers {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					requests.Add(1)
					_, _ = io.WriteString(c, answer)
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String(), requests
}

func get(client *http.Client, url string) (string, error) {
	res, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

// TestMalformedHeadOnReusedConnection guards against a head that is not checked because it is not
// the first one on its connection, and against a connection that is used again after one.
func TestMalformedHeadOnReusedConnection(t *testing.T) {
	for name, answer := range malformedAnswers {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			url, requests := startPeer(t, soundAnswer, soundAnswer, answer)
			base := &http.Transport{}
			t.Cleanup(base.CloseIdleConnections)
			client := &http.Client{Transport: New(base)}
			for range 2 {
				body, err := get(client, url)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal("sound"))
			}
			_, err := get(client, url)
			g.Expect(err).To(MatchError(ErrMalformedHead))
			g.Expect(requests.Load()).To(Equal(int64(3)), "the request is not sent again")
			body, err := get(client, url)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("sound"), "a new connection")
		})
	}
}

// TestMalformedHeadIsNotForgotten guards against a malformed head that the next head hides: net/http
// returns the connection to its pool before it returns an answer without a body.
func TestMalformedHeadIsNotForgotten(t *testing.T) {
	g := NewWithT(t)
	node, peer := net.Pipe()
	c := &conn{Conn: node}
	for _, answer := range []string{malformedAnswers["status 000"], soundAnswer} {
		go func() { _, _ = io.WriteString(peer, answer) }()
		_, err := io.ReadFull(c, make([]byte, len(answer)))
		g.Expect(err).NotTo(HaveOccurred())
		c.answerEnded()
		g.Expect(c.headError()).To(MatchError(ErrMalformedHead))
	}
}

// TestAnswersOverTLS guards against encrypted bytes that are checked as a head.
func TestAnswersOverTLS(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "sound") }))
	t.Cleanup(server.Close)
	client := server.Client()
	client.Transport = New(client.Transport.(*http.Transport))
	body, err := get(client, server.URL)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("sound"))
}

// TestBytesAfterHeadAreNotChecked guards against a body that is taken for a part of the head.
func TestBytesAfterHeadAreNotChecked(t *testing.T) {
	g := NewWithT(t)
	var h headCheck
	h.check([]byte(soundAnswer + "\r\nno field\r\nHTTP/1.1 000\r\n"))
	h.check([]byte("\n\x00\n"))
	g.Expect(h.err).NotTo(HaveOccurred())
}

// FuzzHead searches for heads whose check depends on the pieces in which they are read, and for
// heads that pass it and that net/http reads as something else.
func FuzzHead(f *testing.F) {
	f.Add([]byte(soundAnswer))
	f.Add([]byte("HTTP/1.0 204\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\nLink: x\n\n" + soundAnswer))
	for _, answer := range malformedAnswers {
		f.Add([]byte(answer))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var whole, inPieces headCheck
		whole.check(b)
		for i := range b {
			inPieces.check(b[i : i+1])
		}
		if (whole.err == nil) != (inPieces.err == nil) || whole.next != inPieces.next {
			t.Fatalf("whole: %v, in pieces: %v", whole.err, inPieces.err)
		}
		if whole.err == nil && whole.next == partBody {
			checkAccepted(t, b)
		}
	})
}

// checkAccepted checks how net/http reads an answer whose head has passed.
func checkAccepted(t *testing.T, b []byte) {
	reader := bufio.NewReader(bytes.NewReader(b))
	for {
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			// It may refuse more than the check.
			return
		}
		if res.StatusCode < 100 || res.StatusCode == http.StatusSwitchingProtocols || res.ProtoMajor != 1 {
			t.Fatalf("accepted: %s %s", res.Proto, res.Status)
		}
		for name := range res.Header {
			if !httpguts.ValidHeaderFieldName(name) {
				t.Fatalf("accepted: field %q", name)
			}
		}
		if res.StatusCode >= 200 {
			return
		}
	}
}

// malformedAnswers are answers whose heads net/http accepts.
var malformedAnswers = map[string]string{
	"status 000":          strings.Replace(soundAnswer, "200 OK", "000 OK", 1),
	"status 000, no body": "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
	"switch of protocols": strings.Replace(soundAnswer, "200 OK", "101 Switching Protocols", 1),
	"blank before colon":  strings.Replace(soundAnswer, "Length:", "Length :", 1),
	"continued line":      strings.Replace(soundAnswer, "Content-Length", "X-Own: kept\r\n Content-Length", 1),
	"chunks of HTTP/1.0":  "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"version 2":           strings.Replace(soundAnswer, "HTTP/1.1", "HTTP/2.0", 1),
	"after early hints":   "HTTP/1.1 103 Early Hints\r\n\r\n" + strings.Replace(soundAnswer, "200 OK", "000 OK", 1),
}
