package connection

import (
	"net/netip"
	"sync"
)

// Shares of the memory that is free, or of the whole limit. A reservation is granted
// only below them, so that expensive requests are refused long before cheap ones and
// no holder can take everything.
const (
	// connectionShare is the divisor of the free memory that one connection may hold.
	connectionShare = 16
	// callerShare is the multiple of the free memory that one caller address may hold.
	// All callers of a host may share one address, which then gets 8/9 of what
	// connections leave. With 4, the expensive requests of one connection that
	// connectionShare admits kept out the ordinary ones of others.
	callerShare = 8
	// idleShare is the divisor of the limit up to which all requests together get their
	// reservations whoever holds them. The most expensive header of 64 KB with a body
	// needs it on a host with little memory.
	idleShare = 4
	// connectionReserve is the divisor of the limit that connections leave to requests.
	connectionReserve = 4
	// overcommitShare is the divisor of the limit by which responses may exceed it
	// before the largest holder is closed.
	overcommitShare = 16
	// evictionCandidates is the number of connections, from the longest idle one, among
	// which one of the caller with most connections is closed.
	evictionCandidates = 16
)

// Refusal is the reason why the memory accounting refused something.
type Refusal string

// Refusals.
const (
	Granted           Refusal = ""
	RequestTooCostly  Refusal = "request-too-costly"       // it could not be admitted on an idle daemon
	ConnectionAtLimit Refusal = "connection-memory"        // its connection holds too much
	CallerAtLimit     Refusal = "caller-memory"            // its caller address holds too much
	NoConnection      Refusal = "connections"              // no connection could be closed for a new one
	Evicted           Refusal = "idle-connection-closed"   // closed for a new connection
	Aborted           Refusal = "largest-response-aborted" // closed because responses exceeded the limit
)

// Refusals returns every reason for a refusal.
func Refusals() []Refusal {
	return []Refusal{RequestTooCostly, ConnectionAtLimit, CallerAtLimit, NoConnection, Evicted, Aborted}
}

// MemoryConfig configures a Memory.
type MemoryConfig struct {
	Limit       int // bytes that connections and their requests may hold; 0 for no limit
	Connections int // open connections of all listeners; 0 for no limit
}

// Memory accounts for the memory that callers' requests hold in a process. The servers
// of the process share it. It has no sockets: an account closes its connection through
// a function.
type Memory struct {
	config MemoryConfig

	mu           sync.Mutex
	used         int // bytes, including those of connections
	requests     int // bytes of requests and responses
	closingBytes int // bytes of accounts whose connections are being closed
	accounts     map[*account]bool
	callers      map[netip.Addr]*callerAccount
	idle         idleList // of callers
	idlePeers    idleList // of other daemons
	refused      map[Refusal]uint64
}

// MemoryUse is the state of a Memory.
type MemoryUse struct {
	Used, Limit int // bytes
	Connections int
}

// callerAccount is what the connections of one caller address hold.
type callerAccount struct {
	connections int
	requests    int // bytes of requests and responses
}

// account is what one connection holds.
type account struct {
	memory   *Memory
	addr     netip.Addr
	caller   *callerAccount
	fixed    int  // bytes of the connection itself
	requests int  // bytes of requests and responses
	peer     bool // of another daemon
	open     bool
	closing  bool
	close    func()

	idle       bool // in the list of idle connections
	prev, next *account
}

// idleList is a list of idle connections, the longest idle first. Unlike that of
// container/list it does not allocate, because every request leaves and enters it.
type idleList struct{ first, last *account }

func (l *idleList) add(a *account) {
	a.idle, a.prev, a.next = true, l.last, nil
	if l.last != nil {
		l.last.next = a
	} else {
		l.first = a
	}
	l.last = a
}

func (l *idleList) remove(a *account) {
	if a.prev != nil {
		a.prev.next = a.next
	} else {
		l.first = a.next
	}
	if a.next != nil {
		a.next.prev = a.prev
	} else {
		l.last = a.prev
	}
	a.idle, a.prev, a.next = false, nil, nil
}

// NewMemory returns an accounting without connections.
func NewMemory(c MemoryConfig) *Memory {
	return &Memory{
		config: c, accounts: make(map[*account]bool), callers: make(map[netip.Addr]*callerAccount),
		refused: make(map[Refusal]uint64),
	}
}

// Use returns the memory in use.
func (m *Memory) Use() MemoryUse {
	m.mu.Lock()
	defer m.mu.Unlock()
	return MemoryUse{Used: m.used, Limit: m.config.Limit, Connections: len(m.accounts)}
}

// Refused returns how often something was refused for a reason.
func (m *Memory) Refused(r Refusal) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.refused[r]
}

// connectionInfo describes a new connection.
type connectionInfo struct {
	addr  netip.Addr
	cost  int    // bytes
	peer  bool   // it comes from another daemon
	close func() // must not block
}

