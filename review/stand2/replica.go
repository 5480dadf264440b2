package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of replicas as the pages give them for the small deployments.
const (
	heartbeat  = 1200 * time.Millisecond
	rejoinTime = 200 * time.Millisecond
	formTime   = 300 * time.Millisecond
	stallTime  = 5 * time.Second
	// reportLag is the age of what a report says.
	reportLag = 200 * time.Millisecond
	// lingerTime is how long a replica that leaves serves beyond drainTime.
	drainTime  = 2 * time.Second
	lingerTime = 1500 * time.Millisecond
	// eventGap and streamEvents are the pace and the length of a stream.
	// restartTime is how long a replica that has crashed is away.
	restartTime  = 8 * time.Second
	eventGap     = 30 * time.Millisecond
	streamEvents = 12
)

// model is a model that groups of replicas serve.
type model struct {
	size               int
	loadTime, warmTime time.Duration
}

// fleet holds all replicas and the groups that they form.
type fleet struct {
	store  *store
	rec    *recorder
	models map[string]model

	mu       sync.Mutex
	replicas map[string]*replica
	// trafficStarted is set with the first request. Loads before it take a tenth of the time.
	trafficStarted bool
	// crashAfterEvent makes poisonPart crash a replica after the first event that it writes, and
	// not before.
	crashAfterEvent bool
	// crashes holds when replicas have crashed in the middle of a request, deadlyRuns the runs of
	// requests that crash replicas, and begun the attempts that ran.
	crashes, deadlyRuns []time.Time
	begun               map[string]bool
	// two counts the joins of members whose head was open or closing.
	two int
}

