package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// appServer is the application server beside a daemon. It speaks what the users' pages
// say. Hooks make it slow or faulty.
type appServer struct {
	host    *siteHost
	id      string
	service string
	slots   int
	born    int64
	rec     *record
	log     *runLog
	work    func(r *http.Request) time.Duration // nil means 5 ms
	size    int                                 // bytes of a response body
	// before, if set, is called with the number of requests read on the connection
	// when a request was read, before the server handles it. It returns bytes to write
	// first.
	before func(n int, r *http.Request) []byte

	listener net.Listener
	state    atomic.Value // string
	sequence atomic.Uint64
	stop     chan struct{}
	once     sync.Once
	mu       sync.Mutex
	conns    map[net.Conn]bool
	running  atomic.Int64
	drainAck atomic.Int64 // Unix nanoseconds of the first acknowledgement that it leaves
}

// runLog has the runs of all servers.
type runLog struct {
	mu   sync.Mutex
	runs map[string][]run
}

type run struct {
	server, method, target, caller, tenant, auth string
	bodySum                                      string
	bodyLen                                      int
	status                                       int
	seal                                         string
	at, end                                      time.Time
	abandoned                                    bool
}

func newRunLog() *runLog { return &runLog{runs: make(map[string][]run)} }

func (l *runLog) add(id string, r run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = append(l.runs[id], r)
	return len(l.runs[id])
}

func (l *runLog) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs[id]...)
}

func (l *runLog) all() map[string][]run {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[string][]run, len(l.runs))
	for k, v := range l.runs {
		all[k] = append([]run(nil), v...)
	}
	return all
}

func startServer(h *siteHost, id string, log *runLog) (*appServer, error) {
	l, err := net.Listen("tcp", h.addr(h.site.ports.app))
	if err != nil {
		return nil, err
	}
	a := &appServer{host: h, id: id, service: h.service, slots: 9, born: time.Now().UnixMilli(), rec: h.site.rec, log: log, size: 200, listener: l, stop: make(chan struct{}), conns: make(map[net.Conn]bool)}
	a.state.Store("ready")
	go a.accept()
	go a.beatLoop()
	return a, nil
}

func (a *appServer) accept() {
	for {
		c, err := a.listener.Accept()
		if err != nil {
			return
		}
		a.mu.Lock()
		a.conns[c] = true
		a.mu.Unlock()
		go a.serve(c)
	}
}

// end ends the server at once, as if its process was killed.
func (a *appServer) end() {
	a.once.Do(func() {
		close(a.stop)
		_ = a.listener.Close()
		a.mu.Lock()
		defer a.mu.Unlock()
		for c := range a.conns {
			_ = c.Close()
		}
	})
}

func (a *appServer) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		a.mu.Lock()
		delete(a.conns, c)
		a.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for n := 1; ; n++ {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		body, err := io.ReadAll(r.Body)
		if err != nil {
			a.rec.add("server %s got a request that ends early: %s %s id %q: %v", a.id, r.Method, r.RequestURI, r.Header.Get("X-Attempt-Id"), err)
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if a.before != nil {
			if extra := a.before(n, r); len(extra) > 0 {
				if _, err := c.Write(extra); err != nil {
					return
				}
			}
		}
		if !a.handle(c, reader, r, body) {
			return
		}
	}
}

