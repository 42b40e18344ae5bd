package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"
)

const (
	chunkSize         = 16 << 10 // maximum number of bytes per read from a connection
	maxChunksInFlight = 256      // chunks in flight per direction; 4 MiB
	dialTimeout       = 10 * time.Second
)

// chunk is a part of a TCP stream in flight. Empty data marks the end of the
// stream.
type chunk struct {
	arrival time.Time
	data    []byte
	err     error // set if the stream was interrupted
}

// listenTCP accepts connections at the translated address of a host's port.
func (r *Relay) listenTCP(host netip.AddrPort) error {
	addr := netip.AddrPortFrom(Translated(host.Addr()), host.Port())
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(addr))
	if err != nil {
		return err
	}
	r.registerCloser(l)
	r.goroutines.Go(func() {
		for {
			c, err := l.AcceptTCP()
			if err != nil {
				if r.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
					return
				}
				sleep(r.ctx, 10*time.Millisecond) // wait out a temporary error, such as too many open files
				continue
			}
			r.runTracked(func() { r.relayConnection(c, host) })
		}
	})
	return nil
}

// relayConnection relays one connection. The kernel has already completed the
// handshake with the client, so the delay of the handshake is added before the
// first byte.
func (r *Relay) relayConnection(clientConn *net.TCPConn, host netip.AddrPort) {
	if !r.registerCloser(clientConn) {
		return
	}
	defer r.closeAndUnregister(clientConn)
	hostConn, forward, backward, err := r.dial(clientConn, host)
	if err != nil {
		resetConnection(clientConn)
		return
	}
	if !r.registerCloser(hostConn) {
		return
	}
	defer r.closeAndUnregister(hostConn)
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	done := make(chan struct{}, 2)
	for _, d := range []struct {
		path     *path
		from, to *net.TCPConn
	}{{forward, clientConn, hostConn}, {backward, hostConn, clientConn}} {
		chunks := make(chan chunk, maxChunksInFlight)
		r.runTracked(func() { readChunks(ctx, d.path, d.from, chunks) })
		r.runTracked(func() {
			if !writeChunks(ctx, d.to, chunks) {
				// One direction failed, so both ends get a reset.
				resetConnection(clientConn)
				resetConnection(hostConn)
				cancel()
			}
			done <- struct{}{}
		})
	}
	for range 2 {
		select {
		case <-done:
		case <-r.ctx.Done():
			return
		}
	}
}

// dial connects to the host from the translated address of the client, and adds the
// delay of the handshake in both directions.
func (r *Relay) dial(clientConn *net.TCPConn, host netip.AddrPort) (hostConn *net.TCPConn, forward, backward *path, err error) {
	clientAddr := clientConn.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	forward, backward = r.pathForAddrs(clientAddr, host.Addr()), r.pathForAddrs(host.Addr(), clientAddr)
	if forward == nil || backward == nil {
		return nil, nil, nil, fmt.Errorf("%s: %w", clientAddr, errUnknownSource)
	}
	arrival, ok := forward.admitTCP(r.ctx, 0)
	if !ok || !sleep(r.ctx, time.Until(arrival)) {
		return nil, nil, nil, r.ctx.Err()
	}
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: Translated(clientAddr).AsSlice()}}
	c, err := d.DialContext(r.ctx, "tcp4", host.String())
	arrival, ok = backward.admitTCP(r.ctx, 0)
	if ok {
		ok = sleep(r.ctx, time.Until(arrival))
	}
	switch {
	case err != nil:
		return nil, nil, nil, err
	case !ok:
		_ = c.Close()
		return nil, nil, nil, r.ctx.Err()
	}
	return c.(*net.TCPConn), forward, backward, nil
}

// readChunks reads the stream of a connection and sends it in chunks on a path.
func readChunks(ctx context.Context, p *path, from *net.TCPConn, chunks chan<- chunk) {
	for {
		data := make([]byte, chunkSize)
		n, err := from.Read(data)
		if n > 0 && !enqueueChunk(ctx, p, chunk{data: data[:n]}, chunks) {
			return
		}
		if errors.Is(err, io.EOF) {
			enqueueChunk(ctx, p, chunk{}, chunks)
			return
		}
		if err != nil {
			enqueueChunk(ctx, p, chunk{err: err}, chunks)
			return
		}
	}
}

func enqueueChunk(ctx context.Context, p *path, c chunk, chunks chan<- chunk) bool {
	var ok bool
	if c.arrival, ok = p.admitTCP(ctx, len(c.data)); !ok {
		return false
	}
	select {
	case chunks <- c:
		return true
	case <-ctx.Done():
		return false
	}
}

// writeChunks writes each chunk at its arrival time. It reports whether the stream
// ended without an error.
func writeChunks(ctx context.Context, to *net.TCPConn, chunks <-chan chunk) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case c := <-chunks:
			if !sleep(ctx, time.Until(c.arrival)) || c.err != nil {
				return false
			}
			if len(c.data) == 0 {
				return to.CloseWrite() == nil
			}
			if _, err := to.Write(c.data); err != nil {
				return false
			}
		}
	}
}

// resetConnection closes a connection with a TCP reset, so that its peer gets an
// error instead of the end of the stream.
func resetConnection(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
