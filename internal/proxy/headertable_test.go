package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"testing"
)

// received is what a backend server gets of a request.
type received struct{ Header, Trailer http.Header }

// TestHeaderRules guards against a caller or server that takes a header of the call path
// away by naming it in Connection, that gives it a value of its own, or that does so in a
// trailer. It goes through all headers, in both directions, at the entry, between
// hosts and at the gate.
func TestHeaderRules(t *testing.T) {
	full := Dialect{
		CallID: "X-Id", TimeoutMS: "X-Timeout", NotRun: "X-Not", Server: "X-Server", Caller: "X-Caller", Seal: "X-Seal",
		Limit: "X-Limit", ServerLoad: "X-Load", Leaving: "X-Leaving", Organisation: "X-Organisation",
	}
	for _, d := range []Dialect{{}, full} {
		for _, local := range []bool{false, true} {
			for _, r := range d.headerRules() {
				for _, trailer := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s named=%t local=%t trailer=%t", r.name, d.CallID != "", local, trailer), func(t *testing.T) {
						checkRequestHeader(t, d, local, r, trailer)
						checkResponseHeader(t, d, local, r, trailer)
					})
				}
			}
		}
	}
}

func headerMesh(t *testing.T, d Dialect, local bool, h http.HandlerFunc) *mesh {
	m := newMesh(t)
	m.dialect, m.local = d, local
	m.transports = NewTransports(TransportConfig{Dialect: d})
	m.start(h)
	m.config.CallerService = "own-service"
	m.entry.Config.Handler = NewEntry(m.config)
	return m
}

// strangersValue is a value that every header accepts.
const strangersValue = "17"

func checkRequestHeader(t *testing.T, d Dialect, local bool, r headerRule, trailer bool) {
	var got received
	m := headerMesh(t, d, local, func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		got = received{q.Header.Clone(), q.Trailer.Clone()}
		w.Header().Set(d.callIDHeader(), q.Header.Get(d.callIDHeader()))
	})
	conn, err := net.Dial("tcp", m.entry.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	var own strings.Builder
	if d.CallID != "" && (r.name != d.CallID || trailer) {
		own.WriteString(d.CallID + ": call-1\r\n")
	}
	line := r.name + ": " + strangersValue + "\r\n"
	if trailer {
		fmt.Fprintf(conn, "POST /stock HTTP/1.1\r\nHost: a\r\n%sConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n%s\r\n", own.String(), line)
	} else {
		fmt.Fprintf(conn, "POST /stock HTTP/1.1\r\nHost: a\r\n%s%sConnection: close, %s\r\nContent-Length: 0\r\n\r\n", own.String(), line, strings.ToLower(r.name))
	}
	if answer, _ := io.ReadAll(conn); !strings.HasPrefix(string(answer), "HTTP/1.1 200") {
		t.Fatalf("request: got %s, want 200", answer)
	}
	stranger := got.Header.Get(r.name) == strangersValue
	if trailer {
		if in := got.Trailer.Get(r.name) != ""; in && (r.fromCaller == replaced || r.fromCaller == removed) {
			t.Errorf("request: got it in the trailer, want it removed")
		}
		return
	}
	if want := r.fromCaller == carried; stranger != want {
		t.Errorf("request: got %q at the server, want the caller's value: %v", got.Header.Values(r.name), want)
	}
	if len(got.Header.Values(r.name)) > 1 {
		t.Errorf("request: got %q, want one value", got.Header.Values(r.name))
	}
	if r.name == d.Caller && got.Header.Get(r.name) != "own-service" {
		t.Errorf("request: got caller %q, want own-service", got.Header.Get(r.name))
	}
	if r.name == d.Server && got.Header.Get(r.name) != "stock-0" {
		t.Errorf("request: got target %q, want stock-0", got.Header.Get(r.name))
	}
}

