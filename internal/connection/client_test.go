package connection_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/connection"
	"github.com/peridotlb/peridotlb/internal/header"
)

// peer accepts connections and serves each with a function that gets its number,
// starting at 1.
func peer(t *testing.T, serve func(n int64, in *bufio.Reader, c net.Conn)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	t.Cleanup(func() { _ = l.Close(); group.Wait() })
	var count atomic.Int64
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(30 * time.Second)) // limits a test that hangs
				serve(count.Add(1), bufio.NewReader(c), c)
			})
		}
	})
	return netip.MustParseAddrPort(l.Addr().String())
}

func newClient(t *testing.T) *connection.Client {
	c := connection.NewClient(connection.ClientConfig{
		Dial: func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", addr.String())
		},
		IdleTimeout: time.Minute, MaxIdleConns: 4,
		Matches: func(m *connection.Message, r *http.Response, _ bool) bool {
			return r.Header.Get("Id") == m.Header.Get("Id")
		},
	})
	t.Cleanup(c.CloseIdle)
	return c
}

func message(id, body string) *connection.Message {
	return &connection.Message{Method: "POST", Target: "/a?b=c", Authority: "x", Header: http.Header{"Id": {id}}, Body: []byte(body), Length: int64(len(body))}
}

func roundTrip(ctx context.Context, c *connection.Client, addr netip.AddrPort, m *connection.Message) (string, error) {
	r, err := c.Send(ctx, addr, m, connection.Options{})
	if err != nil {
		return "", err
	}
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	return string(body), err
}

// respond reads one request and answers it with a text and the request body. An
// empty id echoes the Id of the request.
func respond(in *bufio.Reader, c net.Conn, id, text string) bool {
	r, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	if id == "" {
		id = r.Header.Get("Id")
	}
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(text)+len(body), text+string(body))
	return true
}

// Guards against reusing a connection that has unread bytes that no request asked
// for, that the peer has closed, or whose end the peer announced with Connection:
// close.
func TestConnectionIsNotReused(t *testing.T) {
	for name, after := range map[string]func(c net.Conn){
		"closed":            func(c net.Conn) { _ = c.Close() },
		"extra bytes":       func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 5\r\n\r\nextra") },
		"Connection: close": func(net.Conn) {},
	} {
		done := make(chan struct{}, 2)
		addr := peer(t, func(n int64, in *bufio.Reader, c net.Conn) {
			if name == "Connection: close" {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\nContent-Length: 1\r\n\r\n%d", r.Header.Get("Id"), n)
			} else if !respond(in, c, "", fmt.Sprint(n)) {
				return
			}
			if n == 1 {
				after(c)
			}
			done <- struct{}{}
			_, _ = io.Copy(io.Discard, in)
		})
		c := newClient(t)
		for i, want := range []string{"1", "2"} {
			got, err := roundTrip(t.Context(), c, addr, message(fmt.Sprint(i+1), ""))
			if err != nil || got != want {
				t.Errorf("%s: got %q, error %v, want %q", name, got, err, want)
			}
			<-done
			time.Sleep(time.Millisecond) // until the actions of the peer take effect
		}
		c.CloseIdle()
	}
}

// Guards against taking a late response to an earlier request for the matching one.
func TestLateResponseIsDiscarded(t *testing.T) {
	addr := peer(t, func(_ int64, in *bufio.Reader, c net.Conn) {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: earlier\r\nContent-Length: 4\r\n\r\nlate")
		respond(in, c, "", "due")
	})
	if got, err := roundTrip(t.Context(), newClient(t), addr, message("1", "")); err != nil || got != "due" {
		t.Errorf("got %q, error %v, want due", got, err)
	}
	addr = peer(t, func(_ int64, in *bufio.Reader, c net.Conn) {
		for range 9 {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: earlier\r\nContent-Length: 4\r\n\r\nlate")
		}
		respond(in, c, "", "due")
	})
	if got, err := roundTrip(t.Context(), newClient(t), addr, message("1", "")); !errors.Is(err, connection.ErrResponseMismatch) {
		t.Errorf("got %q, error %v, want %v", got, err, connection.ErrResponseMismatch)
	}
}

