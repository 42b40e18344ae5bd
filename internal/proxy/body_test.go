package proxy

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/peridotlb/peridotlb/internal/connection"
)

// readerFunc is a body whose reads run a function while they are in flight.
type readerFunc func() int

func (f readerFunc) Read([]byte) (int, error) { return f(), nil }

// TestRestHasOneReader guards against a rest of a body that is read for two attempts,
// or for one that has ended, and against a call that counts as resendable while a read
// is in flight or after it.
func TestRestHasOneReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			attempts []*restReader
			stopped  = make(map[*restReader]bool)
			owner    *restReader
			inFlight bool
			step     func()
		)
		b := &body{}
		b.rest = readerFunc(func() int {
			inFlight = true
			for range rapid.IntRange(0, 4).Draw(t, "steps during the read") {
				step()
			}
			inFlight = false
			return 1
		})
		step = func() {
			if got, want := b.resendable(), owner == nil; got != want {
				t.Fatalf("resendable: got %t, want %t", got, want)
			}
			action := rapid.SampledFrom([]string{"attach", "read", "stop", "stop unless read"}).Draw(t, "action")
			if action == "attach" || len(attempts) == 0 {
				attempts = append(attempts, &restReader{body: b})
				return
			}
			a := rapid.SampledFrom(attempts).Draw(t, "attempt")
			switch action {
			case "read":
				may := !stopped[a] && (owner == nil || owner == a)
				if may && inFlight {
					return // one goroutine writes the body of an attempt
				}
				if may {
					owner = a
				}
				if n, err := a.Read(make([]byte, 1)); may != (n == 1) || may == errors.Is(err, errRestTaken) {
					t.Fatalf("read: got %d bytes, %v, want a byte: %t", n, err, may)
				}
			case "stop":
				a.Stop()
				stopped[a] = true
			case "stop unless read":
				if got, want := a.stopUnlessRead(), owner == nil; got != want {
					t.Fatalf("stop unless read: got %t, want %t", got, want)
				}
				stopped[a] = stopped[a] || owner == nil
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			step()
		}
	})
}

// trailerReader is a rest of a body that adds the trailer of its request at the end, as
// net/http does.
type trailerReader struct {
	io.Reader
	trailer http.Header
}

func (r trailerReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err == io.EOF {
		maps.Copy(r.trailer, http.Header{"X-Sum": {"1"}})
	}
	return n, err
}

// TestTrailerOfHedgedAttempt guards against a process that ends because one attempt
// encodes the names of a trailer while another, which reads the rest of the body, adds
// its values. The race detector or the runtime reports it.
func TestTrailerOfHedgedAttempt(t *testing.T) {
	trailer := http.Header{"X-Sum": nil}
	b := &body{buffered: []byte("a"), length: -1, rest: trailerReader{strings.NewReader("b"), trailer}}
	b.setTrailer(trailer)
	first, second := &connection.Message{Method: "POST"}, &connection.Message{Method: "POST"}
	b.attach(first)
	b.attach(second)
	client := connection.NewClient(connection.ClientConfig{Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
		here, there := net.Pipe()
		return here, there.Close()
	}})
	var group sync.WaitGroup
	group.Go(func() { _, _ = io.Copy(io.Discard, first.Rest) })
	group.Go(func() { _, _ = client.Send(t.Context(), netip.AddrPort{}, second, connection.Options{}) })
	group.Wait()
}
