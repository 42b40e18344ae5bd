package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/peridotlb/peridotlb/internal/backend"
)

// unsoundResponses reads the responses of testdata/unsound-responses.txt by name.
func unsoundResponses(t *testing.T) map[string]string {
	t.Helper()
	data, err := os.ReadFile("testdata/unsound-responses.txt")
	if err != nil {
		t.Fatal(err)
	}
	responses := make(map[string]string)
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		name, quoted, _ := strings.Cut(strings.TrimSpace(line), "\t")
		text, err := strconv.Unquote(quoted)
		if err != nil {
			t.Fatalf("%s: got %v", name, err)
		}
		responses[name] = text
	}
	return responses
}

// Guards against passing on bytes that are no response as one: a status that doesn't
// exist, a line whose name is no name, or a body whose framing such a line hides.
func TestUnsoundResponseIsNotPassedOn(t *testing.T) {
	for name, text := range unsoundResponses(t) {
		for _, place := range []string{"own gate", "gate of another host", "in place of a gate"} {
			t.Run(name+", "+place, func(t *testing.T) {
				m := newMesh(t)
				m.routes[0].Retries, m.dialect.CloseDelimited = 0, true
				m.serveGate, m.local = serveGate(t), place == "own gate"
				addr := rawServer(t, func(_ int64, r *http.Request, conn net.Conn) bool {
					_, _ = io.WriteString(conn, strings.ReplaceAll(text, "%s", HeaderCallID+": "+r.Header.Get(HeaderCallID)+"\r\n"))
					return false
				})
				rows := m.rawRows(addr)
				var gates map[backend.ServerID]netip.AddrPort
				if place == "in place of a gate" {
					gates = map[backend.ServerID]netip.AddrPort{rows[0].ID: addr}
				}
				m.startRows(rows, gates)
				got := m.do("GET", "/stock", "")
				if got.StatusCode != http.StatusBadGateway && (got.StatusCode != http.StatusOK || got.err == nil) {
					t.Errorf("got %d %q, want 502 or a response that breaks off", got.StatusCode, got.body)
				}
			})
		}
	}
}

// Guards against a malformed response that nobody can explain: the log of the gate must
// name its server and what is wrong, and quote none of its bytes, also when it shows only
// after the status was passed on.
func TestMalformedResponseIsLogged(t *testing.T) {
	large := strings.Repeat("b", 3*bufferLimit)
	for text, reason := range map[string]string{
		"HTTP/1.1 000 secret\r\n%s\r\n":            "bad-response",
		"HTTP/1.1 200 OK\r\n%sA secret: b\r\n\r\n": "bad-response",
		"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n30000\r\n" + large + "\r\n0\r\nA secret: b\r\n\r\n": "bad-response",
		"HTTP/1.1 200 OK\r\n%sContent-Length: 200000\r\n\r\n" + large:                                               "response-cut",
	} {
		core, logs := observer.New(zapcore.InfoLevel)
		m := newMesh(t)
		m.routes[0].Retries, m.log = 0, zap.New(core)
		m.serveGate = serveGate(t)
		m.startRows(m.rawRows(rawServer(t, func(_ int64, r *http.Request, conn net.Conn) bool {
			_, _ = io.WriteString(conn, strings.ReplaceAll(text, "%s", HeaderCallID+": "+r.Header.Get(HeaderCallID)+"\r\n"))
			return false
		})), nil)
		m.do("GET", "/stock", "")
		named := false
		for _, e := range logs.TakeAll() {
			fields := e.ContextMap()
			if strings.Contains(fmt.Sprint(fields), "secret") {
				t.Errorf("%.60q: got line %q with bytes of the response: %v", text, e.Message, fields)
			}
			named = named || fields["server"] == "stock-0" && fields["reason"] == reason && fields["error"] != nil
		}
		if !named {
			t.Errorf("%.60q: got no line with the server, the reason %s and an error", text, reason)
		}
	}
}
