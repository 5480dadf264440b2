package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store in its JSON form.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`

	writtenAt time.Time
}

const (
	// storeDelay is how long the store takes for an answer.
	storeDelay = 4 * time.Millisecond
	// maxRowsPerAnswer is the number of rows of one answer to a read.
	maxRowsPerAnswer = 500
)

// store is a stand-in of the platform's store. It never fails.
type store struct {
	start time.Time

	mu sync.Mutex
	// history holds all changes, oldest first, and current the newest one of each row.
	history []row
	current map[string]row
	version uint64
	changed chan struct{}
	// away is set while the store answers nothing but 503. era is how often it has come back from
	// a copy.
	away bool
	era  int
}

func newStore() *store {
	return &store{start: time.Now(), current: map[string]row{}, changed: make(chan struct{})}
}

func rowKey(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// serve serves the store at a new loopback address, which it returns.
func (s *store) serve() (string, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /apricotgrade/rows-tx", s.handleTransaction)
	mux.HandleFunc("GET /apricotgrade/rows-get", s.handleGet)
	mux.HandleFunc("GET /apricotgrade/rows-feed", s.handleFeed)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if s.isAway() {
				s.refuse(w)
				return
			}
			mux.ServeHTTP(w, r)
		}))
	}()
	return listener.Addr().String(), nil
}

func (s *store) isAway() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away
}

// refuse answers a call while the store is away.
func (s *store) refuse(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// leave takes the store away.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// returnFromCopy brings the store back with what it held at a time.
func (s *store) returnFromCopy(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	history := s.history
	s.history, s.current, s.version = nil, map[string]row{}, 0
	for _, c := range history {
		if c.writtenAt.After(at) {
			break
		}
		s.history, s.version = append(s.history, c), c.Version
		if c.Removed {
			delete(s.current, rowKey(c.Table, c.Part, c.Key))
		} else {
			s.current[rowKey(c.Table, c.Part, c.Key)] = c
		}
	}
	s.era++
	s.away = false
}

// apply applies changes as one transaction. The caller holds mu.
func (s *store) apply(changes []row) {
	s.version++
	for _, c := range changes {
		c.Version, c.writtenAt = s.version, time.Now()
		s.history = append(s.history, c)
		if c.Removed {
			delete(s.current, rowKey(c.Table, c.Part, c.Key))
		} else {
			s.current[rowKey(c.Table, c.Part, c.Key)] = c
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes a row as the operator or a replica does.
func (s *store) set(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(b)}})
}

// remove removes a row, if it exists.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.current[rowKey(table, "", key)]; ok {
		s.apply([]row{{Table: table, Key: key, Removed: true}})
	}
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, truncated bool) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "truncated": truncated, "ver": s.version, "now_ms": time.Since(s.start).Milliseconds(),
	})
}

func (s *store) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Conditions []row `json:"expected_revision"`
		Writes     []row `json:"set_keys"`
		Removals   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range append(slices.Clone(tx.Writes), tx.Removals...) {
		if c.Table == "op" || c.Table == "servers" {
			http.Error(w, "not yours", http.StatusForbidden)
			return
		}
	}
	var present []row
	failed := false
	for _, c := range tx.Conditions {
		now, ok := s.current[rowKey(c.Table, c.Part, c.Key)]
		if ok {
			present = append(present, now)
		}
		failed = failed || now.Version != c.Version
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, present, false)
		return
	}
	changes := slices.Clone(tx.Writes)
	for _, c := range tx.Removals {
		c.Removed, c.Value = true, ""
		changes = append(changes, c)
	}
	s.apply(changes)
	s.answer(w, http.StatusOK, nil, false)
}

func (s *store) handleGet(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, c := range s.current {
		if c.Table == q.Get("table") && c.Part == q.Get("part") && c.Key >= q.Get("from") && (q.Get("to") == "" || c.Key < q.Get("to")) {
			rows = append(rows, c)
		}
	}
	slices.SortFunc(rows, func(a, b row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	limit := maxRowsPerAnswer
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n < limit {
		limit = n
	}
	truncated := len(rows) > limit
	s.answer(w, http.StatusOK, rows[:min(len(rows), limit)], truncated)
}

func (s *store) handleFeed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after_revision"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil {
		http.Error(w, fmt.Sprint(err, waitErr), http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		if s.isAway() {
			s.refuse(w)
			return
		}
		s.mu.Lock()
		if after > s.version {
			s.answer(w, http.StatusGone, nil, false)
			s.mu.Unlock()
			return
		}
		var rows []row
		for _, c := range s.history {
			if c.Table == q.Get("table") && c.Version > after {
				rows = append(rows, c)
			}
		}
		if len(rows) > 0 || expired {
			s.answer(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}
