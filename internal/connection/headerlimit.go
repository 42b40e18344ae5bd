package connection

import (
	"errors"
	"io"
)

var errHeaderTooLarge = errors.New("header is too large")

// headerLimitReader bounds the bytes that are read for a header. It keeps the error
// that ended reading, because the parser reports a truncated header as malformed.
type headerLimitReader struct {
	source    io.Reader
	remaining int // negative for no limit
	err       error
}

func (r *headerLimitReader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		r.err = errHeaderTooLarge
		return 0, r.err
	}
	if r.remaining > 0 && len(p) > r.remaining {
		p = p[:r.remaining]
	}
	n, err := r.source.Read(p)
	if r.remaining > 0 {
		r.remaining -= n
	}
	r.err = err
	return n, err
}
