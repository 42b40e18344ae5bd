package connection

import (
	"net/netip"
	"testing"

	"pgregory.net/rapid"
)

const testLimit = 64 << 20

// memoryModel is a Memory with connections of several callers, and what they hold.
type memoryModel struct {
	memory *Memory
	held   map[*account][]int
	order  []*account // open ones, in the order in which they were opened
	closed map[*account]bool
}

func newMemoryModel(c MemoryConfig) *memoryModel {
	return &memoryModel{memory: NewMemory(c), held: make(map[*account][]int), closed: make(map[*account]bool)}
}

func (m *memoryModel) open(addr netip.Addr) (*account, Refusal) {
	var a *account
	a, r := m.memory.open(connectionInfo{addr: addr, cost: connectionCost, close: func() { m.closed[a] = true }})
	if r == Granted {
		m.held[a] = nil
		m.order = append(m.order, a)
	}
	return a, r
}

func callerAddr(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}) }

// Guards against an accounting that exceeds its limit, lets one holder take
// everything, loses or keeps bytes, or closes a connection that has requests in flight
// for a new one.
func TestMemoryProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemoryModel(MemoryConfig{Limit: testLimit, Connections: 40})
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				before := len(m.memory.accounts)
				if _, r := m.open(callerAddr(rapid.IntRange(1, 3).Draw(t, "caller"))); r != Granted && before < 40 {
					t.Fatalf("open: got %q with %d connections, want a connection", r, before)
				}
			},
			"reserve": func(t *rapid.T) {
				a := m.draw(t)
				n := rapid.IntRange(1, testLimit/3).Draw(t, "bytes")
				free, own, all := testLimit-m.memory.used, a.requests, m.memory.requests
				if r := a.reserve(n); r == Granted {
					m.held[a] = append(m.held[a], n)
					if n > free || all+n > testLimit/idleShare && (own+n)*connectionShare > free {
						t.Fatalf("reserve: got %d bytes with %d held and %d free", n, own, free)
					}
				} else if all+n <= testLimit/idleShare && n <= free {
					t.Fatalf("reserve: got %q for %d bytes with %d in use, want them", r, n, all)
				}
			},
			"charge": func(t *rapid.T) {
				a := m.draw(t)
				if len(m.held[a]) == 0 {
					t.Skip("no request in flight")
				}
				n := rapid.IntRange(1, 1<<20).Draw(t, "bytes")
				a.charge(n)
				m.held[a] = append(m.held[a], n)
			},
			"release": func(t *rapid.T) {
				a := m.draw(t)
				if len(m.held[a]) == 0 {
					t.Skip("nothing is held")
				}
				a.release(m.held[a][0])
				m.held[a] = m.held[a][1:]
			},
			"end": func(t *rapid.T) { m.end(m.draw(t)) },
			"":    func(t *rapid.T) { m.check(t) },
		})
		for a := range m.held {
			m.end(a)
		}
		if got := m.memory.Use(); got.Used != 0 || got.Connections != 0 || len(m.memory.callers) != 0 || m.memory.closingBytes != 0 {
			t.Fatalf("after the end of all connections: got %+v, want nothing in use", got)
		}
	})
}

func (m *memoryModel) draw(t *rapid.T) *account {
	if len(m.order) == 0 {
		t.Skip("no connection")
	}
	return rapid.SampledFrom(m.order).Draw(t, "connection")
}

func (m *memoryModel) end(a *account) {
	a.end()
	delete(m.held, a)
	for i, other := range m.order {
		if other == a {
			m.order = append(m.order[:i], m.order[i+1:]...)
			break
		}
	}
}

// check compares the accounting with what is held, and drops closed connections.
func (m *memoryModel) check(t *rapid.T) {
	used := 0
	for a, held := range m.held {
		open := m.memory.accounts[a]
		if !open && (!m.closed[a] || len(held) > 0) {
			t.Fatal("a connection with requests in flight was closed for a new one, or not closed")
		}
		if !open {
			m.end(a)
			continue
		}
		used += a.fixed
		for _, n := range held {
			used += n
		}
	}
	if got := m.memory.Use().Used; got != used {
		t.Fatalf("bytes in use: got %d, want %d", got, used)
	}
	if got, want := used-m.memory.closingBytes, testLimit+testLimit/overcommitShare; got > want {
		t.Fatalf("bytes that are not being freed: got %d, want at most %d", got, want)
	}
}

// Guards against expensive requests of one caller that keep out cheap ones of others,
// and of the caller itself.
func TestCheapRequestsPassExpensiveOnes(t *testing.T) {
	m := newMemoryModel(MemoryConfig{Limit: testLimit})
	granted := 0
	for range 500 {
		a, _ := m.open(callerAddr(1))
		for a.reserve(1<<20) == Granted {
			granted++
		}
	}
	if granted == 0 {
		t.Error("expensive requests on an idle daemon: got none granted")
	}
	for caller := 1; caller <= 2; caller++ {
		a, _ := m.open(callerAddr(caller))
		if got := a.reserve(headerCost(500, 10)); got != Granted {
			t.Errorf("ordinary request of caller %d: got %q, want it granted", caller, got)
		}
	}
	if got := m.memory.Refused(ConnectionAtLimit) + m.memory.Refused(CallerAtLimit); got == 0 {
		t.Error("refusals of expensive requests: got 0, want some")
	}
}

// Guards against new connections that close those of other callers, or busy ones.
func TestLongestIdleConnectionIsClosed(t *testing.T) {
	m := newMemoryModel(MemoryConfig{Limit: testLimit, Connections: 4})
	other, _ := m.open(callerAddr(2))
	busy, _ := m.open(callerAddr(1))
	busy.reserve(1)
	first, _ := m.open(callerAddr(1))
	second, _ := m.open(callerAddr(1))
	if _, r := m.open(callerAddr(1)); r != Granted {
		t.Fatalf("fifth connection: got %q, want it granted", r)
	}
	for name, c := range map[string]struct {
		account *account
		want    bool
	}{"of another caller": {other, false}, "busy": {busy, false}, "idle longest": {first, true}, "idle": {second, false}} {
		if got := m.closed[c.account]; got != c.want {
			t.Errorf("connection %s: got closed %t, want %t", name, got, c.want)
		}
	}
}

// Guards against responses that are not read and fill the memory although no request
// is admitted any more, and against closing a connection with a usual response.
func TestLargestResponsesAreAborted(t *testing.T) {
	m := newMemoryModel(MemoryConfig{Limit: testLimit})
	small, _ := m.open(callerAddr(1))
	small.reserve(requestCost)
	small.charge(3 * BufferLimit)
	var large []*account
	for range 100 {
		a, _ := m.open(callerAddr(1))
		a.reserve(requestCost)
		large = append(large, a)
	}
	for _, a := range large {
		a.charge(testLimit / 50)
	}
	if m.closed[small] {
		t.Error("connection with a usual response: got closed, want it open")
	}
	if got, want := m.memory.used-m.memory.closingBytes, testLimit+testLimit/overcommitShare; got > want {
		t.Errorf("bytes that are not being freed: got %d, want at most %d", got, want)
	}
}
