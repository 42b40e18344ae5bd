package claim

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/peridotlb/peridotlb/internal/platform"
)

// maxBatch is the maximum number of writes in one transaction. It is below the
// limit of the table, because a larger transaction is more likely to contain a
// write whose condition fails and to be sent again without it.
const maxBatch = 25

// batch collects conditional writes and commits them in one transaction. Each
// write has its own outcome.
type batcher struct {
	table   platform.Table
	delay   time.Duration
	timeout time.Duration

	mu      sync.Mutex
	pending []*pendingWrite
	timer   *time.Timer
}

type pendingWrite struct {
	write platform.Write
	done  chan result // buffered; receives one value
}

type result struct {
	outcome platform.Outcome
	err     error
}

// commit commits one write and returns its outcome, like platform.Table.Commit.
// When ctx ends first, the outcome is Unknown and the write may still apply.
func (b *batcher) commit(ctx context.Context, w platform.Write) (platform.Outcome, error) {
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

func (b *batcher) add(e *pendingWrite) {
	b.mu.Lock()
	defer b.mu.Unlock()
	// A transaction cannot write the same row twice.
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

// flushIf sends the pending writes if first is still the first one.
func (b *batcher) flushIf(first *pendingWrite) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) > 0 && b.pending[0] == first {
		b.flush()
	}
}

// flush sends the pending writes. The caller holds the lock.
func (b *batcher) flush() {
	b.timer.Stop()
	go b.send(b.pending)
	b.pending = nil
}

// send commits the writes. When the condition of some of them fails, these are not
// applied, and the others are sent again without them.
func (b *batcher) send(pending []*pendingWrite) {
	for len(pending) > 0 {
		committed, err := b.commitTransaction(pending)
		if committed.Outcome != platform.NotApplied || err != nil || len(committed.Failed) == 0 {
			deliver(pending, result{committed.Outcome, err})
			return
		}
		var remaining, failed []*pendingWrite
		for i, e := range pending {
			if slices.Contains(committed.Failed, i) {
				failed = append(failed, e)
			} else {
				remaining = append(remaining, e)
			}
		}
		deliver(failed, result{outcome: platform.NotApplied})
		pending = remaining
	}
}

// commitTransaction commits the writes in one transaction. The context of a caller
// does not cancel it, because other callers of the batch wait for the outcome.
func (b *batcher) commitTransaction(pending []*pendingWrite) (platform.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), b.timeout)
	defer cancel()
	writes := make([]platform.Write, len(pending))
	for i, e := range pending {
		writes[i] = e.write
	}
	return b.table.Commit(ctx, writes...)
}

func deliver(pending []*pendingWrite, r result) {
	for _, e := range pending {
		e.done <- r
	}
}
