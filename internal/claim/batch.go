package claim

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/peridotlb/peridotlb/internal/platform"
)

// maxBatch is the number of writes in one transaction. It is below the limit of
// the table, because a larger transaction is more often sent again for a loser.
const maxBatch = 25

// batch gathers conditional writes and commits them together. Each write gets
// an outcome of its own.
type batch struct {
	table   platform.Table
	gather  time.Duration
	timeout time.Duration

	mu      sync.Mutex
	pending []*entry
	timer   *time.Timer
}

type entry struct {
	write platform.Write
	done  chan result // buffered, gets one value
}

type result struct {
	outcome platform.Outcome
	err     error
}

// commit returns the outcome of one write, as platform.Table.Commit does. When
// ctx ends first, the outcome is Unknown and the write may still apply.
func (b *batch) commit(ctx context.Context, w platform.Write) (platform.Outcome, error) {
	e := &entry{write: w, done: make(chan result, 1)}
	b.add(e)
	select {
	case r := <-e.done:
		return r.outcome, r.err
	case <-ctx.Done():
	}
	select {
	case r := <-e.done:
		return r.outcome, r.err
	default:
		return platform.Unknown, fmt.Errorf("wait for commit: %w", context.Cause(ctx))
	}
}

func (b *batch) add(e *entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	// A transaction cannot write a row twice.
	if slices.ContainsFunc(b.pending, func(p *entry) bool { return p.write.Key == e.write.Key }) {
		b.flush()
	}
	b.pending = append(b.pending, e)
	switch len(b.pending) {
	case maxBatch:
		b.flush()
	case 1:
		b.timer = time.AfterFunc(b.gather, func() { b.flushIf(e) })
	}
}

// flushIf sends what is pending when it still is the batch that first began.
func (b *batch) flushIf(first *entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) > 0 && b.pending[0] == first {
		b.flush()
	}
}

// flush sends what is pending. The caller holds the lock.
func (b *batch) flush() {
	b.timer.Stop()
	go b.send(b.pending)
	b.pending = nil
}

// send commits the entries. Those whose condition failed lose; the rest are
// sent again without them.
func (b *batch) send(entries []*entry) {
	for len(entries) > 0 {
		committed, err := b.transact(entries)
		if committed.Outcome != platform.NotApplied || err != nil || len(committed.Failed) == 0 {
			finish(entries, result{committed.Outcome, err})
			return
		}
		var rest, lost []*entry
		for i, e := range entries {
			if slices.Contains(committed.Failed, i) {
				lost = append(lost, e)
			} else {
				rest = append(rest, e)
			}
		}
		finish(lost, result{outcome: platform.NotApplied})
		entries = rest
	}
}

// transact is not cancelled by the context of one caller, because the others in
// the batch still wait for the outcome.
func (b *batch) transact(entries []*entry) (platform.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
	defer cancel()
	writes := make([]platform.Write, len(entries))
	for i, e := range entries {
		writes[i] = e.write
	}
	return b.table.Commit(ctx, writes...)
}

func finish(entries []*entry, r result) {
	for _, e := range entries {
		e.done <- r
	}
}
