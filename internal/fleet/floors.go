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
	floorReadInterval = 50 * time.Millisecond
	// maxFloorRequests bounds the requests that wait. In a mass restart the 171
	// hosts of a zone ask within joinJitter.
	maxFloorRequests = 256
)

// floorState lets one host of a zone read the head row for others that start at
// the same time. A read that began after a starting host had asked is as good
// as one of its own: every version that an earlier run of that host applied had
// been accepted before. What a peer knows already is not, see settle.
type floorReadState struct {
	lastReadID      uint64 // reads of the head row so far
	nextReadAt      time.Time
	pendingRequests []floorRequest
	ownNonce        uint64 // of this host's own request; zero when there is none
}

type floorRequest struct {
	from       netip.AddrPort
	nonce      uint64
	lastReadID uint64 // reads that had begun when the request arrived
}

// readHead begins a read of the head row. The number tells its answer from
// those of reads that began before.
func (c *Core) readHead(wait time.Duration) {
	c.floorReads.lastReadID++
	c.tableCallStarted()
	r := &c.reader
	r.readPending, r.readStartedAt, r.readMaxWait = true, c.now, wait
	if r.pendingReads == nil {
		r.pendingReads = make(map[uint64]pendingRead)
	}
	known := c.readPosition()
	r.pendingReads[c.floorReads.lastReadID] = pendingRead{startedAt: c.now, maxWait: wait, after: known}
	c.emit(ReadHead{ReadID: c.floorReads.lastReadID, MaxWait: wait, After: known.position})
}

// askFloor asks another host for the floor. The own read follows after floorWait
// unless the answer arrives before.
func (c *Core) requestFloor(to netip.AddrPort) {
	f := &c.floorReads
	if c.join.headRequested || f.ownNonce != 0 {
		return
	}
	f.ownNonce = c.rng.Uint64() | 1 // not zero
	c.send(to, message.FloorRequest{Nonce: f.ownNonce})
}

func (c *Core) receiveFloorRequest(from netip.AddrPort, m message.FloorRequest) {
	f := &c.floorReads
	if len(f.pendingRequests) < maxFloorRequests {
		f.pendingRequests = append(f.pendingRequests, floorRequest{from: from, nonce: m.Nonce, lastReadID: f.lastReadID})
	}
}

// runFloors reads the head row when a request waits that no read in progress
// answers.
func (c *Core) runFloorReads() {
	f := &c.floorReads
	if len(f.pendingRequests) == 0 || c.now.Before(f.nextReadAt) || !c.mayCallTable() || f.pendingRequests[len(f.pendingRequests)-1].lastReadID < f.lastReadID {
		return
	}
	f.nextReadAt = c.now.Add(floorReadInterval)
	c.readHead(0)
}

// answerFloors answers the requests that had arrived before a read began.
func (c *Core) answerFloorRequests(read uint64, n version.Number) {
	f := &c.floorReads
	var later []floorRequest
	for _, r := range f.pendingRequests {
		if r.lastReadID < read {
			c.send(r.from, message.Floor{Nonce: r.nonce, Number: n})
		} else {
			later = append(later, r)
		}
	}
	f.pendingRequests = later
}

// receiveFloor takes the answer to this run's own request. An answer to an
// earlier run has another nonce.
func (c *Core) receiveFloor(m message.Floor) {
	if c.floorReads.ownNonce != 0 && m.Nonce == c.floorReads.ownNonce {
		c.versions.highestKnown = max(c.versions.highestKnown, m.Number)
		c.setFloor(m.Number)
	}
}
