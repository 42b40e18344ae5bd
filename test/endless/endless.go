// Package endless provides a faulty server for tests, which sends bytes without end.
package endless

import (
	"io"
	"net"
	"strings"
	"testing"
)

// partSize is the size in bytes of one write.
const partSize = 16 << 10

// Server accepts one connection, reads a request and responds without end.
type Server struct {
	Addr string
	// Taken receives the number of bytes that the client and the buffers of the sockets
	// took, when the client has closed the connection or has taken Limit bytes.
	Taken <-chan int
}

// Config configures a Server.
type Config struct {
	First string // sent once
	Limit int    // bytes that are sent at most after First
}

// Serve starts a server that ends with the test.
func Serve(t testing.TB, c Config) Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	taken := make(chan int, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Read(make([]byte, partSize))
		_, err = io.WriteString(conn, c.First)
		total, part := 0, []byte(strings.Repeat("x", partSize))
		for err == nil && total < c.Limit {
			var n int
			n, err = conn.Write(part)
			total += n
		}
		taken <- total
	}()
	return Server{Addr: l.Addr().String(), Taken: taken}
}
