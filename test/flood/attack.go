package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// shape is a header of permitted size.
type shape struct {
	name  string
	lines func(size int) string // header lines of up to size bytes
}

// shapes are the headers of docs/requirements.md, section 1.
var shapes = []shape{
	{"short names", func(size int) string { return repeatLines(size, func(i int) string { return shortName(i) + ":\r\n" }) }},
	{"one name", func(size int) string { return repeatLines(size, func(int) string { return "a:\r\n" }) }},
	{"unusual characters", func(size int) string {
		return repeatLines(size, func(i int) string { return shortName(i) + "!#$%&'*+.^_`|~-: \x80\xff\r\n" })
	}},
	{"tabs", func(size int) string {
		return repeatLines(size, func(i int) string { return shortName(i) + ":\t\t\t\tx\t\t\t\t\r\n" })
	}},
	{"cookies", func(size int) string { return repeatLines(size, func(int) string { return "Cookie:a\r\n" }) }},
	{"connection names", func(size int) string {
		return repeatLines(size, func(i int) string { return "Connection:" + shortName(i) + "," + shortName(i+1) + "\r\n" })
	}},
	{"long value", func(size int) string { return "X-Long: " + strings.Repeat("v", size-10) + "\r\n" }},
}

// repeatLines returns as many lines as fit into size bytes.
func repeatLines(size int, line func(int) string) string {
	var b strings.Builder
	for i := 0; ; i++ {
		l := line(i)
		if b.Len()+len(l) > size {
			return b.String()
		}
		b.WriteString(l)
	}
}

// shortName returns distinct names of one to three characters that differ in more
// than the case of letters.
func shortName(i int) string {
	const characters = "abcdefghijklmnopqrstuvwxyz0123456789"
	const n = len(characters)
	switch {
	case i < n:
		return characters[i : i+1]
	case i < n+n*n:
		i -= n
		return string([]byte{characters[i/n], characters[i%n]})
	default:
		i -= n + n*n
		return string([]byte{characters[i/n/n%n], characters[i/n%n], characters[i%n]})
	}
}

// pattern is what each connection of an attack does.
type pattern struct {
	name    string
	respond bool                      // the responses are read
	send    func(lines string) string // bytes that are sent at once; sent again after the responses if they are read
}

// pipelined is the number of requests that a connection sends at once.
const pipelined = 30

// requestFields are the header lines that every request needs.
const requestFields = "Host: " + requestHost + "\r\nX-Attempt-Id: flood\r\n"

// shapePatterns are the ways in which requests with a header shape are kept in memory.
var shapePatterns = []pattern{
	{name: "a body that never arrives", send: func(lines string) string { return post("/stock/a", "Content-Length: 60000\r\n"+lines, "") }},
	{name: "30 pipelined requests", respond: true, send: func(lines string) string {
		return strings.Repeat("GET /stock/a HTTP/1.1\r\n"+requestFields+lines+"\r\n", pipelined)
	}},
}

// otherPatterns do not depend on a header shape.
var otherPatterns = []pattern{
	{name: "header without an end", send: func(lines string) string { return "GET /stock/a HTTP/1.1\r\n" + lines }},
	{name: "unread responses", send: func(string) string {
		return strings.Repeat("GET "+largePath+" HTTP/1.1\r\n"+requestFields+"\r\n", pipelined)
	}},
	{name: "trailers", respond: true, send: func(string) string {
		trailer := repeatLines(3900, func(i int) string { return shortName(i) + ":\r\n" })
		return strings.Repeat(post("/stock/a", "Transfer-Encoding: chunked\r\n", "1\r\nx\r\n0\r\n"+trailer+"\r\n"), pipelined)
	}},
	{name: "chunk extensions", respond: true, send: func(string) string {
		chunk := "1;" + strings.Repeat("e", 3900) + "\r\nx\r\n"
		return strings.Repeat(post("/stock/a", "Transfer-Encoding: chunked\r\n", strings.Repeat(chunk, 3)+"0\r\n\r\n"), pipelined)
	}},
	{name: "body in small pieces", send: func(string) string { return post("/stock/a", "Content-Length: 65000\r\n", strings.Repeat("b", 64000)) }},
	{name: "idle", send: func(string) string { return "" }},
}

// post returns a request with header lines and the start of a body.
func post(path, lines, body string) string {
	return "POST " + path + " HTTP/1.1\r\n" + requestFields + lines + "\r\n" + body
}

// attackConfig describes an attack on one address.
type attackConfig struct {
	addr        string
	connections int
	duration    time.Duration
	request     string
	respond     bool
}

// attack keeps connections open that send the same bytes, and opens a new one for
// each that the daemon closes. It returns when the duration has passed.
func attack(c attackConfig) {
	ctx, cancel := context.WithTimeout(context.Background(), c.duration)
	defer cancel()
	var group sync.WaitGroup
	for range c.connections {
		group.Go(func() {
			for ctx.Err() == nil {
				_ = c.attackOnce(ctx)
				select {
				case <-ctx.Done():
				case <-time.After(reconnectDelay):
				}
			}
		})
	}
	group.Wait()
}

const (
	reconnectDelay = 50 * time.Millisecond
	// receiveBuffer is small, so that the kernel does not accept many unread responses
	// and the daemon has to keep them.
	receiveBuffer = 4 << 10
)

// attackOnce uses one connection until the daemon closes it or ctx ends.
func (c attackConfig) attackOnce(ctx context.Context) error {
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if c.respond {
			return nil
		}
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	conn, err := d.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	sent := make(chan error, 1)
	go func() {
		_, err := io.WriteString(conn, c.request)
		sent <- err
	}()
	if !c.respond {
		if err := <-sent; err != nil {
			return err
		}
		// The closing of the connection is detected without reading its responses.
		return waitForClose(ctx, conn)
	}
	in := bufio.NewReader(conn)
	for {
		for range pipelined {
			r, err := http.ReadResponse(in, nil)
			if err != nil {
				return err
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return err
			}
		}
		if err := <-sent; err != nil {
			return err
		}
		go func() {
			_, err := io.WriteString(conn, c.request)
			sent <- err
		}()
	}
}

// waitForClose waits until the daemon has closed a connection whose responses are not
// read. A further byte is refused from then on.
func waitForClose(ctx context.Context, conn net.Conn) error {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		state := 0
		if err := raw.Control(func(fd uintptr) { state = tcpState(int(fd)) }); err != nil {
			return err
		}
		if state != tcpEstablished {
			return io.EOF
		}
	}
}

// tcpEstablished is the state of an open connection in TCP_INFO.
const tcpEstablished = 1

// tcpState returns the state of a TCP socket.
func tcpState(fd int) int {
	// The state is the first byte of the option's value.
	v, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
	if err != nil {
		return 0
	}
	return v & 0xff
}
