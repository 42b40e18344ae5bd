package connection_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/peridotlb/peridotlb/internal/connection"
)

// resetPart is the part of a body that the peer sends before it resets the connection.
const resetPart = "part of a body"

// resetConn is a connection that its peer resets after resetPart. It decides whether the
// goroutine that writes the request or the one that reads the response learns of the
// reset first: the system reports it to one of them only.
type resetConn struct {
	net.Conn
	writerFirst bool
	received    func()        // called when resetPart was read
	writeFailed chan struct{} // closed after the first write that fails
	readFailed  chan struct{} // closed after the first read that fails
	wrote, read sync.Once
	data        []byte
	writes      int
}

func (c *resetConn) Read(p []byte) (int, error) {
	if strings.HasSuffix(string(c.data), resetPart) {
		c.received()
		if c.writerFirst {
			<-c.writeFailed
		}
	}
	n, err := c.Conn.Read(p)
	c.data = append(c.data, p[:n]...)
	if err != nil {
		c.read.Do(func() { close(c.readFailed) })
	}
	return n, err
}

func (c *resetConn) Write(p []byte) (int, error) {
	if c.writes++; !c.writerFirst && c.writes > 1 {
		<-c.readFailed
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.wrote.Do(func() { close(c.writeFailed) })
	}
	return n, err
}

// Close does not disturb the read that follows the reset.
func (c *resetConn) Close() error {
	select {
	case <-c.readFailed:
	case <-time.After(10 * time.Second):
	}
	return c.Conn.Close()
}

// Guards against taking a part of a body without a length for the whole when the peer
// resets the connection while the request is still being written. If the write learns of
// the reset, the read gets the end of the stream like after a whole body.
func TestResetDuringUploadCutsCloseDelimitedResponse(t *testing.T) {
	for _, writerFirst := range []bool{false, true} {
		for _, length := range []int64{-1, 8 << 20} {
			t.Run(fmt.Sprintf("writer first %t, length %d", writerFirst, length), func(t *testing.T) {
				received := make(chan struct{})
				addr := peer(t, func(_ int64, in *bufio.Reader, c net.Conn) {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s", r.Header.Get("Id"), resetPart)
					<-received
					_ = c.(*net.TCPConn).SetLinger(0)
				})
				conn := &resetConn{writerFirst: writerFirst, received: sync.OnceFunc(func() { close(received) }), writeFailed: make(chan struct{}), readFailed: make(chan struct{})}
				client := connection.NewClient(connection.ClientConfig{
					Dial: func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
						c, err := new(net.Dialer).DialContext(ctx, "tcp", addr.String())
						conn.Conn = c
						return conn, err
					},
					IdleTimeout: time.Minute,
				})
				m := message("1", "start of a long body")
				m.Length, m.Rest = length, rest{strings.NewReader(strings.Repeat("x", 8<<20))}
				if got, err := roundTrip(t.Context(), client, addr, m); err == nil {
					t.Errorf("got %q as a whole body, want an error", got)
				}
			})
		}
	}
}

// lateReadConn is read only after a write has failed.
type lateReadConn struct {
	net.Conn
	writeFailed chan struct{}
	failed      sync.Once
}

func (c *lateReadConn) Read(p []byte) (int, error) {
	<-c.writeFailed
	time.Sleep(20 * time.Millisecond) // until the effects of the failed write
	return c.Conn.Read(p)
}

func (c *lateReadConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed.Do(func() { close(c.writeFailed) })
	}
	return n, err
}

// Guards against losing a whole response that was received before its peer reset the
// connection during the upload. A refusal that is lost so counts as a call that may have
// run.
func TestWholeResponseBeforeResetIsRead(t *testing.T) {
	addr := peer(t, func(_ int64, in *bufio.Reader, c net.Conn) {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nContent-Length: 5\r\n\r\nwhole", r.Header.Get("Id"))
		time.Sleep(10 * time.Millisecond) // a reset does not overtake the response
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	client := connection.NewClient(connection.ClientConfig{
		Dial: func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
			c, err := new(net.Dialer).DialContext(ctx, "tcp", addr.String())
			return &lateReadConn{Conn: c, writeFailed: make(chan struct{})}, err
		},
		IdleTimeout: time.Minute,
	})
	m := message("1", "start of a long body")
	m.Length, m.Rest = 8<<20, rest{strings.NewReader(strings.Repeat("x", 8<<20))}
	if got, err := roundTrip(t.Context(), client, addr, m); err != nil || got != "whole" {
		t.Errorf("got %q, error %v, want the whole response", got, err)
	}
}
