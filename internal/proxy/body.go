package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/peridotlb/peridotlb/internal/bandwidth"
	"github.com/peridotlb/peridotlb/internal/connection"
)

// body is a request body that can be sent again as long as only its buffered part
// was read. Several attempts may be about to read the rest: one that has ended, one
// that runs beside a hedged attempt, and the newest. The first that begins gets the
// whole rest, and the others fail.
type body struct {
	buffered []byte
	rest     io.Reader // nil if buffered is the whole body
	length   int64     // -1 if unknown
	trailer  http.Header
	// trailerNames is a copy of the names in trailer. The attempt that reads rest adds
	// the values to trailer, while others may be encoding the names.
	trailerNames []string
	tooLarge     atomic.Bool // the rest exceeds the limit of the configuration

	mu     sync.Mutex
	reader *restReader // the attempt that has begun to read rest; nil if none has
	// direction of the link over which the rest passes; nil without accounting.
	direction *bandwidth.Direction
}

// readBody buffers the body of a request, or the first bufferLimit+1 bytes of a
// longer one.
func readBody(r *http.Request) (*body, error) {
	b := &body{length: r.ContentLength}
	if r.Body == nil || r.Body == http.NoBody {
		b.length = 0
		return b, nil
	}
	buffered, whole, err := readPrefix(r.Body, r.ContentLength)
	if err != nil {
		return nil, fmt.Errorf("read the request body: %w", err)
	}
	// If the body is longer than the buffer, r.Trailer has only the announced names
	// yet. A request that announces none is then forwarded without trailers.
	b.buffered = buffered
	b.setTrailer(r.Trailer)
	if !whole {
		b.rest = r.Body
		return b, nil
	}
	b.length = int64(len(buffered))
	return b, nil
}

// setTrailer sets the trailer of the body, before an attempt reads it.
func (b *body) setTrailer(h http.Header) {
	b.trailer, b.trailerNames = h, slices.Sorted(maps.Keys(h))
}

// readPrefix reads a body of up to bufferLimit bytes completely, and bufferLimit+1
// bytes of a longer one. It reports whether it read the whole body. A length of -1
// means unknown.
func readPrefix(r io.Reader, length int64) ([]byte, bool, error) {
	if length >= 0 && length <= bufferLimit {
		buffered := make([]byte, length)
		_, err := io.ReadFull(r, buffered)
		if err == io.EOF && length > 0 {
			err = io.ErrUnexpectedEOF
		}
		return buffered, true, err
	}
	buffer := new(bytes.Buffer)
	if length > bufferLimit {
		// Without room for MinRead bytes, ReadFrom would double the buffer at the end.
		buffer.Grow(bufferLimit + 1 + bytes.MinRead)
	}
	n, err := buffer.ReadFrom(io.LimitReader(r, bufferLimit+1))
	return buffer.Bytes(), n <= bufferLimit, err
}

// resendable reports whether the body can still be sent from its start.
func (b *body) resendable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reader == nil
}

// attach sets the body, the length and the trailer of a message.
func (b *body) attach(m *connection.Message) {
	m.Body, m.Length = b.buffered, b.length
	if b.rest != nil {
		m.Rest = &restReader{body: b}
	}
	if len(b.trailerNames) > 0 {
		m.Length, m.Trailer, m.TrailerNames = -1, b.trailer, b.trailerNames
	}
}

// errRestTaken is the error of an attempt that reads the rest of a body after its end,
// or after another attempt has begun to read it.
var errRestTaken = errors.New("the rest of the request body belongs to another attempt")

// restReader reads the rest of a body for one attempt. It implements connection.Rest.
type restReader struct {
	body    *body
	stopped bool // guarded by body.mu
}

// Read implements io.Reader.
func (r *restReader) Read(p []byte) (int, error) {
	if err := r.begin(); err != nil {
		return 0, err
	}
	n, err := r.body.rest.Read(p)
	if d := r.body.linkDirection(); d != nil {
		d.AddSmall(int64(n))
	}
	if errors.Is(err, connection.ErrBodyTooLarge) {
		r.body.tooLarge.Store(true)
	}
	return n, err
}

func (b *body) linkDirection() *bandwidth.Direction {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.direction
}

// begin reserves the rest of the body for this attempt.
func (r *restReader) begin() error {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.stopped || b.reader != nil && b.reader != r {
		return errRestTaken
	}
	b.reader = r
	return nil
}

// Stop implements connection.Rest.
func (r *restReader) Stop() {
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	r.stopped = true
}

// stopUnlessRead stops the reader if no attempt has begun to read the rest, and reports
// whether that is so. It accepts a nil reader.
func (r *restReader) stopUnlessRead() bool {
	if r == nil {
		return true
	}
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	if r.body.reader != nil {
		return false
	}
	r.stopped = true
	return true
}
