package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a request that a server has begun to work on.
type run struct {
	At                                             time.Time
	Server, Service, Attempt, Method, Path, Caller string
	Body                                           uint64 // hash
	BodyLength                                     int
	Status                                         int
	Fault, Tenant, Authorization                   string
	DeadlineMS                                     int
}

// ledger records what servers ran.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]*run // by attempt
}

func (l *ledger) begin(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[r.Attempt] = append(l.runs[r.Attempt], r)
}

func (l *ledger) of(attempt string) []*run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*run(nil), l.runs[attempt]...)
}

func hashOf(b []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(b)
	return h.Sum64()
}

// plan is how a server treats a request.
type plan struct {
	work  time.Duration
	fault string // "" is a sound answer
}

// server is a stand-in for an application server.
type server struct {
	id, service, zone, address, control string
	born                                int64
	slots                               int
	listener                            net.Listener
	ledger                              *ledger
	plan                                func(r *http.Request) plan
	keep                                time.Duration

	mu       sync.Mutex
	state    string
	sequence int
	running  int
	conns    map[net.Conn]bool
	stop     chan struct{}
	beats    bool
	silent   bool
	acked    time.Time // acknowledgement of draining
	logf     func(string, ...any)
}

func startServer(s *server) error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.listener, s.conns, s.stop, s.state = l, make(map[net.Conn]bool), make(chan struct{}), "ready"
	if s.born == 0 {
		s.born = time.Now().UnixMilli()
	}
	if s.keep == 0 {
		s.keep = 10 * time.Second
	}
	if s.logf == nil {
		s.logf = func(string, ...any) {}
	}
	go s.accept()
	if s.beats {
		go s.beat()
	}
	return nil
}

// crash ends the server at once.
func (s *server) crash() {
	close(s.stop)
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		reset(c)
	}
}

func (s *server) setState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

// quiet ends the heartbeats.
func (s *server) quiet() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}

// late sends a heartbeat from before the server began to leave.
func (s *server) late() {
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": "ready", "sequence": 2, "cold_remaining_s": 0, "born": s.born,
	})
	status, _ := post(s.control, "Heartbeat", s.id, body)
	s.logf("late heartbeat of %s: %s -> %d", s.id, body, status)
}

var beatClient = &http.Client{Timeout: time.Second}

// say sends a heartbeat now and reports whether it was acknowledged.
func (s *server) say() bool {
	s.mu.Lock()
	s.sequence++
	state := s.state
	body, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": state, "sequence": s.sequence, "cold_remaining_s": 0, "born": s.born,
	})
	s.mu.Unlock()
	status, answer := post(s.control, "Heartbeat", s.id, body)
	ok := status/100 == 2
	s.mu.Lock()
	defer s.mu.Unlock()
	if state != "ready" {
		s.logf("heartbeat of %s: %s -> %d %s", s.id, body, status, strings.TrimSpace(answer))
	}
	if ok && state == "draining" && s.acked.IsZero() {
		s.acked = time.Now()
	}
	return ok
}

// post makes a call to the control address and returns the status, 0 without an answer.
func post(control, call, id string, body []byte) (int, string) {
	r, err := beatClient.Post("http://"+control+"/v1/Instances."+call+"/"+id, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer r.Body.Close()
	answer, _ := io.ReadAll(io.LimitReader(r.Body, 4<<10))
	return r.StatusCode, string(answer)
}

func (s *server) beat() {
	for {
		s.mu.Lock()
		silent := s.silent
		s.mu.Unlock()
		if silent {
			return
		}
		s.say()
		select {
		case <-s.stop:
			return
		case <-time.After(870 * time.Millisecond):
		}
	}
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(c)
	}
}

func (s *server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(s.keep))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
		if !s.answer(c, r) {
			return
		}
	}
}

func reject(c net.Conn, status int, id string, fields ...string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", status, http.StatusText(status), id, strings.Join(fields, ""))
	return err == nil
}

// bodyFor returns the bytes of the answer to an attempt.
func bodyFor(attempt string, size int) []byte {
	b := make([]byte, size)
	x := hashOf([]byte(attempt)) | 1
	for i := range b {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
		b[i] = 'a' + byte(x%26)
	}
	return b
}

func (s *server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots {
		return false
	}
	s.running++
	return true
}

