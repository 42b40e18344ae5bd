package proxy

import (
	"context"
	"crypto/sha256"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
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
	released chan struct{}
	release  func()
}

func hold(c net.Conn) *heldConn {
	h := &heldConn{Conn: c, released: make(chan struct{})}
	h.release = sync.OnceFunc(func() { close(h.released) })
	return h
}

func (h *heldConn) Write(p []byte) (int, error) {
	if h.writes.Add(1) == 1 {
		return h.Conn.Write(p)
	}
	n, err := h.Conn.Write(p)
	<-h.released
	if h.taken.Add(int64(len(p))) <= bufferLimit+bufferLimit/4 {
		return len(p), nil
	}
	return n, err
}

func (h *heldConn) Close() error {
	defer h.release()
	return h.Conn.Close()
}

// TestResentBodyIsWhole guards against a call that is sent again without a piece of
// its body, which the first attempt still took from the caller's connection after it
// had ended, or beside the second one; the server takes the rest for the whole.
func TestResentBodyIsWhole(t *testing.T) {
	early := func(w http.ResponseWriter, status int, size int) {
		_ = http.NewResponseController(w).EnableFullDuplex() // responds before the body is read
		w.WriteHeader(status)
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	}
	const large = 2 * bufferLimit
	for _, c := range []struct {
		name       string
		atMostOnce bool
		mayFail    bool
		first      http.HandlerFunc // response of the first server
	}{
		{"refused", true, false, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderNotRun, "true")
			early(w, http.StatusServiceUnavailable, 0)
		}},
		{"refused at length", true, false, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderNotRun, "true")
			early(w, http.StatusServiceUnavailable, large)
		}},
		{"failed", false, false, func(w http.ResponseWriter, _ *http.Request) { early(w, http.StatusInternalServerError, 0) }},
		{"failed at length", false, false, func(w http.ResponseWriter, _ *http.Request) { early(w, http.StatusServiceUnavailable, large) }},
		{"connection closed", false, false, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
		{"slow", false, true, func(http.ResponseWriter, *http.Request) { time.Sleep(2 * time.Second) }},
	} {
		for _, local := range []bool{false, true} {
			m := newMesh(t)
			m.local = local
			m.serveGate = serveGate(t)
			m.routes[0].AtMostOnce, m.routes[0].Timeout = c.atMostOnce, time.Second
			sent := make([]byte, largeBody)
			_, _ = rand.NewChaCha8([32]byte{1}).Read(sent) // never fails
			var calls, damaged atomic.Int64
			run := func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) == 1 {
					c.first(w, r)
					return
				}
				got, err := io.ReadAll(r.Body)
				if err == nil && sha256.Sum256(got) != sha256.Sum256(sent) {
					damaged.Add(1)
				}
			}
			var first atomic.Pointer[heldConn]
			m.transports = NewTransports(TransportConfig{dial: func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
				if h := first.Load(); h != nil {
					if c.mayFail {
						h.release()
					}
					time.Sleep(resendDelay)
				}
				conn, err := dial(ctx, addr, netip.Addr{})
				if err != nil || first.Load() != nil {
					return conn, err
				}
				h := hold(conn)
				first.Store(h)
				return h, nil
			}})
			m.start(http.HandlerFunc(run), http.HandlerFunc(run))
			u := &uploadMesh{mesh: m}
			u.serveEntry(0)
			// Without a length, the server can't notice that a piece is missing.
			client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			r, err := client.Post("http://"+u.addr+"/stock", "application/octet-stream", struct{ io.Reader }{strings.NewReader(string(sent))})
			status := 0
			if err == nil {
				status = r.StatusCode
				_ = r.Body.Close()
			} else if !c.mayFail {
				t.Errorf("%s, local %t: %v", c.name, local, err)
			}
			if got := damaged.Load(); got != 0 {
				t.Errorf("%s, local %t: got %d bodies with other bytes than were sent, want none", c.name, local, got)
			}
			if status != http.StatusOK && !c.mayFail {
				t.Errorf("%s, local %t: got status %d after %d attempts, want 200", c.name, local, status, calls.Load())
			}
		}
	}
}
