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
	// sampleInterval is the time between two samples of the platform's counters.
	sampleInterval = time.Second
	// shareIntervals is the number of intervals over which the rate of the mesh is
	// compared with its share. In a single interval, several daemon starts of a small
	// mesh can coincide.
	shareIntervals = 10
	// targetDaemons is the fleet size that the limits are defined for.
	targetDaemons = 1200
	// baselineReadsPerSecond is the rate of reads that does not depend on the fleet
	// size: 2 for the readers of the head row, and less than 5 for the searches of the
	// zone roots (see docs/CAPACITY.md). The limit of dropped requests includes it
	// too.
	baselineReadsPerSecond = 2 + 5
)

// counterSampler samples the platform's counters in the background.
type counterSampler struct {
	stop    func()
	done    chan struct{}
	samples []counterSample
}

type counterSample struct {
	at time.Time
	mesh.PlatformCounters
}

func (st *scriptState) startSampler() error {
	if st.sampler != nil {
		return errUsage
	}
	ctx, cancel := context.WithCancel(st.ctx)
	r := &counterSampler{done: make(chan struct{})}
	r.stop = func() { cancel(); <-r.done }
	st.sampler = r
	go func() {
		defer close(r.done)
		for ctx.Err() == nil {
			// A sample can fail while the machine is too busy. The next sample then covers
			// a longer interval.
			if c, err := st.mesh.PlatformCounters(ctx); err == nil {
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

// platformRates checks the read and write requests per second between samples at
// least a second apart. The limits are defined for 1,200 daemons, so a small mesh
// would meet them whatever each of its daemons does. Over ten seconds, its reads
// are therefore also limited to its share plus the reads that do not depend on the
// fleet size.
func platformRates(st *scriptState, ts *testscript.TestScript, args []string) error {
	if len(args) != 2 || st.sampler == nil {
		return errUsage
	}
	reads, err1 := strconv.ParseFloat(args[0], 64)
	writes, err2 := strconv.ParseFloat(args[1], 64)
	if err := errors.Join(err1, err2); err != nil {
		return err
	}
	st.sampler.stop()
	all := st.sampler.samples
	topReads, topWrites := maxRate(all, 1, counterSample.reads), maxRate(all, 1, counterSample.writes)
	ts.Logf("platform: at most %.0f reads/s and %.0f writes/s in %d samples", topReads, topWrites, len(all))
	switch {
	case topReads == 0:
		return errors.New("the platform counted no reads")
	case topReads > reads || topWrites > writes:
		return fmt.Errorf("platform counted up to %.0f reads/s and %.0f writes/s, want at most %v reads/s and %v writes/s", topReads, topWrites, reads, writes)
	}
	return st.checkShare(ts, "reads", counterSample.reads, reads)
}

// platformDropped checks the rate of the requests that arrived while the platform
// was down. It is limited to the share of the mesh in the rate that the platform
// can serve when it is up again.
func platformDropped(st *scriptState, ts *testscript.TestScript, args []string) error {
	if len(args) != 1 || st.sampler == nil {
		return errUsage
	}
	limit, err := strconv.ParseFloat(args[0], 64)
	if err != nil {
		return err
	}
	st.sampler.stop()
	if all := st.sampler.samples; len(all) == 0 || all[len(all)-1].Dropped == 0 {
		return errors.New("no request arrived while the platform was down")
	}
	return st.checkShare(ts, "dropped requests", counterSample.dropped, limit)
}

// checkShare compares the maximum rate over ten seconds with the mesh's share of a
// limit for 1,200 daemons plus baselineReadsPerSecond.
func (st *scriptState) checkShare(ts *testscript.TestScript, what string, of func(counterSample) uint64, limit float64) error {
	all := st.sampler.samples
	if len(all) <= shareIntervals {
		return fmt.Errorf("got %d samples of the platform's counters, want more than %d; sample for longer", len(all), shareIntervals)
	}
	got := maxRate(all, shareIntervals, of)
	share := limit*float64(len(st.mesh.Hosts))/targetDaemons + baselineReadsPerSecond
	ts.Logf("platform: at most %.1f %s/s over %d s, limit %.0f", got, what, shareIntervals, share)
	if got > share {
		return fmt.Errorf("platform counted %.1f %s/s over %d s, want at most %.0f: the share of %d daemons plus %d that do not depend on the fleet size",
			got, what, shareIntervals, share, len(st.mesh.Hosts), baselineReadsPerSecond)
	}
	return nil
}

func (r counterSample) reads() uint64   { return r.Reads }
func (r counterSample) writes() uint64  { return r.Writes }
func (r counterSample) dropped() uint64 { return r.Dropped }

// maxRate returns the maximum rate per second of a counter over a number of
// consecutive intervals.
func maxRate(all []counterSample, intervals int, of func(counterSample) uint64) float64 {
	highest := 0.0
	for i := intervals; i < len(all); i++ {
		from, to := all[i-intervals], all[i]
		highest = max(highest, float64(of(to)-of(from))/to.at.Sub(from.at).Seconds())
	}
	return highest
}
