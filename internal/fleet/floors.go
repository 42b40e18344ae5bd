package fleet

import (
	"net/netip"
	"time"

	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/version"
)

const (
	// floorInterval is the least time between reads of the head row for other
	// hosts. 14 zones make at most 280 reads a second.
	floorInterval = 50 * time.Millisecond
	// maxFloorRequests bounds the requests that wait. In a mass restart the 171
	// hosts of a zone ask within joinJitter.
	maxFloorRequests = 256
)

// floorState lets one host of a zone read the head row for others that start at
// the same time. A read that began after a starting host had asked is as good
// as one of its own: every version that an earlier run of that host applied had
// been accepted before. What a peer knows already is not, see settle.
type floorState struct {
	reads   uint64 // reads of the head row so far
	nextAt  time.Time
	waiting []floorRequest
	nonce   uint64 // of this host's own request; zero when there is none
}

type floorRequest struct {
	from  netip.AddrPort
	nonce uint64
	after uint64 // reads that had begun when the request arrived
}

// readHead begins a read of the head row. The number tells its answer from
// those of reads that began before.
func (c *Core) readHead(wait time.Duration) {
	c.floors.reads++
	c.beginCall()
	r := &c.reader
	r.waiting, r.askedAt, r.askedWait = true, c.now, wait
	if r.began == nil {
		r.began = make(map[uint64]beganRead)
	}
	known := c.readAfter()
	r.began[c.floors.reads] = beganRead{at: c.now, wait: wait, known: known}
	c.emit(ReadHead{Read: c.floors.reads, Wait: wait, After: known.position})
}

// askFloor asks another host for the floor. The own read follows after floorWait
// unless the answer arrives before.
func (c *Core) askFloor(to netip.AddrPort) {
	f := &c.floors
	if c.join.headAsked || f.nonce != 0 {
		return
	}
	f.nonce = c.random.Uint64() | 1 // not zero
	c.send(to, message.FloorRequest{Nonce: f.nonce})
}

func (c *Core) receiveFloorRequest(from netip.AddrPort, m message.FloorRequest) {
	f := &c.floors
	if len(f.waiting) < maxFloorRequests {
		f.waiting = append(f.waiting, floorRequest{from: from, nonce: m.Nonce, after: f.reads})
	}
}

// runFloors reads the head row when a request waits that no read in progress
// answers.
func (c *Core) runFloors() {
	f := &c.floors
	if len(f.waiting) == 0 || c.now.Before(f.nextAt) || !c.mayCall() || f.waiting[len(f.waiting)-1].after < f.reads {
		return
	}
	f.nextAt = c.now.Add(floorInterval)
	c.readHead(0)
}

// answerFloors answers the requests that had arrived before a read began.
func (c *Core) answerFloors(read uint64, n version.Number) {
	f := &c.floors
	var later []floorRequest
	for _, r := range f.waiting {
		if r.after < read {
			c.send(r.from, message.Floor{Nonce: r.nonce, Number: n})
		} else {
			later = append(later, r)
		}
	}
	f.waiting = later
}

// receiveFloor takes the answer to this run's own request. An answer to an
// earlier run has another nonce.
func (c *Core) receiveFloor(m message.Floor) {
	if c.floors.nonce != 0 && m.Nonce == c.floors.nonce {
		c.versions.known = max(c.versions.known, m.Number)
		c.settle(m.Number)
	}
}
