package logging_test

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/apricotgrade/apricotgrade/pkg/logging"
)

// TestWriteDoesNotBlockOnStalledReader guards against a node that stops because
// the reader of its log does not read. Lines must be dropped and counted instead.
func TestWriteDoesNotBlockOnStalledReader(t *testing.T) {
	g := gomega.NewWithT(t)
	r, w := io.Pipe()
	defer func() { _ = r.Close() }()
	writer := logging.NewWriter(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10_000 {
			_, _ = writer.Write([]byte("line\n"))
		}
	}()
	g.Eventually(done, 5*time.Second).Should(gomega.BeClosed())
	// 2,048 lines are queued, and about 16 KiB are in the blocked call.
	g.Expect(writer.Dropped()).To(gomega.BeNumerically(">", 4000))
}

type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// TestLinesPerMessageAreBounded guards against a log whose size grows with the
// load. A message is limited to 60 lines per second, and another message has a
// limit of its own.
func TestLinesPerMessageAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	out := &buffer{}
	writer := logging.NewWriter(out)
	log := slog.New(logging.NewHandler(writer, slog.LevelInfo))
	start := time.Now()
	for range 5000 {
		log.Info("request refused", "event", 1300)
	}
	log.Info("node ready", "event", 1401)
	seconds := int(time.Since(start).Seconds()) + 2
	writer.Close(time.Second)
	g.Expect(strings.Count(out.b.String(), "request refused")).To(gomega.BeNumerically("<=", 60*seconds))
	g.Expect(out.b.String()).To(gomega.ContainSubstring("node ready"))
}
