package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// storeDelay is the time of an answer of the store.
const storeDelay = 4 * time.Millisecond

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// store stands in for the platform's store. It keeps rows and, until it is compacted, all
// of their changes.
type store struct {
	mu       sync.Mutex
	rows     map[string]row
	changes  []row
	ver      uint64
	oldest   uint64
	changed  chan struct{}
	started  time.Time
	listener net.Listener
}

func newStore() (*store, error) {
	s := &store{rows: map[string]row{}, changed: make(chan struct{}), started: time.Now()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.listener = l
	mux := http.NewServeMux()
	mux.HandleFunc("POST /apricotgrade/rows-tx", s.transact)
	mux.HandleFunc("GET /apricotgrade/rows-get", s.get)
	mux.HandleFunc("GET /apricotgrade/rows-feed", s.feed)
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// apply stores changes under the next version. The caller holds s.mu.
func (s *store) apply(changes []row) {
	s.ver++
	for _, c := range changes {
		c.Ver = s.ver
		id := c.Table + "\x00" + c.Key
		if c.Removed {
			if _, ok := s.rows[id]; !ok {
				continue
			}
			c.Value = ""
			delete(s.rows, id)
		} else {
			s.rows[id] = c
		}
		s.changes = append(s.changes, c)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes a row as the operator or a replica does. The store has acknowledged it when
// set returns.
func (s *store) set(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(b)}})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Removed: true}})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected_revision"`
		Set      []row `json:"set_keys"`
		Remove   []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range append(append([]row{}, tx.Set...), tx.Remove...) {
		if c.Table == "op" || c.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	failed := false
	current := []row{}
	for _, e := range tx.Expected {
		c, ok := s.rows[e.Table+"\x00"+e.Key]
		failed = failed || c.Ver != e.Ver
		if ok {
			current = append(current, c)
		}
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, current)
		return
	}
	var changes []row
	changes = append(changes, tx.Set...)
	for _, c := range tx.Remove {
		c.Removed = true
		changes = append(changes, c)
	}
	s.apply(changes)
	s.answer(w, http.StatusOK, []row{})
}

// answer writes rows with the newest version. The caller holds s.mu.
func (s *store) answer(w http.ResponseWriter, status int, rows []row) {
	b, err := json.Marshal(map[string]any{"rows": rows, "ver": s.ver, "truncated": false, "now_ms": time.Since(s.started).Milliseconds()})
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	rows := []row{}
	for _, c := range s.rows {
		if c.Table == q.Get("table") && c.Part == q.Get("part") && c.Key >= q.Get("from") {
			rows = append(rows, c)
		}
	}
	sortRows(rows)
	s.answer(w, http.StatusOK, rows)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after_revision"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		s.mu.Lock()
		if after < s.oldest || after > s.ver {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		last := map[string]int{}
		rows := []row{}
		for _, c := range s.changes {
			if c.Table != q.Get("table") || c.Ver <= after {
				continue
			}
			if i, ok := last[c.Key]; ok {
				rows[i].Key = ""
			}
			last[c.Key] = len(rows)
			rows = append(rows, c)
		}
		newest := rows[:0]
		for _, c := range rows {
			if c.Key != "" {
				newest = append(newest, c)
			}
		}
		if len(newest) > 0 || expired {
			s.answer(w, http.StatusOK, newest)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// compact discards the history.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes, s.oldest = nil, s.ver+1
}
