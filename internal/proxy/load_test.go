package proxy

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"math/big"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/gate"
	"github.com/peridotlb/peridotlb/internal/pool"
)

// cancelCall starts a call and closes its connection once the server has received
// it.
func (m *mesh) cancelCall(method, path string, started <-chan bool) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	r, _ := http.NewRequestWithContext(ctx, method, m.entry.URL+path, nil)
	r.Header.Set(headerIdempotencyKey, "k")
	if resp, err := http.DefaultTransport.RoundTrip(r); err == nil {
		resp.Body.Close()
		m.t.Errorf("got %d, want a cancelled call", resp.StatusCode)
	}
}

// Guards against responses that belong to another call, refusals with the not-run
// header of calls that were run, and calls cut off by a drain. The load includes
// cancelled calls, full servers, broken connections and a drain.
func TestCallsUnderLoad(t *testing.T) {
	var ran sync.Map
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.URL.RawQuery
		ran.Store(id, true)
		time.Sleep(time.Duration(mathrand.IntN(5)) * time.Millisecond)
		if mathrand.IntN(20) == 0 && strings.HasPrefix(r.URL.Path, "/stock/break") {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(w, strings.Repeat(id+" ", 1+mathrand.IntN(2)*4000))
	})
	m := newMesh(t)
	m.service.Slots = 3
	m.start(handler, handler, handler)
	var callers sync.WaitGroup
	var refused, answered atomic.Int64
	for caller := range 24 {
		callers.Go(func() {
			for n := range 40 {
				id := fmt.Sprintf("%d-%d", caller, n)
				path := "/stock/steady"
				if caller%3 == 1 {
					path = "/stock/break"
				}
				ctx, cancel := context.WithCancel(context.Background())
				if caller%3 == 2 {
					time.AfterFunc(time.Duration(mathrand.IntN(8))*time.Millisecond, cancel)
				}
				r, _ := http.NewRequestWithContext(ctx, "GET", m.entry.URL+path+"?"+id, nil)
				resp, err := http.DefaultClient.Do(r)
				if err != nil {
					if caller%3 == 0 {
						t.Errorf("steady call was cut off: %v", err)
					}
					cancel()
					continue
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				cancel()
				_, didRun := ran.Load(id)
				switch {
				case resp.Header.Get(HeaderNotRun) == "true" && didRun:
					t.Errorf("call %s was run but refused with %s", id, HeaderNotRun)
				case resp.Header.Get(HeaderNotRun) == "true":
					refused.Add(1)
				case err == nil && resp.StatusCode == 200:
					answered.Add(1)
					if strings.Trim(strings.ReplaceAll(string(body), id+" ", ""), " ") != "" {
						t.Errorf("call %s got the response %.40q", id, body)
					}
				case caller%3 == 0:
					t.Errorf("steady call: got %d %s", resp.StatusCode, body)
				}
			}
		})
	}
	// Start the drain while calls are in flight.
	for answered.Load() < 20 {
		time.Sleep(time.Millisecond)
	}
	if err := m.gate.Drain(context.Background(), "stock-0"); err != nil {
		t.Error(err)
	}
	callers.Wait()
	if answered.Load() == 0 || refused.Load() == 0 {
		t.Errorf("got %d answered and %d refused calls, want both", answered.Load(), refused.Load())
	}
}

// Guards against releasing a slot, which lets a drain end, while a large response
// is still being sent.
func TestSlotIsHeldForLargeResponse(t *testing.T) {
	finish := make(chan bool)
	m := newMesh(t).start(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 4*bufferLimit))
		<-finish
		_, _ = w.Write(make([]byte, 10))
	}))
	resp, err := http.Get(m.entry.URL + "/stock")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if got := m.gate.Load("stock-0").InFlight; got != 1 {
		t.Errorf("got %d in flight, want 1", got)
	}
	drained := make(chan error, 1)
	go func() { drained <- m.gate.Drain(context.Background(), "stock-0") }()
	close(finish)
	if n, err := io.Copy(io.Discard, resp.Body); n != 4*bufferLimit+10 || err != nil {
		t.Errorf("got %d bytes and error %v, want the whole response", n, err)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// Guards against losing bodies, trailers or headers, and against resending a large
// request of which a part was read.
func TestBodiesAndTrailers(t *testing.T) {
	var runs atomic.Int64
	m := newMesh(t).start(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if runs.Add(1) == 1 && r.URL.RawQuery == "break" {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Trailer", "X-Sum")
		_, _ = w.Write(body)
		w.Header().Set("X-Sum", fmt.Sprint(len(body))+r.Trailer.Get("X-Part"))
		w.Header().Set(http.TrailerPrefix+"X-Late", "1")
	}))
	for _, size := range []int{0, 10, bufferLimit, bufferLimit + 1, 5 * bufferLimit} {
		for _, chunked := range []bool{false, true} {
			r, _ := http.NewRequestWithContext(context.Background(), "POST", m.entry.URL+"/stock", strings.NewReader(strings.Repeat("x", size)))
			want := fmt.Sprint(size)
			if chunked {
				// The body must not be http.NoBody, for which no trailer is sent.
				r.Body = io.NopCloser(struct{ io.Reader }{strings.NewReader(strings.Repeat("x", size))})
				r.ContentLength, r.Trailer = -1, http.Header{"X-Part": {"+"}}
				want += "+"
			}
			resp, err := http.DefaultTransport.RoundTrip(r)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err != nil || len(body) != size || resp.Trailer.Get("X-Sum") != want || resp.Trailer.Get("X-Late") != "1" {
				t.Errorf("size %d: got %d, %d bytes, trailers %v, error %v, want X-Sum %s", size, resp.StatusCode, len(body), resp.Trailer, err, want)
			}
		}
	}
	for size, want := range map[int]int{100: 200, 5 * bufferLimit: 502} {
		runs.Store(0)
		if got := m.do("POST", "/stock?break", strings.Repeat("x", size)); got.StatusCode != want {
			t.Errorf("size %d: got %d and %d bytes after %d runs, want %d", size, got.StatusCode, len(got.body), runs.Load(), want)
		}
	}
}

