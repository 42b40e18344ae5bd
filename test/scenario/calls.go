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
// The results of several loads add up.
func runLoad(w *scriptState, ts *testscript.TestScript, args []string) error {
	plain, named := parseArgs(args)
	switch {
	case len(plain) != 1:
		return errUsage
	case plain[0] == "start" && w.generator == nil:
		return w.startLoad(named)
	case plain[0] == "stop" && w.generator != nil:
		r := w.generator.Stop()
		w.generator = nil
		w.loadResult.Add(r)
		ts.Logf("load: %d calls, %d failed (%d of them reads), %d refused attempts, %d unknown, p99 %v; %q",
			r.Calls, r.Failed, r.FailedReads, r.Refused, r.Unknown, r.Quantile(0.99), r.Errors)
		return nil
	default:
		return errUsage
	}
}

func (w *scriptState) startLoad(named map[string]string) error {
	at, err := w.hosts(strings.Split(cmp.Or(named["at"], "*"), ",")...)
	if err != nil {
		return err
	}
	w.loadCount++
	c := load.Config{
		Rate: 120, Retries: 2, PaidPath: "/orders", Seed: uint64(w.loadCount), ResponseSize: w.responseSize,
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
	w.generator = load.Start(w.ctx, c)
	return nil
}

// reply is what a caller got for a paid call.
type paidResponse struct {
	host     string
	status   int
	notRun   bool
	unknown  bool
	replayed bool
	body     string
	err      error
}

// replyTimeout is above the route's timeout of 2 s.
const paidTimeout = 12 * time.Second

// sendPaid sends one paid action to several daemons at the same moment, and
// keeps their answers: paid KEY HOST... A host may be named twice.
func sendPaid(w *scriptState, ts *testscript.TestScript, args []string) error {
	if len(args) < 2 {
		return errUsage
	}
	var targets []*mesh.Host
	for _, id := range args[1:] {
		found, err := w.hosts(id)
		if err != nil {
			return err
		}
		targets = append(targets, found...)
	}
	replies := make([]paidResponse, len(targets))
	var group sync.WaitGroup
	for i, h := range targets {
		group.Go(func() { replies[i] = w.sendPaidTo(h, args[0]) })
	}
	group.Wait()
	for _, r := range replies {
		ts.Logf("%s: status %d, not run %v, unknown %v, replayed %v: %.60q %v", r.host, r.status, r.notRun, r.unknown, r.replayed, r.body, r.err)
	}
	w.paidResponses[args[0]] = append(w.paidResponses[args[0]], replies...)
	return nil
}

func (w *scriptState) sendPaidTo(h *mesh.Host, key string) paidResponse {
	out := paidResponse{host: string(h.ID)}
	ctx, cancel := w.withTimeout(paidTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, h.CallURL()+"/orders/"+key, strings.NewReader("id="+key))
	if err != nil {
		out.err = err
		return out
	}
	// Set in this form, net/http does not repeat the request by itself.
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

// ran is what the backend servers ran, by their run logs.
type runCounts struct {
	byKey     map[string]int // runs of a paid action, by its key
	byAttempt map[string]int // runs of an attempt of a load's call
}

func (w *scriptState) countRuns() (runCounts, error) {
	sum := runCounts{byKey: make(map[string]int), byAttempt: make(map[string]int)}
	for _, h := range w.mesh.Hosts {
		lines, err := w.mesh.RunLog(h)
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
		return sum, errors.New("no backend server ran anything")
	}
	return sum, nil
}
