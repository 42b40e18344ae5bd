package proxy

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/host"
)

// TestRepeatedRefusalIsNotTakenForAnother guards against a server that writes an
// earlier refusal, which does not name its call, once more on a connection that was
// in use again: the next call would be reported as not run while the server runs it.
func TestRepeatedRefusalIsNotTakenForAnother(t *testing.T) {
	for _, d := range []Dialect{{}, {CallID: "Attempt", NotRun: "Not-Executed"}} {
		notRun := cmp.Or(d.NotRun, HeaderNotRun)
		var ran atomic.Int64
		var first atomic.Value // net.Conn
		addr := rawServer(t, func(n int64, r *http.Request, conn net.Conn) bool {
			refusal := "HTTP/1.1 503 Service Unavailable\r\n" + notRun + ": true\r\nContent-Length: 0\r\n\r\n"
			if n == 1 {
				first.Store(conn)
				_, _ = io.WriteString(conn, refusal)
				return true
			}
			if conn == first.Load() {
				_, _ = io.WriteString(conn, refusal)
			}
			ran.Add(1)
			text := "HTTP/1.1 200 OK\r\n" + d.callIDHeader() + ": " + r.Header.Get(d.callIDHeader()) + "\r\nContent-Length: 0\r\n\r\n"
			_, _ = io.WriteString(conn, text)
			return true
		})
		m := newMesh(t)
		m.dialect, m.local, m.routes[0].Retries = d, true, 0
		m.transports = NewTransports(TransportConfig{Dialect: d})
		m.startRows([]backend.Server{{ID: "stock-0", Service: "stock", Host: "host-0", Addr: addr, State: backend.Ready, Stamp: host.Stamp{Sequence: 1}}}, nil)
		for call, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
			if got := m.do("GET", "/stock", "", "Attempt", fmt.Sprint("call-", call)); got.StatusCode != want {
				t.Errorf("%+v, call %d: got %d, want %d", d, call, got.StatusCode, want)
			}
		}
		if got, want := ran.Load(), int64(1); got != want {
			t.Errorf("%+v: got %d runs, want %d", d, got, want)
		}
	}
}

// TestRefusalWithoutProofIsNoPromise guards against a caller that takes the status of a server
// for the promise that an unsafe call was not run, and sends it again, although the server
// ran it.
func TestRefusalWithoutProofIsNoPromise(t *testing.T) {
	for _, status := range []int{408, 429, 503, 500, 404} {
		for _, c := range []struct{ promises, atMostOnce, proved bool }{{true, true, false}, {true, false, false}, {false, true, false}, {true, true, true}} {
			m := newMesh(t)
			m.dialect = Dialect{CallID: "Attempt", NotRun: "Not-Executed", StatusPromises: c.promises}
			m.transports = NewTransports(TransportConfig{Dialect: m.dialect})
			m.routes[0].AtMostOnce, m.routes[0].Retries = c.atMostOnce, 0
			m.start(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Attempt", r.Header.Get("Attempt"))
				w.Header().Set("X-Seal", "s")
				if c.proved {
					w.Header().Set("Not-Executed", "1")
				}
				w.WriteHeader(status)
			}))
			want := status
			switch {
			case c.proved:
				want = http.StatusServiceUnavailable
			case c.promises && c.atMostOnce && status != 500 && status != 404:
				want = http.StatusBadGateway
			}
			got := m.do("GET", "/stock", "", "Attempt", "call-1")
			if got.StatusCode != want || (got.Header.Get("X-Seal") != "") != (want == status && !c.proved) {
				t.Errorf("%+v, status %d: got %d with header %v, want %d", c, status, got.StatusCode, got.Header, want)
			}
		}
	}
}

// TestStrayResponseIsNotTakenForTheNext guards against a server that sends a second
// response without an id after a proper one, late, when the next call is running: that
// call would run at a second server too, or its caller would get the status of the stray
// response.
func TestStrayResponseIsNotTakenForTheNext(t *testing.T) {
	named := Dialect{CallID: "Attempt", NotRun: "Not-Executed"}
	for _, c := range []struct {
		dialect      Dialect
		stray        string
		atMostOnce   bool
		status, runs int
	}{
		{named, "503 Service Unavailable\r\nNot-Executed: 1", true, 200, 2},
		{named, "503 Service Unavailable\r\nNot-Executed: 1", false, 200, 2},
		{named, "421 Misdirected Request", true, 200, 2},
		{named, "429 Too Many Requests\r\nNot-Executed: 1", true, 200, 2},
		{named, "408 Request Timeout", true, 200, 2},
		{named, "500 Internal Server Error", true, 200, 2},
		{named, "404 Not Found", false, 200, 2},
		// Servers need not echo the built-in id, so that the outcome is unknown.
		{Dialect{}, "503 Service Unavailable\r\n" + HeaderNotRun + ": true", true, 502, 2},
		{Dialect{}, "503 Service Unavailable\r\n" + HeaderNotRun + ": true", false, 200, 3},
	} {
		var runs atomic.Int64
		serve := func(n int64, r *http.Request, conn net.Conn) bool {
			if n > 1 {
				fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n", c.stray)
			}
			runs.Add(1)
			time.Sleep(20 * time.Millisecond)
			name := c.dialect.callIDHeader()
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", name, r.Header.Get(name))
			return true
		}
		sound := func(_ int64, r *http.Request, conn net.Conn) bool { return serve(1, r, conn) }
		m := newMesh(t)
		m.dialect, m.local = c.dialect, true
		m.routes[0].AtMostOnce, m.routes[0].Retries = c.atMostOnce, 1
		m.transports = NewTransports(TransportConfig{Dialect: c.dialect})
		rows := m.rawRows(rawServer(t, serve))
		m.startRows(rows, nil)
		if got := m.do("GET", "/stock", "", "Attempt", "call-1"); got.StatusCode != http.StatusOK {
			t.Fatalf("first call: got %d, want 200", got.StatusCode)
		}
		// A second server, to which the call could be sent again.
		other := rows[0]
		other.ID, other.Addr = "stock-1", rawServer(t, sound)
		m.view.Servers = append(m.view.Servers, other)
		m.pool.Update(m.view)
		m.gate.Update(m.services(), m.view.Servers)
		m.pool.SetHealth("stock-1", false) // the first server is preferred
		got := m.do("GET", "/stock", "", "Attempt", "call-2")
		if got.StatusCode != c.status || runs.Load() != int64(c.runs) {
			t.Errorf("%q, at most once %t: got %d after %d runs of two calls, want %d after %d", c.stray, c.atMostOnce, got.StatusCode, runs.Load(), c.status, c.runs)
		}
	}
}
