package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// answer is what a client got.
type answer struct {
	id       string
	sent     time.Time
	status   int
	signed   bool
	complete bool
}

// callers send requests at a steady rate, one client after another at each ready node.
type callers struct {
	d      *deployment
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu      sync.Mutex
	answers []answer
}

// startCallers sends requests to a path each interval. The model is empty for the desk.
func (d *deployment) startCallers(name, prefix, model string, interval time.Duration) *callers {
	ctx, cancel := context.WithCancel(context.Background())
	c := &callers{d: d, cancel: cancel}
	c.wait.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			n := d.nodes[i%len(d.nodes)]
			id := fmt.Sprintf("%s%08x", name, i)
			c.wait.Go(func() { c.send(n, id, prefix, model) })
			time.Sleep(interval)
		}
	})
	return c
}

func (c *callers) stop() {
	c.cancel()
	c.wait.Wait()
}

func (c *callers) send(n *node, id, prefix, model string) {
	deadline := 1500 * time.Millisecond
	if model != "" {
		deadline = 8 * time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.frontend+prefix+"2f", strings.NewReader("body of "+id))
	if err != nil {
		panic(err)
	}
	req.GetBody = nil
	req.Host = "shop.example"
	req.Header.Set("Authorization", "Bearer key-1")
	req.Header.Set("Apricotgrade-Attempt-Id", id)
	req.Header.Set("Apricotgrade-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if model != "" {
		req.Header.Set("Apricotgrade-Model", model)
		req.Header.Set("Apricotgrade-Token-Usage", "200,60")
		req.Header.Set("Apricotgrade-Prefix-Hash", fmt.Sprintf("5c1e07a2:40,%s:160", id[len(id)-8:]))
	}
	a := answer{id: id, sent: time.Now()}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	if res, err := client.Do(req); err == nil {
		_, err := io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		a.status, a.signed, a.complete = res.StatusCode, res.Header.Get("Apricotgrade-Replica-Signature") != "", err == nil
	}
	c.d.log.add("request %s to %s: status %d, signed %v, complete %v, after %v", id, n.id, a.status, a.signed, a.complete, time.Since(a.sent).Round(time.Millisecond))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
}

// served returns how many of the requests sent in a span were served, and how many were sent.
func (c *callers) served(from, to time.Time) (served, sent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.answers {
		if a.sent.Before(from) || a.sent.After(to) {
			continue
		}
		sent++
		if a.status/100 == 2 && a.signed && a.complete {
			served++
		}
	}
	return served, sent
}
