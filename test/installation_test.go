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

// installation is a set of processes with their addresses and settings files.
type installation struct {
	t         *testing.T
	dir       string
	addresses map[string]string
}

func newInstallation(t *testing.T) *installation {
	t.Helper()
	return &installation{t: t, dir: t.TempDir(), addresses: map[string]string{}}
}

// address returns the address with a name. It chooses a free port at the first
// call with this name.
func (inst *installation) address(name string) string {
	inst.t.Helper()
	if address, ok := inst.addresses[name]; ok {
		return address
	}
	address, err := freeport.Address()
	if err != nil {
		inst.t.Fatal(err)
	}
	inst.addresses[name] = address
	return address
}

// writeFile writes a file and returns its path. It replaces each <NAME> by the
// address with that name.
func (inst *installation) writeFile(name, content string) string {
	inst.t.Helper()
	for strings.Contains(content, "<") {
		before, remaining, _ := strings.Cut(content, "<")
		addressName, after, _ := strings.Cut(remaining, ">")
		content = before + inst.address(addressName) + after
	}
	path := filepath.Join(inst.dir, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		inst.t.Fatal(err)
	}
	return path
}

// process is a running process of this test binary.
type process struct {
	cmd    *exec.Cmd
	output *lockedBuffer
	exited chan struct{}
	err    error
}

// start starts a program and kills it when the test ends.
func (inst *installation) start(program string, args ...string) *process {
	inst.t.Helper()
	p := &process{cmd: inst.newCommand(program, args...), output: &lockedBuffer{}, exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	if err := p.cmd.Start(); err != nil {
		inst.t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	inst.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		if inst.t.Failed() {
			inst.t.Logf("%s %s:\n%s", program, strings.Join(args, " "), p.output)
		}
	})
	return p
}

// newCommand returns the command that runs a program of this test binary with the
// operator's key.
func (inst *installation) newCommand(program string, args ...string) *exec.Cmd {
	inst.t.Helper()
	executable, err := os.Executable()
	if err != nil {
		inst.t.Fatal(err)
	}
	cmd := exec.Command(executable, args...)
	cmd.Env = append(os.Environ(), programEnv+"="+program, "APRICOTGRADE_KEY=operator-key")
	cmd.Dir = inst.dir
	return cmd
}

// runOperator runs the operator command line and returns its output and exit
// code.
func (inst *installation) runOperator(args ...string) (output string, code int) {
	inst.t.Helper()
	out, err := inst.newCommand(programCommand, args...).CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		inst.t.Fatal(err)
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

// waitForExit returns the exit code, or -1 when the process does not exit in time.
func (p *process) waitForExit(timeout time.Duration) int {
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode()
	case <-time.After(timeout):
		return -1
	}
}

// eventually repeats a check until it returns an empty string. It fails the test
// with the last problem that the check returned when the timeout has passed.
func eventually(t *testing.T, timeout time.Duration, check func() string) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for {
		problem := check()
		if problem == "" {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("after %s: %s", timeout, problem)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// lockedBuffer is a buffer that a process can write to while the test reads it.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}
