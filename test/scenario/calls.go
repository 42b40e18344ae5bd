package scenario

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/peridotlb/peridotlb/test/caller/load"
	"github.com/peridotlb/peridotlb/test/mesh"
)

// runLoad makes calls in the background:
//
//	load start [rate=N] [paid=SHARE] [reads=PATH,...] [at=HOST,...] [retries=N]
//	load stop
//
// The results of several loads are added up.
func runLoad(st *scriptState, ts *testscript.TestScript, args []string) error {
	plain, named := parseArgs(args)
	switch {
	case len(plain) != 1:
		return errUsage
	case plain[0] == "start" && st.generator == nil:
		return st.startLoad(named)
	case plain[0] == "stop" && st.generator != nil:
		r := st.generator.Stop()
		st.generator = nil
		st.loadResult.Add(r)
		ts.Logf("load: %d calls, %d failed (including %d reads), %d attempts refused, %d outcomes unknown, p99 latency %v; errors %q",
			r.Calls, r.Failed, r.FailedReads, r.Refused, r.Unknown, r.Quantile(0.99), r.Errors)
		return nil
	default:
		return errUsage
	}
}

func (st *scriptState) startLoad(named map[string]string) error {
	at, err := st.hosts(strings.Split(cmp.Or(named["at"], "*"), ",")...)
	if err != nil {
		return err
	}
	st.loadCount++
	c := load.Config{
		Rate: 120, Retries: 2, PaidPath: "/orders", Seed: uint64(st.loadCount), ResponseSize: st.responseSize,
		ReadPaths: strings.Split(cmp.Or(named["reads"], "/stock,/prices,/orders"), ","),
	}
	for _, h := range at {
		c.Targets = append(c.Targets, h.CallURL())
	}
	for name, value := range named {
		var err error
		switch name {
		case "rate":
			c.Rate, err = strconv.ParseFloat(value, 64)
		case "paid":
			c.PaidShare, err = strconv.ParseFloat(value, 64)
		case "retries":
			c.Retries, err = strconv.Atoi(value)
		case "at", "reads":
		default:
			err = errUsage
		}
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	st.generator = load.Start(st.ctx, c)
	return nil
}

// paidResponse is the response to a paid call, or the error of the attempt.
type paidResponse struct {
	host     string
	status   int
	notRun   bool
	unknown  bool
	replayed bool
	body     string
	err      error
}

// paidTimeout limits a paid call. It is above the route's timeout of 2 s.
const paidTimeout = 12 * time.Second

// sendPaid sends the same paid action to several daemons at the same time, and
// keeps their responses: paid KEY HOST... A host can be given more than once.
func sendPaid(st *scriptState, ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errUsage
	}
	var targets []*mesh.Host
	for _, id := range args[1:] {
		found, err := st.hosts(id)
		if err != nil {
			return err
		}
		targets = append(targets, found...)
	}
	replies := make([]paidResponse, len(targets))
	var group sync.WaitGroup
	for i, h := range targets {
		group.Go(func() { replies[i] = st.sendPaidTo(h, args[0]) })
	}
	group.Wait()
	for _, r := range replies {
		ts.Logf("%s: status %d, not run %v, outcome unknown %v, replayed %v, body %.60q, error %v", r.host, r.status, r.notRun, r.unknown, r.replayed, r.body, r.err)
	}
	st.paidResponses[args[0]] = append(st.paidResponses[args[0]], replies...)
	return nil
}

func (st *scriptState) sendPaidTo(h *mesh.Host, key string) paidResponse {
	out := paidResponse{host: string(h.ID)}
	ctx, cancel := st.withTimeout(paidTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, h.CallURL()+"/orders/"+key, strings.NewReader("id="+key))
	if err != nil {
		out.err = err
		return out
	}
	// net/http retries a request with the canonical form of this header, so the
	// header is set in lower case.
	r.Header["idempotency-key"] = []string{key}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		out.err = err
		return out
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	out.status, out.body, out.err = response.StatusCode, string(text), err
	out.notRun = response.Header.Get("Peridotlb-Not-Run") == "true"
	out.unknown = response.Header.Get("Peridotlb-Outcome") == "unknown"
	out.replayed = response.Header.Get("Peridotlb-Replayed") == "true"
	return out
}

// runCounts counts what the backend servers ran, according to their run logs.
type runCounts struct {
	byKey     map[string]int // runs of paid actions by idempotency key
	byAttempt map[string]int // runs of generated calls by attempt
}

func (st *scriptState) countRuns() (runCounts, error) {
	sum := runCounts{byKey: make(map[string]int), byAttempt: make(map[string]int)}
	for _, h := range st.mesh.Hosts {
		lines, err := st.mesh.RunLog(h)
		if err != nil {
			return sum, err
		}
		for _, line := range lines {
			method, rest, _ := strings.Cut(line, " ")
			path, attempt, _ := strings.Cut(rest, " ")
			if method == http.MethodPost {
				sum.byKey[path[strings.LastIndexByte(path, '/')+1:]]++
			}
			if attempt != "" {
				sum.byAttempt[attempt]++
			}
		}
	}
	if len(sum.byAttempt)+len(sum.byKey) == 0 {
		return sum, errors.New("no backend server ran a call")
	}
	return sum, nil
}
