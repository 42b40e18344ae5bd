package daemon

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/peridotlb/peridotlb/internal/operator"
	"github.com/peridotlb/peridotlb/internal/platform"
)

// meteredPlatform counts what this daemon asks of the platform.
type instrumentedPlatform struct {
	service                              platform.Service
	reads, writes                        *metrics.Counter // rows
	tableErrors                          *metrics.Counter // requests without an answer
	objectReads, objectWrites            *metrics.Counter
	objectErrors                         *metrics.Counter
	tableReachable, objectStoreReachable atomic.Bool // the last request was answered
}

var _ platform.Service = (*instrumentedPlatform)(nil)

func newInstrumentedPlatform(s platform.Service, set *metrics.Set) *instrumentedPlatform {
	m := &instrumentedPlatform{
		service:      s,
		reads:        set.NewCounter("peridotlb_table_reads_total"),
		writes:       set.NewCounter("peridotlb_table_writes_total"),
		tableErrors:  set.NewCounter("peridotlb_table_errors_total"),
		objectReads:  set.NewCounter("peridotlb_object_reads_total"),
		objectWrites: set.NewCounter("peridotlb_object_writes_total"),
		objectErrors: set.NewCounter("peridotlb_object_errors_total"),
	}
	set.NewGauge("peridotlb_table_reachable", func() float64 { return boolToFloat(m.tableReachable.Load()) })
	set.NewGauge("peridotlb_object_store_reachable", func() float64 { return boolToFloat(m.objectStoreReachable.Load()) })
	return m
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// done records the end of a request and names the part of the platform in its
// error. A request that its caller gave up says nothing about the platform; one
// that ran into its time limit does.
func recordResult(err error, part operator.PlatformComponent, answered *atomic.Bool, failures *metrics.Counter) error {
	if errors.Is(err, context.Canceled) {
		return err
	}
	answered.Store(err == nil)
	if err == nil {
		return nil
	}
	failures.Inc()
	return &operator.PlatformError{Component: part, Err: err}
}

func (m *instrumentedPlatform) recordTableResult(err error) error {
	return recordResult(err, operator.Table, &m.tableReachable, m.tableErrors)
}

func (m *instrumentedPlatform) recordObjectResult(err error) error {
	return recordResult(err, operator.ObjectStore, &m.objectStoreReachable, m.objectErrors)
}

// Get implements platform.Table.
func (m *instrumentedPlatform) Get(ctx context.Context, keys ...platform.Key) ([]platform.Row, error) {
	m.reads.Add(len(keys))
	rows, err := m.service.Get(ctx, keys...)
	return rows, m.recordTableResult(err)
}

// Scan implements platform.Table.
func (m *instrumentedPlatform) Scan(ctx context.Context, prefix, after platform.Key, limit int) ([]platform.Row, error) {
	rows, err := m.service.Scan(ctx, prefix, after, limit)
	m.reads.Add(max(1, len(rows)))
	return rows, m.recordTableResult(err)
}

// Commit implements platform.Table.
func (m *instrumentedPlatform) Commit(ctx context.Context, writes ...platform.Write) (platform.Result, error) {
	m.writes.Add(len(writes))
	r, err := m.service.Commit(ctx, writes...)
	if errors.Is(err, platform.ErrInvalid) {
		return r, err
	}
	return r, m.recordTableResult(err)
}

// PutObject implements platform.ObjectStore.
func (m *instrumentedPlatform) PutObject(ctx context.Context, name string, data []byte) error {
	m.objectWrites.Inc()
	return m.recordObjectResult(m.service.PutObject(ctx, name, data))
}

// GetObject implements platform.ObjectStore.
func (m *instrumentedPlatform) GetObject(ctx context.Context, name string) ([]byte, error) {
	m.objectReads.Inc()
	data, err := m.service.GetObject(ctx, name)
	if errors.Is(err, platform.ErrNotFound) {
		m.objectStoreReachable.Store(true)
		return data, err
	}
	return data, m.recordObjectResult(err)
}
