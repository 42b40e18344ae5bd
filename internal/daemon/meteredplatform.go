package daemon

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/peridotlb/peridotlb/internal/platform"
)

// meteredPlatform counts what this daemon asks of the platform.
type meteredPlatform struct {
	service                       platform.Service
	reads, writes                 *metrics.Counter // rows
	tableErrors                   *metrics.Counter // requests without an answer
	objectReads, objectWrites     *metrics.Counter
	objectErrors                  *metrics.Counter
	tableAnswered, objectAnswered atomic.Bool // the last request was answered
}

var _ platform.Service = (*meteredPlatform)(nil)

func newMeteredPlatform(s platform.Service, set *metrics.Set) *meteredPlatform {
	m := &meteredPlatform{
		service:      s,
		reads:        set.NewCounter("peridotlb_table_reads_total"),
		writes:       set.NewCounter("peridotlb_table_writes_total"),
		tableErrors:  set.NewCounter("peridotlb_table_errors_total"),
		objectReads:  set.NewCounter("peridotlb_object_reads_total"),
		objectWrites: set.NewCounter("peridotlb_object_writes_total"),
		objectErrors: set.NewCounter("peridotlb_object_errors_total"),
	}
	set.NewGauge("peridotlb_table_reachable", func() float64 { return number(m.tableAnswered.Load()) })
	set.NewGauge("peridotlb_object_store_reachable", func() float64 { return number(m.objectAnswered.Load()) })
	return m
}

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// done records the end of a request. A request that its caller gave up says
// nothing about the platform; one that ran into its time limit does.
func done(err error, answered *atomic.Bool, failures *metrics.Counter) {
	if errors.Is(err, context.Canceled) {
		return
	}
	answered.Store(err == nil)
	if err != nil {
		failures.Inc()
	}
}

// Get implements platform.Table.
func (m *meteredPlatform) Get(ctx context.Context, keys ...platform.Key) ([]platform.Row, error) {
	m.reads.Add(len(keys))
	rows, err := m.service.Get(ctx, keys...)
	done(err, &m.tableAnswered, m.tableErrors)
	return rows, err
}

// Scan implements platform.Table.
func (m *meteredPlatform) Scan(ctx context.Context, prefix, after platform.Key, limit int) ([]platform.Row, error) {
	rows, err := m.service.Scan(ctx, prefix, after, limit)
	m.reads.Add(max(1, len(rows)))
	done(err, &m.tableAnswered, m.tableErrors)
	return rows, err
}

// Commit implements platform.Table.
func (m *meteredPlatform) Commit(ctx context.Context, writes ...platform.Write) (platform.Result, error) {
	m.writes.Add(len(writes))
	r, err := m.service.Commit(ctx, writes...)
	if !errors.Is(err, platform.ErrInvalid) {
		done(err, &m.tableAnswered, m.tableErrors)
	}
	return r, err
}

// PutObject implements platform.Objects.
func (m *meteredPlatform) PutObject(ctx context.Context, name string, data []byte) error {
	m.objectWrites.Inc()
	err := m.service.PutObject(ctx, name, data)
	done(err, &m.objectAnswered, m.objectErrors)
	return err
}

// GetObject implements platform.Objects.
func (m *meteredPlatform) GetObject(ctx context.Context, name string) ([]byte, error) {
	m.objectReads.Inc()
	data, err := m.service.GetObject(ctx, name)
	if errors.Is(err, platform.ErrNotFound) {
		m.objectAnswered.Store(true)
		return data, err
	}
	done(err, &m.objectAnswered, m.objectErrors)
	return data, err
}
