package main

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// caller is a client on a host. It has one connection to the daemon beside it, which
// it keeps.
type caller struct {
	host   *siteHost
	conn   net.Conn
	reader *bufio.Reader
}

// request is one client attempt.
type request struct {
	id, method, host, path string
	header                 []string // further header lines
	body                   []byte
	deadline               time.Duration
}

// answer is what the client has got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error // no complete answer
	sent   bool  // some bytes of the request may have been sent
	at     time.Time
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *caller) do(q request) answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.host.addr(c.host.site.ports.outbound), time.Second)
		if err != nil {
			return answer{err: err, at: time.Now()}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline + 2*time.Second))
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, q.host, q.id, q.deadline.Milliseconds())
	for _, line := range q.header {
		out.WriteString(line + "\r\n")
	}
	if q.method != "GET" || len(q.body) > 0 {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(q.body))
	}
	out.WriteString("\r\n")
	out.Write(q.body)
	if _, err := c.conn.Write(out.Bytes()); err != nil {
		c.close()
		return answer{err: err, sent: true, at: time.Now()}
	}
	r, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		c.close()
		return answer{err: err, sent: true, at: time.Now()}
	}
	body, err := io.ReadAll(r.Body)
	a := answer{status: r.StatusCode, header: r.Header, body: body, err: err, sent: true, at: time.Now()}
	if err != nil || r.Close {
		c.close()
	}
	return a
}
