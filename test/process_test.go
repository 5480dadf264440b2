package test

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/apricotgrade/apricotgrade/internal/freeport"
)

// installation is a set of processes with their addresses and settings.
type installation struct {
	t         *testing.T
	dir       string
	addresses map[string]string
}

func newInstallation(t *testing.T) *installation {
	t.Helper()
	return &installation{t: t, dir: t.TempDir(), addresses: map[string]string{}}
}

// address returns the address with a name. It takes a free port at first.
func (in *installation) address(name string) string {
	in.t.Helper()
	if a, ok := in.addresses[name]; ok {
		return a
	}
	a, err := freeport.Address()
	if err != nil {
		in.t.Fatal(err)
	}
	in.addresses[name] = a
	return a
}

// write writes a file in which <NAME> stands for the address with that name.
func (in *installation) write(name, content string) string {
	in.t.Helper()
	for strings.Contains(content, "<") {
		before, rest, _ := strings.Cut(content, "<")
		id, after, _ := strings.Cut(rest, ">")
		content = before + in.address(id) + after
	}
	path := filepath.Join(in.dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		in.t.Fatal(err)
	}
	return path
}

// process is a running program of this test binary.
type process struct {
	cmd    *exec.Cmd
	output *lockedBuffer
	ended  chan struct{}
	err    error
}

// start runs a program until the test ends.
func (in *installation) start(program string, args ...string) *process {
	in.t.Helper()
	p := &process{cmd: in.command(program, args...), output: &lockedBuffer{}, ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	if err := p.cmd.Start(); err != nil {
		in.t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.ended)
	}()
	in.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
		if in.t.Failed() {
			in.t.Logf("%s %s:\n%s", program, strings.Join(args, " "), p.output)
		}
	})
	return p
}

func (in *installation) command(program string, args ...string) *exec.Cmd {
	in.t.Helper()
	self, err := os.Executable()
	if err != nil {
		in.t.Fatal(err)
	}
	cmd := exec.Command(self, args...)
	cmd.Env = append(os.Environ(), programEnv+"="+program, "APRICOTGRADE_KEY=operator-key")
	cmd.Dir = in.dir
	return cmd
}

// operate runs the operator command line and returns its output and exit code.
func (in *installation) operate(args ...string) (output string, code int) {
	in.t.Helper()
	out, err := in.command(programCommand, args...).CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		in.t.Fatal(err)
	}
	if exit != nil {
		code = exit.ExitCode()
	}
	return string(out), code
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// wait returns the exit code, or -1 when the process does not end in time.
func (p *process) wait(timeout time.Duration) int {
	select {
	case <-p.ended:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(timeout):
		return -1
	}
}

// eventually waits until a condition holds. The condition says what is missing.
func eventually(t *testing.T, timeout time.Duration, missing func() string) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for {
		m := missing()
		if m == "" {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("after %s: %s", timeout, m)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// lockedBuffer is a buffer that a process writes while the test reads.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}
