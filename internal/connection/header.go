package connection

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"

	"go.uber.org/zap"

	"github.com/peridotlb/peridotlb/internal/header"
)

var errHeaderTooLarge = errors.New("header is too large")

// headerReader receives whole headers, so that they can be checked before they are parsed.
type headerReader struct {
	source pendingReader
	reader *bufio.Reader // reads from source
}

// receive waits for the end of a header of up to limit bytes, and returns it. The header
// stays in the reader, and the bytes are valid until the next read. reserve is called
// before memory of the given size is allocated.
func (r *headerReader) receive(limit int, reserve func(bytes int) error) ([]byte, headerScan, error) {
	var scan headerScan
	for {
		n := r.reader.Buffered()
		data, err := r.reader.Peek(n)
		if err != nil {
			return nil, scan, err
		}
		switch ended := scan.next(data); {
		case ended && scan.size <= limit:
			return data[:scan.size], scan, nil
		case ended, n > limit:
			return nil, scan, errHeaderTooLarge
		case n == readBufferSize:
			data, err = r.receiveLong(&scan, data, limit, reserve)
			return data, scan, err
		}
		if _, err := r.reader.Peek(n + 1); err != nil {
			return nil, scan, err
		}
	}
}

// receiveLong continues receive for a header that does not fit into the read buffer,
// whose content is start.
func (r *headerReader) receiveLong(scan *headerScan, start []byte, limit int, reserve func(bytes int) error) ([]byte, error) {
	var data []byte
	for ended := false; !ended; ended = scan.next(data) {
		if len(data) > limit {
			return nil, errHeaderTooLarge
		}
		if len(data) == cap(data) {
			size := min(max(2*cap(data), 4*readBufferSize), max(limit, readBufferSize)+1)
			if err := reserve(size - cap(data)); err != nil {
				return nil, err
			}
			grown := make([]byte, len(data), size)
			copy(grown, data)
			data = grown
		}
		if len(data) == 0 {
			data = append(data, start...)
			// Everything that is discarded is in the buffer.
			_, _ = r.reader.Discard(len(start))
			continue
		}
		n, err := r.source.Read(data[len(data):cap(data)])
		if n == 0 && err != nil {
			return nil, fmt.Errorf("read the header: %w", err)
		}
		data = data[:len(data)+n]
	}
	if scan.size > limit {
		return nil, errHeaderTooLarge
	}
	r.source.pending = append(data, r.source.pending...)
	return data[:scan.size], nil
}

// pendingReader reads bytes that were already received before those of its source.
type pendingReader struct {
	source  io.Reader
	pending []byte
}

// Read implements io.Reader.
func (r *pendingReader) Read(p []byte) (int, error) {
	if len(r.pending) == 0 {
		return r.source.Read(p)
	}
	n := copy(p, r.pending)
	if r.pending = r.pending[n:]; len(r.pending) == 0 {
		r.pending = nil // the buffer may be large
	}
	return n, nil
}

func (r *pendingReader) hasPending() bool { return len(r.pending) > 0 }

// refusedError is the error of a request for which no memory was reserved.
type refusedError struct{ reason Refusal }

func (e *refusedError) Error() string { return "no memory for the request: " + string(e.reason) }

// remoteIP returns the address that identifies a caller. An IPv6 host usually
// has the whole /64 network.
func remoteIP(raw net.Conn) netip.Addr {
	tcp, ok := raw.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	addr := tcp.AddrPort().Addr().Unmap()
	if addr.Is4() {
		return addr
	}
	network, err := addr.Prefix(64)
	if err != nil {
		return addr
	}
	return network.Addr()
}

// openAccount reserves the memory of the connection and reports whether there is room.
func (c *conn) openAccount() bool {
	info := connectionInfo{addr: remoteIP(c.raw), cost: connectionCost, peer: c.server.config.Peers, close: func() { go c.abort() }}
	if c.server.config.TLS != nil {
		info.cost += tlsCost
	}
	var r Refusal
	c.account, r = c.server.config.Memory.open(info)
	if r == Granted {
		return true
	}
	c.server.config.Log.Warn("Refused a connection: too many are open, and none is idle.", zap.Stringer("client", c.raw.RemoteAddr()))
	return false
}

// reserve reserves memory for the request that is being read. It is released with the
// response.
func (c *conn) reserve(n int) error {
	if r := c.account.reserve(n); r != Granted {
		return &refusedError{r}
	}
	c.reserved += n
	return nil
}

// receiveHeader waits for the end of a header of up to limit bytes, checks it and reserves
// the memory that it takes when it is parsed. The header is then in the reader.
func (c *conn) receiveHeader(limit int) error {
	data, scan, err := c.receive(limit, c.reserve)
	if err != nil {
		return err
	}
	if err := header.CheckRequest(data); err != nil {
		return fmt.Errorf("check the request: %w", err)
	}
	return c.reserve(headerCost(scan.size, scan.lines))
}

// RefusalStatus returns the status of the response to a request that was refused. Both
// guarantee that the request has not run.
func RefusalStatus(r Refusal) int {
	if r == RequestTooCostly {
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return http.StatusServiceUnavailable
}

func writeRefusal(w http.ResponseWriter, r Refusal) {
	if RefusalStatus(r) == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(RefusalStatus(r))
}

// refuse responds to a request for which no memory was reserved, after the responses
// to the requests in flight. The connection ends with it, because the rest of the
// request is not read.
func (c *conn) refuse(reason Refusal) {
	use := c.server.config.Memory.Use()
	c.server.config.Log.Warn("Refused a request: callers' requests hold too much memory.",
		zap.String("reason", string(reason)), zap.Stringer("client", c.raw.RemoteAddr()), zap.Int("used-bytes", use.Used), zap.Int("limit-bytes", use.Limit))
	w := c.enqueueResponse(&http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1, Close: true})
	if w == nil {
		return
	}
	w.charged, c.reserved = c.reserved, 0
	c.server.config.Refuse(w, reason)
	go w.finish()
}
