package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// sortRows sorts rows by key.
func sortRows(rows []row) {
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
}

// Times of the stand-ins, which are those of a small deployment.
const (
	heartbeat   = 1200 * time.Millisecond
	expiry      = 3 * heartbeat
	rejoinTime  = 200 * time.Millisecond
	formTime    = 300 * time.Millisecond
	stallTime   = 5 * time.Second
	streamGap   = 60 * time.Millisecond
	streamCount = 12
)

type model struct {
	Name         string
	Size         int
	Load, Warmup time.Duration
}

// fleet holds all replicas, and what breaks a rule.
type fleet struct {
	store  *store
	log    *record
	models map[string]model

	mu         sync.Mutex
	replicas   map[string]*replica
	groups     map[string]*group
	requested  bool
	executions map[string]int
}

// group is what the members of a group share.
type group struct {
	name    string
	epoch   uint64
	model   string
	members []string
	ready   map[string]bool
	lostAt  time.Time
}

func (g *group) isBroken() bool  { return !g.lostAt.IsZero() && time.Since(g.lostAt) > stallTime }
func (g *group) isStalled() bool { return !g.lostAt.IsZero() }

// replica is a host of replica groups, or a replica of a plain service if domain is empty.
type replica struct {
	fleet                     *fleet
	id, service, zone, domain string
	born                      int64
	listener                  net.Listener
	server                    *http.Server

	// fleet.mu guards the fields below.
	dead      bool
	silent    bool
	lastBeat  time.Time
	beats     int
	sequence  int
	fence     uint64
	highest   uint64
	group     *group
	state     string
	lastModel string
	loaded    string
	staged    []string
	staging   bool
	running   int
}

func newFleet(s *store, log *record, models ...model) *fleet {
	f := &fleet{store: s, log: log, models: map[string]model{}, replicas: map[string]*replica{}, groups: map[string]*group{}, executions: map[string]int{}}
	for _, m := range models {
		f.models[m.Name] = m
	}
	go f.expire()
	return f
}

// expire removes the entries of replicas that have been silent for three heartbeats.
func (f *fleet) expire() {
	for ; ; time.Sleep(50 * time.Millisecond) {
		f.mu.Lock()
		var gone []string
		for id, r := range f.replicas {
			if (r.dead || r.silent) && !r.lastBeat.IsZero() && time.Since(r.lastBeat) > expiry {
				r.lastBeat = time.Time{}
				gone = append(gone, id)
			}
		}
		f.mu.Unlock()
		for _, id := range gone {
			f.store.remove("servers", id)
			f.log.add("entry of %s expired", id)
		}
	}
}

func (f *fleet) start(id, service, zone, domain string) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{fleet: f, id: id, service: service, zone: zone, domain: domain, born: time.Now().UnixMilli(), listener: l}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /apricotgrade/order", r.order)
	mux.HandleFunc("GET /apricotgrade/report", r.report)
	mux.HandleFunc("/", r.serve)
	r.server = &http.Server{Handler: mux}
	f.mu.Lock()
	f.replicas[id] = r
	f.mu.Unlock()
	go func() { _ = r.server.Serve(l) }()
	go r.beat()
	return r, nil
}

// kill ends a replica for good.
func (r *replica) kill() {
	r.fleet.mu.Lock()
	r.dead = true
	if r.group != nil {
		r.fleet.lose(r.group)
	}
	r.fleet.mu.Unlock()
	_ = r.server.Close()
	r.fleet.log.add("replica %s is lost for good", r.id)
}

// lose records that a member of a group has ended or left. The caller holds f.mu.
func (f *fleet) lose(g *group) {
	if g.lostAt.IsZero() {
		g.lostAt = time.Now()
	}
}

func (r *replica) beat() {
	for ; ; time.Sleep(heartbeat) {
		r.fleet.mu.Lock()
		if r.dead {
			r.fleet.mu.Unlock()
			return
		}
		r.beats++
		r.publish()
		r.fleet.mu.Unlock()
	}
}

// common returns what a replica says of itself. The caller holds fleet.mu.
func (r *replica) common() map[string]any {
	out := map[string]any{"born": r.born}
	if r.domain == "" {
		return out
	}
	out["stage"], out["domain"] = "unified", r.domain
	out["models"] = []any{}
	if r.loaded != "" {
		out["models"] = []any{map[string]any{"name": r.loaded, "version": 1, "adapters": []any{}}}
	}
	out["staged"] = append([]string{}, r.staged...)
	if r.group != nil {
		out["group"] = map[string]any{"name": r.group.name, "epoch": r.group.epoch, "rank": slices.Index(r.group.members, r.id), "state": r.shownState()}
	}
	return out
}

