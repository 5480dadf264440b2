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

func client(system *dev.System, nodes ...int) *operator.Client {
	var servers []string
	for _, i := range nodes {
		servers = append(servers, "http://"+system.Nodes[i].AdminAddress())
	}
	return operator.NewClient(servers, dev.OperatorKey)
}

// TestConcurrentChanges guards against two operators at two nodes who both
// believe that their change of the same version is in force, and against a
// loser who is not told what happened.
func TestConcurrentChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	system := start(t)
	base, err := client(system, 0).Declarations(t.Context())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	type result struct {
		reply operator.ChangeReply
		err   error
	}
	results := make(chan result, 2)
	for i, weight := range []string{"weight = 3", "weight = 5"} {
		go func() {
			text := strings.Replace(base.Text, "[account dev]\n", "[account dev]\n"+weight+"\n", 1)
			reply, err := client(system, i).Apply(t.Context(), text, base.Version)
			results <- result{reply, err}
		}()
	}
	var won, lost []result
	for range 2 {
		if r := <-results; r.err == nil {
			won = append(won, r)
		} else {
			lost = append(lost, r)
		}
	}
	g.Expect(won).To(gomega.HaveLen(1))
	var typed *apierror.Error
	g.Expect(errors.As(lost[0].err, &typed)).To(gomega.BeTrue())
	g.Expect(typed.Kind).To(gomega.Equal(apierror.KindConflict))
	g.Expect(typed.Outcome).To(gomega.Equal(apierror.NotRun))
	g.Expect(typed.Message).To(gomega.ContainSubstring("account dev"))
	for node := range 2 {
		status, err := client(system, node).WaitInForce(t.Context(), won[0].reply.Version)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(status.Accounts[0].Weight).To(gomega.BeElementOf(3, 5))
	}
}

// TestMetricsOfPeers guards against links that are not measured.
func TestMetricsOfPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	system := start(t)
	zero := regexp.MustCompile(`apricotgrade_peer_bytes_total\{direction="\w+"\} 0\n`)
	g.Eventually(func() string {
		res, err := http.Get("http://" + system.Nodes[0].AdminAddress() + "/metrics")
		if err != nil {
			return err.Error()
		}
		defer func() { _ = res.Body.Close() }()
		b, _ := io.ReadAll(res.Body)
		return string(b)
	}, 10*time.Second).ShouldNot(gomega.MatchRegexp(zero.String()))
}

// TestReadme guards against a tour whose commands do not work when pasted, or
// whose repeated order is executed twice.
func TestReadme(t *testing.T) {
	g := gomega.NewWithT(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "README.md"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	system := start(t)
	text := strings.ReplaceAll(string(page), dev.DefaultListen, system.Nodes[0].CallerAddress())
	var answers []string
	for line := range strings.SplitSeq(text, "\n") {
		if line = strings.TrimSpace(line); strings.HasPrefix(line, "curl ") {
			answer, err := paste(line)
			g.Expect(err).NotTo(gomega.HaveOccurred(), line)
			answers = append(answers, answer)
		}
	}
	g.Expect(answers).To(gomega.HaveLen(3))
	g.Expect(answers[0]).To(gomega.ContainSubstring("data: [DONE]"))
	g.Expect(answers[2]).To(gomega.Equal(answers[1]))
	g.Expect(system.Service.Executions("dev:order-1")).To(gomega.Equal(1))
}
