package scenario

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/peridotlb/peridotlb/test/mesh"
)

const (
	// rateInterval is the time between two readings of the platform's counters.
	sampleInterval = time.Second
	// shareWindow is the number of intervals over which the mesh may use its share
	// of the reads. In one second, a few starts of a small mesh can coincide.
	shareIntervals = 10
	// targetDaemons is the fleet that the budgets are meant for.
	targetDaemons = 1200
	// fixedReads are the reads per second that do not grow with the fleet: two
	// readers, and below 5 for the searches of the zone roots (CAPACITY.md).
	baselineReads = 2 + 5
)

// rates holds readings of the platform's counters.
type counterSampler struct {
	stop    func()
	done    chan struct{}
	samples []counterSample
}

type counterSample struct {
	at time.Time
	mesh.PlatformCounters
}

func (w *scriptState) startSampler() error {
	if w.sampler != nil {
		return errUsage
	}
	ctx, cancel := context.WithCancel(w.ctx)
	r := &counterSampler{done: make(chan struct{})}
	r.stop = func() { cancel(); <-r.done }
	w.sampler = r
	go func() {
		defer close(r.done)
		for ctx.Err() == nil {
			// Readings fail while the machine is too busy; the next covers their time.
			if c, err := w.mesh.PlatformCounters(ctx); err == nil {
				r.samples = append(r.samples, counterSample{time.Now(), c})
			}
			select {
			case <-ctx.Done():
			case <-time.After(sampleInterval):
			}
		}
	}()
	return nil
}

// platformRates checks the calls per second that read and write, between readings
// that are at least a second apart. The budgets are those of 1,200 daemons; a
// mesh of a few would keep them whatever each of its daemons did. Over ten seconds
// it may therefore read only its share and what does not depend on the size of
// the fleet.
func platformRates(w *scriptState, ts *testscript.TestScript, args []string) error {
	if len(args) != 2 || w.sampler == nil {
		return errUsage
	}
	reads, err1 := strconv.ParseFloat(args[0], 64)
	writes, err2 := strconv.ParseFloat(args[1], 64)
	if err := errors.Join(err1, err2); err != nil {
		return err
	}
	w.sampler.stop()
	all := w.sampler.samples
	topReads, topWrites := maxRate(all, 1, counterSample.reads), maxRate(all, 1, counterSample.writes)
	ts.Logf("platform: at most %.0f reads/s and %.0f writes/s in %d readings", topReads, topWrites, len(all))
	switch {
	case topReads == 0:
		return errors.New("the platform counted no reads")
	case topReads > reads || topWrites > writes:
		return fmt.Errorf("platform counted up to %.0f reads/s and %.0f writes/s, want at most %v and %v", topReads, topWrites, reads, writes)
	}
	return w.checkShare(ts, "reads", counterSample.reads, reads)
}

// platformDropped checks the requests that arrived while the platform was down:
// the share of the mesh in what the platform can serve when it returns.
func platformDropped(w *scriptState, ts *testscript.TestScript, args []string) error {
	if len(args) != 1 || w.sampler == nil {
		return errUsage
	}
	limit, err := strconv.ParseFloat(args[0], 64)
	if err != nil {
		return err
	}
	w.sampler.stop()
	if all := w.sampler.samples; len(all) == 0 || all[len(all)-1].Dropped == 0 {
		return errors.New("no request arrived while the platform was down")
	}
	return w.checkShare(ts, "dropped requests", counterSample.dropped, limit)
}

// checkShare compares the highest rate over ten seconds with the share of the
// mesh in a limit for 1,200 daemons.
func (w *scriptState) checkShare(ts *testscript.TestScript, what string, of func(counterSample) uint64, limit float64) error {
	all := w.sampler.samples
	if len(all) <= shareIntervals {
		return fmt.Errorf("got %d readings of the platform's counters, want more than %d", len(all), shareIntervals)
	}
	got := maxRate(all, shareIntervals, of)
	share := limit*float64(len(w.mesh.Hosts))/targetDaemons + baselineReads
	ts.Logf("platform: %.1f %s/s over %d s, of %.0f", got, what, shareIntervals, share)
	if got > share {
		return fmt.Errorf("platform counted %.1f %s/s over %d s, want at most %.0f: the share of %d daemons and %d that do not depend on their number",
			got, what, shareIntervals, share, len(w.mesh.Hosts), baselineReads)
	}
	return nil
}

func (r counterSample) reads() uint64   { return r.Reads }
func (r counterSample) writes() uint64  { return r.Writes }
func (r counterSample) dropped() uint64 { return r.Dropped }

// top returns the highest rate per second over a number of intervals.
func maxRate(all []counterSample, intervals int, of func(counterSample) uint64) float64 {
	highest := 0.0
	for i := intervals; i < len(all); i++ {
		from, to := all[i-intervals], all[i]
		highest = max(highest, float64(of(to)-of(from))/to.at.Sub(from.at).Seconds())
	}
	return highest
}
