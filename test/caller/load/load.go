// Package load generates calls as a caller would make them and records their
// results.
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

// Config holds the settings of a Generator.
type Config struct {
	Targets   []string // base URLs of daemons
	Rate      float64  // calls per second over all targets
	PaidShare float64  // share of calls that are paid actions
	ReadPaths []string // paths of idempotent calls
	PaidPath  string
	Seed      uint64
	// Retries is the maximum number of retries, each at another daemon, of a call
	// that was refused with the not-run header or of a failed read.
	Retries int
	// ResponseSize is the expected size of a response body in bytes; 0 means the
	// default of the backend servers.
	ResponseSize int
}

// AttemptHeader is the request header that identifies an attempt of a call as
// "<call id>/<number>". Backend servers record it for each attempt that they
// run.
const AttemptHeader = "Call-Attempt"

// defaultResponseSize is the default value of the backend server's --size.
const defaultResponseSize = 100

// Result holds the results of the generated calls.
type Result struct {
	Calls  int // calls made, not counting retries
	Failed int // calls that got no complete, matching response
	// FailedReads counts the calls in Failed that are not paid actions.
	FailedReads int
	Refused     int // attempts refused with the not-run header or before a connection
	Truncated   int // attempts whose response body was truncated
	Unknown     int // paid calls whose outcome the caller does not know
	Mismatched  int // complete responses that do not match the request
	// AcknowledgedKeys holds the idempotency keys of paid calls that succeeded.
	AcknowledgedKeys []string
	// NotRunKeys holds the idempotency keys of paid calls whose last attempt was
	// not run.
	NotRunKeys []string
	// RefusedAttempts holds the attempts counted in Refused, in the format of
	// AttemptHeader.
	RefusedAttempts []string
	// Errors holds the first maxErrors failures.
	Errors    []string
	Latencies []time.Duration // of complete responses, sorted
}

// Quantile returns the q-quantile of the latencies.
func (r Result) Quantile(q float64) time.Duration {
	if len(r.Latencies) == 0 {
		return 0
	}
	return r.Latencies[min(len(r.Latencies)-1, int(q*float64(len(r.Latencies))))]
}

// Add adds the results of another Generator.
func (r *Result) Add(o Result) {
	r.Calls += o.Calls
	r.Failed += o.Failed
	r.FailedReads += o.FailedReads
	r.Refused += o.Refused
	r.Truncated += o.Truncated
	r.Unknown += o.Unknown
	r.Mismatched += o.Mismatched
	r.AcknowledgedKeys = append(r.AcknowledgedKeys, o.AcknowledgedKeys...)
	r.NotRunKeys = append(r.NotRunKeys, o.NotRunKeys...)
	r.RefusedAttempts = append(r.RefusedAttempts, o.RefusedAttempts...)
	r.Errors = append(r.Errors, o.Errors...)
	r.Latencies = append(r.Latencies, o.Latencies...)
	slices.Sort(r.Latencies)
}

// maxErrors limits the failures that one Generator records in Result.Errors.
const maxErrors = 30

// Generator makes calls at a fixed rate until it is stopped.
type Generator struct {
	config    Config
	client    *http.Client
	mu        sync.Mutex
	result    Result
	inFlight  sync.WaitGroup
	rng       *rand.Rand
	callCount int
	cancel    context.CancelFunc
	done      chan struct{}
}

// Start starts a Generator.
func Start(ctx context.Context, c Config) *Generator {
	c.ResponseSize = cmp.Or(c.ResponseSize, defaultResponseSize)
	ctx, cancel := context.WithCancel(ctx)
	g := &Generator{
		config: c, rng: rand.New(rand.NewPCG(c.Seed, 0)), cancel: cancel, done: make(chan struct{}),
		client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Second}},
	}
	go g.run(ctx)
	return g
}

// run starts calls at the configured rate, independent of the response times.
func (g *Generator) run(ctx context.Context) {
	defer close(g.done)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / g.config.Rate))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			call := g.nextCall()
			g.inFlight.Go(func() { g.makeCall(call) })
		}
	}
}

// Stop stops new calls, waits for the calls in flight and returns the results.
func (g *Generator) Stop() Result {
	g.cancel()
	<-g.done
	g.inFlight.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	slices.Sort(g.result.Latencies)
	return g.result
}

