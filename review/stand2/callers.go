package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const apiKey = "n2ctnfzs989anu6wsjnb"

// callers sends requests through the nodes of an installation.
type callers struct {
	inst *installation
	next atomic.Int64

	mu      sync.Mutex
	results []result
}

// result is the end of a request with its retries.
type result struct {
	kind   string
	sentAt time.Time
	served bool
	last   string
	// first is the id of the first attempt.
	first string
}

// send sends a request, and once more as the pages allow clients to.
func (c *callers) send(kind, modelName string) {
	r := result{kind: kind, sentAt: time.Now()}
	deadline := r.sentAt.Add(6 * time.Second)
	for try := 0; try < 2 && !r.served; try++ {
		var retryAfter time.Duration
		var promised bool
		id := fmt.Sprintf("a%06d", c.next.Add(1))
		if try == 0 {
			r.first = id
		}
		r.served, r.last, retryAfter, promised = c.attempt(id, kind, modelName, time.Until(deadline))
		if !r.served && (kind == "order" && !promised || retryAfter > time.Until(deadline)/3) {
			break
		}
		time.Sleep(retryAfter)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

func (c *callers) attempt(id, kind, modelName string, timeout time.Duration) (served bool, last string, retryAfter time.Duration, promised bool) {
	n := c.inst.chooseNode()
	method, path, body := http.MethodPost, "/"+strings.TrimPrefix(kind, "poisoned ")+"/"+id, "body of "+id
	switch kind {
	case "lookup":
		method, body = http.MethodGet, ""
	case "deadly draft":
		path, body = "/draft/deadly", deadlyBody
	}
	req, err := http.NewRequest(method, "http://"+n.frontend+path, strings.NewReader(body))
	if err != nil {
		return false, err.Error(), 0, false
	}
	req.GetBody = nil
	req.Host = "shop.example"
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Apricotgrade-Attempt-Id", id)
	req.Header.Set("Apricotgrade-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	if strings.HasSuffix(kind, "draft") {
		parts := "5c1e07a2:40," + fmt.Sprintf("%08x", rand.Uint32()) + ":674"
		switch kind {
		case "poisoned draft":
			parts = "5c1e07a2:40," + poisonPart + ":20," + fmt.Sprintf("%08x", rand.Uint32()) + ":654"
		case "deadly draft":
			parts = "5c1e07a2:40,0dead0ff:674"
		}
		req.Header.Set("Apricotgrade-Model", modelName)
		req.Header.Set("Apricotgrade-Token-Usage", "714,80")
		req.Header.Set("Apricotgrade-Prefix-Hash", parts)
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		c.inst.rec.logf("caller: %s %s at %s: no answer: %v", kind, id, n.name, err)
		return false, "no answer", 100 * time.Millisecond, false
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	complete := err == nil && res.StatusCode == http.StatusOK && res.Header.Get("Apricotgrade-Replica-Signature") != "" &&
		(kind != "draft" || strings.Count(string(b), "\n\n") == streamEvents)
	c.inst.rec.logf("caller: %s %s at %s: %d complete=%v retry-after=%s", kind, id, n.name, res.StatusCode, complete, res.Header.Get("Retry-After"))
	if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		retryAfter = time.Duration(s * float64(time.Second))
	}
	return complete, res.Status, retryAfter, res.StatusCode == 503 || res.StatusCode == 429
}

// sendFor sends requests at a rate for a time, and waits for their ends. One in eight goes to
// the plain service, as on the sheets.
func (c *callers) sendFor(d time.Duration, perSecond float64, modelName string) {
	c.sendMix(d, map[string]float64{"draft": perSecond * 7 / 8, "order": perSecond / 16, "lookup": perSecond / 16}, modelName)
}

// sendMix sends requests of each kind at a rate per second for a time, and waits for their ends.
func (c *callers) sendMix(d time.Duration, rates map[string]float64, modelName string) {
	var senders sync.WaitGroup
	end := time.Now().Add(d)
	for kind, rate := range rates {
		senders.Go(func() {
			var open sync.WaitGroup
			for next := time.Now(); next.Before(end); next = next.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))) {
				time.Sleep(time.Until(next))
				open.Go(func() { c.send(kind, modelName) })
			}
			open.Wait()
		})
	}
	senders.Wait()
}

// begunAtFirst returns how many of the requests of a kind that were sent within a period began
// to run at their first attempt.
func (c *callers) begunAtFirst(kind string, from, to time.Time) (begun, sent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inst.fleet.mu.Lock()
	defer c.inst.fleet.mu.Unlock()
	for _, r := range c.results {
		if r.kind != kind || r.sentAt.Before(from) || r.sentAt.After(to) {
			continue
		}
		sent++
		if c.inst.fleet.begun[r.first] {
			begun++
		}
	}
	return begun, sent
}

// served returns how many of the requests that were sent within a period were served.
func (c *callers) served(from, to time.Time) (served, sent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.results {
		if r.sentAt.Before(from) || r.sentAt.After(to) {
			continue
		}
		sent++
		if r.served {
			served++
		}
	}
	return served, sent
}
