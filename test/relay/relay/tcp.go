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
	chunkSize         = 16 << 10 // bytes read from a connection at once
	maxChunksInFlight = 256      // chunks under way per direction; 4 MiB
	dialTimeout       = 10 * time.Second
)

// chunk is a part of a TCP stream under way. Empty data ends the stream.
type chunk struct {
	arrival time.Time
	data    []byte
	err     error // not nil when the stream broke
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
				sleep(r.ctx, 10*time.Millisecond) // for example, out of descriptors
				continue
			}
			r.runTracked(func() { r.relayConnection(c, host) })
		}
	})
	return nil
}

// connect carries one connection. The kernel has already completed the
// handshake with the caller, so that the delay of the handshake is added before
// the first byte.
func (r *Relay) relayConnection(near *net.TCPConn, host netip.AddrPort) {
	if !r.registerCloser(near) {
		return
	}
	defer r.closeAndUnregister(near)
	far, there, back, err := r.dial(near, host)
	if err != nil {
		resetConnection(near)
		return
	}
	if !r.registerCloser(far) {
		return
	}
	defer r.closeAndUnregister(far)
	ctx, cancel := context.WithCancel(r.ctx)
	defer cancel()
	done := make(chan struct{}, 2)
	for _, d := range []struct {
		path     *path
		from, to *net.TCPConn
	}{{there, near, far}, {back, far, near}} {
		chunks := make(chan chunk, maxChunksInFlight)
		r.runTracked(func() { readChunks(ctx, d.path, d.from, chunks) })
		r.runTracked(func() {
			if !writeChunks(ctx, d.to, chunks) {
				// One direction broke: both ends see a reset.
				resetConnection(near)
				resetConnection(far)
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

// dial connects to the host from the translated address of the caller.
func (r *Relay) dial(near *net.TCPConn, host netip.AddrPort) (far *net.TCPConn, there, back *path, err error) {
	caller := near.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	there, back = r.pathBetween(caller, host.Addr()), r.pathBetween(host.Addr(), caller)
	if there == nil || back == nil {
		return nil, nil, nil, fmt.Errorf("%s: %w", caller, errUnknownSource)
	}
	arrival, ok := there.sendSegment(r.ctx, 0)
	if !ok || !sleep(r.ctx, time.Until(arrival)) {
		return nil, nil, nil, r.ctx.Err()
	}
	d := net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: Translated(caller).AsSlice()}}
	c, err := d.DialContext(r.ctx, "tcp4", host.String())
	arrival, ok = back.sendSegment(r.ctx, 0)
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
	return c.(*net.TCPConn), there, back, nil
}

// readChunks puts the stream of a connection on a path.
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
	if c.arrival, ok = p.sendSegment(ctx, len(c.data)); !ok {
		return false
	}
	select {
	case chunks <- c:
		return true
	case <-ctx.Done():
		return false
	}
}

// writeChunks writes what comes off a path at the time of its arrival. It
// reports whether the stream ended in order.
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

// reset closes a connection so that its peer sees an error, not an orderly end.
func resetConnection(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
