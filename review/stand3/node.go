package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// node is an entry node: the program of the deploy file in its own process.
type node struct {
	id, frontend, ready, settings string
	log                           *record
	dir                           string
	cmd                           *exec.Cmd
	exited                        chan struct{}
	// held are listeners that keep the addresses free until the first start.
	held []net.Listener
}

// newNode prepares a node whose settings are those of deploy/apricotgraded.ini.
func newNode(dir, id, zone, storeAddress string, log *record) (*node, error) {
	n := &node{id: id, dir: dir, log: log}
	var a [4]string
	for i := range a {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		n.held = append(n.held, l)
		a[i] = l.Addr().String()
	}
	n.frontend, n.ready = a[0], a[1]
	n.settings = fmt.Sprintf(`[node]
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
first_start = FIRST
drain_notice = 2500ms
retry_ratio = 0.2
retry_base = 130
`, id, zone, a[0], a[1], a[2], a[3], "review", storeAddress)
	return n, nil
}

// start starts the process with the command of the deploy file.
func (n *node) start(first bool) error {
	path := filepath.Join(n.dir, n.id+".ini")
	if err := os.WriteFile(path, []byte(strings.Replace(n.settings, "FIRST", fmt.Sprint(first), 1)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(n.dir, n.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command("target/apricotgraded", "-memory-mb", "284", "-processor-share", "0.4")
	n.cmd.Env = append(os.Environ(), "APRICOTGRADE_SETTINGS="+path)
	n.cmd.Stdout, n.cmd.Stderr = out, out
	for _, l := range n.held {
		_ = l.Close()
	}
	n.held = nil
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.log.add("node %s starts", n.id)
	exited := make(chan struct{})
	n.exited = exited
	cmd := n.cmd
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.log.add("node %s gets %v", n.id, s)
	_ = n.cmd.Process.Signal(s)
}

// kill ends the process.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.exited
}

func (n *node) isReady() bool {
	c := &http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + n.ready + "/apricotgrade/ready")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
