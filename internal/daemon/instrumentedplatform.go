package daemon

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/peridotlb/peridotlb/internal/operator"
	"github.com/peridotlb/peridotlb/internal/platform"
)

// instrumentedPlatform counts the requests to the platform, records whether it can
// be reached, and adds the component to errors.
type instrumentedPlatform struct {
	service                              platform.Service
	reads, writes                        *metrics.Counter // rows
	tableErrors                          *metrics.Counter // failed requests
	objectReads, objectWrites            *metrics.Counter
	objectErrors                         *metrics.Counter
	tableReachable, objectStoreReachable atomic.Bool // the last recorded request got a usable response; false before the first
}

var _ platform.Service = (*instrumentedPlatform)(nil)

func newInstrumentedPlatform(s platform.Service, set *metrics.Set) *instrumentedPlatform {
	p := &instrumentedPlatform{
		service:      s,
		reads:        set.NewCounter("peridotlb_table_reads_total"),
		writes:       set.NewCounter("peridotlb_table_writes_total"),
		tableErrors:  set.NewCounter("peridotlb_table_errors_total"),
		objectReads:  set.NewCounter("peridotlb_object_reads_total"),
		objectWrites: set.NewCounter("peridotlb_object_writes_total"),
		objectErrors: set.NewCounter("peridotlb_object_errors_total"),
	}
	set.NewGauge("peridotlb_table_reachable", func() float64 { return boolToFloat(p.tableReachable.Load()) })
	set.NewGauge("peridotlb_object_store_reachable", func() float64 { return boolToFloat(p.objectStoreReachable.Load()) })
	return p
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// recordResult records the result of a request and adds the component of the
// platform to its error. A request that its caller canceled is not recorded, since
// it says nothing about the platform; one that timed out is.
func recordResult(err error, component operator.PlatformComponent, reachable *atomic.Bool, failures *metrics.Counter) error {
	if errors.Is(err, context.Canceled) {
		return err
	}
	reachable.Store(err == nil)
	if err == nil {
		return nil
	}
	failures.Inc()
	return &operator.PlatformError{Component: component, Err: err}
}

func (p *instrumentedPlatform) recordTableResult(err error) error {
	return recordResult(err, operator.Table, &p.tableReachable, p.tableErrors)
}

func (p *instrumentedPlatform) recordObjectResult(err error) error {
	return recordResult(err, operator.ObjectStore, &p.objectStoreReachable, p.objectErrors)
}

// Get implements platform.Table.
func (p *instrumentedPlatform) Get(ctx context.Context, keys ...platform.Key) ([]platform.Row, error) {
	p.reads.Add(len(keys))
	rows, err := p.service.Get(ctx, keys...)
	return rows, p.recordTableResult(err)
}

// Scan implements platform.Table.
func (p *instrumentedPlatform) Scan(ctx context.Context, prefix, after platform.Key, limit int) ([]platform.Row, error) {
	rows, err := p.service.Scan(ctx, prefix, after, limit)
	p.reads.Add(max(1, len(rows)))
	return rows, p.recordTableResult(err)
}

// Commit implements platform.Table.
func (p *instrumentedPlatform) Commit(ctx context.Context, writes ...platform.Write) (platform.Result, error) {
	p.writes.Add(len(writes))
	r, err := p.service.Commit(ctx, writes...)
	if errors.Is(err, platform.ErrInvalid) {
		return r, err
	}
	return r, p.recordTableResult(err)
}

// PutObject implements platform.ObjectStore.
func (p *instrumentedPlatform) PutObject(ctx context.Context, name string, data []byte) error {
	p.objectWrites.Inc()
	return p.recordObjectResult(p.service.PutObject(ctx, name, data))
}

// GetObject implements platform.ObjectStore.
func (p *instrumentedPlatform) GetObject(ctx context.Context, name string) ([]byte, error) {
	p.objectReads.Inc()
	data, err := p.service.GetObject(ctx, name)
	if errors.Is(err, platform.ErrNotFound) {
		p.objectStoreReachable.Store(true)
		return data, err
	}
	return data, p.recordObjectResult(err)
}
