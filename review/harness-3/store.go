package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store. Value is base64 in JSON.
type row struct {
	Table   string `json:"table_name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"schema_version,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

// store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	address string

	mu      sync.Mutex
	version uint64
	rows    map[rowID]row
	log     []row // all changes in order
	changed chan struct{}
	down    bool // every call gets 503
	start   time.Time
}

func newStore(l net.Listener) *store {
	s := &store{address: l.Addr().String(), rows: make(map[rowID]row), changed: make(chan struct{}), start: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-parts", s.parts)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	go func() { _ = http.Serve(l, s.unlessDown(mux)) }()
	return s
}

func (s *store) unlessDown(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(w, r)
	})
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// put writes a row as the operator and returns when the store has acknowledged it.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: value})
	s.notify()
}

func (s *store) apply(r row) {
	r.Version = s.version
	id := rowID{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.log = append(s.log, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reply(w http.ResponseWriter, status int, fields map[string]any) {
	fields["schema_version"] = s.version
	fields["now_s"] = time.Since(s.start).Seconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fields)
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected_revision"`
		Set      []row `json:"set_keys"`
		Delete   []row `json:"delete_keys"`
	}
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, &tx)
	}
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(8 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	current := []row{}
	for _, c := range tx.Expected {
		have := s.rows[rowID{c.Table, c.Part, c.Key}]
		failed = failed || have.Version != c.Version
		if have.Version != 0 {
			current = append(current, have)
		}
	}
	if failed {
		s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.version++
	for _, c := range tx.Set {
		s.apply(c)
	}
	for _, c := range tx.Delete {
		c.Deleted = true
		s.apply(c)
	}
	s.notify()
	s.reply(w, http.StatusOK, map[string]any{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for id, v := range s.rows {
		if id.table == q.Get("table_name") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("target") == "" || id.key < q.Get("target")) {
			rows = append(rows, v)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	s.reply(w, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "has_more": more})
}

func (s *store) parts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	found := make(map[string]bool)
	for id := range s.rows {
		if id.table == q.Get("table_name") && id.part > q.Get("after") {
			found[id.part] = true
		}
	}
	parts := []string{}
	for p := range found {
		parts = append(parts, p)
	}
	sort.Strings(parts)
	s.reply(w, http.StatusOK, map[string]any{"parts": parts, "has_more": false})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	time.Sleep(4 * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []row{}
		for _, v := range s.log {
			if v.Table == q.Get("table_name") && v.Version > after {
				rows = append(rows, v)
			}
		}
		changed := s.changed
		if len(rows) > 0 {
			s.reply(w, http.StatusOK, map[string]any{"rows": rows})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
			continue
		case <-deadline:
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
		s.reply(w, http.StatusOK, map[string]any{"rows": rows})
		s.mu.Unlock()
		return
	}
}
