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

// rateInterval is the time between two readings of the platform's counters.
const rateInterval = time.Second

// rates holds readings of the platform's counters.
type rates struct {
	stop     func()
	done     chan struct{}
	readings []reading
}

type reading struct {
	at time.Time
	mesh.PlatformCounters
}

func (w *world) watchRates() error {
	if w.rates != nil {
		return errUsage
	}
	ctx, cancel := context.WithCancel(w.ctx)
	r := &rates{done: make(chan struct{})}
	r.stop = func() { cancel(); <-r.done }
	w.rates = r
	go func() {
		defer close(r.done)
		for ctx.Err() == nil {
			// Readings fail while the machine is too busy; the next covers their time.
			if c, err := w.mesh.PlatformCounters(ctx); err == nil {
				r.readings = append(r.readings, reading{time.Now(), c})
			}
			select {
			case <-ctx.Done():
			case <-time.After(rateInterval):
			}
		}
	}()
	return nil
}

// platformRates checks the rows read and written per second, between readings
// that are at least a second apart.
func platformRates(w *world, ts *testscript.TestScript, args []string) error {
	if len(args) != 2 || w.rates == nil {
		return errUsage
	}
	reads, err1 := strconv.ParseFloat(args[0], 64)
	writes, err2 := strconv.ParseFloat(args[1], 64)
	if err := errors.Join(err1, err2); err != nil {
		return err
	}
	w.rates.stop()
	var topReads, topWrites float64
	all := w.rates.readings
	for i := 1; i < len(all); i++ {
		seconds := all[i].at.Sub(all[i-1].at).Seconds()
		topReads = max(topReads, float64(all[i].Reads-all[i-1].Reads)/seconds)
		topWrites = max(topWrites, float64(all[i].Writes-all[i-1].Writes)/seconds)
	}
	ts.Logf("platform: at most %.0f reads/s and %.0f writes/s in %d readings", topReads, topWrites, len(all))
	switch {
	case topReads == 0:
		return errors.New("the platform counted no reads")
	case topReads > reads || topWrites > writes:
		return fmt.Errorf("platform counted up to %.0f reads/s and %.0f writes/s, want at most %v and %v", topReads, topWrites, reads, writes)
	}
	return nil
}
