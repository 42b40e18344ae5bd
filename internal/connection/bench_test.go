package connection_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/peridotlb/peridotlb/internal/connection"
)

// BenchmarkServer measures a request with 10 header lines and 500 bytes, without a body
// and with one, on one connection.
func BenchmarkServer(b *testing.B) {
	for _, size := range []int{0, 4 << 10, 60 << 10} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			s := connection.NewServer(connection.ServerConfig{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, "answer")
			})})
			go func() { _ = s.Serve(l) }()
			defer s.Close()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			var lines strings.Builder
			for i := range 8 {
				fmt.Fprintf(&lines, "X-Header-%d: %s\r\n", i, strings.Repeat("v", 40))
			}
			request := fmt.Sprintf("POST /stock HTTP/1.1\r\nHost: shop.example\r\nContent-Length: %d\r\n%s\r\n%s", size, lines.String(), strings.Repeat("b", size))
			in := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(c, request); err != nil {
					b.Fatal(err)
				}
				r, err := http.ReadResponse(in, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, r.Body)
			}
		})
	}
}