// open reserves a new connection, which is idle. If there are too many, it closes an
// idle one, or refuses the new one.
func (m *Memory) open(c connectionInfo) (*account, Refusal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lacksRoom(c.cost) && !m.evict(&m.idle) && !m.evict(&m.idlePeers) {
		m.refused[NoConnection]++
		return nil, NoConnection
	}
	caller := m.callers[c.addr]
	if caller == nil {
		caller = new(callerAccount)
		m.callers[c.addr] = caller
	}
	a := &account{memory: m, addr: c.addr, caller: caller, fixed: c.cost, peer: c.peer, open: true, close: c.close}
	caller.connections++
	m.accounts[a] = true
	m.used += c.cost
	a.enterIdle()
	return a, Granted
}

func (m *Memory) lacksRoom(cost int) bool {
	if m.config.Connections > 0 && len(m.accounts) >= m.config.Connections {
		return true
	}
	limit, connections := m.config.Limit, m.used-m.requests
	return limit > 0 && (m.used+cost > limit || connections+cost > limit-limit/connectionReserve)
}

// evict closes one of the longest idle connections of a list and reports whether there
// is one. Those of other daemons are closed last, because a call that is sent on one at
// that moment has an unknown outcome.
func (m *Memory) evict(idle *idleList) bool {
	victim, n := idle.first, 0
	for a := idle.first; a != nil && n < evictionCandidates; a = a.next {
		if n++; a.caller.connections > victim.caller.connections {
			victim = a
		}
	}
	if victim == nil {
		return false
	}
	m.refused[Evicted]++
	victim.remove()
	victim.close()
	return true
}

// remove ends the account. The caller must hold the lock of the memory.
func (a *account) remove() {
	m := a.memory
	if !a.open {
		return
	}
	a.open = false
	delete(m.accounts, a)
	a.leaveIdle()
	m.used -= a.fixed + a.requests
	m.requests -= a.requests
	a.caller.requests -= a.requests
	if a.closing {
		m.closingBytes -= a.fixed + a.requests
	}
	a.requests = 0
	if a.caller.connections--; a.caller.connections == 0 {
		delete(m.callers, a.addr)
	}
}

func (a *account) idleList() *idleList {
	if a.peer {
		return &a.memory.idlePeers
	}
	return &a.memory.idle
}

func (a *account) enterIdle() {
	if !a.idle && !a.closing {
		a.idleList().add(a)
	}
}

func (a *account) leaveIdle() {
	if a.idle {
		a.idleList().remove(a)
	}
}

// end releases everything that the connection holds.
func (a *account) end() {
	a.memory.mu.Lock()
	defer a.memory.mu.Unlock()
	a.remove()
}

// reserve reserves bytes for a request. The connection then counts as busy.
func (a *account) reserve(n int) Refusal {
	_, r := a.reserveBetween(n, n)
	return r
}

// reserveBetween reserves most bytes if few are in use by requests, otherwise least. It
// returns how many it reserved.
func (a *account) reserveBetween(least, most int) (int, Refusal) {
	m := a.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if !a.open {
		return 0, NoConnection
	}
	n := least
	if m.hasRoom(most) {
		n = most
	}
	if r := a.admit(n); r != Granted {
		m.refused[r]++
		return 0, r
	}
	a.leaveIdle()
	a.add(n)
	return n, Granted
}

// hasRoom reports whether the requests hold so little that thresholds don't matter.
func (m *Memory) hasRoom(n int) bool {
	limit := m.config.Limit
	return limit == 0 || m.requests+n <= limit/idleShare && n <= limit-m.used
}

func (a *account) admit(n int) Refusal {
	m := a.memory
	limit, free := m.config.Limit, m.config.Limit-m.used
	switch {
	case m.hasRoom(n):
		return Granted
	case n > limit/idleShare:
		return RequestTooCostly
	case (a.requests+n)*connectionShare > free:
		return ConnectionAtLimit
	case a.caller.requests+n > callerShare*free:
		return CallerAtLimit
	default:
		return Granted
	}
}

func (a *account) add(n int) {
	a.memory.used += n
	a.memory.requests += n
	a.caller.requests += n
	a.requests += n
	if a.closing {
		a.memory.closingBytes += n
	}
}

// charge adds bytes that can't be refused, such as those of a response. If that exceeds
// the limit by too much, the connections that hold most are closed.
func (a *account) charge(n int) {
	m := a.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if !a.open {
		return
	}
	a.leaveIdle()
	a.add(n)
	limit := m.config.Limit
	for limit > 0 && m.used-m.closingBytes > limit+limit/overcommitShare {
		if !m.closeLargest() {
			return
		}
	}
}

// closeLargest closes the connection whose requests hold most. Its bytes stay in use
// until it has ended.
func (m *Memory) closeLargest() bool {
	var largest *account
	for a := range m.accounts {
		if !a.closing && (largest == nil || a.requests > largest.requests) {
			largest = a
		}
	}
	if largest == nil || largest.requests == 0 {
		return false
	}
	largest.closing = true
	m.closingBytes += largest.fixed + largest.requests
	m.refused[Aborted]++
	largest.close()
	return true
}

// release returns bytes of reserve or charge. The connection counts as idle from when
// it holds none.
func (a *account) release(n int) {
	m := a.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if !a.open {
		return
	}
	a.add(-n)
	if a.requests == 0 {
		a.enterIdle()
	}
}
