package link

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/timeline"
)

func TestSend(t *testing.T) { // guards against lost sizes, a wrong sender and one connection per direction
	f := newFleet(t)
	a, b := f.listen(f.issueHost(), nil), f.listen(f.issueHost(), nil)
	for _, size := range []int{0, 900, 5000, 3 << 20} {
		a.Send(b.Addr(), message.Delta{Blobs: []message.Blob{incompressible(size)}})
		got := <-b.received
		if d, ok := got.m.(message.Delta); !ok || got.from != a.Addr() || len(d.Blobs) != 1 || len(d.Blobs[0]) != size {
			t.Fatalf("size %d: got %T from %v, want the delta from %v", size, got.m, got.from, a.Addr())
		}
	}
	b.Send(a.Addr(), message.Announce{Number: 7})
	if got := <-a.received; got.m != (message.Announce{Number: 7}) || got.from != b.Addr() {
		t.Errorf("got %+v, want an announcement from %v", got, b.Addr())
	}
	if got := b.connections(a); got != 1 {
		t.Errorf("got %d connections, want the incoming one only", got)
	}
}

func TestSimultaneousDial(t *testing.T) { // guards against a pair that keeps two connections in use
	f := newFleet(t)
	a, b := f.listen(f.issueHost(), nil), f.listen(f.issueHost(), nil)
	a.Send(b.Addr(), message.Announce{Number: 1})
	b.Send(a.Addr(), message.Announce{Number: 2})
	<-a.received
	<-b.received
	waitFor(t, "ends chose different connections", func() bool {
		dialer := func(n, other node) netip.AddrPort {
			p := n.peer(other.Addr())
			p.mu.Lock()
			defer p.mu.Unlock()
			if c := p.preferredConn(); c != nil {
				return c.dialer
			}
			return netip.AddrPort{}
		}
		return dialer(a, b) == dialer(b, a)
	})
}

func TestCertificates(t *testing.T) { // guards against peers outside the fleet, and against refusals that the log does not show
	f, foreign := newFleet(t), newFleet(t)
	now := time.Now()
	for name, c := range map[string]struct {
		keys   KeyPair
		signer fleet
		want   string
	}{
		"foreign authority": {foreign.issueHost(), foreign, "unknown authority"},
		"wrong name":        {f.issue(now.Add(-time.Hour), 2*time.Hour, "gate"), f, "valid for gate"},
		"expired":           {f.issue(now.Add(-2*time.Hour), time.Hour, PeerName), f, "expired"},
		"not yet valid":     {f.issue(now.Add(time.Hour), time.Hour, PeerName), f, "not yet valid"},
	} {
		t.Run(name, func(t *testing.T) {
			// The bad node itself loads a good certificate and then presents the
			// bad one, since LoadTLS refuses to load it.
			g := fleet{t, f.ca}
			good := g.listen(g.issueHost(), nil)
			files := fleet{t, c.signer.ca}.files(c.signer.issueHost())
			identity, err := LoadTLS(files)
			if err != nil {
				t.Fatal(err)
			}
			presented := f.pair(c.keys)
			setCertificate(identity, presented)
			bad := fleet{t, c.signer.ca}.listen(c.signer.issueHost(), func(config *Config) { config.Server, config.Client = identity.Server, identity.Client })

			ctx := t.Context()
			if _, err := good.Query(ctx, bad.Addr(), nil); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("dialling the bad host: got error %v, want %q", err, c.want)
			}
			if _, err := bad.Query(ctx, good.Addr(), nil); err == nil || errors.Is(err, ErrQueryFailed) {
				t.Errorf("dialled by the bad host: got error %v, want a refused connection", err)
			}
			if len(good.received) != 0 {
				t.Error("a message of the bad host was received")
			}
			if bytes.Equal(c.signer.ca.Certificate, f.ca.Certificate) {
				// The foreign host has already refused the certificate of this one.
				refused := good.logs.FilterMessageSnippet("Refused a connection").FilterLevelExact(zapcore.WarnLevel).All()
				if len(refused) != 1 {
					t.Fatalf("got %d lines about a refused peer, want 1; log: %v", len(refused), good.logs.All())
				}
				line := refused[0].ContextMap()
				if reason, _ := line["error"].(string); line["peer"] != bad.Addr().String() || !strings.Contains(reason, c.want) {
					t.Errorf("line about the refused peer: got %v, want peer %v and %q", line, bad.Addr(), c.want)
				}
			}
		})
	}
}