func checkResponseHeader(t *testing.T, d Dialect, local bool, r headerRule, trailer bool) {
	// The response is written as it is: net/http would replace the Connection header. It
	// does not say close, because the parser then drops the whole header.
	m := headerMesh(t, d, local, func(w http.ResponseWriter, q *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		id := d.callIDHeader() + ": " + q.Header.Get(d.callIDHeader()) + "\r\n"
		line := r.name + ": " + strangersValue + "\r\n"
		switch {
		case trailer:
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n%s\r\n", id, line)
		case r.name == d.callIDHeader():
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sConnection: keep-alive, %s\r\nContent-Length: 0\r\n\r\n", id, r.name)
		default:
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%sConnection: keep-alive, %s\r\nContent-Length: 0\r\n\r\n", id, line, strings.ToLower(r.name))
		}
	})
	got := m.do("GET", "/stock", "", d.callIDHeader(), "call-1")
	if got.StatusCode != http.StatusOK {
		t.Fatalf("response: got %d %s, want 200", got.StatusCode, got.body)
	}
	if trailer {
		if in := got.Trailer.Get(r.name) != ""; in && (r.fromServer == replaced || r.fromServer == removed) {
			t.Errorf("response: got it in the trailer, want it removed")
		}
		return
	}
	if r.name == d.CallID {
		if got.Header.Get(r.name) != "call-1" {
			t.Errorf("response: got id %q, want call-1", got.Header.Get(r.name))
		}
		return
	}
	if want := r.fromServer == carried; (got.Header.Get(r.name) == strangersValue) != want {
		t.Errorf("response: got %q at the caller, want the server's value: %v", got.Header.Values(r.name), want)
	}
}

// TestTrailersCarryNoFraming guards against fields that frame a message, route it or apply
// to one connection and arrive in a trailer: a receiver that merges trailers into the
// header may take them for those of the message. It goes through both directions, at the
// entry, between hosts and at the gate.
func TestTrailersCarryNoFraming(t *testing.T) {
	for _, local := range []bool{false, true} {
		for _, name := range append([]string{"Content-Length", "Host"}, hopByHop...) {
			t.Run(fmt.Sprintf("%s local=%t", name, local), func(t *testing.T) {
				trailer := name + ": " + strangersValue + "\r\nX-Other: 1\r\n"
				var got received
				m := headerMesh(t, Dialect{}, local, func(w http.ResponseWriter, q *http.Request) {
					_, _ = io.Copy(io.Discard, q.Body)
					got = received{q.Header.Clone(), q.Trailer.Clone()}
					conn, _, err := w.(http.Hijacker).Hijack()
					if err != nil {
						t.Error(err)
						return
					}
					defer conn.Close()
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n%s\r\n", HeaderCallID, q.Header.Get(HeaderCallID), trailer)
				})
				conn, err := net.Dial("tcp", m.entry.Listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				fmt.Fprintf(conn, "POST /stock HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n%s\r\n", trailer)
				answer, err := io.ReadAll(conn)
				_, body, _ := strings.Cut(string(answer), "\r\n\r\n")
				if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 200") || !strings.HasSuffix(body, "\r\n\r\n") {
					t.Fatalf("got %q and error %v, want a whole response", answer, err)
				}
				if len(got.Trailer.Values(name)) > 0 || got.Trailer.Get("X-Other") != "1" {
					t.Errorf("got trailer %v at the server, want X-Other only", got.Trailer)
				}
				if strings.Contains(body, name+":") || !strings.Contains(body, "X-Other: 1\r\n") {
					t.Errorf("got body and trailer %q at the caller, want X-Other only", body)
				}
			})
		}
	}
}

// TestHeaderRulesAreComplete guards against a header of the call path without a rule, and
// against two rules for one.
func TestHeaderRulesAreComplete(t *testing.T) {
	d := Dialect{CallID: "A", TimeoutMS: "B", Server: "C", Caller: "D", Seal: "E", Limit: "F", ServerLoad: "G", Leaving: "H", Organisation: "I"}
	found := make(map[string]bool)
	for _, r := range d.headerRules() {
		if name := textproto.CanonicalMIMEHeaderKey(r.name); found[name] || name != r.name {
			t.Errorf("%s: got two rules, or a name in another form", r.name)
		}
		found[r.name] = true
	}
	for _, name := range []string{
		HeaderCallID, HeaderTimeoutMS, HeaderNotRun, HeaderOutcome, HeaderLoad, HeaderServer, HeaderQueue, HeaderNoRetry, HeaderReplayed, HeaderForwarded,
		HeaderReason, HeaderNoticedLimit, HeaderRunWithin, HeaderKey, HeaderServerUS, headerIdempotencyKey, "A", "B", "C", "D", "E", "F", "G", "H", "I",
	} {
		if !found[name] {
			t.Errorf("%s: got no rule", name)
		}
	}
}
