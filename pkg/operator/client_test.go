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

// downURL returns the URL of a port on which nothing listens.
func downURL(t *testing.T) string {
	t.Helper()
	address, err := freeport.Address()
	if err != nil {
		t.Fatal(err)
	}
	return "http://" + address
}

// TestNextServer guards against a client that gives up when one entry host is
// down.
func TestNextServer(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFake(t)
	client := operator.NewClient([]string{downURL(t), serve(t, f, memory.New()).URL}, "key-a")
	_, err := client.Status(t.Context())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	reply, err := client.Preset(t.Context(), "peak", 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(reply).To(gomega.Equal(operator.ChangeReply{Version: 8, Missing: []string{"n2"}}))
}

// losing passes requests on to a server, and cuts the connection of a change
// before its answer.
func losing(t *testing.T, before bool, handler http.Handler) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			handler.ServeHTTP(w, r)
			return
		}
		if !before {
			handler.ServeHTTP(httptest.NewRecorder(), r)
		}
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(server.Close)
	return server
}

// TestLostAnswer guards against a change that is sent twice after its answer
// was lost: it is found by reading back.
func TestLostAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFake(t)
	server := serve(t, f, memory.New())
	lossy := losing(t, false, forward(t, server.URL))
	client := operator.NewClient([]string{lossy.URL, server.URL}, "key-a")
	for i, call := range []func() (operator.ChangeReply, error){
		func() (operator.ChangeReply, error) { return client.Preset(t.Context(), "peak", 0) },
		func() (operator.ChangeReply, error) { return client.OutDataCentre(t.Context(), "south", 0) },
		func() (operator.ChangeReply, error) { return client.InDataCentre(t.Context(), "south", 0) },
		func() (operator.ChangeReply, error) { return client.Forget(t.Context(), "n2", 0) },
		func() (operator.ChangeReply, error) { return client.Apply(t.Context(), declared+"[preset new]\n", 0) },
	} {
		reply, err := call()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(reply.Version).To(gomega.Equal(uint64(8 + i)))
		g.Expect(f.sent()).To(gomega.HaveLen(i + 1))
	}
}

// TestLostChange guards against a client that sends a change again, or claims
// that it is in force, when nothing shows that it took effect.
func TestLostChange(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFake(t)
	server := serve(t, f, memory.New())
	lossy := losing(t, true, forward(t, server.URL))
	_, err := operator.NewClient([]string{lossy.URL, server.URL}, "key-a").Preset(t.Context(), "peak", 0)
	var typed *apierror.Error
	g.Expect(errorsAs(err, &typed)).To(gomega.BeTrue())
	g.Expect(typed.Outcome).To(gomega.Equal(apierror.Unknown))
	g.Expect(f.sent()).To(gomega.BeEmpty())
}

// TestConflict guards against a refused change that is tried elsewhere.
func TestConflict(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFake(t)
	f.refusal = apierror.New(apierror.KindConflict, "changed", "plan again", apierror.NotRun)
	server := serve(t, f, memory.New())
	_, err := operator.NewClient([]string{server.URL, server.URL}, "key-a").Preset(t.Context(), "peak", 3)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("plan again")))
	g.Expect(f.sent()).To(gomega.HaveLen(1))
}

// TestWaitInForce guards against a wait that ends before the version is in
// force everywhere.
func TestWaitInForce(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFake(t)
	client := operator.NewClient([]string{serve(t, f, memory.New()).URL}, "key-a")
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

func forward(t *testing.T, base string) http.Handler {
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
