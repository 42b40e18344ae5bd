package proxy

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/bandwidth"
	"github.com/peridotlb/peridotlb/internal/pool"
)

// Guards against large responses that are cut, mixed up or held although the links
// are overloaded, against refusals for the link that don't say how long it is full,
// and against commitments that are never released.
func TestLargeResponsesShareTheLink(t *testing.T) {
	const size, servers, calls = 100_000, 2, 600
	large := make([]byte, size)
	for i := range large {
		large[i] = byte(rand.Uint32())
	}
	var links []*bandwidth.Link
	newLink := func() *bandwidth.Link {
		links = append(links, bandwidth.New(bandwidth.Config{Mbps: 14}))
		return links[len(links)-1]
	}
	s := &simulation{
		servers: servers, target: time.Second, bandwidth: newLink,
		choose: func(p *pool.Pool, _ []backend.ServerID) Pool { return p },
		handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("Content-Length", strconv.Itoa(size))
			_, _ = w.Write(large)
		}),
	}
	synctest.Test(t, func(t *testing.T) {
		s.start()
		var mu sync.Mutex
		var running sync.WaitGroup
		good, refused, late := 0, 0, 0
		for range calls { // 4 MB/s over two links that carry 3 MB/s
			time.Sleep(25 * time.Millisecond)
			running.Go(func() {
				start, w := time.Now(), httptest.NewRecorder()
				s.entries[rand.IntN(simEntries)].ServeHTTP(w, httptest.NewRequest("GET", "/stock", nil))
				mu.Lock()
				defer mu.Unlock()
				switch {
				case w.Code == http.StatusOK && bytes.Equal(w.Body.Bytes(), large):
					good++
					if time.Since(start) > s.target {
						late++
					}
				case w.Code == http.StatusServiceUnavailable && w.Header().Get(HeaderNotRun) == "true" && w.Header().Get("Retry-After") != "":
					refused++
				default:
					t.Errorf("got status %d with %d bytes, want the response or a refusal", w.Code, w.Body.Len())
				}
			})
		}
		running.Wait()
		if refused == 0 || good < calls/2 || late > good/20 {
			t.Errorf("got %d responses, %d late, and %d refusals, want half of %d calls served in time and some refused", good, late, refused, calls)
		}
		s.stop()
		for i, l := range links {
			if out, in := l.Sending.Committed(), l.Receiving.Committed(); out != 0 || in != 0 {
				t.Errorf("link %d: got %v and %v bytes committed at the end, want 0", i, out, in)
			}
		}
	})
}

// Guards against a response that breaks off and is taken for complete while it is sent
// at the rate of the link.
func TestCutPacedResponse(t *testing.T) {
	for _, cut := range []error{io.ErrUnexpectedEOF, io.ErrClosedPipe} {
		link := bandwidth.New(bandwidth.Config{Mbps: 50})
		for _, size := range []int{0, 1, bandwidth.PieceBytes, bandwidth.PieceBytes + 100} {
			now := time.Now()
			p := &pacedSending{t.Context(), link.Sending.Commit(demand(bandwidth.Exactly(1e5), 0, now, now))}
			rest := io.MultiReader(bytes.NewReader(make([]byte, size)), iotest.ErrReader(cut))
			if err := p.write(httptest.NewRecorder(), []byte("start"), rest); !errors.Is(err, cut) {
				t.Errorf("%d bytes before the cut: got error %v, want %v", size, err, cut)
			}
		}
	}
}
