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
	delay   time.Duration
	timeout time.Duration

	mu      sync.Mutex
	pending []*pendingWrite
	timer   *time.Timer
}

type pendingWrite struct {
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
	e := &pendingWrite{write: w, done: make(chan result, 1)}
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

func (b *batch) add(e *pendingWrite) {
	b.mu.Lock()
	defer b.mu.Unlock()
	// A transaction cannot write a row twice.
	if slices.ContainsFunc(b.pending, func(p *pendingWrite) bool { return p.write.Key == e.write.Key }) {
		b.flush()
	}
	b.pending = append(b.pending, e)
	switch len(b.pending) {
	case maxBatch:
		b.flush()
	case 1:
		b.timer = time.AfterFunc(b.delay, func() { b.flushIf(e) })
	}
}

// flushIf sends what is pending when it still is the batch that first began.
func (b *batch) flushIf(first *pendingWrite) {
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
func (b *batch) send(entries []*pendingWrite) {
	for len(entries) > 0 {
		committed, err := b.commitTransaction(entries)
		if committed.Outcome != platform.NotApplied || err != nil || len(committed.Failed) == 0 {
			deliver(entries, result{committed.Outcome, err})
			return
		}
		var rest, lost []*pendingWrite
		for i, e := range entries {
			if slices.Contains(committed.Failed, i) {
				lost = append(lost, e)
			} else {
				rest = append(rest, e)
			}
		}
		deliver(lost, result{outcome: platform.NotApplied})
		entries = rest
	}
}

// transact is not cancelled by the context of one caller, because the others in
// the batch still wait for the outcome.
func (b *batch) commitTransaction(entries []*pendingWrite) (platform.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
	defer cancel()
	writes := make([]platform.Write, len(entries))
	for i, e := range entries {
		writes[i] = e.write
	}
	return b.table.Commit(ctx, writes...)
}

func deliver(entries []*pendingWrite, r result) {
	for _, e := range entries {
		e.done <- r
	}
}
