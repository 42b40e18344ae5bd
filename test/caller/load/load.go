// Package load makes calls as callers do and keeps account of them.
package load

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/peridotlb/peridotlb/test/answer"
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
	// AnswerSize is the size in bytes of the answers of the backend servers; 0
	// takes theirs by default.
	AnswerSize int
}

// AttemptHeader carries the attempt of a call, "<call id>/<number>", so that a
// backend server can record which attempts ran.
const AttemptHeader = "Call-Attempt"

// defaultAnswerSize is the default of the backend server's --size.
const defaultAnswerSize = 100

// Result is the account of a load.
type Result struct {
	Calls  int // calls made, repeats not counted
	Failed int // calls without a complete answer in the end
	// FailedReads is the part of Failed that are not paid actions.
	FailedReads int
	Refused     int // attempts that were refused with the not-run header
	Cut         int // attempts whose answer broke off
	Unknown     int // paid calls whose outcome is unknown to the caller
	Wrong       int // answers that were not those of the caller's request
	// Acknowledged holds the idempotency keys of paid calls that got an answer.
	Acknowledged []string
	// NotRun holds the keys whose last answer said that the call was not run.
	NotRun []string
	// RefusedAttempts holds the attempts that were refused with the not-run
	// header, in the form of AttemptHeader.
	RefusedAttempts []string
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

// Add adds the account of another load.
func (r *Result) Add(o Result) {
	r.Calls += o.Calls
	r.Failed += o.Failed
	r.FailedReads += o.FailedReads
	r.Refused += o.Refused
	r.Cut += o.Cut
	r.Unknown += o.Unknown
	r.Wrong += o.Wrong
	r.Acknowledged = append(r.Acknowledged, o.Acknowledged...)
	r.NotRun = append(r.NotRun, o.NotRun...)
	r.RefusedAttempts = append(r.RefusedAttempts, o.RefusedAttempts...)
	r.Errors = append(r.Errors, o.Errors...)
	r.Latency = append(r.Latency, o.Latency...)
	slices.Sort(r.Latency)
}

// maxErrors bounds Result.Errors.
const maxErrors = 30

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
	c.AnswerSize = cmp.Or(c.AnswerSize, defaultAnswerSize)
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
	// A repeat goes to another daemon as long as there is one.
	order := l.random.Perm(len(l.config.Targets))
	for n := range l.config.Retries + 1 {
		c.targets = append(c.targets, l.config.Targets[order[n%len(order)]])
	}
	return c
}

// attempt is the outcome of one attempt of a call.
type attempt struct {
	complete bool
	wrong    bool
	notRun   bool
	unknown  bool
	cut      bool
	err      string
}

func (l *Load) make(c call) {
	start := time.Now()
	var last attempt
	var errs []string
	for n, target := range c.targets {
		name := fmt.Sprintf("%s/%d", c.id, n)
		last = l.attempt(c, name, target)
		l.count(func(r *Result) {
			if last.notRun {
				r.Refused++
				r.RefusedAttempts = append(r.RefusedAttempts, name)
			}
			if last.cut {
				r.Cut++
			}
		})
		errs = append(errs, last.err)
		if last.complete || (c.paid && !last.notRun) {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	took := time.Since(start)
	last.err = strings.Join(errs, "; then ")
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
	if !c.paid {
		r.FailedReads++
	}
	if len(r.Errors) < maxErrors {
		r.Errors = append(r.Errors, fmt.Sprintf("%s (paid: %v) %s", c.id, c.paid, a.err))
	}
}

func (l *Load) count(f func(*Result)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.result)
}

// attempt makes one attempt. The path carries the call id, which the whole body
// of the backend server's answer repeats, so that a truncated answer and an
// answer to another request are noticed.
func (l *Load) attempt(c call, name, target string) attempt {
	method, body := http.MethodGet, ""
	if c.paid {
		method, body = http.MethodPost, "id="+c.id
	}
	r, err := http.NewRequest(method, target+c.path+"/"+c.id, strings.NewReader(body))
	if err != nil {
		return attempt{err: err.Error()}
	}
	r.Header.Set(AttemptHeader, name)
	if c.paid {
		// Set in this form, net/http does not repeat the request by itself.
		r.Header["idempotency-key"] = []string{c.id}
	}
	// net/http repeats a read when a reused connection breaks, so that a refused
	// dial proves nothing once the attempt had a connection.
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	response, err := l.client.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return attempt{err: err.Error(), unknown: c.paid && connected, notRun: !connected}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return attempt{err: err.Error(), unknown: c.paid, cut: true}
	}
	a := attempt{notRun: response.Header.Get("Peridotlb-Not-Run") == "true"}
	if response.StatusCode == http.StatusOK {
		a.complete = true
		if err := answer.Check(string(text), method, c.path+"/"+c.id, body, l.config.AnswerSize); err != nil {
			a.wrong, a.err = true, err.Error()
		}
		return a
	}
	a.err = fmt.Sprintf("%s: %s: %s", target, response.Status, text)
	a.unknown = c.paid && !a.notRun
	return a
}