func (r *replica) shownState() string {
	if (r.state == "open" || r.state == "closing") && r.group.isBroken() {
		return "broken"
	}
	return r.state
}

// entry returns the entry of a replica. The caller holds fleet.mu.
func (r *replica) entry() map[string]any {
	e := r.common()
	e["service"], e["address"], e["zone"], e["version"] = r.service, r.listener.Addr().String(), r.zone, "v1"
	e["slots"], e["state"], e["cold_remaining_ms"], e["sequence"] = 26, "ready", 0, r.beats
	return e
}

// publish writes the entry. The caller holds fleet.mu.
func (r *replica) publish() {
	if r.dead || r.silent {
		return
	}
	r.lastBeat = time.Now()
	r.fleet.store.set("servers", r.id, r.entry())
}

// misdirected answers a request that expects another replica.
func (r *replica) misdirected(w http.ResponseWriter, q *http.Request) bool {
	if want := q.Header.Get("Apricotgrade-Expect-Replica"); want == "" || want == r.id {
		return false
	}
	w.Header().Set("Apricotgrade-Replica-Id", r.id)
	w.WriteHeader(http.StatusMisdirectedRequest)
	return true
}

func (r *replica) report(w http.ResponseWriter, q *http.Request) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if r.misdirected(w, q) {
		return
	}
	out := r.common()
	out["busy"], out["sequence"], out["waiting"], out["running"] = r.staging, r.sequence, 0, r.running
	out["kv_used"], out["kv_total"], out["handles"], out["pace"] = 0, 1400000, 0, 1
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out)
}

type order struct {
	Operation string   `json:"operation"`
	Group     string   `json:"group"`
	Epoch     uint64   `json:"epoch"`
	Model     string   `json:"model"`
	Members   []string `json:"members"`
	CloseMode string   `json:"close_mode"`
	Fence     *uint64  `json:"fencing_token"`
	Expected  *int     `json:"expected_revision"`
}

func (r *replica) order(w http.ResponseWriter, q *http.Request) {
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if r.misdirected(w, q) {
		return
	}
	status := r.apply(&o)
	r.fleet.log.add("order %s group=%s epoch=%d members=%v at %s: %d", o.Operation, o.Group, o.Epoch, o.Members, r.id, status)
	w.WriteHeader(status)
}

// apply begins an order and returns its status. The caller holds fleet.mu.
func (r *replica) apply(o *order) int {
	member := r.group != nil && r.group.name == o.Group && r.group.epoch == o.Epoch
	if o.Fence != nil {
		if *o.Fence < r.fence {
			return http.StatusPreconditionFailed
		}
		r.fence = *o.Fence
	}
	if o.Expected != nil && *o.Expected != r.sequence {
		return http.StatusConflict
	}
	status := http.StatusConflict
	switch o.Operation {
	case "join":
		status = r.join(o, member)
	case "open":
		if !member || r.group.members[0] != r.id || r.state != "ready" {
			break
		}
		status = http.StatusAccepted
		g := r.group
		r.after(formTime, func() {
			if r.group == g && r.state == "ready" {
				r.state = "open"
			}
		})
	case "close":
		if !member || r.state != "open" && r.state != "closing" {
			break
		}
		status, r.state = http.StatusAccepted, "ready"
		if r.running > 0 && o.CloseMode == "queue" {
			r.state = "closing"
		}
	case "leave":
		if !member {
			break
		}
		r.fleet.lose(r.group)
		status, r.group, r.state = http.StatusAccepted, nil, ""
	case "stage":
		if slices.Contains(r.staged, o.Model) {
			return http.StatusOK
		}
		if r.staging {
			break
		}
		status, r.staging = http.StatusAccepted, true
		r.after(r.fleet.loadTime(o.Model), func() { r.staging, r.staged = false, []string{o.Model} })
	default:
		return http.StatusBadRequest
	}
	if status == http.StatusAccepted {
		r.sequence++
		r.publish()
	}
	return status
}

