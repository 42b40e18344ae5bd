// Package load makes calls as callers do and keeps account of them.
package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Config holds the settings of a load.
type Config struct {
	Targets   []string // base URLs of daemons
	Rate      float64  // calls per second over all targets
	PaidShare float64  // share of calls that are paid actions
	ReadPaths []string // paths of idempotent calls
	PaidPath  string
	Seed      uint64
	// Retries is how often a caller repeats a call that was refused with the
	// not-run header, or a read that failed, at another daemon.
	Retries int
}

// Result is the account of a load.
type Result struct {
	Calls   int // calls made, repeats not counted
	Failed  int // calls without a complete answer in the end
	Refused int // attempts that were refused with the not-run header
	Unknown int // paid calls whose outcome is unknown to the caller
	Wrong   int // answers that were not those of the caller's request
	// Acknowledged holds the idempotency keys of paid calls that got an answer.
	Acknowledged []string
	// NotRun holds the keys whose last answer said that the call was not run.
	NotRun []string
	// Errors holds the first few failures.
	Errors  []string
	Latency []time.Duration // of complete answers, sorted
}

// Quantile returns a quantile of the latency.
func (r Result) Quantile(q float64) time.Duration {
	if len(r.Latency) == 0 {
		return 0
	}
	return r.Latency[min(len(r.Latency)-1, int(q*float64(len(r.Latency))))]
}

// maxErrors bounds Result.Errors.
const maxErrors = 10

// Load makes calls until it is stopped.
type Load struct {
	config Config
	client *http.Client
	mu     sync.Mutex
	result Result
	group  sync.WaitGroup
	random *rand.Rand
	number int
	cancel context.CancelFunc
	ended  chan struct{}
}

// Start starts a load.
func Start(ctx context.Context, c Config) *Load {
	ctx, cancel := context.WithCancel(ctx)
	l := &Load{
		config: c, random: rand.New(rand.NewPCG(c.Seed, 0)), cancel: cancel, ended: make(chan struct{}),
		client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Second}},
	}
	go l.run(ctx)
	return l
}

// run starts calls at the configured rate, whatever the answers take.
func (l *Load) run(ctx context.Context) {
	defer close(l.ended)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / l.config.Rate))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			call := l.next()
			l.group.Go(func() { l.make(call) })
		}
	}
}

// Stop stops the load, waits for the calls in flight and returns the account.
func (l *Load) Stop() Result {
	l.cancel()
	<-l.ended
	l.group.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.Sort(l.result.Latency)
	return l.result
}

// call is one call with its repeats.
type call struct {
	id      string
	paid    bool
	path    string
	targets []string
}

func (l *Load) next() call {
	l.number++
	c := call{id: fmt.Sprintf("call-%d-%d", l.config.Seed, l.number), paid: l.random.Float64() < l.config.PaidShare}
	c.path = l.config.PaidPath
	if !c.paid {
		c.path = l.config.ReadPaths[l.random.IntN(len(l.config.ReadPaths))]
	}
	for range l.config.Retries + 1 {
		c.targets = append(c.targets, l.config.Targets[l.random.IntN(len(l.config.Targets))])
	}
	return c
}

// attempt is the outcome of one attempt of a call.
type attempt struct {
	complete bool
	wrong    bool
	notRun   bool
	unknown  bool
	err      string
}

func (l *Load) make(c call) {
	start := time.Now()
	var last attempt
	for _, target := range c.targets {
		last = l.attempt(c, target)
		l.count(func(r *Result) {
			if last.notRun {
				r.Refused++
			}
		})
		if last.complete || (c.paid && !last.notRun) {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	took := time.Since(start)
	l.count(func(r *Result) { r.add(c, last, took) })
}

func (r *Result) add(c call, a attempt, took time.Duration) {
	r.Calls++
	switch {
	case a.wrong:
		r.Wrong++
	case a.complete:
		r.Latency = append(r.Latency, took)
		if c.paid {
			r.Acknowledged = append(r.Acknowledged, c.id)
		}
		return
	case a.unknown:
		r.Unknown++
	case a.notRun && c.paid:
		r.NotRun = append(r.NotRun, c.id)
	}
	r.Failed++
	if len(r.Errors) < maxErrors {
		r.Errors = append(r.Errors, c.id+" "+a.err)
	}
}

func (l *Load) count(f func(*Result)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.result)
}

// attempt makes one attempt. The path carries the call id, which the backend
// server's answer repeats, so that an answer to another request is noticed.
func (l *Load) attempt(c call, target string) attempt {
	method, body := http.MethodGet, io.Reader(nil)
	if c.paid {
		method, body = http.MethodPost, strings.NewReader("id="+c.id)
	}
	r, err := http.NewRequest(method, target+c.path+"/"+c.id, body)
	if err != nil {
		return attempt{err: err.Error()}
	}
	if c.paid {
		// Set in this form, net/http does not repeat the request by itself.
		r.Header["idempotency-key"] = []string{c.id}
	}
	response, err := l.client.Do(r)
	if err != nil {
		return attempt{err: err.Error(), unknown: c.paid && !refusedDial(err), notRun: refusedDial(err)}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return attempt{err: err.Error(), unknown: c.paid}
	}
	a := attempt{notRun: response.Header.Get("Peridotlb-Not-Run") == "true"}
	if response.StatusCode == http.StatusOK {
		a.complete = true
		a.wrong = !strings.Contains(string(text), c.id)
		return a
	}
	a.err = fmt.Sprintf("%s: %s: %s", target, response.Status, text)
	a.unknown = c.paid && !a.notRun
	return a
}

func refusedDial(err error) bool {
	return strings.Contains(err.Error(), "connect: connection refused")
}