// Guards against refusals without the not-run header, a reason or the call id.
func TestRefusedAtEntry(t *testing.T) {
	m := newMesh(t).startRows([]backend.Server{{ID: "stock-0", Service: "stock", Host: "host-0", State: backend.Ready}},
		map[backend.ServerID]netip.AddrPort{"stock-0": closedPort(t)})
	check := func(got response, status int, reason string) {
		t.Helper()
		if got.StatusCode != status || got.Header.Get(HeaderNotRun) != "true" || !strings.Contains(got.body, `"error":"`+reason+`","call-id":"`+got.Header.Get(HeaderCallID)) {
			t.Errorf("got %d %v %s, want %d %s", got.StatusCode, got.Header, got.body, status, reason)
		}
	}
	check(m.do("GET", "/stock", ""), 503, "gate-unreachable")
	check(m.do("GET", "/elsewhere", ""), 404, "no-route")
	check(m.do("GET", "/stock/%2e%2e/refill", ""), 400, "bad-path")
	check(m.do("GET", "/stock", "", HeaderTimeoutMS, "soon"), 400, "bad-timeout")
	m.entry = httptest.NewServer(NewEntry(Config{Pool: pool.New(pool.Config{})}))
	t.Cleanup(m.entry.Close)
	check(m.do("GET", "/stock", ""), 503, "no-version-applied")
}

// closedPort returns an address that refuses connections.
func closedPort(t testing.TB) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// mutualTLS returns the configurations of a server and a client that verify each
// other.
func mutualTLS(t testing.TB) (server, client *tls.Config) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AddCert(cert)
	own := []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}
	return &tls.Config{Certificates: own, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: roots},
		&tls.Config{Certificates: own, RootCAs: roots}
}

// secureMesh puts a gate with mutual TLS in front of a server and returns a mesh
// whose entry is on another host. The entry reaches the gate through an address
// translation. direct is the URL of the server.
func secureMesh(t testing.TB, handler http.Handler) (m *mesh, direct string) {
	server, client := mutualTLS(t)
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	m = newMesh(t)
	row := m.row(0, s)
	g := gate.New(gate.Config{Self: row.Host})
	g.Update(m.services(), []backend.Server{row})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gateServer := NewGateServer(ServerConfig{Handler: NewGate(Config{Self: row.Host, Gate: g})}, server)
	go func() { _ = gateServer.Serve(l) }()
	t.Cleanup(gateServer.Close)
	announced := netip.MustParseAddrPort("192.0.2.1:443")
	client.ServerName = "127.0.0.1"
	m.transports = NewTransports(TransportConfig{TLS: client, Translate: func(a netip.AddrPort) netip.AddrPort {
		if a != announced {
			t.Errorf("got address %v to translate, want %v", a, announced)
		}
		return netip.MustParseAddrPort(l.Addr().String())
	}})
	return m.startRows([]backend.Server{row}, map[backend.ServerID]netip.AddrPort{row.ID: announced}), s.URL
}

// Guards against calls between daemons without verified certificates.
func TestMutualTLS(t *testing.T) {
	m, _ := secureMesh(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }))
	if got := m.do("GET", "/stock", ""); got.StatusCode != 200 || got.body != "ok" {
		t.Errorf("got %d %q, want 200 ok", got.StatusCode, got.body)
	}
	m.transports.config.TLS.Certificates = nil
	m.transports.CloseIdle()
	if got := m.do("GET", "/stock", ""); got.StatusCode == 200 {
		t.Error("a call without a client certificate was answered")
	}
}
