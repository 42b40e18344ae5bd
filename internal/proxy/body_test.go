package proxy

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
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
