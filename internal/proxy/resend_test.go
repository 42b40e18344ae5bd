package proxy

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/peridotlb/peridotlb/internal/connection"
)

const (
	// largeBody is the size of a body in bytes that is streamed beyond its first part.
	largeBody = 3 * bufferLimit
	// resendDelay is the time by which the second connection of a test is late, so
	// that whatever still reads for the first one comes before it.
	resendDelay = 50 * time.Millisecond
)

// heldConn is a connection whose writes after the first one (the header) return only
// when the connection is closed, or released. Those of the first part of a large body
// have succeeded then, like a write whose goroutine is not resumed at once.
type heldConn struct {
	net.Conn
	writes   atomic.Int64
	taken    atomic.Int64 // bytes that were taken after the header
	closes   atomic.Int64
	keep     bool // only release releases it
	released chan struct{}
	release  func()
	onBody   func() // called when the first part of the body was written
}

func hold(c net.Conn, onBody func()) *heldConn {
	h := &heldConn{Conn: c, released: make(chan struct{}), onBody: onBody}
	h.release = sync.OnceFunc(func() { close(h.released) })
	return h
}

func (h *heldConn) Write(p []byte) (int, error) {
	write := h.writes.Add(1)
	n, err := h.Conn.Write(p)
	switch write {
	case 1:
		return n, err
	case 2:
		h.onBody()
	}
	<-h.released
	if h.taken.Add(int64(len(p))) <= bufferLimit+bufferLimit/4 {
		return len(p), nil
	}
	return n, err
}

func (h *heldConn) Close() error {
	h.closes.Add(1)
	if !h.keep {
		defer h.release()
	}
	return h.Conn.Close()
}

// countedBody counts the reads of a request body.
type countedBody struct {
	io.ReadCloser
	reads *atomic.Int64
}

func (b countedBody) Read(p []byte) (int, error) {
	b.reads.Add(1)
	return b.ReadCloser.Read(p)
}

// resendCase is a case of TestResentBodyIsWhole.
type resendCase struct {
	name       string
	atMostOnce bool
	mayFail    bool // the status is not checked
	release    bool // the first connection is released when the next one is opened
	last       bool // the call ends with its first attempt, after which the body must not be read
	pair       bool // the connections of two attempts are held, and released together
	cut        bool // the caller sends two thirds of the body and disconnects
	dialect    Dialect
	// first responds to the first request; nil handles it like the others. gone ends
	// the context of the call, like a caller that is found to have disconnected.
	first func(w http.ResponseWriter, r *http.Request, gone func())
}

// TestResentBodyIsWhole guards against a call that is sent again without a piece of
// its body, which the first attempt still took from the caller's connection after it
// had ended, or beside the second one; the server takes the rest for the whole.
func TestResentBodyIsWhole(t *testing.T) {
	early := func(status, size int, header ...string) func(http.ResponseWriter, *http.Request, func()) {
		return func(w http.ResponseWriter, _ *http.Request, _ func()) {
			_ = http.NewResponseController(w).EnableFullDuplex() // responds before the body is read
			for _, name := range header {
				w.Header().Set(name, "true")
			}
			w.WriteHeader(status)
			_, _ = io.WriteString(w, strings.Repeat("x", size))
		}
	}
	hang := func(http.ResponseWriter, *http.Request, func()) { time.Sleep(2 * time.Second) }
	const large = 2 * bufferLimit
	for _, c := range []resendCase{
		{name: "refused", atMostOnce: true, first: early(http.StatusServiceUnavailable, 0, HeaderNotRun)},
		{name: "refused at length", atMostOnce: true, first: early(http.StatusServiceUnavailable, large, HeaderNotRun)},
		{name: "status 421", atMostOnce: true, dialect: Dialect{NotRun: "X-Not-Run"}, first: early(http.StatusMisdirectedRequest, 0)},
		{name: "status 421 at length", atMostOnce: true, dialect: Dialect{NotRun: "X-Not-Run"}, first: early(http.StatusMisdirectedRequest, large)},
		{name: "failed", first: early(http.StatusInternalServerError, 0)},
		{name: "failed at length", first: early(http.StatusServiceUnavailable, large)},
		{name: "connection closed", first: func(w http.ResponseWriter, _ *http.Request, _ func()) {
			// A panic would read on in the body before it closes the connection.
			if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
				_ = conn.Close()
			}
		}},
		{name: "slow", mayFail: true, release: true, first: hang},
		{name: "hedged pair", pair: true},
		{name: "deadline passed", atMostOnce: true, last: true, mayFail: true, first: hang},
		{name: "caller gone", atMostOnce: true, last: true, mayFail: true, first: func(_ http.ResponseWriter, _ *http.Request, gone func()) { gone() }},
		{name: "caller disconnects", atMostOnce: true, cut: true, mayFail: true, first: early(http.StatusServiceUnavailable, 0, HeaderNotRun)},
	} {
		for _, local := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, local %t", c.name, local), func(t *testing.T) { c.run(t, local) })
		}
	}
}

