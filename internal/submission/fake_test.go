package submission_test

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/peridotlb/peridotlb/internal/platform"
)

var errTableDown = errors.New("table is down")

// fakePlatform is an in-memory platform with injected faults: requests that fail,
// responses that are lost and transactions that apply late. A random source decides
// all of them, except those in commitFaults.
type fakePlatform struct {
	mu              sync.Mutex
	random          *rand.Rand
	faultRate       float64 // probability that a request fails
	rows            map[platform.Key]platform.Row
	objects         map[string][]byte
	delayedCommits  [][]platform.Write // without a response, not yet applied
	beforeTableCall func()             // called before each row read and commit
	// commitFaults sets the faults of the next commits: "lost" (applied, response
	// lost), "late" (applied later or not at all, without a response) or "down" (not applied).
	commitFaults []string
	transactions int
}

func newFakePlatform(seed uint64, faults float64) *fakePlatform {
	return &fakePlatform{
		random: rand.New(rand.NewPCG(seed, 1)), faultRate: faults,
		rows: map[platform.Key]platform.Row{}, objects: map[string][]byte{},
		beforeTableCall: func() {},
	}
}

func (f *fakePlatform) shouldFail() bool { return f.random.Float64() < f.faultRate }

// Get reads the rows one by one in random order. Commits may apply in between,
// because the interface does not guarantee a consistent read of several rows.
func (f *fakePlatform) Get(_ context.Context, keys ...platform.Key) ([]platform.Row, error) {
	f.mu.Lock()
	order := f.random.Perm(len(keys))
	f.mu.Unlock()
	rows := make([]platform.Row, len(keys))
	for _, i := range order {
		if err := f.readRow(keys[i], &rows[i]); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows, nil
}

func (f *fakePlatform) readRow(key platform.Key, to *platform.Row) error {
	f.beforeTableCall()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyDelayedCommits()
	if f.shouldFail() {
		return errTableDown
	}
	*to = f.rows[key]
	to.Key = key
	return nil
}

func (f *fakePlatform) Scan(_ context.Context, prefix, after platform.Key, limit int) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []platform.Row
	for _, k := range slices.Sorted(maps.Keys(f.rows)) {
		if strings.HasPrefix(string(k), string(prefix)) && k > after && len(rows) < limit {
			rows = append(rows, f.rows[k])
		}
	}
	return rows, nil
}

func (f *fakePlatform) Commit(_ context.Context, writes ...platform.Write) (platform.Result, error) {
	f.beforeTableCall()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyDelayedCommits()
	fault := ""
	if len(f.commitFaults) > 0 {
		fault, f.commitFaults = f.commitFaults[0], f.commitFaults[1:]
	} else if f.shouldFail() {
		fault = []string{"lost", "late", "down"}[f.random.IntN(3)]
	}
	switch fault {
	case "down":
		return platform.Result{Outcome: platform.NotApplied}, errTableDown
	case "late":
		f.delayedCommits = append(f.delayedCommits, writes)
		return platform.Result{Outcome: platform.Unknown}, errTableDown
	case "lost":
		f.apply(writes)
		return platform.Result{Outcome: platform.Unknown}, errTableDown
	}
	if !f.apply(writes) {
		return platform.Result{Outcome: platform.NotApplied}, nil
	}
	return platform.Result{Outcome: platform.Applied}, nil
}

// applyDelayedCommits applies some of the commits that are still in flight.
func (f *fakePlatform) applyDelayedCommits() {
	for len(f.delayedCommits) > 0 && f.random.IntN(2) == 0 {
		f.apply(f.delayedCommits[0])
		f.delayedCommits = f.delayedCommits[1:]
	}
}

func (f *fakePlatform) apply(writes []platform.Write) bool {
	for _, w := range writes {
		if f.rows[w.Key].Revision != w.IfRevision {
			return false
		}
	}
	for _, w := range writes {
		f.rows[w.Key] = platform.Row{Key: w.Key, Value: slices.Clone(w.Value), Revision: w.NextRevision(), Expires: w.Expires}
	}
	f.transactions++
	return true
}

// removeExpired removes expired rows, as the table service does on its own.
func (f *fakePlatform) removeExpired(now time.Time) {
	maps.DeleteFunc(f.rows, func(_ platform.Key, row platform.Row) bool {
		return row.Expires != 0 && int64(row.Expires) < now.Unix()
	})
}

func (f *fakePlatform) PutObject(_ context.Context, name string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.shouldFail() {
		return errTableDown
	}
	f.objects[name] = slices.Clone(data)
	return nil
}

func (f *fakePlatform) GetObject(_ context.Context, name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.shouldFail() {
		return nil, errTableDown
	}
	data, ok := f.objects[name]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return slices.Clone(data), nil
}

// scheduler runs one goroutine at a time and switches between them at
// waitForTurn, in an order that depends only on the random source.
type scheduler struct {
	random  *rand.Rand
	waiting chan chan struct{}
	done    chan struct{}
}

func newScheduler(seed uint64) *scheduler {
	return &scheduler{
		random:  rand.New(rand.NewPCG(seed, 2)),
		waiting: make(chan chan struct{}), done: make(chan struct{}),
	}
}

// waitForTurn blocks until the scheduler selects the calling goroutine.
func (s *scheduler) waitForTurn() {
	turn := make(chan struct{})
	s.waiting <- turn
	<-turn
}

// run starts the functions and returns when all have returned.
func (s *scheduler) run(functions []func()) {
	for _, f := range functions {
		go func() {
			s.waitForTurn()
			f()
			s.done <- struct{}{}
		}()
	}
	var turns []chan struct{}
	for running := len(functions); running > 0; {
		if len(turns) < running {
			select {
			case turn := <-s.waiting:
				turns = append(turns, turn)
			case <-s.done:
				running--
			}
			continue
		}
		i := s.random.IntN(len(turns))
		close(turns[i])
		turns = slices.Delete(turns, i, i+1)
	}
}
