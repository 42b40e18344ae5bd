package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// chaos is a random search, not a case.
func chaos(record string, trouble bool) (int, error) {
	seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	kinds := os.Getenv("KINDS")
	s, err := newSite(record, []machine{{"regina-a", "regina", "stock"}, {"regina-b", "regina", "stock"}, {"winnipeg-a", "winnipeg", "mill"}, {"winnipeg-b", "winnipeg", "mill"}})
	if err != nil {
		return failed, err
	}
	defer s.end()
	if os.Getenv("TENANTS") != "" {
		s.tenants = []tenant{{"t-0", []string{"key-0a", "key-0b"}, 0, 0}, {"t-1", []string{"key-1"}, 0, 0}, {"t-2", []string{"key-2"}, 40, 20}, {"t-3", []string{"key-3"}, 25, 60}}
	}
	s.configure([]string{"stock", "mill"}, []route{
		{"r-safe", "a.example", "/safe/", "safe", "stock", 3, 2}, {"r-unsafe", "a.example", "/unsafe/", "unsafe", "mill", 3, 2},
	})
	var mu sync.Mutex
	rng := rand.New(rand.NewSource(seed))
	chance := func(p float64) bool { mu.Lock(); defer mu.Unlock(); return rng.Float64() < p }
	intn := func(n int) int { mu.Lock(); defer mu.Unlock(); return rng.Intn(n) }
	faults := strings.Split(os.Getenv("FAULTS"), ",")
	rate, _ := strconv.ParseFloat(os.Getenv("RATE"), 64)
	err = s.start(18, func(*http.Request) plan {
		p := plan{work: time.Duration(intn(60)) * time.Millisecond}
		if chance(0.05) {
			p.work = time.Duration(intn(1500)) * time.Millisecond
		}
		if trouble && chance(rate) {
			p.fault = faults[intn(len(faults))]
		}
		return p
	})
	if err != nil {
		return failed, err
	}
	sizes := []int{0, 10, 400, 3000, 5000, 60000, 65535, 65536, 65537, 70000, 200000, 700000}
	if v := os.Getenv("SIZES"); v != "" {
		sizes = nil
		for _, t := range strings.Split(v, ",") {
			k, _ := strconv.Atoi(t)
			sizes = append(sizes, k)
		}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	counts := map[string]int{}
	var requests int
	note := func(r *request, x result, bad string) {
		mu.Lock()
		defer mu.Unlock()
		requests++
		key := fmt.Sprint(x.status)
		if x.status == 0 && os.Getenv("GIVEUP") == "0" {
			s.logf("NONE: %s %s %s body %d chunked %v sent %v after %v: %v; runs %+v", r.attempt, r.method, r.path, len(r.body), r.chunked, r.sentAt.Sub(s.began), x.took, x.err, lastOf(s.ledger.of(r.attempt)))
		}
		if x.status == 0 {
			key = "none"
		}
		counts[key]++
		if bad != "" {
			counts[bad[:6]]++
			s.logf("%s: %s %s %s body %d chunked %v -> status %d seal %q took %v err %v runs %d %+v", bad, r.attempt, r.method, r.path, len(r.body), r.chunked, x.status, x.seal, x.took, x.err, len(s.ledger.of(r.attempt)), lastOf(s.ledger.of(r.attempt)))
		}
	}
	var all []*request
	var results []result
	make1 := func() *request {
		r := &request{attempt: newAttempt(), host: "a.example", deadline: time.Duration(500+intn(2500)) * time.Millisecond}
		framing := []string{"length", "chunked", "close"}[intn(3)]
		size := sizes[intn(len(sizes))]
		if chance(0.5) {
			size = 400
		}
		switch intn(5) {
		case 0, 1:
			r.method, r.path = "GET", "/safe/"
		case 2:
			r.method, r.path = "POST", "/safe/"
		default:
			r.method, r.path = "POST", "/unsafe/"
		}
		r.path += fmt.Sprintf("x?size=%d&framing=%s", size, framing)
		if r.method == "POST" {
			n := sizes[intn(len(sizes))]
			r.body = bodyFor(r.attempt+"b", n)
			r.chunked = chance(0.4)
		} else if chance(0.1) {
			r.method = "HEAD"
		}
		if len(s.tenants) > 0 {
			t := s.tenants[intn(len(s.tenants))]
			r.tenant = t.name
			r.fields = append(r.fields, "Authorization: Bearer "+t.keys[intn(len(t.keys))], "X-Tenant: forged")
		}
		return r
	}
	workers, _ := strconv.Atoi(os.Getenv("WORKERS"))
	if workers == 0 {
		workers = 60
	}
	for w := 0; w < workers; w++ {
		n := s.nodes[w%len(s.nodes)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			var c *conn
			for {
				select {
				case <-stop:
					return
				default:
				}
				if c == nil || chance(0.05) {
					if c != nil {
						_ = c.Close()
					}
					var err error
					if c, err = dial(n.at("outbound")); err != nil {
						c = nil
						time.Sleep(50 * time.Millisecond)
						continue
					}
				}
				r := make1()
				var x result
				if os.Getenv("GIVEUP") != "0" && chance(0.05) {
					// The client gives up.
					_ = c.SetDeadline(time.Now().Add(time.Duration(intn(100)) * time.Millisecond))
					_, _ = c.Write(r.encode())
					time.Sleep(time.Duration(intn(60)) * time.Millisecond)
					_ = c.Close()
					c = nil
				} else {
					x = c.do(r)
					if !x.keep {
						c = nil
					}
				}
				mu.Lock()
				all, results = append(all, r), append(results, x)
				mu.Unlock()
				if bad := verify(s.ledger, r, x); bad != "" || true {
					note(r, x, bad)
				}
				time.Sleep(time.Duration(intn(80)) * time.Millisecond)
			}
		}()
	}
	for w := 0; w < 12; w++ {
		n := s.nodes[w%len(s.nodes)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				c, err := dial(n.at("outbound"))
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				for k := 0; k < 5; k++ {
					var rs []*request
					for range 1 + intn(8) {
						r := make1()
						r.method, r.body, r.chunked = "GET", nil, false
						r.path = strings.Replace(r.path, "/unsafe/", "/safe/", 1)
						rs = append(rs, r)
					}
					mu.Lock()
					for _, r := range rs {
						all, results = append(all, r), append(results, result{})
					}
					mu.Unlock()
					_ = c.SetDeadline(time.Now().Add(4 * time.Second))
					go func() {
						for _, r := range rs {
							_, _ = c.Write(r.encode())
							time.Sleep(time.Duration(intn(3)) * time.Millisecond)
						}
					}()
					over := false
					for _, r := range rs {
						x := readResult(c.in, r)
						note(r, x, verify(s.ledger, r, x))
						if x.err == nil && x.id != r.attempt && x.status == 200 {
							s.logf("MIXED: answer of %s for %s", x.id, r.attempt)
							counts["ORDER"]++
						}
						if x.err != nil || !x.keep {
							over = true
							break
						}
					}
					if over {
						break
					}
				}
				_ = c.Close()
			}
		}()
	}
	if os.Getenv("CHURN") != "" {
		go s.churn(intn, stop, os.Getenv("CHURN"))
	}
	if os.Getenv("CONFIG") != "" {
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(100+intn(1500)) * time.Millisecond):
				}
				extra := []route{{"r-safe", "a.example", "/safe/", "safe", "stock", 3, 2}, {"r-unsafe", "a.example", "/unsafe/", "unsafe", "mill", 3, 2}}
				for k := range intn(60) {
					extra = append(extra, route{fmt.Sprintf("r-x%d", k), "b.example", fmt.Sprintf("/x%d/", k), "safe", "mill", 1, 2})
				}
				s.configure([]string{"stock", "mill"}, extra)
			}
		}()
	}
	length, _ := strconv.Atoi(os.Getenv("LENGTH"))
	end := time.Now().Add(time.Duration(max(length, 10)) * time.Second)
	for trouble && kinds != "" && time.Now().Before(end) {
		time.Sleep(time.Duration(500+intn(1500)) * time.Millisecond)
		n := s.nodes[intn(len(s.nodes))]
		ks := strings.Split(kinds, ",")
		k := ks[intn(len(ks))]
		s.logf("trouble %s at %s", k, n.name)
		switch k {
		case "kill":
			n.kill()
			time.Sleep(300 * time.Millisecond)
			_ = n.start()
			_ = n.awaitReady(10 * time.Second)
		case "term":
			n.signal(syscall.SIGTERM)
			select {
			case <-n.exited:
			case <-time.After(6 * time.Second):
				s.logf("HANG: %s still runs 6 s after SIGTERM", n.name)
				counts["HANG"]++
				n.kill()
			}
			_ = n.start()
			_ = n.awaitReady(10 * time.Second)
		case "freeze":
			n.signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(300+intn(3000)) * time.Millisecond)
			n.signal(syscall.SIGCONT)
		case "store":
			s.store.setDown(true)
			time.Sleep(time.Duration(1000+intn(3000)) * time.Millisecond)
			s.store.setDown(false)
		}
	}
	time.Sleep(time.Until(end))
	close(stop)
	wg.Wait()
	time.Sleep(3 * time.Second)
	times := map[string][]time.Time{}
	for id, runs := range s.ledger.runs {
		for _, x := range runs {
			times[x.Tenant] = append(times[x.Tenant], x.At)
			if x.Authorization != "" {
				s.logf("UNASKED: key passed on %+v", *x)
				counts["KEY"]++
			}
			if at := s.ackOf(x.Server); !at.IsZero() && x.At.Sub(at) > drainTime {
				s.logf("DRAIN: %s ran %s %v after the acknowledgement at %v", x.Server, id, x.At.Sub(at), at.Sub(s.began))
				counts["DRAIN"]++
			}
		}
	}
	late := 0
	for i, r := range all {
		if bad := verify(s.ledger, r, results[i]); bad != "" {
			late++
			s.logf("at the end: %s %s %s status %d", bad, r.attempt, r.path, results[i].status)
		}
	}
	for _, t := range s.tenants {
		if t.rate == 0 {
			continue
		}
		at := times[t.name]
		sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
		most := 0
		for i, j := 0, 0; j < len(at); j++ {
			for at[j].Sub(at[i]) > 5*time.Second {
				i++
			}
			most = max(most, j-i+1)
		}
		bound := (t.rate*5+t.burst)*1.1 + 20
		s.logf("QUOTA %s: %d runs in all, at most %d in 5 s; the bound is %.0f", t.name, len(at), most, bound)
		fmt.Println("quota", t.name, len(at), most, bound)
		if float64(most) > bound {
			counts["QUOTA"]++
			late++
		}
	}
	known := map[string]bool{}
	for _, r := range all {
		known[r.attempt] = true
	}
	for id, runs := range s.ledger.runs {
		if !known[id] {
			late++
			s.logf("UNASKED at the end: %+v", *runs[0])
		}
	}
	for _, n := range s.nodes {
		if b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid)); err == nil {
			for _, l := range strings.Split(string(b), "\n") {
				if strings.HasPrefix(l, "VmHWM") {
					s.logf("%s %s", n.name, l)
					fmt.Println(l)
				}
			}
		}
		select {
		case <-n.exited:
			s.logf("EXIT: %s ended by itself", n.name)
			counts["EXIT"]++
		default:
		}
	}
	s.logf("%d requests, %v, %d broken at the end", requests, counts, late)
	fmt.Println(seed, requests, counts, late)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

