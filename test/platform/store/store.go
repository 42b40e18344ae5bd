// Package store simulates the metadata store of the platform that is selected with
// --platform store. It serves the store's protocol from rows in memory and can
// inject faults.
package store

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the protocol.
const (
	maxTransactionEntries = 100
	maxRequestBytes       = 1 << 20
	maxRows               = 500 // in a response
	maxValueBytes         = 65536
	maxWait               = 30 * time.Second
)

// platformTables lists the tables that only the platform may write.
var platformTables = []string{"op", "servers"}

// Config holds the settings of a Store. The zero value is valid.
type Config struct {
	Seed uint64 // seed for the choice of lost responses
}

// Faults holds the injected faults. The zero value injects none.
type Faults struct {
	Status          int           // respond to every call with this status without running it
	Reset           bool          // close the connection of every call without running it
	Silent          bool          // send no response until the client disconnects
	Delay           time.Duration // delay of every call
	Mute            bool          // run every call and send no response until the client disconnects
	LoseProbability float64       // share of the calls that run without a response
	// Callers restricts the faults to some caller addresses; empty means all.
	Callers []netip.Addr
}

// Store is an http.Handler that serves the metadata store's protocol.
type Store struct {
	mu           sync.Mutex
	rng          *rand.Rand
	rows         map[rowKey]row
	history      []row  // changes in order; deletions have Deleted set
	historyStart uint64 // feeds after an older version get the status 410
	version      uint64
	changed      chan struct{} // closed at the next change
	faults       Faults
	connections  map[string]bool // by the client's address; true if the connection is silent
	calls        int
	start        time.Time
	era          uint64 // how often the store was restored
	mux          *http.ServeMux
}

type rowKey struct{ table, part, key string }

