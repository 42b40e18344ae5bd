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

// TestSend checks that messages of all sizes arrive with the right sender, and
// that both directions share one connection.
func TestSend(t *testing.T) {
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
		t.Errorf("got %d connections, want only the incoming one", got)
	}
}

// TestSimultaneousDial checks that two peers that dial each other at the same
// time agree on one connection.
func TestSimultaneousDial(t *testing.T) {
	f := newFleet(t)
	a, b := f.listen(f.issueHost(), nil), f.listen(f.issueHost(), nil)
	a.Send(b.Addr(), message.Announce{Number: 1})
	b.Send(a.Addr(), message.Announce{Number: 2})
	<-a.received
	<-b.received
	waitFor(t, "peers prefer different connections", func() bool {
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

// TestCertificates checks that peers without a valid certificate of the fleet
// can neither dial nor be dialed, and that their rejection is logged.
func TestCertificates(t *testing.T) {
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
			// The bad node loads a valid certificate and then presents the bad
			// one, since LoadTLS returns an error for the bad one.
			g := fleet{t, f.ca}
			good := g.listen(g.issueHost(), nil)
			files := fleet{t, c.signer.ca}.files(c.signer.issueHost())
			identity, err := LoadIdentity(files)
			if err != nil {
				t.Fatal(err)
			}
			presented := f.pair(c.keys)
			setCertificate(identity, presented)
			bad := fleet{t, c.signer.ca}.listen(c.signer.issueHost(), func(config *Config) { config.Server, config.Client = identity.Server, identity.Client })

			ctx := t.Context()
			if _, err := good.Query(ctx, bad.Addr(), nil); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("dialing the bad host: got error %v, want %q", err, c.want)
			}
			if _, err := bad.Query(ctx, good.Addr(), nil); err == nil || errors.Is(err, ErrQueryFailed) {
				t.Errorf("dialed by the bad host: got error %v, want a rejected connection", err)
			}
			if len(good.received) != 0 {
				t.Error("received a message from the bad host")
			}
			if bytes.Equal(c.signer.ca.Certificate, f.ca.Certificate) {
				// A host of a foreign fleet rejects the certificate of the good node
				// first, so the good node has nothing to log.
				rejected := good.logs.FilterMessageSnippet("Refused a connection").FilterLevelExact(zapcore.WarnLevel).All()
				if len(rejected) != 1 {
					t.Fatalf("got %d log lines about a rejected peer, want 1; log: %v", len(rejected), good.logs.All())
				}
				line := rejected[0].ContextMap()
				if reason, _ := line["error"].(string); line["peer"] != bad.Addr().String() || !strings.Contains(reason, c.want) {
					t.Errorf("log line about the rejected peer: got %v, want peer %v and %q", line, bad.Addr(), c.want)
				}
			}
		})
	}
}

// closeLimit is the time within which a connection must close. It is shorter than
// the idle timeout, after which the connection would close anyway.
const closeLimit = idleTimeout / 3

// TestMalformed checks that a malformed message is logged and closes the
// connection of its sender, but not the connections of other peers.
func TestMalformed(t *testing.T) {
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
			t.Fatalf("%s: connection is still open after a malformed message", name)
		}
		var app *quic.ApplicationError
		if err := context.Cause(c.Context()); !errors.As(err, &app) || app.ErrorCode != codeMalformed {
			t.Errorf("%s: connection closed with %v, want code %d", name, err, codeMalformed)
		}
		logged := b.logs.FilterField(zap.Stringer("from", a.Addr())).FilterMessageSnippet("malformed").TakeAll()
		if len(logged) != 1 || !strings.Contains(logged[0].ContextMap()["error"].(string), "unknown kind 63") {
			t.Errorf("%s: got log %v, want one line with sender and error", name, logged)
		}
		b.logs.TakeAll()
		waitFor(t, "connection is still registered", func() bool { return a.connections(b) == 0 })
	}
	other.Send(b.Addr(), message.Announce{Number: 2})
	if got := <-b.received; got.from != other.Addr() {
		t.Errorf("got %+v, want the announcement from the other peer", got)
	}
	if err := context.Cause(healthy.Context()); err != nil {
		t.Errorf("connection of the other peer closed with %v, want it open", err)
	}
	if got := b.connections(other); got != 1 {
		t.Errorf("got %d connections to the other peer, want 1", got)
	}
}

