package announcement

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/header"
	"github.com/peridotlb/peridotlb/test/endless"
)

const readyBody = `{"service":"bead-stock","address":"127.0.0.1:8080","slots":9}`

// fixture is an API with a test clock and recorded callbacks.
type fixture struct {
	*API
	now       time.Time
	callbacks []string // published states and health results since the last takeCallbacks
}

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1_800_000_000, 0)}
	f.API = New(Config{
		Lease: 3 * time.Second,
		Publish: func(s backend.Server) <-chan struct{} {
			f.callbacks = append(f.callbacks, fmt.Sprintf("%s %s", s.Addr, s.State))
			return nil
		},
		OnHealth: func(id backend.ServerID, ok bool) {
			f.callbacks = append(f.callbacks, fmt.Sprintf("%s healthy=%v", id, ok))
		},
		Now: func() time.Time { return f.now },
	})
	return f
}

// send sends a request and returns the status and the body of the response.
func (f *fixture) send(method, path, body string) (int, string) {
	w := httptest.NewRecorder()
	f.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w.Code, w.Body.String()
}

// check compares the callbacks since the last check with those wanted.
func (f *fixture) check(t *testing.T, what string, want ...string) {
	t.Helper()
	if got := f.takeCallbacks(); !slices.Equal(got, want) {
		t.Errorf("%s: got callbacks %q, want %q", what, got, want)
	}
}

// takeCallbacks returns the callbacks since its last call. It takes the lock of the
// API, which holds it during callbacks.
func (f *fixture) takeCallbacks() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	taken := f.callbacks
	f.callbacks = nil
	return taken
}

// advanceTo sets the clock to a time after the start and expires leases.
func (f *fixture) advanceTo(d time.Duration) {
	f.now = time.Unix(1_800_000_000, 0).Add(d)
	f.expireLeases()
}

// Guards against keeping a server after its lease, publishing its row at every
// renewal, and not restoring a server after a pause of its process.
func TestLease(t *testing.T) {
	f := newFixture()
	put := func(body string) { f.send("PUT", "/backend-servers/stock-1", body) }
	put(readyBody)
	f.check(t, "first announcement", "127.0.0.1:8080 ready")
	f.advanceTo(3 * time.Second)
	put(readyBody)
	f.check(t, "renewal without a change")
	f.advanceTo(6 * time.Second)
	f.check(t, "at the end of the lease")
	f.advanceTo(6*time.Second + 1)
	f.check(t, "after the lease", "127.0.0.1:8080 draining")
	put(readyBody)
	f.check(t, "renewal after a pause", "127.0.0.1:8080 ready")
	f.advanceTo(16 * time.Second)
	f.check(t, "after three leases", "127.0.0.1:8080 gone", "stock-1 healthy=true")
	put(readyBody)
	f.check(t, "announcement after the withdrawal", "127.0.0.1:8080 ready")
	f.send("DELETE", "/backend-servers/stock-1", "")
	f.check(t, "withdrawal", "127.0.0.1:8080 gone", "stock-1 healthy=true")
}

// Guards against calls to a draining server that renews with its old state, and
// against a drain that persists across a restart of the server.
func TestDrainEndsWithRestart(t *testing.T) {
	for restart, want := range map[string]string{
		`{"service":"bead-stock","address":"127.0.0.1:8081"}`:                    "127.0.0.1:8081 ready",
		`{"service":"bead-stock","address":"127.0.0.1:8080","state":"starting"}`: "127.0.0.1:8080 starting",
	} {
		f := newFixture()
		f.send("PUT", "/backend-servers/stock-1", readyBody)
		f.send("POST", "/backend-servers/stock-1/drain", "")
		f.check(t, "drain", "127.0.0.1:8080 ready", "127.0.0.1:8080 draining")
		f.send("PUT", "/backend-servers/stock-1", readyBody)
		f.advanceTo(4 * time.Second)
		f.send("PUT", "/backend-servers/stock-1", readyBody)
		f.check(t, "renewals as ready, one after the lease")
		f.send("PUT", "/backend-servers/stock-1", restart)
		f.check(t, "restart", want)
	}
}