// call is a generated call. It holds one target for each attempt, including retries.
type call struct {
	id      string
	paid    bool
	path    string
	targets []string
}

func (g *Generator) nextCall() call {
	g.callCount++
	c := call{id: fmt.Sprintf("call-%d-%d", g.config.Seed, g.callCount), paid: g.rng.Float64() < g.config.PaidShare}
	c.path = g.config.PaidPath
	if !c.paid {
		c.path = g.config.ReadPaths[g.rng.IntN(len(g.config.ReadPaths))]
	}
	// Retries use each daemon once before any daemon is used again.
	order := g.rng.Perm(len(g.config.Targets))
	for n := range g.config.Retries + 1 {
		c.targets = append(c.targets, g.config.Targets[order[n%len(order)]])
	}
	return c
}

// attemptResult is the result of one attempt of a call.
type attemptResult struct {
	complete   bool
	mismatched bool
	notRun     bool
	unknown    bool
	truncated  bool
	err        string
}

func (g *Generator) makeCall(c call) {
	start := time.Now()
	var last attemptResult
	var errs []string
	for n, target := range c.targets {
		attemptID := fmt.Sprintf("%s/%d", c.id, n)
		last = g.sendAttempt(c, attemptID, target)
		g.updateResult(func(r *Result) {
			if last.notRun {
				r.Refused++
				r.RefusedAttempts = append(r.RefusedAttempts, attemptID)
			}
			if last.truncated {
				r.Truncated++
			}
		})
		errs = append(errs, last.err)
		if last.complete || (c.paid && !last.notRun) {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	latency := time.Since(start)
	last.err = strings.Join(errs, "; then ")
	g.updateResult(func(r *Result) { r.record(c, last, latency) })
}

func (r *Result) record(c call, a attemptResult, latency time.Duration) {
	r.Calls++
	switch {
	case a.mismatched:
		r.Mismatched++
	case a.complete:
		r.Latencies = append(r.Latencies, latency)
		if c.paid {
			r.AcknowledgedKeys = append(r.AcknowledgedKeys, c.id)
		}
		return
	case a.unknown:
		r.Unknown++
	case a.notRun && c.paid:
		r.NotRunKeys = append(r.NotRunKeys, c.id)
	}
	r.Failed++
	if !c.paid {
		r.FailedReads++
	}
	if len(r.Errors) < maxErrors {
		r.Errors = append(r.Errors, fmt.Sprintf("%s (paid: %v) %s", c.id, c.paid, a.err))
	}
}

func (g *Generator) updateResult(f func(*Result)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.result)
}

// sendAttempt makes one attempt of a call. The path contains the call ID, which
// the backend server repeats throughout the response body, so that a truncated
// response and the response to another request are detected.
func (g *Generator) sendAttempt(c call, attemptID, target string) attemptResult {
	method, body := http.MethodGet, ""
	if c.paid {
		method, body = http.MethodPost, "id="+c.id
	}
	r, err := http.NewRequest(method, target+c.path+"/"+c.id, strings.NewReader(body))
	if err != nil {
		return attemptResult{err: err.Error()}
	}
	r.Header.Set(AttemptHeader, attemptID)
	if c.paid {
		// net/http retries a request with the canonical form of this header, so the
		// header is set in lower case.
		r.Header["idempotency-key"] = []string{c.id}
	}
	// net/http retries a read when a reused connection breaks. After an attempt
	// had a connection, a failed dial therefore does not prove that it was not run.
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	response, err := g.client.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return attemptResult{err: err.Error(), unknown: c.paid && connected, notRun: !connected}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return attemptResult{err: err.Error(), unknown: c.paid, truncated: true}
	}
	a := attemptResult{notRun: response.Header.Get("Peridotlb-Not-Run") == "true"}
	if response.StatusCode == http.StatusOK {
		a.complete = true
		if err := answer.Check(string(text), method, c.path+"/"+c.id, body, g.config.ResponseSize); err != nil {
			a.mismatched, a.err = true, err.Error()
		}
		return a
	}
	a.err = fmt.Sprintf("%s: %s: %s", target, response.Status, text)
	a.unknown = c.paid && !a.notRun
	return a
}
