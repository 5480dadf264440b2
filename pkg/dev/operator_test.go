package dev_test

import (
	"errors"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/apierror"
	"github.com/apricotgrade/apricotgrade/pkg/dev"
	"github.com/apricotgrade/apricotgrade/pkg/operator"
)

func newClient(system *dev.System, nodes ...int) *operator.Client {
	var servers []string
	for _, i := range nodes {
		servers = append(servers, "http://"+system.Nodes[i].AdminAddress())
	}
	return operator.NewClient(servers, dev.OperatorKey)
}

// TestOneOfConcurrentChangesWins guards against two nodes that both accept a change
// of the same version, and against a rejected operator who does not learn what
// changed: the conflict must name the section of the accepted change.
func TestOneOfConcurrentChangesWins(t *testing.T) {
	g := gomega.NewWithT(t)
	system := startSystem(t)
	base, err := newClient(system, 0).Declarations(t.Context())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	type result struct {
		reply operator.ChangeReply
		err   error
	}
	results := make(chan result, 2)
	for i, weight := range []string{"weight = 3", "weight = 5"} {
		go func() {
			text := strings.Replace(base.Text, "[account dev]\n", "[account dev]\n"+weight+"\n", 1)
			reply, err := newClient(system, i).Apply(t.Context(), text, base.Version)
			results <- result{reply, err}
		}()
	}
	var accepted, rejected []result
	for range 2 {
		if r := <-results; r.err == nil {
			accepted = append(accepted, r)
		} else {
			rejected = append(rejected, r)
		}
	}
	g.Expect(accepted).To(gomega.HaveLen(1))
	var apiErr *apierror.Error
	g.Expect(errors.As(rejected[0].err, &apiErr)).To(gomega.BeTrue())
	g.Expect(apiErr.Kind).To(gomega.Equal(apierror.KindConflict))
	g.Expect(apiErr.Outcome).To(gomega.Equal(apierror.NotRun))
	g.Expect(apiErr.Message).To(gomega.ContainSubstring("account dev"))
	for node := range 2 {
		status, err := newClient(system, node).WaitInForce(t.Context(), accepted[0].reply.Version)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(status.Accounts[0].Weight).To(gomega.BeElementOf(3, 5))
	}
}

// TestPeerTrafficIsMeasured guards against links between nodes whose traffic is
// missing from the metrics.
func TestPeerTrafficIsMeasured(t *testing.T) {
	g := gomega.NewWithT(t)
	system := startSystem(t)
	zeroPattern := regexp.MustCompile(`apricotgrade_peer_bytes_total\{direction="\w+"\} 0\n`)
	g.Eventually(func() string {
		res, err := http.Get("http://" + system.Nodes[0].AdminAddress() + "/metrics")
		if err != nil {
			return err.Error()
		}
		defer func() { _ = res.Body.Close() }()
		b, _ := io.ReadAll(res.Body)
		return string(b)
	}, 10*time.Second).ShouldNot(gomega.MatchRegexp(zeroPattern.String()))
}

// TestReadmeCommandsWork guards against commands in README.md that do not work when
// pasted into a shell, and against a repeated order that is executed twice.
func TestReadmeCommandsWork(t *testing.T) {
	g := gomega.NewWithT(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "README.md"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	system := startSystem(t)
	text := strings.ReplaceAll(string(page), dev.DefaultListen, system.Nodes[0].CallerAddress())
	var answers []string
	for line := range strings.SplitSeq(text, "\n") {
		if line = strings.TrimSpace(line); strings.HasPrefix(line, "curl ") {
			answer, err := runCurl(line)
			g.Expect(err).NotTo(gomega.HaveOccurred(), line)
			answers = append(answers, answer)
		}
	}
	g.Expect(answers).To(gomega.HaveLen(3))
	g.Expect(answers[0]).To(gomega.ContainSubstring("data: [DONE]"))
	g.Expect(answers[2]).To(gomega.Equal(answers[1]))
	g.Expect(system.Service.Executions("dev:order-1")).To(gomega.Equal(1))
}
