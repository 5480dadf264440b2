package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/memory"
)

const testBodyLimit = 256 << 10

// startBodyServer starts a server that answers each request with the size of its body, or
// refuses it.
func startBodyServer(t *testing.T, budget *memory.Budget, timeout time.Duration) (address string) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		held := budget.NewReservation()
		defer held.Release()
		body, refusal, err := readBody(w, r, testBodyLimit, timeout, held)
		switch {
		case err != nil:
			panic(http.ErrAbortHandler)
		case refusal != nil:
			refuseUnread(w, r, testBodyLimit, refusal, func(e *apierror.Error) { writeError(w, e) })
		default:
			_, _ = fmt.Fprint(w, r.URL.Path, " ", len(body))
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// TestRefusedBodyIsNotTakenForRequests guards against a request that is smuggled in the body
// of a refused one, and against callers that lose the refusal because they still send. The
// connection serves the next request if the whole body has arrived, and is closed if not.
func TestRefusedBodyIsNotTakenForRequests(t *testing.T) {
	smuggled := "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
	for _, arrives := range []bool{true, false} {
		g := NewWithT(t)
		conn, err := net.Dial("tcp", startBodyServer(t, memory.NewBudget(64<<10), 300*time.Millisecond))
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		body := strings.Repeat("x", 200<<10) + smuggled
		_, _ = fmt.Fprintf(conn, "POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", len(body))
		reader := bufio.NewReader(conn)
		res, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(res.StatusCode).To(Equal(http.StatusServiceUnavailable))
		g.Expect(res.Header.Get("Retry-After")).NotTo(BeEmpty())
		_, _ = io.Copy(io.Discard, res.Body)
		if !arrives {
			_, _ = io.WriteString(conn, body[:len(body)-len(smuggled)])
			time.Sleep(600 * time.Millisecond)
			_, _ = io.WriteString(conn, smuggled)
			_, err = http.ReadResponse(reader, nil)
			g.Expect(err).To(HaveOccurred(), "the rest of a body is taken for a request")
			continue
		}
		_, _ = io.WriteString(conn, body+"POST /next HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}")
		res, err = http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		answer, _ := io.ReadAll(res.Body)
		g.Expect(string(answer)).To(Equal("/next 2"))
	}
}

// TestBodyThatDoesNotArriveIsRefused guards against memory that a caller holds for ever by
// a body that it does not send.
func TestBodyThatDoesNotArriveIsRefused(t *testing.T) {
	g := NewWithT(t)
	budget := memory.NewBudget(1 << 20)
	conn, err := net.Dial("tcp", startBodyServer(t, budget, 200*time.Millisecond))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(conn, "POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\nsome")
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(res.Close).To(BeTrue())
	g.Eventually(budget.Used).Should(BeZero())
}

// FuzzReadAll guards against bodies that are changed, longer than the limit, or held in more
// memory than is reserved.
func FuzzReadAll(f *testing.F) {
	f.Add([]byte("body"), int64(4), int64(10), false)
	f.Add(bytes.Repeat([]byte("b"), 70<<10), int64(-1), int64(128<<10), true)
	f.Add(bytes.Repeat([]byte("b"), 5000), int64(-1), int64(4999), false)
	f.Add([]byte{}, int64(-1), int64(0), false)
	f.Fuzz(func(t *testing.T, content []byte, length, limit int64, slow bool) {
		const size = 1 << 20
		limit = min(max(limit, 0), size)
		if length >= 0 {
			length = int64(len(content))
		} else {
			length = -1
		}
		var source io.Reader = bytes.NewReader(content)
		if slow {
			source = iotest.HalfReader(source)
		}
		budget := memory.NewBudget(size)
		held := budget.NewReservation()
		body, err := readAll(source, length, limit, held, memory.BodyPurpose)
		switch {
		case err == nil && !bytes.Equal(body, content):
			t.Errorf("%d bytes read as %d other ones", len(content), len(body))
		case err == nil && int64(len(body)) > limit:
			t.Errorf("%d bytes read with a limit of %d", len(body), limit)
		case err == nil && int64(cap(body)) > budget.Used():
			t.Errorf("%d bytes held, %d reserved", cap(body), budget.Used())
		case err != nil && int64(len(content)) <= limit && limit <= size/4:
			t.Errorf("%d of %d bytes: %v", len(content), limit, err)
		}
		held.Release()
		if budget.Used() != 0 {
			t.Errorf("%d bytes are still reserved", budget.Used())
		}
	})
}
