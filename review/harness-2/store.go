package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeRow is a row of the platform's store.
type storeRow struct {
	Table   string `json:"table_name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"schema_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

// platformStore is a stand-in for the platform's store. It holds all rows in memory
// and loses nothing that it has acknowledged.
type platformStore struct {
	mu      sync.Mutex
	rows    map[rowID]storeRow
	history []storeRow
	version uint64
	changed chan struct{}
	start   time.Time
	server  *http.Server
	addr    string
	// fault, if set, is asked for each call. It returns true if it has answered
	// the call itself, or has left it without an answer.
	fault func(w http.ResponseWriter, r *http.Request) bool
}

func startStore(addr string) (*platformStore, error) {
	s := &platformStore{rows: make(map[rowID]storeRow), changed: make(chan struct{}), start: time.Now(), addr: addr}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", s.transact)
	mux.HandleFunc("GET /v1/rows-get", s.get)
	mux.HandleFunc("GET /v1/rows-parts", s.parts)
	mux.HandleFunc("GET /v1/rows-feed", s.feed)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		fault := s.fault
		s.mu.Unlock()
		if fault != nil && fault(w, r) {
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *platformStore) setFault(f func(w http.ResponseWriter, r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *platformStore) page(rows []storeRow, more bool) map[string]any {
	if rows == nil {
		rows = []storeRow{}
	}
	return map[string]any{"rows": rows, "has_more": more, "schema_version": s.version, "now_s": time.Since(s.start).Seconds()}
}

func (s *platformStore) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []storeRow `json:"expected_revision"`
		Set      []storeRow `json:"set_keys"`
		Delete   []storeRow `json:"delete_keys"`
	}
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(8 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range slices.Concat(tx.Set, tx.Delete) {
		if e.Table == "op" || e.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var current []storeRow
	failed := false
	for _, e := range tx.Expected {
		row, ok := s.rows[rowID{e.Table, e.Part, e.Key}]
		if ok {
			current = append(current, row)
		}
		failed = failed || row.Version != e.Version
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, s.page(current, false))
		return
	}
	s.apply(tx.Set, tx.Delete)
	reply(w, http.StatusOK, s.page(nil, false))
}

// apply applies one transaction. The caller must hold the lock.
func (s *platformStore) apply(set, drop []storeRow) {
	s.version++
	for _, e := range set {
		e.Version, e.Deleted = s.version, false
		s.rows[rowID{e.Table, e.Part, e.Key}] = e
		s.history = append(s.history, e)
	}
	for _, e := range drop {
		e.Version, e.Deleted, e.Value = s.version, true, nil
		delete(s.rows, rowID{e.Table, e.Part, e.Key})
		s.history = append(s.history, e)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row of the operator and returns when it is acknowledged.
func (s *platformStore) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]storeRow{{Table: table, Key: key, Value: data}}, nil)
}

func (s *platformStore) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []storeRow
	for id, row := range s.rows {
		if id.table == q.Get("table_name") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("target") == "" || id.key < q.Get("target")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b storeRow) int { return strings.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	reply(w, http.StatusOK, s.page(rows, more))
}

func (s *platformStore) parts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	found := make(map[string]bool)
	parts := []string{}
	for id := range s.rows {
		if id.table == q.Get("table_name") && id.part > q.Get("after") && !found[id.part] {
			found[id.part] = true
			parts = append(parts, id.part)
		}
	}
	slices.Sort(parts)
	reply(w, http.StatusOK, map[string]any{"parts": parts, "has_more": false, "schema_version": s.version, "now_s": time.Since(s.start).Seconds()})
}

func (s *platformStore) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []storeRow
		for _, row := range s.history {
			if row.Version > after && row.Table == q.Get("table_name") {
				rows = append(rows, row)
			}
		}
		page, changed := s.page(rows, false), s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			reply(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
			continue
		case <-end:
		case <-r.Context().Done():
			return
		}
		reply(w, http.StatusOK, page)
		return
	}
}
