package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/fleet"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/link"
	"github.com/peridotlb/peridotlb/internal/operator"
	"github.com/peridotlb/peridotlb/internal/platform"
	"github.com/peridotlb/peridotlb/internal/settings"
)

const (
	testToken  = "token-that-nobody-may-see-1"
	testSecret = "secret-key-that-nobody-may-see-1"
	// maxApplyTime is the longest time from the acceptance of a version until all
	// daemons have applied it.
	maxApplyTime = 7 * time.Second
	// longWait bounds polling for conditions without a guaranteed time.
	longWait = 30 * time.Second

	testDocument = `sections:
  - name: stock
    team: stock-team
    services: [{name: bead-stock, slots: 9, connections: 130, warm-up: 0s}]
    routes: [{name: read-stock, path-prefix: /stock, methods: [GET], service: bead-stock, timeout: 5s, retries: 2}]
`
)

// addressNames are the address settings, in the order of the ports of a block.
var addressNames = []string{"control", "gate", "call", "announce", "operator", "metrics"}

// freePorts returns the first of six free ports, for TCP and UDP. They are below
// the range of ephemeral ports and outside the range of package mesh. The last
// port of the block stays bound until the test ends, so that no other test uses
// the block before the daemon has opened its ports.
func freePorts(t *testing.T) int {
	t.Helper()
	const first, blocks, size = 14000, 600, 10
	for range 100 {
		base := first + size*rand.IntN(blocks)
		reserved, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", base+size-1))
		if err != nil {
			continue
		}
		if portsFree(base) {
			t.Cleanup(func() { _ = reserved.Close() })
			return base
		}
		_ = reserved.Close()
	}
	t.Fatal("found no free block of ports")
	return 0
}

func portsFree(base int) bool {
	for i := range addressNames {
		address := fmt.Sprintf("127.0.0.1:%d", base+i)
		l, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			return false
		}
		_ = u.Close()
	}
	return true
}

// keyFiles writes the keys of a host, and returns their flags.
func keyFiles(t *testing.T, ca link.KeyPair, id string) []string {
	t.Helper()
	keys, err := link.NewHostKeyPair(ca, id, time.Now().Add(-time.Minute), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	var flags []string
	for name, data := range map[string][]byte{"ca-file": ca.Certificate, "certificate-file": keys.Certificate, "key-file": keys.Key} {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		flags = append(flags, "--"+name+"="+path)
	}
	return flags
}

func newCA(t *testing.T) link.KeyPair {
	t.Helper()
	ca, err := link.NewCA("test", time.Now().Add(-time.Minute), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

// daemonArgs returns the arguments of a daemon in region pwani.
func daemonArgs(t *testing.T, ca link.KeyPair, id, zone string, more ...string) []string {
	t.Helper()
	args := append([]string{
		"--host-id=" + id, "--availability-zone=" + zone, "--region=pwani", "--operator-tokens=stock-team:" + testToken,
		"--announce-lease=30s", // a loaded machine delays renewals by more than the default of 3 s
	}, keyFiles(t, ca, id)...)
	base := freePorts(t)
	for i, name := range addressNames {
		args = append(args, fmt.Sprintf("--%s-address=127.0.0.1:%d", name, base+i))
	}
	return append(args, more...)
}

// logBuffer stores the log of a daemon.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// testDaemon is a running daemon.
type testDaemon struct {
	*Daemon
	log  *logBuffer
	stop func() // starts a planned stop and waits for its end
}

// start starts a daemon with a platform that daemons may share.
func start(t *testing.T, p platform.Service, args []string) *testDaemon {
	t.Helper()
	s, err := settings.Parse(args)
	if err != nil {
		t.Fatal(err)
	}
	d := &testDaemon{log: &logBuffer{}}
	ctx, cancel := context.WithCancel(context.Background())
	log, dropped := newLog(s, d.log)
	if d.Daemon, err = New(ctx, Config{Settings: s, Log: log, LinesDropped: dropped, Platform: p}); err != nil {
		cancel()
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	d.stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("stop of %s: %v", s.HostID, err)
		}
	})
	return d
}

// startFleet starts daemons "a", "b", ... in the given zones. The first daemon is
// the peer that the others contact.
func startFleet(t *testing.T, zones ...string) []*testDaemon {
	t.Helper()
	ca, memory := newCA(t), platform.NewMemory()
	var daemons []*testDaemon
	for i, zone := range zones {
		more := []string{"--log-level=debug", "--platform-secret-key=" + testSecret}
		if i > 0 {
			more = append(more, "--peers="+daemons[0].settings.ControlAddress.String())
		}
		daemons = append(daemons, start(t, memory, daemonArgs(t, ca, string(rune('a'+i)), zone, more...)))
	}
	t.Cleanup(func() {
		var stops sync.WaitGroup
		for _, d := range daemons {
			stops.Go(d.stop)
		}
		stops.Wait()
	})
	for _, d := range daemons {
		eventually(t, longWait, "all hosts known to "+string(d.settings.HostID), func() bool {
			return d.countHosts(t, host.Alive) == len(zones)
		})
	}
	return daemons
}

// eventually polls until a condition holds.
func eventually(t *testing.T, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: condition not met within %v", what, limit)
		}
	}
}

