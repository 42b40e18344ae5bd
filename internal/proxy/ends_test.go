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

// responseCell is one way in which a server reads a request and ends its response.
type responseCell struct {
	request string // short, length or chunked
	read    string // how much of the request is read before the response: none, half or all
	framing string // of the response: length, chunked, trailer (chunked with one) or close
	end     string // sound, closed or reset; the last two after a part of the body
	size    int    // bytes of the response body
	local   bool   // the server is that of the entry's own host
	// open counts the connections of the server with a request whose end was not sent yet.
	open *sync.WaitGroup
}

// cellTrailer is the name of the trailer of a response.
const cellTrailer = "X-Digest"

// Guards against a part of a response that is passed on as whole, and against a whole one
// that is not passed on, in every combination of how the request is framed and read and
// how the response is framed and ended.
func TestEndsOfResponses(t *testing.T) {
	const bodySize = 1 << 20 // of a long request, more than the sockets take
	for _, local := range []bool{true, false} {
		var cell atomic.Pointer[responseCell]
		u := startUploadsTo(t, local, cellServer(t, &cell, bodySize))
		for _, request := range []string{"short", "length", "chunked"} {
			for _, read := range []string{"none", "half", "all"} {
				for _, framing := range []string{"length", "chunked", "trailer", "close"} {
					for _, end := range []string{"sound", "closed", "reset"} {
						for _, size := range []int{100, 3 * bufferLimit} {
							c := &responseCell{request, read, framing, end, size, local, new(sync.WaitGroup)}
							cell.Store(c)
							testCell(t, u, c, bodySize)
							// The server closes connections without saying so: the next request,
							// sent on one that is about to be closed, would get no response.
							c.open.Wait()
						}
					}
				}
			}
		}
	}
}

func testCell(t *testing.T, u *uploadMesh, c *responseCell, bodySize int) {
	t.Helper()
	conn := u.dial()
	defer conn.Close()
	go func() { _, _ = io.WriteString(conn, c.requestText(bodySize)) }()
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		if c.end == "sound" {
			t.Errorf("%+v: got no response: %v", *c, err)
		}
		return
	}
	body, err := io.ReadAll(r.Body)
	whole := err == nil && r.StatusCode == http.StatusOK
	switch {
	case c.end == "sound" && (!whole || string(body) != c.body()):
		t.Errorf("%+v: got %d and %d bytes, error %v, want the whole response", *c, r.StatusCode, len(body), err)
	case c.end == "sound" && c.framing == "trailer" && r.Trailer.Get(cellTrailer) != "whole":
		t.Errorf("%+v: got trailer %v, want %s", *c, r.Trailer, cellTrailer)
	case c.end == "closed" && c.framing == "close":
		// Nothing tells such a response from a whole one.
	case c.end != "sound" && whole:
		t.Errorf("%+v: got %d bytes as a whole body, want an error or 502", *c, len(body))
	}
}

// requestText returns the request.
func (c *responseCell) requestText(size int) string {
	switch c.request {
	case "short":
		return head(10) + "0123456789"
	case "length":
		return head(size) + strings.Repeat("x", size)
	default:
		return head(-1) + chunk(size) + "0\r\n\r\n"
	}
}

// body returns the whole body of the response.
func (c *responseCell) body() string { return strings.Repeat("b", c.size) }

// cellServer serves each call like the current cell.
func cellServer(t *testing.T, cell *atomic.Pointer[responseCell], bodySize int) netip.AddrPort {
	t.Helper()
	return listen(t, func(conn net.Conn) { cell.Load().serve(conn, bodySize) })
}

// serve answers one request and ends the connection.
func (c *responseCell) serve(conn net.Conn, bodySize int) {
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second)) // limits a test that hangs
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	c.open.Add(1)
	sent := sync.OnceFunc(c.open.Done)
	defer sent()
	switch c.read {
	case "half":
		_, _ = io.CopyN(io.Discard, r.Body, int64(bodySize/2))
	case "all":
		_, _ = io.Copy(io.Discard, r.Body)
	}
	text := c.response(r.Header.Get(HeaderCallID))
	if c.end != "sound" {
		text = text[:len(text)-c.size/2-10]
	}
	_, _ = io.WriteString(conn, text)
	if c.end == "reset" {
		time.Sleep(5 * time.Millisecond) // a reset may overtake what was not read yet
		_ = conn.(*net.TCPConn).SetLinger(0)
		return
	}
	// A connection that is closed with unread bytes is reset. The peer closes it when the
	// response has ended for it.
	_ = conn.(*net.TCPConn).CloseWrite()
	sent()
	_, _ = io.Copy(io.Discard, conn)
}

// response returns the whole response.
func (c *responseCell) response(id string) string {
	text := "HTTP/1.1 200 OK\r\n" + HeaderCallID + ": " + id + "\r\n"
	body := c.body()
	switch c.framing {
	case "length":
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", text, len(body), body)
	case "chunked", "trailer":
		trailer := ""
		if c.framing == "trailer" {
			trailer = cellTrailer + ": whole\r\n"
		}
		return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n%s\r\n", text, 7, body[:7], len(body)-7, body[7:], trailer)
	default:
		return text + "\r\n" + body
	}
}
