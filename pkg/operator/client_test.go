package operator_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/internal/freeport"
	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/core/state"
	"github.com/apricotgrade/apricotgrade/pkg/operator"
	"github.com/apricotgrade/apricotgrade/pkg/store/memory"
)

func errorsAs(err error, target any) bool { return errors.As(err, target) }

// unreachableURL returns the URL of a port that has no listener.
func unreachableURL(t *testing.T) string {
	t.Helper()
	address, err := freeport.Address()
	if err != nil {
		t.Fatal(err)
	}
	return "http://" + address
}

// TestClientTriesNextServer guards against a client that fails when the first entry
// host is down although another one answers.
func TestClientTriesNextServer(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeDaemon(t)
	client := operator.NewClient([]string{unreachableURL(t), startServer(t, f, memory.New()).URL}, "key-a")
	_, err := client.Status(t.Context())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	reply, err := client.Preset(t.Context(), "peak", 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(reply).To(gomega.Equal(operator.ChangeReply{Version: 8, UnconfirmedNodes: []string{"n2"}}))
}

// dropChangeAnswers forwards requests to handler and closes the connection of each
// change without an answer. With beforeHandling, the change does not reach handler.
func dropChangeAnswers(t *testing.T, beforeHandling bool, handler http.Handler) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			handler.ServeHTTP(w, r)
			return
		}
		if !beforeHandling {
			handler.ServeHTTP(httptest.NewRecorder(), r)
		}
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	return server
}

// TestClientConfirmsChangeAfterLostAnswer guards against a client that sends a change
// twice when the connection breaks after the server has applied it. The client must
// find the change by reading the state back.
func TestClientConfirmsChangeAfterLostAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeDaemon(t)
	server := startServer(t, f, memory.New())
	lossy := dropChangeAnswers(t, false, proxyTo(t, server.URL))
	client := operator.NewClient([]string{lossy.URL, server.URL}, "key-a")
	for i, call := range []func() (operator.ChangeReply, error){
		func() (operator.ChangeReply, error) { return client.Preset(t.Context(), "peak", 0) },
		func() (operator.ChangeReply, error) { return client.DisableDataCentre(t.Context(), "south", 0) },
		func() (operator.ChangeReply, error) { return client.EnableDataCentre(t.Context(), "south", 0) },
		func() (operator.ChangeReply, error) { return client.ForgetNode(t.Context(), "n2", 0) },
		func() (operator.ChangeReply, error) {
			return client.Apply(t.Context(), testDeclarations+"[preset new]\n", 0)
		},
	} {
		reply, err := call()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(reply.Version).To(gomega.Equal(uint64(8 + i)))
		g.Expect(f.receivedCommands()).To(gomega.HaveLen(i + 1))
	}
}

// TestClientReportsUnknownOutcomeOfLostChange guards against a client that resends a
// change or reports success when the connection breaks and the state does not show
// the change.
func TestClientReportsUnknownOutcomeOfLostChange(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeDaemon(t)
	server := startServer(t, f, memory.New())
	lossy := dropChangeAnswers(t, true, proxyTo(t, server.URL))
	_, err := operator.NewClient([]string{lossy.URL, server.URL}, "key-a").Preset(t.Context(), "peak", 0)
	var apiErr *apierror.Error
	g.Expect(errorsAs(err, &apiErr)).To(gomega.BeTrue())
	g.Expect(apiErr.Outcome).To(gomega.Equal(apierror.Unknown))
	g.Expect(f.receivedCommands()).To(gomega.BeEmpty())
}

// TestClientDoesNotRetryRefusedChange guards against a client that sends a change to
// the next server after a server has refused it.
func TestClientDoesNotRetryRefusedChange(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeDaemon(t)
	f.refusal = apierror.New(apierror.KindConflict, "changed", "plan again", apierror.NotRun)
	server := startServer(t, f, memory.New())
	_, err := operator.NewClient([]string{server.URL, server.URL}, "key-a").Preset(t.Context(), "peak", 3)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("plan again")))
	g.Expect(f.receivedCommands()).To(gomega.HaveLen(1))
}

// TestWaitInForceUntilAccepted guards against a wait that ends when a version is
// committed but not yet in force everywhere.
func TestWaitInForceUntilAccepted(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFakeDaemon(t)
	client := operator.NewClient([]string{startServer(t, f, memory.New()).URL}, "key-a")
	go func() {
		time.Sleep(300 * time.Millisecond)
		f.View(func(t *state.Tables) { t.Config.AcceptedVersion = 8 })
	}()
	start := time.Now()
	status, err := client.WaitInForce(t.Context(), 8)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(status.Accepted).To(gomega.Equal(uint64(8)))
	g.Expect(time.Since(start)).To(gomega.BeNumerically(">=", 300*time.Millisecond))
}

// proxyTo returns a handler that forwards requests to the server at base.
func proxyTo(t *testing.T, base string) http.Handler {
	t.Helper()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, err := http.NewRequest(r.Method, base+r.URL.RequestURI(), r.Body)
		if err != nil {
			t.Error(err)
			return
		}
		req.Header = r.Header
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = res.Body.Close() }()
		w.WriteHeader(res.StatusCode)
		_, _ = io.Copy(w, res.Body)
	})
}
