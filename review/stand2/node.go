package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// node is an entry node in its own process, started as the deploy file says.
type node struct {
	name, zone                    string
	frontend, ready, peers, admin string
	dir, storeAddress             string
	rec                           *recorder

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	misses int
}

// newNode chooses the addresses of a node. Its IP address is its own, so that no outgoing
// connection takes one of its ports while it is down.
func newNode(rec *recorder, dir, name, zone, storeAddress string, number int) (*node, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 100+os.Getpid()/200%100, 1+os.Getpid()%200, 10+number)
	n := &node{rec: rec, dir: dir, name: name, zone: zone, storeAddress: storeAddress}
	for _, address := range []*string{&n.frontend, &n.ready, &n.peers, &n.admin} {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		*address = listener.Addr().String()
		defer listener.Close()
	}
	return n, nil
}

// start starts the process with the settings of deploy/apricotgraded.ini.
func (n *node) start(first bool) error {
	settings := fmt.Sprintf(`[node]
id = %s
data_centre = %s
listen = %s
ready_listen = %s
ready_path = /apricotgrade/ready
peer_listen = %s
admin_listen = %s
peer_key = %s
platform = http://%s
configuration = platform
first_start = %v
drain_notice = 2500ms
retry_ratio = 0.2
retry_base = 130
`, n.name, n.zone, n.frontend, n.ready, n.peers, n.admin, n.storeAddress, n.storeAddress, first)
	path := filepath.Join(n.dir, n.name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(n.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logs.Close()
	cmd := exec.Command("target/apricotgraded", "-memory-mb", "284", "-processor-share", "0.4")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "APRICOTGRADE_SETTINGS=" + path}
	cmd.Stdout, cmd.Stderr = logs, logs
	// The node ends with this process, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(s)
	}
}

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
}

// checkReady asks the node whether it is ready, as the platform does once a second.
func (n *node) checkReady() {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + n.ready + "/apricotgrade/ready")
	if err == nil {
		_ = res.Body.Close()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.misses++
	if err == nil && res.StatusCode == http.StatusOK {
		n.misses = 0
	}
}

// inRotation reports whether the platform gives the node new connections.
func (n *node) inRotation() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.misses < 2
}
