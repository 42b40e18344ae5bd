package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Uint64

func newAttempt() string {
	return fmt.Sprintf("%08x%08x", uint32(time.Now().UnixNano()), attempts.Add(1))
}

// request is one client attempt.
type request struct {
	attempt, method, host, path string
	body                        []byte
	chunked                     bool
	deadline                    time.Duration
	fields                      []string
	tenant                      string
	sentAt                      time.Time
}

func (r *request) encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.path, r.host, r.attempt, r.deadline.Milliseconds())
	for _, f := range r.fields {
		b.WriteString(f + "\r\n")
	}
	switch {
	case r.chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for rest := r.body; len(rest) > 0; {
			n := min(len(rest), 9001)
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		b.WriteString("0\r\n\r\n")
	case len(r.body) > 0 || r.method == http.MethodPost:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(r.body))
		b.Write(r.body)
	default:
		b.WriteString("\r\n")
	}
	return b.Bytes()
}

// result is what the client saw of an attempt.
type result struct {
	status int // 0 without a whole answer
	seal   string
	id     string
	body   []byte
	keep   bool
	err    error
	took   time.Duration
}

func readResult(in *bufio.Reader, r *request) result {
	resp, err := http.ReadResponse(in, &http.Request{Method: r.method})
	if err != nil {
		return result{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return result{err: fmt.Errorf("status %d, body cut: %w", resp.StatusCode, err)}
	}
	return result{status: resp.StatusCode, seal: resp.Header.Get("X-Server-Seal"), id: resp.Header.Get("X-Attempt-Id"), body: body, keep: !resp.Close}
}

// conn is a client's connection.
type conn struct {
	net.Conn
	in *bufio.Reader
}

func dial(address string) (*conn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{c, bufio.NewReader(c)}, nil
}

// do sends a request and waits for its answer until its deadline and a little longer.
func (c *conn) do(r *request) result {
	r.sentAt = time.Now()
	_ = c.SetDeadline(r.sentAt.Add(r.deadline + 500*time.Millisecond))
	failed := make(chan error, 1)
	go func() {
		_, err := c.Write(r.encode())
		failed <- err
	}()
	x := readResult(c.in, r)
	x.took = time.Since(r.sentAt)
	if x.err != nil || !x.keep {
		_ = c.Close()
		x.keep = false
	}
	if err := <-failed; err != nil {
		_ = c.Close()
		x.keep = false
	}
	return x
}

// verify returns what is wrong with the answer to a request, "" if nothing is.
func verify(l *ledger, r *request, x result) string {
	runs := l.of(r.attempt)
	unsafe := strings.HasPrefix(r.path, "/unsafe/")
	if unsafe && len(runs) > 1 {
		return fmt.Sprintf("TWICE: %d runs", len(runs))
	}
	for _, n := range runs {
		if n.Method != r.method || n.Path != r.path || n.BodyLength >= 0 && n.Body != hashOf(r.body) {
			return fmt.Sprintf("UNASKED: ran %s %s with %d bytes, not %d", n.Method, n.Path, n.BodyLength, len(r.body))
		}
	}
	for _, n := range runs {
		if n.Tenant != r.tenant {
			return fmt.Sprintf("UNASKED: tenant %q, not %q", n.Tenant, r.tenant)
		}
	}
	switch x.status {
	case 0:
		return ""
	case 408, 421, 429, 503:
		if unsafe && len(runs) > 0 {
			return fmt.Sprintf("REFUSED: %d, and it ran", x.status)
		}
		return ""
	}
	if x.seal == "" {
		if x.status/100 == 2 {
			return "MIXED: success without a seal"
		}
		return ""
	}
	want := r.attempt + "." + strconv.Itoa(x.status)
	if x.seal != want {
		return fmt.Sprintf("MIXED: seal %q with status %d", x.seal, x.status)
	}
	if x.status == 200 && r.method != http.MethodHead && !(len(runs) > 0 && runs[len(runs)-1].BodyLength < 0) {
		size := 0
		if _, q, ok := strings.Cut(r.path, "size="); ok {
			q, _, _ = strings.Cut(q, "&")
			size, _ = strconv.Atoi(q)
		}
		if !bytes.Equal(x.body, bodyFor(r.attempt, size)) {
			return fmt.Sprintf("MIXED: body of %d bytes isn't the server's %d", len(x.body), size)
		}
	}
	return ""
}
