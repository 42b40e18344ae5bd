package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// resettingServer answers each upload at once with a part of a body without a length and
// resets the connection while the upload is being written.
// It counts the uploads.
func resettingServer(t *testing.T, uploads *atomic.Int64) netip.AddrPort {
	t.Helper()
	return listen(t, func(c net.Conn) {
		in := bufio.NewReader(c)
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		n := uploads.Add(1)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\npart", HeaderCallID, r.Header.Get(HeaderCallID))
		_, _ = io.CopyN(io.Discard, in, n%16<<14)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
}

// Guards against passing on as whole a part of a response without a length whose server
// reset the connection during a long upload.
func TestResetDuringUploadIsNeverComplete(t *testing.T) {
	const uploads, callers = 400, 8
	upload := head(4<<20) + strings.Repeat("x", 4<<20)
	for _, local := range []bool{true, false} {
		var got atomic.Int64
		u := startUploadsTo(t, local, resettingServer(t, &got))
		var group sync.WaitGroup
		for range callers {
			group.Go(func() {
				for range uploads / callers {
					c := u.dial()
					go func() { _, _ = io.WriteString(c, upload) }()
					r, err := http.ReadResponse(bufio.NewReader(c), nil)
					if err == nil && r.StatusCode == http.StatusOK {
						if body, err := io.ReadAll(r.Body); err == nil {
							t.Errorf("local %v: got %q as a whole body, want an error or 502", local, body)
						}
					}
					_ = c.Close()
				}
			})
		}
		group.Wait()
		if got.Load() < uploads/2 {
			t.Errorf("local %v: got %d uploads at the server, want at least %d", local, got.Load(), uploads/2)
		}
	}
}

// startUploadsTo is startUploads with a server at the given address, whose responses may
// end with their connections.
func startUploadsTo(t *testing.T, local bool, server netip.AddrPort) *uploadMesh {
	t.Helper()
	u := &uploadMesh{mesh: newMesh(t)}
	u.routes[0].AtMostOnce, u.routes[0].Retries, u.routes[0].Timeout = true, 0, time.Minute
	u.local, u.dialect.CloseDelimited, u.serveGate = local, true, serveGate(t)
	u.transports = NewTransports(TransportConfig{dial: dialWithoutTimeout})
	u.startRows(u.rawRows(server), nil)
	u.serveEntry(0)
	return u
}
