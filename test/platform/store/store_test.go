package store

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestNewConnectionIsNotSilent guards against a new connection that gets no responses
// because an earlier one from the same port was made silent.
func TestNewConnectionIsNotSilent(t *testing.T) {
	s := New(Config{Seed: 1})
	server := httptest.NewUnstartedServer(s)
	server.Config.ConnState = s.ConnState
	server.Start()
	defer server.Close()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}}
	call := func() *net.TCPConn {
		conn, err := dialer.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = conn.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\n\r\n"))
		r, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			_ = conn.Close() // server.Close would wait for it
			t.Fatalf("from %v: got %v, want a response", conn.LocalAddr(), err)
		}
		_ = r.Body.Close()
		return conn.(*net.TCPConn)
	}
	conn := call()
	s.SilenceConnections(1)
	dialer.LocalAddr = conn.LocalAddr()
	_ = conn.SetLinger(0) // a reset, after which the port can be used again at once
	_ = conn.Close()
	_ = call().Close()
}
