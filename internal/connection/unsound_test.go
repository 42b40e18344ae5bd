package connection_test

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/peridotlb/peridotlb/internal/connection"
)

// Guards against running a request whose header is not in the grammar. A server that
// ignores a blank in it reads another request than the one that was checked.
func TestUnsoundRequestIsRefused(t *testing.T) {
	var ran atomic.Int64
	_, addr := start(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path != "/before" {
			ran.Add(1)
		}
	}, connection.DefaultLimits())
	data, err := os.ReadFile("testdata/unsound-requests.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		name, quoted, _ := strings.Cut(strings.TrimSpace(line), "\t")
		request, err := strconv.Unquote(quoted)
		if err != nil {
			t.Fatalf("%s: got %v", name, err)
		}
		c := newRawClient(t, addr)
		c.send("GET /before HTTP/1.1\r\nHost: x\r\n\r\n" + request + "GET /behind HTTP/1.1\r\nHost: x\r\n\r\n")
		if r, _ := c.receive(); r.StatusCode != http.StatusOK {
			t.Errorf("%s: got %d for the sound request before it, want 200", name, r.StatusCode)
		}
		r, _ := c.receive()
		if rest, _ := io.ReadAll(c.in); r.StatusCode != http.StatusBadRequest || len(rest) > 0 || ran.Swap(0) > 0 {
			t.Errorf("%s: got %d and %d bytes behind it, want 400 and the end of the connection without a run", name, r.StatusCode, len(rest))
		}
	}
}
