package connection_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/peridotlb/peridotlb/internal/connection"
)

// start serves a handler on the loopback interface.
func start(t *testing.T, h http.HandlerFunc, limits connection.Limits) (*connection.Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := connection.NewServer(connection.ServerConfig{Handler: h, Limits: func() connection.Limits { return limits }})
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-done; err != nil {
			t.Errorf("serve: got %v, want no error", err)
		}
	})
	return s, l.Addr().String()
}

// rawClient is a client that sends raw text.
type rawClient struct {
	net.Conn
	t  *testing.T
	in *bufio.Reader
}

func newRawClient(t *testing.T, addr string) *rawClient {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(30 * time.Second)) // limits a test that hangs
	return &rawClient{c, t, bufio.NewReader(c)}
}

func (c *rawClient) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// receive reads a response and its body.
func (c *rawClient) receive() (*http.Response, string) {
	c.t.Helper()
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatalf("read a response: %v", err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		c.t.Fatalf("read a body: %v", err)
	}
	return r, string(body)
}

func getRequest(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

// Guards against not delivering a finished response because an earlier request on
// its connection does not end before the server stops.
func TestCancelInFlightSendsFinishedResponses(t *testing.T) {
	s, addr := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-r.Context().Done()
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		fmt.Fprint(w, "ready")
	}, connection.DefaultLimits())
	c := newRawClient(t, addr)
	c.send("GET /slow HTTP/1.1\r\nHost: a\r\n\r\nGET /fast HTTP/1.1\r\nHost: a\r\n\r\n")
	for s.InFlight() < 2 {
		time.Sleep(time.Millisecond)
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := s.Shutdown(shutdownCtx); err == nil {
		t.Fatal("got no error, want one because a request is in flight")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	cancelled := make(chan error, 1)
	go func() { cancelled <- s.CancelInFlight(ctx) }()
	for _, want := range []string{"502", "200"} {
		r, err := http.ReadResponse(c.in, nil)
		if err != nil {
			t.Fatalf("want status %s: %v", want, err)
		}
		if got := r.Status[:3]; got != want {
			t.Errorf("got status %s, want %s", got, want)
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
	_ = c.Close()
	if err := <-cancelled; err != nil {
		t.Errorf("cancel the requests in flight: %v", err)
	}
}

// Guards against reading a request only after the previous one was answered, and
// against responses in another order than the requests.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	arrived, release := make(chan string, 3), make(chan struct{})
	_, addr := start(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- r.URL.Path
		if r.URL.Path == "/1" {
			<-release
		}
		fmt.Fprint(w, r.URL.Path)
	}, connection.DefaultLimits())
	c := newRawClient(t, addr)
	c.send(getRequest("/1") + getRequest("/2") + getRequest("/3"))
	for range 3 {
		<-arrived
	}
	close(release)
	for _, want := range []string{"/1", "/2", "/3"} {
		if _, got := c.receive(); got != want {
			t.Errorf("got response %q, want %q", got, want)
		}
	}
}

// Guards against leaving a request running after its client disconnected, also when
// bytes of another request are buffered behind it.
func TestClientDisconnects(t *testing.T) {
	for _, behind := range []string{"", getRequest("/2"), "GET /2 HTTP/1.1\r\nHo"} {
		running, cancelled := make(chan struct{}, 2), make(chan struct{}, 2)
		_, addr := start(t, func(_ http.ResponseWriter, r *http.Request) {
			running <- struct{}{}
			<-r.Context().Done()
			cancelled <- struct{}{}
		}, connection.DefaultLimits())
		c := newRawClient(t, addr)
		c.send(getRequest("/1") + behind)
		<-running
		_ = c.Close()
		<-cancelled
	}
}

// Guards against a shutdown that cuts off requests: one that is running, one behind
// it on its connection, and one on a connection that was accepted just before.
func TestShutdownAnswersReadRequests(t *testing.T) {
	running, release := make(chan struct{}, 3), make(chan struct{})
	s, addr := start(t, func(w http.ResponseWriter, r *http.Request) {
		running <- struct{}{}
		if r.URL.Path == "/slow" {
			<-release
		}
		fmt.Fprint(w, r.URL.Path)
	}, connection.DefaultLimits())
	// Connections are accepted in order, so the response on idle shows that fresh
	// was accepted.
	fresh, busy, idle := newRawClient(t, addr), newRawClient(t, addr), newRawClient(t, addr)
	idle.send(getRequest("/idle"))
	idle.receive()
	busy.send(getRequest("/slow") + getRequest("/behind"))
	for range 3 {
		<-running
	}
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	if _, err := idle.in.ReadByte(); err == nil {
		t.Error("idle connection: got a byte, want it closed")
	}
	fresh.send(getRequest("/fresh"))
	if r, got := fresh.receive(); got != "/fresh" || !r.Close {
		t.Errorf("accepted connection: got %q, close %t, want /fresh and true", got, r.Close)
	}
	close(release)
	if r, got := busy.receive(); got != "/slow" || r.Close {
		t.Errorf("first request: got %q, close %t, want /slow and false", got, r.Close)
	}
	if r, got := busy.receive(); got != "/behind" || !r.Close {
		t.Errorf("second request: got %q, close %t, want /behind and true", got, r.Close)
	}
	_, _ = busy.Close(), fresh.Close()
	if err := <-stopped; err != nil {
		t.Errorf("shutdown: got %v, want no error", err)
	}
}

// Guards against reading further requests during a shutdown from a connection with
// a long request in flight, since the shutdown would cut them off.
func TestShutdownReadsNoFurtherRequests(t *testing.T) {
	running, release := make(chan string, 3), make(chan struct{})
	s, addr := start(t, func(w http.ResponseWriter, r *http.Request) {
		running <- r.URL.Path
		<-release
		fmt.Fprint(w, r.URL.Path)
	}, connection.DefaultLimits())
	c := newRawClient(t, addr)
	c.send(getRequest("/1"))
	<-running
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	for _, err := net.Dial("tcp", addr); err == nil; _, err = net.Dial("tcp", addr) {
		time.Sleep(time.Millisecond) // until the listener is closed
	}
	time.Sleep(10 * time.Millisecond) // connections stop reading after the listener is closed
	c.send(getRequest("/2"))
	time.Sleep(10 * time.Millisecond)
	close(release)
	if r, got := c.receive(); got != "/1" || !r.Close {
		t.Errorf("got %q, close %t, want /1 and true", got, r.Close)
	}
	_ = c.Close()
	if err := <-stopped; err != nil {
		t.Errorf("shutdown: got %v, want no error", err)
	}
	if len(running) != 0 {
		t.Errorf("got a run of %s after the shutdown, want none", <-running)
	}
}

// Guards against running a request that follows a response with Connection: close,
// because the client sends such a request again.
func TestNoRequestRunsAfterLastResponse(t *testing.T) {
	var runs atomic.Int64
	s, addr := start(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		fmt.Fprint(w, "ok")
	}, connection.DefaultLimits())
	s.DisableKeepAlives()
	c := newRawClient(t, addr)
	c.send(getRequest("/1"))
	if r, _ := c.receive(); !r.Close {
		t.Error("got a response without Connection: close, want one with it")
	}
	c.send(getRequest("/2"))
	if n, err := io.Copy(io.Discard, c.in); n != 0 && err == nil {
		t.Errorf("got %d bytes after the last response, want none", n)
	}
	if got := runs.Load(); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}