type row struct {
	Table   string `json:"table_name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"schema_version,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r row) rowKey() rowKey { return rowKey{r.Table, r.Part, r.Key} }

type page struct {
	Rows    []row   `json:"rows"`
	More    bool    `json:"has_more"`
	Version uint64  `json:"schema_version"`
	Now     float64 `json:"now_s"`
}

type transaction struct {
	Conditions  []row `json:"expected_revision"`
	Writes      []row `json:"set_keys"`
	Deletes     []row `json:"delete_keys"`
	AcrossParts bool  `json:"across"`
}

// New returns an empty store.
func New(c Config) *Store {
	s := &Store{
		rng: rand.New(rand.NewPCG(c.Seed, 0)), rows: make(map[rowKey]row),
		changed: make(chan struct{}), start: time.Now(), mux: http.NewServeMux(), connections: make(map[string]bool),
	}
	s.mux.HandleFunc("POST /v1/rows-tx", s.handleCommit)
	s.mux.HandleFunc("GET /v1/rows-get", s.handleGet)
	s.mux.HandleFunc("GET /v1/rows-parts", s.handleParts)
	s.mux.HandleFunc("GET /v1/rows-feed", s.handleFeed)
	return s
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SilenceConnections makes a share of the connections that have carried a call silent
// for good: calls on them are neither run nor answered. New connections are not
// affected, if the server calls ConnState.
func (s *Store) SilenceConnections(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range slices.Sorted(maps.Keys(s.connections)) {
		if s.rng.Float64() < share {
			s.connections[c] = true
		}
	}
}

// ConnState is for the ConnState of the http.Server. It forgets the earlier connection of
// an address: the system gives the ports of closed connections out again, and a new
// connection would be taken for the silent one before it.
func (s *Store) ConnState(c net.Conn, state http.ConnState) {
	if state != http.StateNew {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c.RemoteAddr().String())
}

func (s *Store) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *Store) isSilent(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections[r.RemoteAddr]
}

// Calls returns the number of calls so far, including failed calls.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row on behalf of the platform, also to tables that only the platform
// may write.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(transaction{Writes: []row{{Table: table, Key: key, Value: value}}})
}

// Copy is the content of the store at one time.
type Copy struct {
	version uint64
	rows    map[rowKey]row
}

// Copy returns a copy of the content, for Restore.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.version, maps.Clone(s.rows)}
}

// Restore replaces the content by an older copy. The store forgets what was written since,
// gives the versions out again and begins a new era. Calls that wait get no response.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.rows, s.history, s.historyStart = c.version, maps.Clone(c.rows), nil, c.version
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// DropHistory discards the history of all changes so far, so that feeds from an
// earlier version get the status 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.historyStart = nil, s.version
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// net/http detects that a caller has disconnected only after the whole request
	// body was read.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.calls++
	s.connections[r.RemoteAddr] = s.connections[r.RemoteAddr]
	f := s.faults
	if len(f.Callers) > 0 && !slices.Contains(f.Callers, callerAddr(r)) {
		f = Faults{}
	}
	lost := s.rng.Float64() < f.LoseProbability
	s.mu.Unlock()
	select {
	case <-time.After(f.Delay):
	case <-r.Context().Done():
	}
	switch {
	case f.Silent, s.isSilent(r):
		<-r.Context().Done()
	case f.Mute:
		s.serve(discardWriter{make(http.Header)}, r, body)
		<-r.Context().Done()
	case f.Reset:
		panic(http.ErrAbortHandler)
	case f.Status != 0:
		w.WriteHeader(f.Status)
	case lost:
		s.serve(discardWriter{make(http.Header)}, r, body)
		panic(http.ErrAbortHandler)
	default:
		response := httptest.NewRecorder()
		s.serve(response, r, body)
		if s.isSilent(r) {
			<-r.Context().Done()
			return
		}
		maps.Copy(w.Header(), response.Header())
		w.Header().Set("Store-Era", strconv.FormatUint(s.currentEra(), 10))
		w.WriteHeader(response.Code)
		_, _ = w.Write(response.Body.Bytes()) // an error means that the client has disconnected
	}
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request, body []byte) {
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.mux.ServeHTTP(w, r)
}

// discardWriter is the http.ResponseWriter for lost responses.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}

func callerAddr(r *http.Request) netip.Addr {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	addr, _ := netip.ParseAddr(host)
	return addr
}

func (s *Store) handleCommit(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if status := checkTransaction(t); status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []row{}, true
	for _, c := range t.Conditions {
		now, ok := s.rows[c.rowKey()]
		if ok {
			current = append(current, now)
		}
		holds = holds && now.Version == c.Version
	}
	if !holds {
		s.writePage(w, http.StatusPreconditionFailed, page{Rows: current})
		return
	}
	s.apply(t)
	s.writePage(w, http.StatusOK, page{Rows: []row{}})
}

func checkTransaction(t transaction) int {
	all := slices.Concat(t.Conditions, t.Writes, t.Deletes)
	if len(all) == 0 || len(all) > maxTransactionEntries {
		return http.StatusBadRequest
	}
	for _, r := range all {
		if r.Part != all[0].Part && !t.AcrossParts || len(r.Key) > 200 || len(r.Value) > maxValueBytes {
			return http.StatusBadRequest
		}
	}
	for _, r := range slices.Concat(t.Writes, t.Deletes) {
		if slices.Contains(platformTables, r.Table) {
			return http.StatusForbidden
		}
	}
	return http.StatusOK
}

// apply applies a transaction. The caller must hold s.mu.
func (s *Store) apply(t transaction) {
	s.version++
	for _, r := range t.Writes {
		r.Version = s.version
		s.rows[r.rowKey()] = r
		s.history = append(s.history, r)
	}
	for _, r := range t.Deletes {
		r.Version, r.Value, r.Deleted = s.version, nil, true
		delete(s.rows, r.rowKey())
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) handleGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxRows
	if text := q.Get("limit"); text != "" {
		if json.Unmarshal([]byte(text), &limit) != nil || limit <= 0 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := page{Rows: []row{}}
	for at, found := range s.rows {
		if at.table == q.Get("table_name") && at.part == q.Get("part") && at.key >= q.Get("from") &&
			(q.Get("target") == "" || at.key < q.Get("target")) {
			p.Rows = append(p.Rows, found)
		}
	}
	slices.SortFunc(p.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	if limit = min(limit, maxRows); len(p.Rows) > limit {
		p.Rows, p.More = p.Rows[:limit], true
	}
	s.writePage(w, http.StatusOK, p)
}

func (s *Store) handleParts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := []string{}
	for at := range s.rows {
		if at.table == q.Get("table_name") && at.part > q.Get("after") && !slices.Contains(parts, at.part) {
			parts = append(parts, at.part)
		}
	}
	slices.Sort(parts)
	_ = json.NewEncoder(w).Encode(map[string]any{"parts": parts, "has_more": false})
}

func (s *Store) handleFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	var after uint64
	var wait int64
	if json.Unmarshal([]byte(q.Get("after")), &after) != nil || json.Unmarshal([]byte(q.Get("wait_ms")), &wait) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(min(time.Duration(wait)*time.Millisecond, maxWait))
	for {
		s.mu.Lock()
		p, gone, changed := page{Rows: []row{}}, after < s.historyStart || after > s.version, s.changed
		for _, h := range s.history {
			if h.Table == q.Get("table_name") && h.Version > after {
				p.Rows = append(p.Rows, h)
			}
		}
		if gone {
			w.WriteHeader(http.StatusGone)
		} else if len(p.Rows) > 0 {
			s.writePage(w, http.StatusOK, p)
		}
		s.mu.Unlock()
		if gone || len(p.Rows) > 0 {
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.mu.Lock()
			s.writePage(w, http.StatusOK, p)
			s.mu.Unlock()
			return
		case <-r.Context().Done():
			return
		}
	}
}

// writePage writes a page with the newest version. The caller must hold s.mu.
func (s *Store) writePage(w http.ResponseWriter, status int, p page) {
	p.Version, p.Now = s.version, time.Since(s.start).Seconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}