// Guards against accepting invalid rows, and against responses that report only
// one error at a time.
func TestBadInput(t *testing.T) {
	f := newFixture()
	for body, want := range map[string][]string{
		`{"service":"Bead","address":"localhost:80","state":"up","health-path":"ok"}`: {`address \"localhost:80\"`, `id \"Stock_1\"`, `service \"Bead\"`, `health-path \"ok\"`, `state \"up\"`},
		`{"service":"s","address":"0.0.0.0:80","health-path":"/%zz"}`:                 {`address \"0.0.0.0:80\"`, `health-path \"/%zz\"`},
		`{"service":"s","address":"224.0.0.1:80"}`:                                    {`address \"224.0.0.1:80\"`},
		`{"service":"s","address":"127.0.0.1:0"}`:                                     {`address \"127.0.0.1:0\"`},
		`{"service":"s","adress":"127.0.0.1:80"}`:                                     {`unknown field \"adress\"`},
		`{"slots":70000}`: {"slots"},
		readyBody + "{}":  {"unexpected data after"},
		"":                {"body"},
		`"` + strings.Repeat("x", maxBodyBytes) + `"`: {"too large"},
	} {
		status, text := f.send("PUT", "/backend-servers/Stock_1", body)
		for _, part := range want {
			if status != http.StatusBadRequest || !strings.Contains(text, part) {
				t.Errorf("PUT %.80s: got %d %s, want 400 with %s", body, status, text, part)
			}
		}
	}
	if status, _ := f.send("POST", "/backend-servers/none/drain", ""); status != http.StatusNotFound {
		t.Errorf("drain of an unknown server: got %d, want 404", status)
	}
	f.check(t, "after bad input")
	if _, got := f.send("GET", "/backend-servers", ""); got != "[]\n" {
		t.Errorf("list: got %s, want []", got)
	}
}

// Guards against a backend server that overloads the daemon and the fleet by
// sending requests in a loop, and against a limit that blocks the renewals of
// other servers or a drain by an operator.
func TestRateLimit(t *testing.T) {
	f := newFixture()
	sendRepeatedly := func(method, path, body string) (refused int, text string) {
		for range 100 {
			if code, answer := f.send(method, path, body); code == http.StatusTooManyRequests {
				refused, text = refused+1, answer
			}
		}
		return refused, text
	}
	f.send("PUT", "/backend-servers/stock-1", readyBody)
	f.send("PUT", "/backend-servers/stock-2", readyBody)
	refused, text := sendRepeatedly("PUT", "/backend-servers/stock-1", readyBody)
	if want := "renew it three times within the lease"; refused != 100-renewalsPerSecond || !strings.Contains(text, want) {
		t.Errorf("renewals: got %d of 100 refused with %s, want %d with %q", refused, text, 100-renewalsPerSecond, want)
	}
	if code, text := f.send("PUT", "/backend-servers/stock-2", readyBody); code != http.StatusNoContent {
		t.Errorf("renewal of another server: got %d %s, want 204", code, text)
	}
	if code, text := f.send("POST", "/backend-servers/stock-1/drain", ""); code != http.StatusNoContent {
		t.Errorf("drain of the server that exceeds its limit: got %d %s, want 204", code, text)
	}
	for _, r := range [][3]string{{"GET", "/backend-servers"}, {"POST", "/backend-servers/stock-1/drain"}, {"DELETE", "/backend-servers/none"}, {"PUT", "/backend-servers/none", "{}"}} {
		if refused, text = sendRepeatedly(r[0], r[1], r[2]); refused < 100-otherRequestsPerSecond || !strings.Contains(text, "wait a second") {
			t.Errorf("%s %s: got %d of 100 refused with %s, want %d or more", r[0], r[1], refused, text, 100-otherRequestsPerSecond)
		}
	}
	if code, text := f.send("PUT", "/backend-servers/stock-2", readyBody); code != http.StatusNoContent {
		t.Errorf("renewal while other requests exceed their limit: got %d %s, want 204", code, text)
	}
	f.advanceTo(time.Second)
	if code, text := f.send("GET", "/backend-servers", ""); code != http.StatusOK {
		t.Errorf("a second later: got %d %s, want 200", code, text)
	}
}

// fakeEndpoints is an HTTP transport that answers probes by path.
type fakeEndpoints map[string]func(*http.Request) (*http.Response, error)

func (e fakeEndpoints) RoundTrip(r *http.Request) (*http.Response, error) { return e[r.URL.Path](r) }

func respondWith(code int, location string) func(*http.Request) (*http.Response, error) {
	return func(*http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: code, Header: http.Header{"Location": {location}}, Body: http.NoBody}, nil
	}
}