// TestReadSmallMessage checks that readSmallMessage rejects lengths above the limit
// and lengths that are not in their shortest form.
func TestReadSmallMessage(t *testing.T) {
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

// TestMissingBaseKeepsConnection checks that a delta whose base version the
// receiver does not have, for example because it arrives late, does not close
// the connection.
func TestMissingBaseKeepsConnection(t *testing.T) {
	f := newFleet(t)
	b := f.listen(f.issueHost(), nil)
	base := snapshot{}
	a := f.listen(f.issueHost(), func(c *Config) {
		c.Codec.Lookup = func(n versionNumber) (message.Snapshot, bool) { return base, n == 1 }
	})
	a.Send(b.Addr(), message.Delta{Base: 1, Blobs: []message.Blob{bytes.Repeat([]byte("route"), 100)}})
	a.Send(b.Addr(), message.Announce{Number: 2})
	if got := <-b.received; got.m != (message.Announce{Number: 2}) {
		t.Errorf("got %+v, want only the announcement", got)
	}
	if got := b.connections(a); got != 1 {
		t.Errorf("got %d connections, want 1", got)
	}
}

// TestQuery checks that queries and answers are limited in size, and that errors
// of the queried daemon and of the context are returned.
func TestQuery(t *testing.T) {
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
		t.Errorf("got error %v, want the error of the queried daemon", err)
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
		t.Errorf("got error %v, want context.DeadlineExceeded", err)
	}
	if _, err := b.Query(t.Context(), a.Addr(), nil); !errors.Is(err, ErrQueryFailed) {
		t.Errorf("without Config.HandleQuery: got error %v, want ErrQueryFailed", err)
	}
}

// TestStamps checks that timestamps of messages, queries and answers advance
// the receiver's hybrid logical clock, so that the timeline never shows an
// effect before its cause, and that timestamps too far ahead are ignored.
func TestTimestamps(t *testing.T) {
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
				t.Errorf("after a probe: got timestamp %v, want %v", got, want)
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
					t.Errorf("%s: got timestamp %v after %v, want it observed: %v", what, got, cause, observed)
				}
			}
			if got := b.logs.FilterMessageSnippet("ahead").Len(); (got == 1) == observed {
				t.Errorf("got %d warnings for several timestamps, observed: %v", got, observed)
			}
		})
	}
}

// TestRestartedPeer checks that a connection to the previous process of a
// restarted daemon is reset by the first message, rather than at the idle
// timeout.
func TestRestartedPeer(t *testing.T) {
	for name, first := range map[string]message.Message{
		"probe":    message.Probe{RowStamp: host.Stamp{Incarnation: 1_790_000_000_000}},
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
			// Simulates a crash: the socket closes without notifying the peers.
			_ = b.socket.udp.Close()
			restarted := f.listenTLS(files, func(c *Config) { c.Addr = addr })
			a.Send(addr, first)
			<-c.Context().Done()
			var reset *quic.StatelessResetError
			if err := context.Cause(c.Context()); !errors.As(err, &reset) {
				t.Fatalf("connection closed with %v, want a stateless reset after one message", err)
			}
			waitFor(t, "connection is still registered", func() bool { return a.connections(restarted) == 0 })
			a.Send(addr, first)
			if got := <-restarted.received; got.m != first {
				t.Errorf("got %+v, want the second message after the restart", got)
			}
		})
	}
}

// TestUnreachablePeer checks that the queues for an unreachable peer are
// bounded.
func TestUnreachablePeer(t *testing.T) {
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
		t.Errorf("got %d messages queued and %d dropped, want at most %d queued", queued, a.Dropped(), maxQueueLength)
	}
	before, large := a.Dropped(), encodedMessage{message.KindDelta, make([]byte, message.MaxSize)}
	for range 5 {
		p.enqueueStream(large) // one is removed from the queue immediately; two fit into the queue
	}
	if got := a.Dropped() - before; got < 2 {
		t.Errorf("got %d large messages dropped, want at least 2 of 5", got)
	}
}

// TestBackoff checks that the backoff is jittered, so that daemons do not dial
// in lockstep, and bounded, so that they reconnect soon after a network
// partition has ended.
func TestBackoff(t *testing.T) {
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

// TestCrossRegionTraffic checks that traffic is counted as cross-region traffic only
// for the selected peers.
func TestCrossRegionTraffic(t *testing.T) {
	f := newFleet(t)
	b, c := f.listen(f.issueHost(), nil), f.listen(f.issueHost(), func(c *Config) { c.Addr = netip.MustParseAddrPort("127.0.0.2:0") })
	a := f.listen(f.issueHost(), func(c *Config) {
		c.IsCrossRegion = func(a netip.Addr) bool { return a == netip.MustParseAddr("127.0.0.2") }
	})
	a.Send(b.Addr(), message.Announce{Number: 1})
	<-b.received
	waitFor(t, "counters of the two peers do not match", func() bool {
		ta, tb := a.Traffic().Total, b.Traffic().Total
		return ta == Counters{tb.BytesReceived, tb.BytesSent, tb.PacketsReceived, tb.PacketsSent}
	})
	if got := a.Traffic(); got.CrossRegion != (Counters{}) || got.Total.BytesSent == 0 {
		t.Errorf("got %+v, want only local traffic", got)
	}
	a.Send(c.Addr(), message.Announce{Number: 1})
	<-c.received
	if got := a.Traffic(); got.CrossRegion.BytesSent == 0 || got.CrossRegion.BytesSent >= got.Total.BytesSent {
		t.Errorf("got %+v, want part of the traffic as cross-region", got)
	}
}
