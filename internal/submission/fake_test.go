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

var errDown = errors.New("table is down")

// fakePlatform is a platform that fails, loses answers and applies writes late.
// All of it is decided by one random source.
type fakePlatform struct {
	lock    sync.Mutex
	random  *rand.Rand
	faults  float64 // chance that a call goes wrong
	rows    map[platform.Key]platform.Row
	objects map[string][]byte
	late    [][]platform.Write // commits without an answer, not applied yet
	gate    func()             // called before each table call
	// commit overrides the fate of the next commits: "lost", "late", "down".
	commit []string
	writes int
}

func newFake(seed uint64, faults float64) *fakePlatform {
	return &fakePlatform{
		random: rand.New(rand.NewPCG(seed, 1)), faults: faults,
		rows: map[platform.Key]platform.Row{}, objects: map[string][]byte{},
		gate: func() {},
	}
}

func (f *fakePlatform) broken() bool { return f.random.Float64() < f.faults }

// Get reads the rows one after the other in any order, and commits may apply in
// between: the interface promises no common moment.
func (f *fakePlatform) Get(_ context.Context, keys ...platform.Key) ([]platform.Row, error) {
	f.lock.Lock()
	order := f.random.Perm(len(keys))
	f.lock.Unlock()
	rows := make([]platform.Row, len(keys))
	for _, i := range order {
		if err := f.read(keys[i], &rows[i]); err != nil {
			return nil, err
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows, nil
}

func (f *fakePlatform) read(key platform.Key, to *platform.Row) error {
	f.gate()
	f.lock.Lock()
	defer f.lock.Unlock()
	f.applyLate()
	if f.broken() {
		return errDown
	}
	*to = f.rows[key]
	to.Key = key
	return nil
}

func (f *fakePlatform) Scan(_ context.Context, prefix, after platform.Key, limit int) ([]platform.Row, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	var rows []platform.Row
	for _, k := range slices.Sorted(maps.Keys(f.rows)) {
		if strings.HasPrefix(string(k), string(prefix)) && k > after && len(rows) < limit {
			rows = append(rows, f.rows[k])
		}
	}
	return rows, nil
}

func (f *fakePlatform) Commit(_ context.Context, writes ...platform.Write) (platform.Result, error) {
	f.gate()
	f.lock.Lock()
	defer f.lock.Unlock()
	f.applyLate()
	fate := ""
	if len(f.commit) > 0 {
		fate, f.commit = f.commit[0], f.commit[1:]
	} else if f.broken() {
		fate = []string{"lost", "late", "down"}[f.random.IntN(3)]
	}
	switch fate {
	case "down":
		return platform.Result{Outcome: platform.NotApplied}, errDown
	case "late":
		f.late = append(f.late, writes)
		return platform.Result{Outcome: platform.Unknown}, errDown
	case "lost":
		f.apply(writes)
		return platform.Result{Outcome: platform.Unknown}, errDown
	}
	if !f.apply(writes) {
		return platform.Result{Outcome: platform.NotApplied}, nil
	}
	return platform.Result{Outcome: platform.Applied}, nil
}

// applyLate applies some of the commits that are still under way.
func (f *fakePlatform) applyLate() {
	for len(f.late) > 0 && f.random.IntN(2) == 0 {
		f.apply(f.late[0])
		f.late = f.late[1:]
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
	f.writes++
	return true
}

// removeExpired removes rows as the table service does by itself.
func (f *fakePlatform) removeExpired(now time.Time) {
	maps.DeleteFunc(f.rows, func(_ platform.Key, row platform.Row) bool {
		return row.Expires != 0 && int64(row.Expires) < now.Unix()
	})
}

func (f *fakePlatform) PutObject(_ context.Context, name string, data []byte) error {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.broken() {
		return errDown
	}
	f.objects[name] = slices.Clone(data)
	return nil
}

func (f *fakePlatform) GetObject(_ context.Context, name string) ([]byte, error) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.broken() {
		return nil, errDown
	}
	data, ok := f.objects[name]
	if !ok {
		return nil, platform.ErrNotFound
	}
	return slices.Clone(data), nil
}

// schedule runs one goroutine at a time and switches between them at the gate,
// in an order that depends on the random source only.
type schedule struct {
	random *rand.Rand
	parked chan chan struct{}
	done   chan struct{}
}

func newSchedule(seed uint64) *schedule {
	return &schedule{
		random: rand.New(rand.NewPCG(seed, 2)),
		parked: make(chan chan struct{}), done: make(chan struct{}),
	}
}

// gate blocks the caller until it is its turn.
func (s *schedule) gate() {
	turn := make(chan struct{})
	s.parked <- turn
	<-turn
}

// run starts the functions and returns when all have returned.
func (s *schedule) run(functions []func()) {
	for _, f := range functions {
		go func() {
			s.gate()
			f()
			s.done <- struct{}{}
		}()
	}
	var waiting []chan struct{}
	for running := len(functions); running > 0; {
		if len(waiting) < running {
			select {
			case turn := <-s.parked:
				waiting = append(waiting, turn)
			case <-s.done:
				running--
			}
			continue
		}
		i := s.random.IntN(len(waiting))
		close(waiting[i])
		waiting = slices.Delete(waiting, i, i+1)
	}
}
