package dev_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/dev"
	"github.com/apricotgrade/apricotgrade/pkg/node"
)

func startSystem(t *testing.T) *dev.System {
	t.Helper()
	node.QuietLibraries()
	system, err := dev.New(t.Context(), dev.Options{
		Listen: "127.0.0.1:0", Admin: "127.0.0.1:0", Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	runDone := make(chan struct{})
	go func() { system.Run(ctx); close(runDone) }()
	t.Cleanup(func() { cancel(); <-runDone; system.Close() })
	readyCtx, cancelReady := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancelReady()
	if err := system.WaitUntilReady(readyCtx); err != nil {
		t.Fatal(err)
	}
	return system
}

var wordPattern = regexp.MustCompile(`'[^']*'|\S+`)

// runCurl sends the request of a curl command line and returns the response body.
func runCurl(line string) (string, error) {
	words := wordPattern.FindAllString(line, -1)
	for i := range words {
		words[i] = strings.Trim(words[i], "'")
	}
	if words[0] != "curl" {
		return "", errors.New("the line is not a curl command")
	}
	method, body, target, header := http.MethodGet, "", "", http.Header{}
	for i := 1; i < len(words); i++ {
		switch words[i] {
		case "-s", "-sN":
		case "-H":
			i++
			name, value, _ := strings.Cut(words[i], ": ")
			header.Set(name, value)
		case "-d":
			i++
			method, body = http.MethodPost, words[i]
		default:
			target = words[i]
		}
	}
	req, err := http.NewRequest(method, target, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Header = header
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return string(b), err
}

// TestPrintedCommandsWork guards against printed commands that do not work when
// pasted into a shell.
func TestPrintedCommandsWork(t *testing.T) {
	g := gomega.NewWithT(t)
	system := startSystem(t)
	var printed bytes.Buffer
	system.Print(&printed)
	wanted := []string{"data: [DONE]", `"order"`, `"preset":"ordinary"`}
	for i, line := range system.Commands() {
		g.Expect(printed.String()).To(gomega.ContainSubstring("\n  " + line + "\n"))
		out, err := runCurl(line)
		g.Expect(err).NotTo(gomega.HaveOccurred(), line)
		g.Expect(out).To(gomega.ContainSubstring(wanted[i]), line)
	}
}

// TestShutdownEndsNodes guards against nodes that keep running after a graceful
// shutdown of the development mode.
func TestShutdownEndsNodes(t *testing.T) {
	system := startSystem(t)
	system.Shutdown()
	deadline := time.After(20 * time.Second)
	for _, n := range system.Nodes {
		select {
		case <-n.Done():
		case <-deadline:
			t.Fatal("a node did not shut down")
		}
	}
}