// countHosts returns the number of hosts in a state.
func (d *testDaemon) countHosts(t *testing.T, s host.State) int {
	count := 0
	if err := d.loop.withCore(t.Context(), func(c *fleet.Core) {
		for _, h := range c.Hosts() {
			if h.State == s {
				count++
			}
		}
	}); err != nil {
		t.Fatal(err)
	}
	return count
}

// request sends a request to a listener and returns status, header and body.
func request(t *testing.T, method string, to netip.AddrPort, path, body string) (int, http.Header, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+to.String()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testToken)
	r.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Errorf("%s %s: %v", method, path, err)
		return 0, nil, ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Errorf("%s %s: %v", method, path, err)
	}
	return response.StatusCode, response.Header, string(data)
}

// announceServer starts a backend server on the host of a daemon and announces it
// until the test ends.
func (d *testDaemon) announceServer(t *testing.T, id string, h http.HandlerFunc) {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	put := func() {
		body := fmt.Sprintf(`{"service":"bead-stock","address":%q}`, server.Listener.Addr())
		r, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+d.settings.AnnounceAddress.String()+"/backend-servers/"+id, strings.NewReader(body))
		if response, err := http.DefaultClient.Do(r); err == nil {
			_ = response.Body.Close()
		}
	}
	put()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(time.Second)
			put()
		}
	}()
}

// submit submits the test document to a daemon and waits until the given daemons
// have applied it.
func submit(t *testing.T, at *testDaemon, everywhere ...*testDaemon) {
	t.Helper()
	submitDocument(t, at, testDocument, everywhere...)
}

// submitDocument does the same for any document.
func submitDocument(t *testing.T, at *testDaemon, document string, everywhere ...*testDaemon) {
	t.Helper()
	status, _, text := request(t, "POST", at.settings.OperatorAddress, "/v1/submissions", fmt.Sprintf(`{"id":"s-1","base":0,"document":%q}`, document))
	if status != http.StatusOK || !strings.Contains(text, `"version":1`) {
		t.Fatalf("submission: got %d %s, want version 1", status, text)
	}
	for _, d := range everywhere {
		eventually(t, maxApplyTime, "version applied on "+string(d.settings.HostID), func() bool {
			s := d.routing.snapshot.Load()
			return s != nil && s.Number() == 1
		})
	}
}