// Guards against a health endpoint that changes a row, redirects the probe to
// another address or delays the renewals of other servers by hanging, and against
// reporting results for a server that is gone.
func TestProbesDoNotAffectRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.client.Transport = fakeEndpoints{
			"/fail":     respondWith(http.StatusInternalServerError, ""),
			"/redirect": respondWith(http.StatusFound, "http://10.0.0.1/elsewhere"),
			"/hang": func(r *http.Request) (*http.Response, error) {
				<-r.Context().Done()
				return nil, r.Context().Err()
			},
		}
		go f.Run(t.Context())
		for path := range f.client.Transport.(fakeEndpoints) {
			f.send("PUT", "/backend-servers"+path, fmt.Sprintf(`{"service":"s","address":"127.0.0.1:80","health-path":%q}`, path))
		}
		f.send("PUT", "/backend-servers/silent", readyBody)
		f.takeCallbacks()
		time.Sleep(probeInterval)
		synctest.Wait()
		if got, want := f.takeCallbacks(), []string{"fail healthy=false", "redirect healthy=true"}; !slices.Equal(slices.Sorted(slices.Values(got)), want) {
			t.Errorf("at the probe: got callbacks %q, want %q", got, want)
		}
		f.send("DELETE", "/backend-servers/redirect", "")
		f.send("DELETE", "/backend-servers/fail", "")
		f.takeCallbacks()
		f.send("PUT", "/backend-servers/silent", strings.Replace(readyBody, "8080", "8081", 1))
		f.check(t, "a renewal while a probe hangs", "127.0.0.1:8081 ready")
		time.Sleep(probeTimeout)
		synctest.Wait()
		f.check(t, "after the timeout of the probe", "hang healthy=false")
		time.Sleep(probeInterval - probeTimeout)
		synctest.Wait()
		f.send("DELETE", "/backend-servers/hang", "")
		time.Sleep(probeTimeout)
		synctest.Wait()
		f.check(t, "a withdrawal while a probe hangs", "127.0.0.1:80 gone", "hang healthy=true")
	})
}

// TestEndlessProbeResponse guards against a health endpoint that sends a response
// without end, in its header or its body, which the daemon keeps in memory.
func TestEndlessProbeResponse(t *testing.T) {
	const maxTaken = 4 << 20 // bytes, with the buffers of the sockets
	for name, first := range map[string]string{
		"header": "HTTP/1.1 200 OK\r\nA: ", "informational": "HTTP/1.1 103 Early Hints\r\nA: ",
		"body": "HTTP/1.1 200 OK\r\n\r\n", "bytes after a response": "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
	} {
		server := endless.Serve(t, endless.Config{First: first, Limit: 16 * maxTaken})
		_ = newFixture().probeURL(t.Context(), "http://"+server.Addr)
		if got := <-server.Taken; got > maxTaken {
			t.Errorf("%s: got %d bytes taken from the endpoint, want at most %d", name, got, maxTaken)
		}
	}
}

// Guards against taking a server in trouble for healthy whose response to a probe has a
// status that doesn't exist, or a name of a field that is none.
func TestUnsoundProbeResponse(t *testing.T) {
	for text, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":             true,
		"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n":             false,
		"HTTP/1.1 +20 OK\r\nContent-Length: 0\r\n\r\n":             false,
		"HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 0\r\n\r\n":   false,
		"HTTP/1.1 200 OK\r\nA : b\r\nContent-Length: 0\r\n\r\n":    false,
		"HTTP/1.1 200 OK\r\nA\x01: b\r\nContent-Length: 0\r\n\r\n": false,
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, text)
			}
		}()
		if got := newFixture().probeURL(t.Context(), "http://"+l.Addr().String()) == nil; got != want {
			t.Errorf("%q: got healthy %t, want %t", text, got, want)
		}
		_ = l.Close()
	}
}

// Guards against a server that counts as failing without a line that says why, against a
// line for each probe, and against bytes of the response in it.
func TestMalformedProbeIsLogged(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	f := newFixture()
	f.config.Log = zap.New(core)
	f.config.OnHealth = func(backend.ServerID, bool) {}
	f.servers["stock-1"] = &entry{row: backend.Server{ID: "stock-1"}}
	malformed := fmt.Errorf("check: %w", header.ErrMalformed)
	for _, err := range []error{malformed, malformed, nil, errors.New("status 503"), malformed} {
		f.reportHealth(*f.servers["stock-1"], err)
	}
	lines := logs.TakeAll()
	if len(lines) != 2 || lines[0].ContextMap()["server"] != "stock-1" || lines[0].ContextMap()["error"] != malformed.Error() {
		t.Errorf("got lines %v, want one for each of two series of malformed responses", lines)
	}
}