// Guards against serving requests that exceed the limits, or not answering them at
// all.
func TestLimits(t *testing.T) {
	limits := connection.Limits{HeaderBytes: 8 << 10, BodyBytes: 100, HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond}
	_, addr := start(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }, limits)
	for _, c := range []struct {
		request string
		status  int
	}{
		{"GET / HTTP/1.1\r\nHost: x\r\nLong: " + strings.Repeat("x", 9<<10) + "\r\n\r\n", 431},
		{"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n", 413},
		{"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(strings.Repeat("x", 101)), 413},
		{"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(strings.Repeat("x", 100)) + "0\r\n\r\n", 200},
		{"GET / HTTP/1.1\r\nHost", 408},
		{"nonsense\r\n\r\n", 400},
		{"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc", 200},
	} {
		client := newRawClient(t, addr)
		client.send(c.request)
		if r, _ := client.receive(); r.StatusCode != c.status {
			t.Errorf("%.30q: got %d, want %d", c.request, r.StatusCode, c.status)
		}
	}
	idle := newRawClient(t, addr)
	if _, err := idle.in.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: got %v, want it closed", err)
	}
}

// Guards against bodies that are truncated, mixed with the next request, or framed
// so that the client cannot find their end.
func TestBodies(t *testing.T) {
	_, addr := start(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Errorf("read the body: %v", err)
		}
		for len(body) > 0 {
			n, _ := w.Write(body[:min(len(body), 10_000)])
			body = body[n:]
		}
	}, connection.DefaultLimits())
	for _, size := range []int{0, 1, 4096, 64 << 10, 64<<10 + 1, 300_000} {
		body := strings.Repeat("x", size)
		c := newRawClient(t, addr)
		for _, request := range []string{
			fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, body),
			fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%s0\r\n\r\n", chunk(body)),
		} {
			go c.send(request)
			if r, got := c.receive(); r.StatusCode != 200 || got != body {
				t.Errorf("%d bytes: got %d and %d bytes", size, r.StatusCode, len(got))
			}
		}
	}
}

func chunk(body string) string {
	if body == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
}

// Guards against parsing the unread rest of a body as the next request.
func TestUnreadBodyEndsTheConnection(t *testing.T) {
	var runs atomic.Int64
	_, addr := start(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		fmt.Fprint(w, "early")
	}, connection.DefaultLimits())
	c := newRawClient(t, addr)
	c.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat(getRequest("/smuggled"), 2000))
	if r, got := c.receive(); got != "early" || !r.Close {
		t.Errorf("got %q, close %t, want early and true", got, r.Close)
	}
	_, _ = io.Copy(io.Discard, c.in)
	if got := runs.Load(); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}