// closeLimit is below the idle timeout, which would end the connection too.
const closeLimit = idleTimeout / 3

func TestMalformed(t *testing.T) { // guards against forged input that passes silently or harms other peers
	f := newFleet(t)
	a, b, other := f.listen(f.issueHost(), nil), f.listen(f.issueHost(), nil), f.listen(f.issueHost(), nil)
	other.Send(b.Addr(), message.Announce{Number: 1})
	<-b.received
	healthy, err := other.peer(b.Addr()).connection(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for name, send := range map[string]func(*conn, context.Context, []byte) error{
		"datagram": (*conn).sendDatagram, "stream": (*conn).sendStream, "sequence": (*conn).sendOnSharedStream,
	} {
		c, err := a.peer(b.Addr()).connection(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if err := send(c, t.Context(), []byte{message.ProtocolVersion, 63, 0}); err != nil {
			t.Fatal(err)
		}
		select {
		case <-c.Context().Done():
		case <-time.After(closeLimit):
			t.Fatalf("%s: the connection stays open after a malformed message", name)
		}
		var app *quic.ApplicationError
		if err := context.Cause(c.Context()); !errors.As(err, &app) || app.ErrorCode != codeMalformed {
			t.Errorf("%s: connection ended with %v, want code %d", name, err, codeMalformed)
		}
		logged := b.logs.FilterField(zap.Stringer("from", a.Addr())).FilterMessageSnippet("malformed").TakeAll()
		if len(logged) != 1 || !strings.Contains(logged[0].ContextMap()["error"].(string), "unknown kind 63") {
			t.Errorf("%s: got log %v, want one line with sender and reason", name, logged)
		}
		b.logs.TakeAll()
		waitFor(t, "connection stays registered", func() bool { return a.connections(b) == 0 })
	}
	other.Send(b.Addr(), message.Announce{Number: 2})
	if got := <-b.received; got.from != other.Addr() {
		t.Errorf("got %+v, want the announcement of the other peer", got)
	}
	if err := context.Cause(healthy.Context()); err != nil {
		t.Errorf("connection of the other peer ended with %v, want it to stay", err)
	}
	if got := b.connections(other); got != 1 {
		t.Errorf("got %d connections to the other peer, want 1", got)
	}
}

func TestReadSmallMessage(t *testing.T) { // guards against lengths that take memory or have two forms
	for name, c := range map[string]struct {
		data []byte
		want error
	}{
		"empty":          {nil, errSharedStreamEnd},
		"padding only":   {[]byte{0, 0}, errSharedStreamEnd},
		"padding first":  {[]byte{0, 0, 1, 7}, nil},
		"padded length":  {[]byte{0x81, 0, 7}, message.ErrMalformed},
		"too long":       {append([]byte{0xe9, 7}, make([]byte, 1001)...), message.ErrMalformed},
		"long length":    {[]byte{0xff, 0xff, 0xff}, message.ErrMalformed},
		"cut off":        {[]byte{2, 7}, io.ErrUnexpectedEOF},
		"cut off length": {[]byte{0x81}, io.EOF},
		"one byte":       {[]byte{1, 7}, nil},
		"longest":        {append([]byte{0xe8, 7}, make([]byte, 1000)...), nil},
	} {
		if got, err := readSmallMessage(bytes.NewReader(c.data)); !errors.Is(err, c.want) || (err == nil) != (len(got) > 0) {
			t.Errorf("%s: got %d bytes and error %v, want error %v", name, len(got), err, c.want)
		}
	}
}

func TestMissingBaseKeepsConnection(t *testing.T) { // guards against a late delta that cuts a healthy peer off
	f := newFleet(t)
	b := f.listen(f.issueHost(), nil)
	base := snapshot{}
	a := f.listen(f.issueHost(), func(c *Config) {
		c.Codec.Lookup = func(n messageNumber) (message.Snapshot, bool) { return base, n == 1 }
	})
	a.Send(b.Addr(), message.Delta{Base: 1, Blobs: []message.Blob{bytes.Repeat([]byte("route"), 100)}})
	a.Send(b.Addr(), message.Announce{Number: 2})
	if got := <-b.received; got.m != (message.Announce{Number: 2}) {
		t.Errorf("got %+v, want the announcement only", got)
	}
	if got := b.connections(a); got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
}

func TestQuery(t *testing.T) { // guards against answers without limits and errors that get lost
	f := newFleet(t)
	a := f.listen(f.issueHost(), nil)
	b := f.listen(f.issueHost(), func(c *Config) {
		c.HandleQuery = func(ctx context.Context, from netip.AddrPort, query []byte) ([]byte, error) {
			switch string(query) {
			case "fail":
				return nil, errors.New("no such version")
			case "large":
				return make([]byte, maxAnswerSize), nil
			case "never":
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return append([]byte(from.String()+" "), query...), nil
		}
	})
	got, err := a.Query(t.Context(), b.Addr(), []byte("status"))
	if want := a.Addr().String() + " status"; err != nil || string(got) != want {
		t.Errorf("got %q and error %v, want %q", got, err, want)
	}
	if _, err := a.Query(t.Context(), b.Addr(), []byte("fail")); !errors.Is(err, ErrQueryFailed) || !strings.Contains(err.Error(), "no such version") {
		t.Errorf("got error %v, want the daemon's own", err)
	}
	if _, err := a.Query(t.Context(), b.Addr(), []byte("large")); !errors.Is(err, ErrQueryFailed) || !strings.Contains(err.Error(), "exceeds") {
		t.Errorf("got error %v, want a size error", err)
	}
	if _, err := a.Query(t.Context(), b.Addr(), make([]byte, maxQuerySize+1)); err == nil || !strings.Contains(err.Error(), "exceeds") {
		t.Errorf("got error %v, want a size error", err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := a.Query(ctx, b.Addr(), []byte("never")); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got error %v, want the deadline", err)
	}
	if _, err := b.Query(t.Context(), a.Addr(), nil); !errors.Is(err, ErrQueryFailed) {
		t.Errorf("without Config.Answer: got error %v, want ErrAnswer", err)
	}
}

func TestStamps(t *testing.T) { // guards against a timeline that shows an effect before its cause
	for name, ahead := range map[string]time.Duration{"clock behind": -time.Hour, "clock ahead": 59 * time.Second, "clock wrong": 61 * time.Second} {
		t.Run(name, func(t *testing.T) {
			f, start := newFleet(t), time.Now()
			listen := func(now time.Time) (*timeline.Ring, node) {
				clock := func() time.Time { return now }
				r := timeline.New(timeline.Config{Now: clock})
				return r, f.listen(f.issueHost(), func(c *Config) {
					c.Stamp, c.Observe, c.Now = r.Stamp, r.Observe, clock
					c.HandleQuery = func(context.Context, netip.AddrPort, []byte) ([]byte, error) { return nil, nil }
				})
			}
			sender, a := listen(start.Add(ahead))
			receiver, b := listen(start)
			a.Send(b.Addr(), message.Probe{})
			<-b.received
			if got, want := receiver.Stamp(), (timeline.Stamp{WallMS: start.UnixMilli()}); got != want {
				t.Errorf("after a probe: got stamp %v, want %v", got, want)
			}
			observed := ahead < time.Minute
			for what, send := range map[string]func() error{
				"message": func() error { a.Send(b.Addr(), message.Announce{}); <-b.received; return nil },
				"query":   func() error { _, err := a.Query(t.Context(), b.Addr(), nil); return err },
				"answer":  func() error { _, err := b.Query(t.Context(), a.Addr(), nil); return err },
			} {
				cause := sender.Stamp()
				if err := send(); err != nil {
					t.Fatal(err)
				}
				if got := receiver.Stamp(); (got.Compare(cause) > 0) != observed {
					t.Errorf("%s: got stamp %v after %v, want it observed: %v", what, got, cause, observed)
				}
			}
			if got := b.logs.FilterMessageSnippet("ahead").Len(); (got == 1) == observed {
				t.Errorf("got %d warnings for several stamps, observed: %v", got, observed)
			}
		})
	}
}

func TestRestartedPeer(t *testing.T) { // guards against sending into the connection of a former process until the idle timeout
	for name, first := range map[string]message.Message{
		"probe":    message.Probe{Stamp: host.Stamp{Incarnation: 1_790_000_000_000}},
		"smallest": message.Announce{Number: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			files := f.files(f.issueHost())
			a, b := f.listen(f.issueHost(), nil), f.listenTLS(files, nil)
			for range 3 {
				a.Send(b.Addr(), first)
				<-b.received
			}
			addr := b.Addr()
			c, err := a.peer(addr).connection(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			// A crash: the socket disappears without a word to the peers.
			_ = b.socket.udp.Close()
			again := f.listenTLS(files, func(c *Config) { c.Addr = addr })
			a.Send(addr, first)
			<-c.Context().Done()
			var reset *quic.StatelessResetError
			if err := context.Cause(c.Context()); !errors.As(err, &reset) {
				t.Fatalf("connection ended with %v, want a stateless reset after one message", err)
			}
			waitFor(t, "connection stays registered", func() bool { return a.connections(again) == 0 })
			a.Send(addr, first)
			if got := <-again.received; got.m != first {
				t.Errorf("got %+v, want the second message after the restart", got)
			}
		})
	}
}

func TestUnreachablePeer(t *testing.T) { // guards against an unbounded queue
	f := newFleet(t)
	a := f.listen(f.issueHost(), nil)
	to := netip.MustParseAddrPort("127.0.0.1:9")
	for range 10 * maxQueueLength {
		a.Send(to, message.Announce{Number: 1})
	}
	p := a.peer(to)
	p.mu.Lock()
	queued := len(p.queue)
	p.mu.Unlock()
	if queued > maxQueueLength || a.Dropped() < 9*maxQueueLength-1 {
		t.Errorf("got %d queued and %d dropped, want at most %d queued", queued, a.Dropped(), maxQueueLength)
	}
	before, large := a.Dropped(), encodedMessage{message.KindDelta, make([]byte, message.MaxSize)}
	for range 5 {
		p.enqueueStream(large) // one is taken out at once, two may wait
	}
	if got := a.Dropped() - before; got < 2 {
		t.Errorf("got %d large messages dropped, want at least 2 of 5", got)
	}
}

func TestBackoff(t *testing.T) { // guards against dials in step and against waits that outlast a restored link
	for failures := 1; failures < 100; failures++ {
		low, high := backoff(failures, 0), backoff(failures, 0.999)
		if low < minBackoff/2 || high > maxBackoff || high <= low {
			t.Errorf("after %d failures: got %v to %v", failures, low, high)
		}
	}
	if got := backoff(3, 0); got != 2*minBackoff {
		t.Errorf("after 3 failures: got %v, want %v", got, 2*minBackoff)
	}
}

func TestCrossRegionTraffic(t *testing.T) { // guards against link bytes counted for the wrong peers
	f := newFleet(t)
	b, c := f.listen(f.issueHost(), nil), f.listen(f.issueHost(), func(c *Config) { c.Addr = netip.MustParseAddrPort("127.0.0.2:0") })
	a := f.listen(f.issueHost(), func(c *Config) {
		c.IsCrossRegion = func(a netip.Addr) bool { return a == netip.MustParseAddr("127.0.0.2") }
	})
	a.Send(b.Addr(), message.Announce{Number: 1})
	<-b.received
	waitFor(t, "counters of the two ends don't agree", func() bool {
		ta, tb := a.Traffic().Total, b.Traffic().Total
		return ta == Counters{tb.BytesReceived, tb.BytesSent, tb.PacketsReceived, tb.PacketsSent}
	})
	if got := a.Traffic(); got.CrossRegion != (Counters{}) || got.Total.BytesSent == 0 {
		t.Errorf("got %+v, want local bytes only", got)
	}
	a.Send(c.Addr(), message.Announce{Number: 1})
	<-c.received
	if got := a.Traffic(); got.CrossRegion.BytesSent == 0 || got.CrossRegion.BytesSent >= got.Total.BytesSent {
		t.Errorf("got %+v, want a part of the bytes as remote", got)
	}
}