// Verifies that an accepted version reaches the other daemons and that a backend
// server can be called through the daemon of another host. Secrets must not appear
// in any output of the daemons, dropped log lines must be counted in the metrics,
// and a daemon must log its start exactly once.
func TestSubmissionAndCallAcrossDaemons(t *testing.T) {
	t.Parallel()
	daemons := startFleet(t, "pwani-a", "pwani-a")
	a, b := daemons[0], daemons[1]
	submit(t, a, a, b)
	b.announceServer(t, "stock-b", func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "42 beads "+r.URL.Path) })
	eventually(t, longWait, "call through a", func() bool {
		status, header, text := request(t, "GET", a.settings.CallAddress, "/stock/beads", "")
		if status == http.StatusServiceUnavailable {
			return false
		}
		if text != "42 beads /stock/beads" || header.Get("Peridotlb-Server") == "" && header.Get("Peridotlb-Call-Id") == "" {
			t.Fatalf("call: got %d %q %v, want the response of stock-b with a Peridotlb-Server or Peridotlb-Call-Id header", status, text, header)
		}
		return true
	})

	for range 2 * logSampleFirst {
		a.Daemon.log.Info("Repeated.")
	}
	_, _, text := request(t, "GET", a.settings.MetricsAddress, "/metrics", "")
	if name := "\nperidotlb_log_lines_dropped_total "; !strings.Contains(text, name) || strings.Contains(text, name+"0\n") {
		t.Errorf("metrics: got no line or zero for peridotlb_log_lines_dropped_total after %d repeated lines", 2*logSampleFirst)
	}
	if name := "\nperidotlb_certificate_expires_in_seconds "; !strings.Contains(text, name) || strings.Contains(text, name+"0\n") || strings.Contains(text, name+"-") {
		t.Error("metrics: got no positive peridotlb_certificate_expires_in_seconds with a valid certificate")
	}
	if got := strings.Count(a.log.String(), "Started."); got != 1 {
		t.Errorf("got %d lines Started., want 1", got)
	}
	for _, want := range []string{`peridotlb_hosts{state="alive"} 2`, "peridotlb_zones_unreachable 0", "peridotlb_table_reachable 1", "peridotlb_version_applied 1", `peridotlb_claims_total{outcome="granted"} 0`} {
		if !strings.Contains(text, want+"\n") {
			t.Errorf("metrics: got no line %q", want)
		}
	}

	var written []string
	for _, d := range daemons {
		for _, path := range []string{"/metrics", "/healthz", "/readyz"} {
			_, _, text := request(t, "GET", d.settings.MetricsAddress, path, "")
			written = append(written, text)
		}
		for _, path := range []string{"/v1/ping", "/v1/status", "/v1/timeline"} {
			_, _, text := request(t, "GET", d.settings.OperatorAddress, path, "")
			written = append(written, text)
		}
		written = append(written, d.log.String(), fmt.Sprintf("%+v %#v", d.settings, d.settings))
	}
	key, err := os.ReadFile(a.settings.KeyFile)
	if err != nil {
		t.Fatal(err)
	}
	for _, secret := range []string{testToken, testSecret, strings.Split(string(key), "\n")[1]} {
		if i := slices.IndexFunc(written, func(text string) bool { return strings.Contains(text, secret) }); i >= 0 {
			t.Errorf("secret %.10s...: got it in %.200s, want it nowhere", secret, written[i])
		}
	}
}

func timelineOf(t *testing.T, d *testDaemon, kind string) operator.Timeline {
	t.Helper()
	got, err := d.Timeline(t.Context(), operator.Query{Kind: kind})
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// Verifies that status and timeline name a host that does not respond instead of
// appearing complete.
func TestUnresponsiveHostIsReported(t *testing.T) {
	t.Parallel()
	daemons := startFleet(t, "pwani-a", "pwani-a", "pwani-b")
	submit(t, daemons[0], daemons...)
	_ = daemons[2].link.Close() // the daemon keeps running without a network
	if got := timelineOf(t, daemons[0], "version-applied"); !slices.Equal(got.Unanswered, []host.ID{"c"}) || len(got.Events) != 2 {
		t.Errorf("timeline: got %d events and unanswered %v, want 2 and c", len(got.Events), got.Unanswered)
	}
	status, err := daemons[0].Status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, z := range status.Zones {
		if want := z.Name == "pwani-b"; z.Unreachable != want {
			t.Errorf("zone %s: got unreachable %v, want %v", z.Name, z.Unreachable, want)
		}
	}
}
