package main

import (
	"fmt"
	"net"
	"net/http"
	"time"
)

// startPool starts the replicas of the pool, a domain in each of the first zones, and three of
// the desk.
func (d *deployment) startPool(domains, size int) error {
	for i := range domains {
		for j := range size {
			if _, err := d.fleet.start(fmt.Sprintf("i-%d%02d", i+1, j+1), "pool", zones[i%len(zones)], fmt.Sprintf("domain-%d", i+1)); err != nil {
				return err
			}
		}
	}
	for i, zone := range zones {
		if _, err := d.fleet.start(fmt.Sprintf("d-%d", i+1), "desk", zone, ""); err != nil {
			return err
		}
	}
	return nil
}

// begin starts everything and waits until groups serve.
func (d *deployment) begin(domains, size, heads int, models ...model) error {
	d.fleet = newFleet(d.store, d.log, models...)
	d.writeConfig(7, models)
	if err := d.startPool(domains, size); err != nil {
		return err
	}
	if err := d.startNodes(true); err != nil {
		return err
	}
	if err := waitFor("ready nodes", 15*time.Second, d.allReady); err != nil {
		return err
	}
	return waitFor("open groups", 30*time.Second, func() bool { return len(d.fleet.openHeads()) >= heads })
}

// copiedEntry plays one entry of another writer: a copy of the entry of a head under another
// key, with fields missing.
func copiedEntry(d *deployment) error {
	models := []model{{"m0", 4, 16 * time.Second, 1600 * time.Millisecond}}
	if err := d.begin(3, 8, 6, models...); err != nil {
		return err
	}
	c := d.startCallers("c", "/draft/", "m0", 40*time.Millisecond)
	time.Sleep(6 * time.Second)
	head := d.fleet.openHeads()[0]
	if d.trial {
		d.fleet.mu.Lock()
		e := head.entry()
		d.fleet.mu.Unlock()
		for _, field := range []string{"version", "slots", "cold_remaining_ms", "sequence", "zone"} {
			delete(e, field)
		}
		d.store.set("servers", "x-"+head.id, e)
		d.log.add("another writer writes the entry x-%s: %v", head.id, e)
		time.AfterFunc(expiry, func() { d.store.remove("servers", "x-"+head.id) })
	}
	time.Sleep(15 * time.Second)
	c.stop()
	served, sent := c.served(time.Time{}, time.Now())
	d.log.add("%d of %d requests served", served, sent)
	return nil
}

// powerTime is how long the machines of all nodes are without power: the site file has 3.5 s.
const powerTime = 3500 * time.Millisecond

// lostHeads plays a loss of power of all nodes in which the heads of both groups are lost for
// good: 2 of 18 hosts.
func lostHeads(d *deployment) error {
	models := []model{{"m0", 8, 16 * time.Second, 1600 * time.Millisecond}}
	if err := d.begin(2, 9, 2, models...); err != nil {
		return err
	}
	c := d.startCallers("c", "/draft/", "m0", 100*time.Millisecond)
	time.Sleep(8 * time.Second)
	before := time.Now()
	served, sent := c.served(time.Time{}, before.Add(-2*time.Second))
	d.log.add("before: %d of %d requests served", served, sent)
	if sent == 0 || served*4 < sent {
		return fmt.Errorf("%d of %d requests served before", served, sent)
	}
	heads := d.fleet.openHeads()
	if d.trial || d.nodesOnly {
		for _, n := range d.nodes {
			n.kill()
		}
	}
	if d.trial {
		for _, h := range heads {
			h.kill()
		}
	}
	time.Sleep(powerTime)
	if d.trial || d.nodesOnly {
		if err := d.startNodes(false); err != nil {
			return err
		}
	}
	back := time.Now()
	time.Sleep(40 * time.Second)
	end := time.Now()
	c.stop()
	served, sent = c.served(back.Add(12*time.Second), end.Add(-2*time.Second))
	d.log.add("later than 12 s after the nodes are back: %d of %d requests served", served, sent)
	if served*4 < sent {
		d.log.breakRule("RECOVER", "%d of %d requests served", served, sent)
	}
	return nil
}

// partialEntry plays one entry of another writer with an address and without most fields.
func partialEntry(d *deployment) error {
	models := []model{{"m0", 4, 16 * time.Second, 1600 * time.Millisecond}}
	if err := d.begin(2, 8, 2, models...); err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Apricotgrade-Attempt-Id")
		d.log.add("a server that is no replica gets %s %s %s", r.Method, r.URL.Path, id)
		http.NotFound(w, r)
	})}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	c := d.startCallers("c", "/order/", "", 50*time.Millisecond)
	time.Sleep(4 * time.Second)
	if d.trial {
		e := map[string]any{"service": "desk", "address": l.Addr().String(), "zone": zones[0], "slots": 26, "state": "ready"}
		for range 10 {
			d.store.set("servers", "agent-1", e)
			time.Sleep(time.Second)
		}
		d.store.remove("servers", "agent-1")
	} else {
		time.Sleep(10 * time.Second)
	}
	c.stop()
	denied := 0
	for _, a := range c.answers {
		if a.status/100 == 4 && !a.signed && a.status != 408 && a.status != 421 && a.status != 429 {
			denied++
		}
	}
	d.log.add("%d of %d requests ended with a 4xx that no replica gave", denied, len(c.answers))
	if denied > 5+len(c.answers)/500 {
		d.log.breakRule("DENIED", "%d of %d requests", denied, len(c.answers))
	}
	return nil
}