func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// answer answers one request and reports whether the connection stays.
func (s *server) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Attempt-Id")
	deadline, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	p := plan{}
	if s.plan != nil {
		p = s.plan(r)
	}
	if t := r.Header.Get("X-Target-Instance"); t != "" && t != s.id {
		_, _ = io.Copy(io.Discard, r.Body)
		return reject(c, 421, id, "X-Instance-Id: "+s.id+"\r\n")
	}
	if id == "" {
		return reject(c, 400, id) && false
	}
	if p.fault == "shed" {
		return reject(c, 503, id) && r.ContentLength == 0
	}
	begin := func(body []byte, length int) *run {
		x := &run{At: time.Now(), Server: s.id, Service: s.service, Attempt: id, Method: r.Method, Path: r.URL.RequestURI(), Caller: r.Header.Get("X-Caller-Service"), Tenant: r.Header.Get("X-Tenant"), Authorization: r.Header.Get("Authorization"), Body: hashOf(body), BodyLength: length, Status: 200, DeadlineMS: deadline}
		s.ledger.begin(x)
		return x
	}
	if p.fault == "early200" && r.Method == "POST" {
		x := begin(nil, -1)
		if !s.write(c, r, x, plan{}, bodyFor(id, 300)) {
			return false
		}
		time.Sleep(p.work)
		_, err := io.Copy(io.Discard, r.Body)
		return err == nil
	}
	if p.fault == "early" {
		begin(nil, -1).Status = 413
		_, _ = fmt.Fprintf(c, "HTTP/1.1 413 Too Large\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s.413\r\nContent-Length: 0\r\n\r\n", id, id)
		time.Sleep(p.work)
		_, err := io.Copy(io.Discard, r.Body)
		return err == nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false // the request isn't whole
	}
	if !s.enter() {
		return reject(c, 503, id)
	}
	defer s.leave()
	x := begin(body, len(body))
	time.Sleep(p.work)
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	if p.fault == "error" {
		x.Status = 500
		size = 20
	}
	return s.write(c, r, x, p, bodyFor(id, size))
}

func (s *server) write(c net.Conn, r *http.Request, x *run, p plan, body []byte) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s.%d\r\nX-Server-Load: %d,0,%d\r\n", x.Status, http.StatusText(x.Status), x.Attempt, x.Attempt, x.Status, s.running, s.slots)
	var message []byte
	closes := false
	framing := r.URL.Query().Get("framing")
	if p.fault == "unframed" || p.fault == "unframed-reset" {
		framing = "close"
	}
	switch {
	case r.Method == http.MethodHead:
		message = []byte(head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n")
	case framing == "chunked":
		var b bytes.Buffer
		b.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n")
		for rest := body; len(rest) > 0; {
			n := min(len(rest), 7001)
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		b.WriteString("0\r\n\r\n")
		message = b.Bytes()
	case framing == "close":
		closes = true
		message = append([]byte(head+"Connection: close\r\n\r\n"), body...)
	default:
		message = append([]byte(head+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"), body...)
	}
	x.Fault = p.fault
	if closes && p.fault == "cut" {
		p.fault = "cut-reset" // else nobody could tell it from the end
	}
	switch p.fault {
	case "lost-reset":
		reset(c)
		return false
	case "lost-close":
		return false
	case "cut":
		_, _ = c.Write(message[:len(message)*2/3])
		return false
	case "cut-reset", "unframed-reset":
		_, _ = c.Write(message[:len(message)*2/3])
		time.Sleep(20 * time.Millisecond)
		reset(c)
		return false
	case "junk":
		_, _ = c.Write([]byte("HTTP/1.1 2OO what\r\n\r\n"))
		return false
	case "extra":
		if closes {
			break
		}
		message = append(message, []byte("HTTP/1.1 200 OK\r\nX-Attempt-Id: "+x.Attempt+"\r\nX-Server-Seal: extra\r\nContent-Length: 5\r\n\r\nextra")...)
	}
	if _, err := c.Write(message); err != nil {
		return false
	}
	if p.fault == "extra-late" && !closes {
		go func() {
			time.Sleep(30 * time.Millisecond)
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + x.Attempt + "\r\nX-Server-Seal: extra\r\nContent-Length: 5\r\n\r\nextra"))
		}()
	}
	return !closes
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
