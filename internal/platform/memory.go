package platform

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
	"unicode/utf8"
)

// Limits of a transaction. DynamoDB's TransactWriteItems accepts 100 items of at
// most 400 KB each and 4 MB in total, with sort keys of at most 1,024 bytes.
// MaxValueSize reserves 10 KiB of an item for the key and the attribute names.
const (
	MaxWrites          = 100
	MaxKeySize         = 1024       // bytes
	MaxValueSize       = 390 << 10  // bytes
	MaxTransactionSize = 4000 << 10 // bytes, keys and values
)

// ErrInvalid is wrapped by errors about transactions that the table service never
// accepts, because a limit is exceeded, a key is empty or not valid UTF-8, or a row
// is written twice.
var ErrInvalid = errors.New("invalid transaction")

// Memory is an in-memory Service. It is safe for concurrent use and linearizable,
// since a single lock orders all operations.
type Memory struct {
	mu         sync.RWMutex
	rows       map[Key]Row
	sortedKeys []Key // keys of rows in ascending order
	objects    map[string][]byte
}

var _ Service = (*Memory)(nil)

// NewMemory returns an empty Memory.
func NewMemory() *Memory {
	return &Memory{rows: map[Key]Row{}, objects: map[string][]byte{}}
}

// Get implements Table.
func (m *Memory) Get(ctx context.Context, keys ...Key) ([]Row, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("get rows: %w", err)
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	rows := make([]Row, len(keys))
	for i, key := range keys {
		rows[i] = m.copyRow(key)
	}
	return rows, nil
}

// Scan implements Table.
func (m *Memory) Scan(ctx context.Context, prefix, after Key, limit int) ([]Row, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("scan rows: %w", err)
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	start, found := slices.BinarySearch(m.sortedKeys, max(prefix, after))
	if found && after >= prefix {
		start++
	}
	var rows []Row
	for _, key := range m.sortedKeys[start:] {
		if len(rows) >= limit || !strings.HasPrefix(string(key), string(prefix)) {
			break
		}
		rows = append(rows, m.copyRow(key))
	}
	return rows, nil
}

// Commit implements Table. The outcome is never Unknown.
func (m *Memory) Commit(ctx context.Context, writes ...Write) (Result, error) {
	if err := errors.Join(ctx.Err(), validateWrites(writes)); err != nil {
		return Result{Outcome: NotApplied}, fmt.Errorf("commit: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var failed []int
	for i, w := range writes {
		if m.rows[w.Key].Revision != w.IfRevision {
			failed = append(failed, i)
		}
	}
	if failed != nil {
		return Result{Outcome: NotApplied, Failed: failed}, nil
	}
	for _, w := range writes {
		m.applyWrite(w)
	}
	return appliedResult(writes), nil
}

// PutObject implements ObjectStore.
func (m *Memory) PutObject(ctx context.Context, name string, data []byte) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("put object %s: %w", name, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.objects[name] = slices.Clone(data)
	return nil
}

// GetObject implements ObjectStore.
func (m *Memory) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("get object %s: %w", name, err)
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	data, ok := m.objects[name]
	if !ok {
		return nil, fmt.Errorf("get object %s: %w", name, ErrNotFound)
	}
	return slices.Clone(data), nil
}

// RemoveExpired removes the rows that expired before now and returns their number.
// The real table service removes expired rows on its own.
func (m *Memory) RemoveExpired(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := len(m.sortedKeys)
	m.sortedKeys = slices.DeleteFunc(m.sortedKeys, func(key Key) bool {
		expires := m.rows[key].Expires
		expired := expires != 0 && int64(expires) < now.Unix()
		if expired {
			delete(m.rows, key)
		}
		return expired
	})
	return before - len(m.sortedKeys)
}

// RemoveExpiredEvery removes expired rows at the given interval until ctx is done.
func (m *Memory) RemoveExpiredEvery(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			m.RemoveExpired(now)
		}
	}
}

// copyRow returns a copy of a row, so that callers can't modify stored values.
func (m *Memory) copyRow(key Key) Row {
	row := m.rows[key]
	return Row{Key: key, Value: slices.Clone(row.Value), Revision: row.Revision, Expires: row.Expires}
}

func (m *Memory) applyWrite(w Write) {
	i, found := slices.BinarySearch(m.sortedKeys, w.Key)
	if w.Delete {
		if found {
			m.sortedKeys = slices.Delete(m.sortedKeys, i, i+1)
			delete(m.rows, w.Key)
		}
		return
	}
	if !found {
		m.sortedKeys = slices.Insert(m.sortedKeys, i, w.Key)
	}
	m.rows[w.Key] = Row{Key: w.Key, Value: slices.Clone(w.Value), Revision: w.NextRevision(), Expires: w.Expires}
}

// validateWrites rejects transactions that DynamoDB rejects, so that every Service
// behaves the same.
func validateWrites(writes []Write) error {
	if len(writes) == 0 || len(writes) > MaxWrites {
		return fmt.Errorf("%w: %d writes, want 1 to %d", ErrInvalid, len(writes), MaxWrites)
	}
	seen, size := make(map[Key]bool, len(writes)), 0
	for _, w := range writes {
		size += len(w.Key) + len(w.Value)
		switch {
		case w.Key == "" || len(w.Key) > MaxKeySize || !utf8.ValidString(string(w.Key)):
			return fmt.Errorf("%w: key %.64q is empty, not valid UTF-8 or longer than %d bytes", ErrInvalid, w.Key, MaxKeySize)
		case seen[w.Key]:
			return fmt.Errorf("%w: row %q is written twice", ErrInvalid, w.Key)
		case len(w.Value) > MaxValueSize:
			return fmt.Errorf("%w: value of row %q has %d bytes, want at most %d", ErrInvalid, w.Key, len(w.Value), MaxValueSize)
		}
		seen[w.Key] = true
	}
	if size > MaxTransactionSize {
		return fmt.Errorf("%w: %d bytes, want at most %d", ErrInvalid, size, MaxTransactionSize)
	}
	return nil
}