func lastOf(l []*run) run {
	if len(l) == 0 {
		return run{}
	}
	return *l[len(l)-1]
}

func (s *site) ackOf(id string) time.Time {
	s.acksMu.Lock()
	defer s.acksMu.Unlock()
	return s.acks[id]
}

func (s *site) noteAck(id string) {
	s.acksMu.Lock()
	defer s.acksMu.Unlock()
	if s.acks == nil {
		s.acks = map[string]time.Time{}
	}
	if s.acks[id].IsZero() {
		s.acks[id] = time.Now()
	}
	s.logf("%s: leaving is acknowledged", id)
}

// churn replaces servers.
func (s *site) churn(intn func(int) int, stop chan struct{}, kinds string) {
	ks := strings.Split(kinds, ",")
	for next := 100; ; next++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+intn(1500)) * time.Millisecond):
		}
		i := intn(len(s.servers))
		old := s.servers[i]
		n := s.nodes[i]
		k := ks[intn(len(ks))]
		s.logf("churn %s of %s at %s", k, old.id, n.name)
		id := fmt.Sprintf("i-%d", next)
		switch k {
		case "crash":
			old.crash()
			if intn(2) == 0 {
				id = old.id
			}
			time.Sleep(time.Duration(intn(1500)) * time.Millisecond)
		case "drain":
			old.setState("draining")
			end := time.Now().Add(5 * time.Second)
			for !old.say() && time.Now().Before(end) {
				time.Sleep(200 * time.Millisecond)
			}
			if !old.acked.IsZero() {
				s.noteAck(old.id)
			}
			time.Sleep(drainTime + time.Duration(intn(3000))*time.Millisecond)
			// a late heartbeat
			old.late()
			time.Sleep(time.Duration(intn(1000)) * time.Millisecond)
			post(old.control, "Deregister", old.id, nil)
			old.crash()
			time.Sleep(time.Duration(intn(1500)) * time.Millisecond)
		case "leave":
			old.quiet()
			end := time.Now().Add(5 * time.Second)
			for time.Now().Before(end) {
				if status, _ := post(old.control, "Deregister", old.id, nil); status == 200 {
					s.noteAck(old.id)
					break
				}
				time.Sleep(200 * time.Millisecond)
			}
			time.Sleep(time.Duration(intn(2000)) * time.Millisecond)
			old.late()
			time.Sleep(drainTime + time.Duration(intn(2000))*time.Millisecond)
			old.crash()
			time.Sleep(time.Duration(intn(1500)) * time.Millisecond)
		}
		v := s.serverAt(n, id, 18)
		v.plan = old.plan
		for startServer(v) != nil {
			time.Sleep(50 * time.Millisecond)
		}
		s.servers[i] = v
	}
}