// loadTime returns how long a load takes. The caller holds f.mu.
func (f *fleet) loadTime(name string) time.Duration {
	if !f.requested {
		return f.models[name].Load / 10
	}
	return f.models[name].Load
}

// after changes a replica later. The caller holds fleet.mu.
func (r *replica) after(d time.Duration, change func()) {
	time.AfterFunc(d, func() {
		r.fleet.mu.Lock()
		defer r.fleet.mu.Unlock()
		if !r.dead {
			change()
			r.publish()
		}
	})
}

func (r *replica) join(o *order, member bool) int {
	f := r.fleet
	key := fmt.Sprint(o.Group, "/", o.Epoch)
	g := f.groups[key]
	switch {
	case o.Epoch < r.highest, g != nil && !slices.Equal(g.members, o.Members):
		return http.StatusPreconditionFailed
	case member:
		return http.StatusOK
	}
	f.checkTwo(r, key)
	if r.group != nil {
		f.lose(r.group)
	}
	if g == nil {
		g = &group{name: o.Group, epoch: o.Epoch, model: o.Model, members: o.Members, ready: map[string]bool{}}
		f.groups[key] = g
	}
	d := f.loadTime(o.Model)
	switch {
	case r.lastModel == o.Model:
		d = rejoinTime
	case slices.Contains(r.staged, o.Model):
		d = f.models[o.Model].Warmup
	default:
		r.staged = []string{o.Model}
	}
	r.group, r.state, r.highest, r.lastModel, r.loaded = g, "joining", o.Epoch, o.Model, o.Model
	r.after(d, func() {
		if r.group == g && r.state == "joining" {
			r.state = "ready"
			g.ready[r.id] = true
		}
	})
	return http.StatusAccepted
}

// checkTwo records a replica that takes a join of another group while the head of its group
// is open or closing, or stands still and is not yet broken.
func (f *fleet) checkTwo(r *replica, joined string) {
	if r.group == nil {
		return
	}
	head := f.replicas[r.group.members[0]]
	if head == nil || head.dead || head.group != r.group || r.group.isBroken() || head.state != "open" && head.state != "closing" {
		return
	}
	f.log.breakRule("TWO", "%s takes a join of group %s while the head %s of its group %s/%d is %s", r.id, joined, head.id, r.group.name, r.group.epoch, head.state)
}

func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	id := q.Header.Get("Apricotgrade-Attempt-Id")
	f := r.fleet
	f.mu.Lock()
	f.requested = true
	if r.misdirected(w, q) {
		f.mu.Unlock()
		return
	}
	g := r.group
	w.Header().Set("Apricotgrade-Attempt-Id", id)
	if r.domain != "" {
		switch {
		case g == nil || g.members[0] != r.id || r.state == "ready" || r.state == "joining":
			f.mu.Unlock()
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		case g.isBroken() || r.state == "closing":
			f.mu.Unlock()
			w.Header().Set("Apricotgrade-Not-Executed", "1")
			w.Header().Set("At-Server", r.id)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case len(g.ready) < f.models[g.model].Size:
			f.log.breakRule("PARTIAL", "%s begins to run %s in group %s with %d ready members", r.id, id, g.name, len(g.ready))
		}
	}
	f.executions[id]++
	f.log.add("request %s runs at %s", id, r.id)
	r.running++
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if r.running--; r.running == 0 && r.state == "closing" {
			r.state = "ready"
			r.publish()
		}
	}()
	w.Header().Set("Apricotgrade-Replica-Signature", r.id)
	if r.domain == "" {
		time.Sleep(15 * time.Millisecond)
		_, _ = fmt.Fprintf(w, "order %s %s", id, body)
		return
	}
	r.stream(w, q, g)
}

func (r *replica) stream(w http.ResponseWriter, q *http.Request, g *group) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= streamCount; i++ {
		select {
		case <-time.After(streamGap):
		case <-q.Context().Done():
			return
		}
		for r.mustStop(g) {
			select {
			case <-time.After(10 * time.Millisecond):
			case <-q.Context().Done():
				return
			}
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		_ = control.Flush()
	}
}

// mustStop reports whether a stream stands still. It cuts the stream off once the group has
// ended.
func (r *replica) mustStop(g *group) bool {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if r.group != g || g.isBroken() || r.state == "ready" {
		panic(http.ErrAbortHandler)
	}
	return g.isStalled()
}
