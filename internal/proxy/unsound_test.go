package proxy

import (
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"testing"

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
		for _, atGate := range []bool{false, true} {
			t.Run(name+", at gate "+strconv.FormatBool(atGate), func(t *testing.T) {
				m := newMesh(t)
				m.routes[0].Retries, m.dialect.CloseDelimited = 0, true
				m.serveGate = serveGate(t)
				addr := rawServer(t, func(_ int64, r *http.Request, conn net.Conn) bool {
					_, _ = io.WriteString(conn, strings.ReplaceAll(text, "%s", HeaderCallID+": "+r.Header.Get(HeaderCallID)+"\r\n"))
					return false
				})
				rows := m.rawRows(addr)
				var gates map[backend.ServerID]netip.AddrPort
				if atGate {
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
