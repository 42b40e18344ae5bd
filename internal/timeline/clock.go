package timeline

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Stamp is a hybrid logical clock reading: wall-clock time where clocks agree,
// and a counter that orders events which the wall clock can't.
type Stamp struct {
	WallMS  int64  // Unix milliseconds, at least the local clock's
	Counter uint32 // orders events with the same WallMS
}

// Compare returns -1, 0 or +1.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.WallMS, o.WallMS), cmp.Compare(s.Counter, o.Counter))
}

// String returns the stamp as "1790000000000.3".
func (s Stamp) String() string {
	return strconv.FormatInt(s.WallMS, 10) + "." + strconv.FormatUint(uint64(s.Counter), 10)
}

// MarshalText returns the form of String.
func (s Stamp) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the form of String.
func (s *Stamp) UnmarshalText(text []byte) error {
	wall, counter, ok := strings.Cut(string(text), ".")
	if !ok {
		return fmt.Errorf("time line stamp %q: want milliseconds and a counter, for example 1790000000000.3", text)
	}
	w, err := strconv.ParseInt(wall, 10, 64)
	if err != nil {
		return fmt.Errorf("time line stamp %q: %w", text, err)
	}
	c, err := strconv.ParseUint(counter, 10, 32)
	if err != nil {
		return fmt.Errorf("time line stamp %q: %w", text, err)
	}
	*s = Stamp{w, uint32(c)}
	return nil
}

// clock is a hybrid logical clock.
type clock struct {
	now func() time.Time

	mu   sync.Mutex
	last Stamp
}

// next returns the stamp of a new event, which is greater than every earlier
// one and every observed one.
func (c *clock) next() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = nextStamp(c.last, c.now().UnixMilli())
	return c.last
}

// observe raises the clock to a stamp received from a peer.
func (c *clock) observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Compare(c.last) > 0 {
		c.last = s
	}
}

// after returns the first stamp that is greater than s and not before wallMS.
func nextStamp(s Stamp, wallMS int64) Stamp {
	if wallMS > s.WallMS {
		return Stamp{WallMS: wallMS}
	}
	if s.Counter == 1<<32-1 {
		return Stamp{WallMS: s.WallMS + 1}
	}
	return Stamp{WallMS: s.WallMS, Counter: s.Counter + 1}
}