// Guards against a partial response that looks complete after its handler panicked.
func TestPanicClosesConnection(t *testing.T) {
	_, addr := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			_, _ = w.Write(make([]byte, 100_000))
		}
		fmt.Fprint(w, "part")
		panic(http.ErrAbortHandler)
	}, connection.DefaultLimits())
	for _, path := range []string{"/small", "/large"} {
		c := newRawClient(t, addr)
		c.send(getRequest(path))
		r, err := http.ReadResponse(c.in, nil)
		if err == nil {
			_, err = io.ReadAll(r.Body)
		}
		if err == nil {
			t.Errorf("%s: got a complete response, want a truncated one", path)
		}
	}
}

// Guards against a log line that holds a key, when the line of a request that the
// parser quotes in its error is an Authorization header.
func TestRejectedRequestIsNotQuoted(t *testing.T) {
	core, logs := observer.New(zapcore.DebugLevel)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := connection.NewServer(connection.ServerConfig{Limits: connection.DefaultLimits, Log: zap.New(core)})
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\nAuthorization Bearer k3y\r\n\r\n",
		"GET / HTTP/1.1\r\n Authorization: Bearer k3y\r\n\r\n",
		"GET / HTTP/k3y\r\nHost: a\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: k3y\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: k3y\r\n\r\n",
	} {
		c := newRawClient(t, l.Addr().String())
		c.send(text)
		if r, _ := c.receive(); r.StatusCode != http.StatusBadRequest {
			t.Errorf("%q: got %d, want 400", text, r.StatusCode)
		}
	}
	s.Close()
	<-done
	if got := fmt.Sprint(logs.All()); logs.Len() == 0 || strings.Contains(got, "k3y") {
		t.Errorf("got log %s, want lines without the key", got)
	}
}

// TestIdleTimeCountsFromResponse guards against a connection that is closed while its
// client may still use it: the idle timeout began when the last request was read, and a
// long call took most of it.
func TestIdleTimeCountsFromResponse(t *testing.T) {
	limits := connection.DefaultLimits()
	limits.IdleTimeout = time.Second
	_, addr := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			time.Sleep(800 * time.Millisecond)
		}
		fmt.Fprint(w, r.URL.Path)
	}, limits)
	c := newRawClient(t, addr)
	for i, path := range []string{"/long", "/next", "/long", "/last"} {
		if i > 0 {
			time.Sleep(500 * time.Millisecond) // less than the idle timeout
		}
		c.send(getRequest(path))
		if _, got := c.receive(); got != path {
			t.Fatalf("request %d: got %q, want %q", i, got, path)
		}
	}
}

// Guards against ending a response like a whole one when its handler aborts it and its
// end is the end of the connection, as for clients of HTTP/1.0.
func TestAbortedCloseDelimitedResponse(t *testing.T) {
	for _, aborted := range []bool{false, true} {
		_, addr := start(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", connection.BufferLimit+1))
			if aborted {
				panic(http.ErrAbortHandler)
			}
		}, connection.DefaultLimits())
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(30 * time.Second)) // limits a test that hangs
		fmt.Fprint(c, "GET / HTTP/1.0\r\n\r\n")
		if data, err := io.ReadAll(c); (err != nil) != aborted {
			t.Errorf("aborted %t: got %d bytes, error %v, want an error %t", aborted, len(data), err, aborted)
		}
		_ = c.Close()
	}
}

// Guards against losing the end of a response to a client that is still sending the body
// of its request: a connection that is closed with unread bytes is reset, and what the
// client has not received by then is lost.
func TestResponseBeforeEndOfRequest(t *testing.T) {
	const size = 4 << 20 // more than a client that does not read can receive
	_, addr := start(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	}, connection.DefaultLimits())
	for _, framing := range []string{"Content-Length: 1000000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n3b9aca00\r\n"} {
		c := newRawClient(t, addr)
		c.send("POST / HTTP/1.1\r\nHost: x\r\n" + framing)
		go func() {
			for {
				if _, err := c.Write(make([]byte, 16<<10)); err != nil {
					return
				}
			}
		}()
		time.Sleep(20 * time.Millisecond) // until the sockets are full
		r, err := http.ReadResponse(c.in, nil)
		if err != nil {
			t.Errorf("%q: got no response: %v", framing, err)
			continue
		}
		for n := 0; ; {
			read, err := io.ReadFull(r.Body, make([]byte, 64<<10))
			if n += read; err != nil {
				if n != size || !errors.Is(err, io.EOF) {
					t.Errorf("%q: got %d bytes of %d, error %v", framing, n, size, err)
				}
				break
			}
			time.Sleep(time.Millisecond) // a client that reads slowly
		}
		_ = c.Close()
	}
}