func (c resendCase) run(t *testing.T, local bool) {
	var calls, damaged, reads atomic.Int64
	t.Cleanup(func() { // after the servers have stopped
		if got := damaged.Load(); got != 0 {
			t.Errorf("got %d bodies with other bytes than were sent, want none", got)
		}
	})
	m := newMesh(t)
	m.local, m.serveGate, m.dialect = local, serveGate(t), c.dialect
	m.routes[0].AtMostOnce, m.routes[0].Timeout = c.atMostOnce, time.Second
	if c.pair {
		m.routes[0].Timeout = 3 * time.Second // the second half is for both attempts
	}
	sent := make([]byte, largeBody)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(sent) // never fails
	var gone atomic.Pointer[context.CancelFunc]
	run := func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 && c.first != nil {
			c.first(w, r, *gone.Load())
			return
		}
		got, err := io.ReadAll(r.Body)
		if err == nil && sha256.Sum256(got) != sha256.Sum256(sent) {
			damaged.Add(1)
		}
	}
	connections := &heldConnections{resendCase: c, mesh: m, reads: &reads}
	m.transports = NewTransports(TransportConfig{dial: connections.dial})
	m.start(http.HandlerFunc(run), http.HandlerFunc(run))
	entry := NewEntry(m.config)
	ended := make(chan struct{})
	addr := serveConnections(t, NewEntryServer(ServerConfig{Limits: connection.DefaultLimits, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		ctx, cancel := context.WithCancel(r.Context())
		gone.Store(&cancel)
		r.Body = countedBody{r.Body, &reads}
		entry.ServeHTTP(w, r.WithContext(ctx))
	})}))
	// Without a length, the server can't notice that a piece is missing.
	var body io.Reader = bytes.NewReader(sent)
	if c.cut {
		body = io.MultiReader(bytes.NewReader(sent[:largeBody*2/3]), iotest.ErrReader(io.ErrClosedPipe))
	}
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Post("http://"+addr.String()+"/stock", "application/octet-stream", struct{ io.Reader }{body})
	status := 0
	if err == nil {
		status = r.StatusCode
		_ = r.Body.Close()
	}
	<-ended
	if status != http.StatusOK && !c.mayFail {
		t.Errorf("got status %d, %v after %d attempts, want 200", status, err, calls.Load())
	}
	if c.cut && local { // another gate finds that the body is cut before it calls its server
		limit := time.Now().Add(10 * time.Second)
		for calls.Load() < 2 && time.Now().Before(limit) {
			time.Sleep(time.Millisecond)
		}
		if got := calls.Load(); got != 2 {
			t.Errorf("got %d attempts, want 2", got)
		}
	}
	if c.last {
		connections.checkNotRead(t)
	}
}

// heldConnections opens the connections of a case. Those of the entry are held: the
// first, or the first two of a pair.
type heldConnections struct {
	resendCase
	mesh  *mesh
	reads *atomic.Int64 // of the caller's body

	mu      sync.Mutex
	held    []*heldConn
	written int // held connections to which the first part of the body was written
}

func (h *heldConnections) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	h.mu.Lock()
	later := len(h.held) > 0
	if later && h.release {
		h.held[0].release()
	}
	h.mu.Unlock()
	if later {
		time.Sleep(resendDelay)
	}
	conn, err := dial(ctx, addr, netip.Addr{})
	ofEntry := h.mesh.local || !slices.Contains(h.mesh.backends, addr)
	if err != nil || later && !h.pair || !ofEntry {
		return conn, err
	}
	h.reads.Store(0)
	c := hold(conn, h.bodyWritten)
	c.keep = h.last
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held = append(h.held, c)
	return c, nil
}

// bodyWritten releases the connections of a pair once both attempts are about to read
// the rest of the body.
func (h *heldConnections) bodyWritten() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.written++; h.pair && h.written == 2 {
		for _, c := range h.held {
			c.release()
		}
	}
}

// checkNotRead lets the goroutine go on that writes the body for an attempt that has
// ended, and checks that it doesn't read the rest.
func (h *heldConnections) checkNotRead(t *testing.T) {
	c := h.held[0]
	closes := c.closes.Load()
	c.release()
	for limit := time.Now().Add(10 * time.Second); c.closes.Load() == closes; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("the goroutine that writes the body has not closed the connection")
		}
	}
	if got := h.reads.Load(); got != 0 {
		t.Errorf("the body was read %d times for an attempt that had ended, want 0", got)
	}
}