// membership is a place in a group.
type membership struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`

	members []string
	model   string
	// readyOnce is set once the replica was ready in this place.
	readyOnce bool
}

// replica is a stand-in of a replica. Its mutable fields are guarded by fleet.mu.
type replica struct {
	fleet                     *fleet
	id, service, zone, domain string
	address                   string
	server                    *http.Server
	listener                  net.Listener
	born                      int64

	dead     bool
	draining bool
	// isCut is set while the replica reaches neither the store nor the nodes.
	isCut    bool
	sequence int
	token    uint64
	epoch    uint64
	place    *membership
	loaded   string
	staged   []string
	busy     bool
	running  int
	// lostMemberAt is when the head of a group lost a member; zero before.
	lostMemberAt time.Time
	// reports holds what the replica has said of itself, oldest first.
	reports []timedReport
}

type timedReport struct {
	at     time.Time
	fields map[string]any
}

// poisonPart is the part of a prompt that crashes each replica that begins to write an answer
// on it.
const poisonPart = "badc0ffe"

// crashOnPart begins the answer to a request with poisonPart and ends the replica: after the head
// of the answer, or after its first event.
func (r *replica) crashOnPart(w http.ResponseWriter, req *http.Request) {
	r.fleet.recordDeadly()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	if r.fleet.crashAfterEvent {
		last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", last+1, last+1)
	}
	_ = http.NewResponseController(w).Flush()
	r.crash()
}

// deadlyBody is the body of the request that crashes each replica that begins to run it.
const deadlyBody = "deadly"

// recordDeadly records a run of the deadly request.
func (f *fleet) recordDeadly() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deadlyRuns = append(f.deadlyRuns, time.Now())
}

// crash ends the replica in the middle of a request. It is back after restartTime under its id,
// as a new process with the weights on its host.
func (r *replica) crash() {
	time.Sleep(2 * time.Millisecond)
	r.fleet.mu.Lock()
	first := !r.dead
	staged := slices.Clone(r.staged)
	if first {
		r.fleet.crashes = append(r.fleet.crashes, time.Now())
		r.leaveGroup()
	}
	r.dead = true
	r.fleet.mu.Unlock()
	if first {
		r.fleet.rec.printf("%s crashes", r.id)
		time.AfterFunc(3*heartbeat, func() { r.fleet.removeUnless(r) })
		time.AfterFunc(restartTime, func() {
			if _, err := r.fleet.start(r.id, r.service, r.zone, r.domain, staged); err != nil {
				r.fleet.rec.printf("%s does not start: %v", r.id, err)
				return
			}
			r.fleet.rec.printf("%s is back", r.id)
		})
	}
	go func() { _ = r.server.Close() }()
	panic(http.ErrAbortHandler)
}

// removeUnless removes the entry of a replica that has ended, unless it is back.
func (f *fleet) removeUnless(r *replica) {
	f.mu.Lock()
	isBack := f.replicas[r.id] != r
	f.mu.Unlock()
	if !isBack {
		f.store.remove("servers", r.id)
	}
}

func newFleet(s *store, rec *recorder, models map[string]model) *fleet {
	return &fleet{store: s, rec: rec, models: models, replicas: map[string]*replica{}, begun: map[string]bool{}}
}

// add starts an empty replica and registers it. domain is empty for a plain service.
func (f *fleet) add(id, service, zone, domain string) (*replica, error) {
	return f.start(id, service, zone, domain, nil)
}

// start starts a replica on a host with staged weights.
func (f *fleet) start(id, service, zone, domain string, staged []string) (*replica, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		listener: listener,
		fleet:    f, id: id, service: service, zone: zone, domain: domain, address: listener.Addr().String(), born: time.Now().UnixMilli(), staged: staged,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /apricotgrade/order", r.handleOrder)
	mux.HandleFunc("GET /apricotgrade/report", r.handleReport)
	mux.HandleFunc("GET /health", r.handleHealth)
	mux.HandleFunc("/", r.handleRequest)
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(listener) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replicas[id] = r
	r.changed()
	return r, nil
}

// fields returns what a replica says of itself in its entry and its reports.
func (r *replica) fields() map[string]any {
	fields := map[string]any{"born": r.born}
	if r.domain != "" {
		models, staged := []any{}, []any{}
		if r.loaded != "" {
			models = append(models, map[string]any{"name": r.loaded, "version": 1, "adapters": []any{}})
		}
		for _, name := range r.staged {
			staged = append(staged, name)
		}
		fields["stage"], fields["models"], fields["staged"], fields["domain"] = "unified", models, staged, r.domain
		if r.place != nil {
			place := *r.place
			if r.isBroken() {
				place.State = "broken"
			}
			fields["group"] = place
		}
	}
	return fields
}

// changed writes the entry of a replica and keeps the report. The caller holds mu.
func (r *replica) changed() {
	report := r.fields()
	report["busy"], report["sequence"], report["waiting"], report["running"] = r.busy, r.sequence, 0, r.running
	r.reports = append(r.reports, timedReport{time.Now(), report})
	if r.dead || r.isCut || r.fleet.store.isAway() {
		return
	}
	entry := r.fields()
	entry["service"], entry["address"], entry["zone"], entry["version"] = r.service, r.address, r.zone, "v1"
	entry["slots"], entry["state"], entry["cold_remaining_ms"], entry["sequence"] = 6, "ready", 0, r.sequence
	if r.domain != "" {
		entry["slots"] = 26
	}
	if r.draining {
		entry["state"] = "draining"
	}
	r.fleet.store.set("servers", r.id, entry)
}

// isBroken reports whether the head of an open group has stood still for longer than stallTime.
// The caller holds mu.
func (r *replica) isBroken() bool {
	return !r.lostMemberAt.IsZero() && time.Since(r.lostMemberAt) > stallTime && r.place != nil && r.place.Rank == 0 &&
		(r.place.State == "open" || r.place.State == "closing")
}

// leaveGroup takes a replica out of its group, whose head then stands still. The caller holds mu.
func (r *replica) leaveGroup() {
	if r.place == nil {
		return
	}
	if head := r.fleet.replicas[r.place.members[0]]; head != nil && head != r && head.place != nil &&
		head.place.Name == r.place.Name && head.place.Epoch == r.place.Epoch && head.lostMemberAt.IsZero() {
		head.lostMemberAt = time.Now()
	}
	r.place, r.lostMemberAt = nil, time.Time{}
}

// drain is a planned shutdown: the replica reports draining, serves for drainTime and a little
// longer, and exits. Its entry is then removed.
func (r *replica) drain() {
	r.fleet.mu.Lock()
	r.draining = true
	r.changed()
	r.fleet.mu.Unlock()
	r.fleet.rec.printf("%s drains", r.id)
	time.AfterFunc(drainTime+lingerTime, func() {
		r.end()
		r.fleet.store.remove("servers", r.id)
		r.fleet.rec.printf("%s has left", r.id)
	})
}

// cut partitions a replica from the store and from all nodes. Its own members still reach it.
// New connections are refused. Its entry is removed after three heartbeats of silence.
func (r *replica) cut() {
	r.fleet.mu.Lock()
	r.isCut = true
	r.fleet.mu.Unlock()
	_ = r.listener.Close()
	time.AfterFunc(3*heartbeat, func() { r.fleet.store.remove("servers", r.id) })
	r.fleet.rec.printf("%s is cut off from the store and the nodes", r.id)
}

// writeAgain writes the entries again that the store has lost, as replicas do that reach it.
func (f *fleet) writeAgain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.replicas {
		time.AfterFunc(time.Duration(100+rand.IntN(600))*time.Millisecond, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			r.changed()
			if r.dead {
				// Nobody renews the entry of a replica that has left.
				time.AfterFunc(3*heartbeat, func() { f.store.remove("servers", r.id) })
			}
		})
	}
}

func (r *replica) end() {
	r.fleet.mu.Lock()
	r.dead = true
	r.leaveGroup()
	r.fleet.mu.Unlock()
	_ = r.server.Close()
}

// after runs a change after a time, unless the replica has ended or left the place.
func (r *replica) after(d time.Duration, place *membership, change func()) {
	time.AfterFunc(d, func() {
		r.fleet.mu.Lock()
		defer r.fleet.mu.Unlock()
		if !r.dead && (place == nil || r.place == place) {
			change()
			r.changed()
		}
	})
}

func (r *replica) rejects(w http.ResponseWriter, req *http.Request) bool {
	w.Header().Set("Apricotgrade-Replica-Id", r.id)
	if want := req.Header.Get("Apricotgrade-Expect-Replica"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return true
	}
	return false
}

func (r *replica) handleHealth(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Apricotgrade-Replica-Id", r.id)
}

func (r *replica) handleReport(w http.ResponseWriter, req *http.Request) {
	if r.rejects(w, req) {
		return
	}
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	report := r.reports[0].fields
	for _, t := range r.reports {
		if time.Since(t.at) >= reportLag {
			report = t.fields
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

type order struct {
	Operation string   `json:"operation"`
	CloseMode string   `json:"close_mode"`
	Group     string   `json:"group"`
	Epoch     uint64   `json:"epoch"`
	Model     string   `json:"model"`
	Members   []string `json:"members"`
	Token     uint64   `json:"fencing_token"`
	Sequence  *int     `json:"expected_revision"`
}

func (r *replica) handleOrder(w http.ResponseWriter, req *http.Request) {
	if r.rejects(w, req) {
		return
	}
	var o order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.fleet.mu.Lock()
	status := r.carryOut(&o)
	if status == http.StatusAccepted {
		r.sequence++
		r.changed()
	}
	r.fleet.mu.Unlock()
	r.fleet.rec.logf("order to %s: %s group=%s epoch=%d model=%s members=%v token=%d -> %d", r.id, o.Operation, o.Group, o.Epoch, o.Model, o.Members, o.Token, status)
	w.WriteHeader(status)
}

// carryOut begins an order and returns the status of its answer. The caller holds mu.
func (r *replica) carryOut(o *order) int {
	isHere := r.place != nil && r.place.Name == o.Group && r.place.Epoch == o.Epoch
	switch {
	case o.Token < r.token:
		return http.StatusPreconditionFailed
	case o.Sequence != nil && *o.Sequence != r.sequence:
		return http.StatusConflict
	}
	r.token = o.Token
	switch o.Operation {
	case "join":
		return r.join(o, isHere)
	case "open":
		switch {
		case !isHere || r.place.Rank != 0:
			return http.StatusConflict
		case r.place.State == "open":
			return http.StatusOK
		case r.place.State != "ready":
			return http.StatusConflict
		}
		place := r.place
		r.after(formTime, place, func() { place.State = "open" })
		return http.StatusAccepted
	case "close":
		if !isHere || r.place.State != "open" && r.place.State != "closing" {
			return http.StatusConflict
		}
		r.place.State = "ready"
		if o.CloseMode == "queue" && r.running > 0 {
			r.place.State = "closing"
		}
		return http.StatusAccepted
	case "leave":
		if !isHere {
			return http.StatusConflict
		}
		r.leaveGroup()
		return http.StatusAccepted
	case "stage":
		return r.stage(o.Model)
	}
	return http.StatusBadRequest
}

func (r *replica) join(o *order, isHere bool) int {
	m, known := r.fleet.models[o.Model]
	switch {
	case !known || !slices.Contains(o.Members, r.id):
		return http.StatusConflict
	case isHere && slices.Equal(r.place.members, o.Members):
		return http.StatusOK
	case isHere, o.Epoch < r.epoch:
		return http.StatusPreconditionFailed
	}
	if r.place != nil {
		if head := r.fleet.replicas[r.place.members[0]]; head != nil && !head.dead && head.place != nil && head.place.Name == r.place.Name &&
			(head.place.State == "open" || head.place.State == "closing") && !head.isBroken() {
			r.fleet.two++
			r.fleet.rec.printf("TWO: %s joins %s while the head %s of its group %s is %s", r.id, o.Group, head.id, r.place.Name, head.place.State)
		}
	}
	takes := m.loadTime
	switch {
	case r.loaded == o.Model:
		takes = rejoinTime
	case slices.Contains(r.staged, o.Model):
		takes = m.warmTime
	default:
		if !r.fleet.trafficStarted {
			takes /= 10
		}
		r.staged = []string{o.Model}
	}
	r.leaveGroup()
	place := &membership{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, r.id), State: "joining", members: o.Members, model: o.Model}
	r.place, r.epoch, r.loaded = place, o.Epoch, o.Model
	r.after(takes, place, func() { place.State, place.readyOnce = "ready", true })
	return http.StatusAccepted
}

func (r *replica) stage(name string) int {
	m, known := r.fleet.models[name]
	switch {
	case !known || r.busy:
		return http.StatusConflict
	case slices.Contains(r.staged, name):
		return http.StatusOK
	}
	takes := m.loadTime
	if !r.fleet.trafficStarted {
		takes /= 10
	}
	r.busy = true
	r.after(takes, nil, func() { r.busy, r.staged = false, []string{name} })
	return http.StatusAccepted
}

// handleRequest runs a request of a caller.
func (r *replica) handleRequest(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil || r.rejects(w, req) {
		return
	}
	attempt := req.Header.Get("Apricotgrade-Attempt-Id")
	if status, reason := r.admit(req); status != 0 {
		w.Header().Set("Apricotgrade-Not-Executed", "1")
		w.WriteHeader(status)
		r.fleet.rec.logf("%s rejects %s: %d %s", r.id, attempt, status, reason)
		return
	}
	r.fleet.rec.logf("%s runs %s", r.id, attempt)
	defer r.done()
	w.Header().Set("Apricotgrade-Attempt-Id", attempt)
	w.Header().Set("Apricotgrade-Replica-Signature", "sig-"+r.id+"-"+attempt)
	if strings.Contains(req.Header.Get("Apricotgrade-Prefix-Hash"), poisonPart) {
		r.crashOnPart(w, req)
	}
	if string(body) == deadlyBody {
		r.fleet.recordDeadly()
		r.crash()
	}
	if r.domain == "" {
		time.Sleep(15 * time.Millisecond)
		_, _ = fmt.Fprintf(w, "done %s %s %d", req.Method, req.URL.Path, len(body))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	r.stream(req.Context(), w, last)
}

// admit returns the status with which a request is rejected, or 0.
func (r *replica) admit(req *http.Request) (int, string) {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if r.domain != "" {
		r.fleet.trafficStarted = true
		switch {
		case r.place == nil || r.place.Rank != 0 || r.place.State != "open" || r.place.model != req.Header.Get("Apricotgrade-Model"):
			return http.StatusMisdirectedRequest, "not the open head of the model"
		case r.isBroken():
			return http.StatusServiceUnavailable, "broken"
		}
	}
	r.running++
	r.fleet.begun[req.Header.Get("Apricotgrade-Attempt-Id")] = true
	return 0, ""
}

func (r *replica) done() {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	r.running--
	if r.running == 0 && r.place != nil && r.place.State == "closing" {
		r.place.State = "ready"
		r.changed()
	}
}

// stream sends the events after the last one that the caller has. It pauses while the group
// stands still, and breaks off once it is broken.
func (r *replica) stream(ctx context.Context, w http.ResponseWriter, last int) {
	control := http.NewResponseController(w)
	time.Sleep(60 * time.Millisecond)
	for i := last + 1; i <= streamEvents; {
		r.fleet.mu.Lock()
		still, broken := !r.lostMemberAt.IsZero(), r.isBroken() || r.place == nil
		r.fleet.mu.Unlock()
		if broken || ctx.Err() != nil {
			panic(http.ErrAbortHandler)
		}
		if !still {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
			_ = control.Flush()
			i++
		}
		time.Sleep(eventGap)
	}
}