// Guards against reporting a request as unsent that may have reached the peer, and
// the reverse.
func TestUnsentRequestIsReported(t *testing.T) {
	read := peer(t, func(_ int64, in *bufio.Reader, _ net.Conn) { _, _ = http.ReadRequest(in) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := netip.MustParseAddrPort(l.Addr().String())
	_ = l.Close()
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for _, c := range []struct {
		name    string
		ctx     context.Context
		addr    netip.AddrPort
		written bool
	}{{"closed port", t.Context(), closed, false}, {"ended context", ended, read, false}, {"no response", t.Context(), read, true}} {
		_, err := roundTrip(c.ctx, newClient(t), c.addr, message("1", ""))
		var e *connection.SendError
		if !errors.As(err, &e) || e.Written != c.written {
			t.Errorf("%s: got %v, want written %t", c.name, err, c.written)
		}
	}
}

// Guards against leaving a request running at the peer after the caller has
// cancelled it.
func TestCancelClosesTheConnection(t *testing.T) {
	gone := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	addr := peer(t, func(_ int64, in *bufio.Reader, _ net.Conn) {
		_, _ = http.ReadRequest(in)
		cancel()
		_, _ = io.Copy(io.Discard, in)
		close(gone)
	})
	if _, err := roundTrip(ctx, newClient(t), addr, message("1", "")); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want %v", err, context.Canceled)
	}
	<-gone
}

// Guards against waiting for a peer to read the request body although it has
// already responded, and against sending other bytes instead of the rest of the
// body.
func TestEarlyResponse(t *testing.T) {
	var connections atomic.Int64
	addr := peer(t, func(n int64, in *bufio.Reader, c net.Conn) {
		connections.Store(n)
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nContent-Length: 5\r\n\r\nearly", r.Header.Get("Id"))
		time.Sleep(10 * time.Millisecond)
		body, _ := io.ReadAll(r.Body)
		if strings.Trim(string(body), "x") != "" {
			t.Errorf("got other bytes in the body of the request")
		}
	})
	c := newClient(t)
	for i := range 2 {
		if got, err := roundTrip(t.Context(), c, addr, message(fmt.Sprint(i), strings.Repeat("x", 8<<20))); err != nil || got != "early" {
			t.Errorf("got %q, error %v, want early", got, err)
		}
	}
	if got := connections.Load(); got != 2 {
		t.Errorf("got %d connections, want 2", got)
	}
}

// Guards against accepting a truncated response without a length as complete.
func TestCloseDelimitedResponse(t *testing.T) {
	for _, reset := range []bool{false, true} {
		addr := peer(t, func(_ int64, in *bufio.Reader, c net.Conn) {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nwhole", r.Header.Get("Id"))
			if reset {
				time.Sleep(10 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		got, err := roundTrip(t.Context(), newClient(t), addr, message("1", ""))
		if reset && err == nil || !reset && (err != nil || got != "whole") {
			t.Errorf("reset %t: got %q, error %v", reset, got, err)
		}
	}
}

// rest is the rest of a body.
type rest struct{ io.Reader }

func (rest) Stop() {}

// Guards against sending a body that is shorter than its length, and against a
// chunked body without a final chunk.
func TestStreamedBody(t *testing.T) {
	addr := peer(t, func(_ int64, in *bufio.Reader, c net.Conn) {
		for respond(in, c, "", "") {
		}
	})
	c := newClient(t)
	for _, length := range []int64{-1, 100_000} {
		m := message("1", strings.Repeat("a", 60_000))
		m.Length, m.Rest = length, rest{strings.NewReader(strings.Repeat("b", 40_000))}
		if got, err := roundTrip(t.Context(), c, addr, m); err != nil || got != strings.Repeat("a", 60_000)+strings.Repeat("b", 40_000) {
			t.Errorf("length %d: got %d bytes, error %v, want 100000", length, len(got), err)
		}
	}
	m := message("1", strings.Repeat("a", 60_000))
	m.Length, m.Rest = 100_000, rest{strings.NewReader("short")}
	if got, err := roundTrip(t.Context(), c, addr, m); err == nil {
		t.Errorf("short body: got %d bytes, want an error", len(got))
	}
}

// Guards against reusing a connection for longer than its peer or the request
// allows.
func TestIdleTime(t *testing.T) {
	var connections atomic.Int64
	addr := peer(t, func(n int64, in *bufio.Reader, c net.Conn) {
		connections.Store(n)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"), r.Header.Get("Want-Keep-Alive"))
		}
	})
	c := newClient(t)
	for i, step := range []struct {
		keepAlive   string
		idle        time.Duration
		connections int64
	}{{"timeout=5, max=100", 0, 1}, {"timeout=0", 0, 1}, {"timeout=5", 0, 2}, {"timeout=5", time.Nanosecond, 3}} {
		m := message(fmt.Sprint(i), "")
		m.Header.Set("Want-Keep-Alive", step.keepAlive)
		r, err := c.Send(t.Context(), addr, m, connection.Options{MaxIdleTime: step.idle})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
		if got := connections.Load(); got != step.connections {
			t.Errorf("step %d: got %d connections, want %d", i, got, step.connections)
		}
	}
}

// TestEndlessHeader guards against reading a response header without end into memory
// until the caller's deadline.
func TestEndlessHeader(t *testing.T) {
	for name, line := range map[string]string{"status line": "x", "fields": "A: b\r\n", "one field": "a"} {
		closed := make(chan int, 1)
		addr := peer(t, func(_ int64, in *bufio.Reader, c net.Conn) {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			text := strings.Repeat(line, 4096)
			if name != "status line" {
				fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: 1\r\nB: c")
			}
			sent := 0
			for sent < 64<<20 {
				n, err := io.WriteString(c, text)
				if sent += n; err != nil {
					break
				}
			}
			closed <- sent
		})
		if got, err := roundTrip(t.Context(), newClient(t), addr, message("1", "")); err == nil {
			t.Errorf("endless %s: got %q, want an error", name, got)
		}
		if got, want := <-closed, 16<<20; got > want {
			t.Errorf("endless %s: the peer could send %d bytes, want at most %d until the connection is closed", name, got, want)
		}
	}
}

// TestCutHeader guards against a response whose header the peer cut short, so that
// its length is missing, and which is taken for one that ends with its connection.
func TestCutHeader(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: x\r\nContent-Length: 4\r\n\r\nbead"
	for size := range strings.Index(response, "bead") {
		addr := peer(t, func(_ int64, in *bufio.Reader, c net.Conn) {
			if _, err := http.ReadRequest(in); err == nil {
				_, _ = io.WriteString(c, response[:size])
			}
		})
		if got, err := roundTrip(t.Context(), newClient(t), addr, message("1", "")); err == nil {
			t.Errorf("header cut after %q: got %q without an error", response[:size], got)
		}
	}
}

// Guards against a server that gets the caller's own timeout, length or encoding beside
// those of the request, however the caller spells their names.
func TestEachHeaderIsSentOnce(t *testing.T) {
	caller := "POST /a HTTP/1.1\r\nHost: x\r\nx-deadline-ms: 900\r\nX-DEADLINE-MS: 800\r\nX-Deadline-Ms : 700\r\ncontent-length: 2\r\nContent-Length: 2\r\nX-Other: 1\r\n\r\nab"
	for _, length := range []int64{-1, 2} {
		sent := make(chan string, 1)
		addr := peer(t, func(_ int64, in *bufio.Reader, c net.Conn) {
			var text strings.Builder
			for line := ""; line != "\r\n"; text.WriteString(line) {
				if line, _ = in.ReadString('\n'); line == "" {
					break
				}
			}
			sent <- text.String()
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		})
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(caller)))
		if err != nil {
			t.Fatal(err)
		}
		r.Header["Transfer-Encoding"], r.Header["Trailer"], r.Header["Host"] = []string{"gzip"}, []string{"X-Sum"}, []string{"y"}
		m := &connection.Message{Method: "POST", Target: "/a", Authority: "x", Header: r.Header, Fields: []connection.Field{{Name: "X-Deadline-Ms", Value: "50"}}, Body: []byte("ab"), Length: length}
		_, _ = roundTrip(t.Context(), newClient(t), addr, m)
		framing := "Content-Length: 2\r\n"
		if length < 0 {
			framing = "Transfer-Encoding: chunked\r\n"
		}
		if got, want := <-sent, "POST /a HTTP/1.1\r\nHost: x\r\nX-Other: 1\r\nX-Deadline-Ms: 50\r\n"+framing+"\r\n"; got != want {
			t.Errorf("length %d: got %q, want %q", length, got, want)
		}
	}
}

// Guards against errors, which are logged, that quote a malformed response: it may hold
// what a caller must not see.
func TestMalformedResponseIsNotQuoted(t *testing.T) {
	for _, text := range []string{
		"Content-Length: secret\r\n\r\n",
		"Transfer-Encoding: secret\r\n\r\n",
		"A secret: b\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n0\r\nsecret\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n0\r\nA secret: b\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n0\r\nA\x01secret: b\r\n\r\n",
	} {
		addr := peer(t, func(_ int64, in *bufio.Reader, c net.Conn) {
			if _, err := http.ReadRequest(in); err == nil {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: 1\r\n%s", text)
			}
		})
		_, err := roundTrip(t.Context(), newClient(t), addr, message("1", ""))
		if !errors.Is(err, header.ErrMalformed) || strings.Contains(err.Error(), "secret") {
			t.Errorf("%q: got error %v, want %v without a quotation", text, err, header.ErrMalformed)
		}
	}
}