// handle answers one request and reports whether the connection goes on.
func (a *appServer) handle(c net.Conn, reader *bufio.Reader, r *http.Request, body []byte) bool {
	id := r.Header.Get("X-Attempt-Id")
	if r.URL.Path == "/health" {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Server-Load: 0,0,%d\r\nContent-Length: 0\r\n\r\n", a.id, a.slots)
		return err == nil
	}
	refuse := func(status int, text string) bool {
		a.rec.add("server %s refused %s with %d", a.id, id, status)
		echo := ""
		if id != "" {
			echo = "X-Attempt-Id: " + id + "\r\n"
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), echo+text)
		return err == nil
	}
	if want := r.Header.Get("X-Target-Instance"); want != "" && want != a.id {
		return refuse(http.StatusMisdirectedRequest, "")
	}
	if id == "" {
		return refuse(http.StatusBadRequest, "")
	}
	if int(a.running.Add(1)) > a.slots {
		a.running.Add(-1)
		return refuse(http.StatusServiceUnavailable, "")
	}
	defer a.running.Add(-1)
	deadline := 30 * time.Second
	if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		deadline = time.Duration(ms) * time.Millisecond
	}
	start := time.Now()
	sum := sha256.Sum256(body)
	status := http.StatusOK
	count := a.log.add(id, run{
		server: a.id, method: r.Method, target: r.RequestURI, caller: r.Header.Get("X-Caller-Service"), tenant: r.Header.Get("X-Tenant"),
		auth: r.Header.Get("Authorization"), bodySum: fmt.Sprintf("%x", sum[:8]), bodyLen: len(body), at: start, seal: sealOf(a.id, id),
	})
	a.rec.add("server %s runs %s %s %s (run %d of this id), X-Caller-Service %q, X-Deadline-Ms %s", a.id, r.Method, r.RequestURI, id, count, r.Header.Get("X-Caller-Service"), r.Header.Get("X-Deadline-Ms"))
	work := 5 * time.Millisecond
	if a.work != nil {
		work = a.work(r)
	}
	if work > deadline {
		work, status = deadline, http.StatusGatewayTimeout
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	gone := make(chan struct{})
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		if _, err := reader.Peek(1); err != nil {
			select {
			case <-gone:
			default:
				close(gone)
			}
		}
	}()
	select {
	case <-timer.C:
	case <-gone:
		a.rec.add("server %s drops %s: its connection has closed", a.id, id)
		return false
	}
	_ = c.SetReadDeadline(time.Now()) // ends the watch of the connection
	<-finished
	_ = c.SetReadDeadline(time.Time{})
	select {
	case <-gone:
		// The watch ended by its deadline, or the connection was closed just now.
	default:
	}
	var out bytes.Buffer
	data := bodyOf(a.id, id, a.size)
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Server-Seal: %s\r\nX-Server-Load: %d,0,%d\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n", status, http.StatusText(status), id, sealOf(a.id, id), a.running.Load(), a.slots, len(data))
	out.Write(data)
	_, err := c.Write(out.Bytes())
	return err == nil
}

func sealOf(server, id string) string {
	sum := sha256.Sum256([]byte(server + "/" + id))
	return fmt.Sprintf("%x", sum[:12])
}

// bodyOf returns the body of the response of a server to a request.
func bodyOf(server, id string, size int) []byte {
	line := "answer of " + server + " to " + id + "\n"
	return []byte(strings.Repeat(line, size/len(line)+1))
}

// beatLoop sends the heartbeats of the server.
func (a *appServer) beatLoop() {
	for {
		a.beat()
		select {
		case <-a.stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

func (a *appServer) heartbeat(state string, sequence uint64) []byte {
	data, _ := json.Marshal(map[string]any{
		"service": a.service, "address": a.listener.Addr().String(), "zone": a.host.zone, "version": "v1", "slots": a.slots,
		"state": state, "cold_remaining_s": 0, "sequence": sequence, "born": a.born,
	})
	return data
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (a *appServer) beat() bool {
	state := a.state.Load().(string)
	if state == "" {
		return false
	}
	return a.sendBeat(state, a.sequence.Add(1))
}

func (a *appServer) sendBeat(state string, sequence uint64) bool {
	ok := a.post("/v1/Instances.Heartbeat/"+a.id, a.heartbeat(state, sequence))
	if state == "draining" && ok {
		if a.drainAck.CompareAndSwap(0, time.Now().UnixNano()) {
			a.rec.add("server %s: draining acknowledged", a.id)
		}
	}
	return ok
}

func (a *appServer) post(path string, body []byte) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Post("http://"+a.host.addr(a.host.site.ports.control)+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode/100 == 2
}
