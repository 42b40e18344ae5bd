package fleet

import (
	"net/netip"
	"time"

	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/version"
)

const (
	// floorReadInterval is the minimum time between reads of the head row on
	// behalf of other hosts. 14 zones make at most 280 such reads per second.
	floorReadInterval = 50 * time.Millisecond
	// maxFloorRequests bounds the pending requests. In a mass restart, the 171
	// hosts of a zone send theirs within startJitter.
	maxFloorRequests = 256
)

// floorReadState lets one host of a zone read the head row on behalf of hosts
// that start at the same time. The result of a read that began after a starting
// host sent its request is as good as a read by that host itself: every version
// that an earlier run of the host applied was accepted before the read.
// Versions that a peer already knows are not sufficient; see setFloor.
type floorReadState struct {
	lastReadID      uint64 // ID of the last read of the head row
	nextReadAt      time.Time
	pendingRequests []floorRequest
	ownNonce        uint64 // of this host's own request; zero if there is none
}

type floorRequest struct {
	from            netip.AddrPort
	nonce           uint64
	precedingReadID uint64 // lastReadID when the request arrived
}

// readHead starts a read of the head row. The ID distinguishes its result from
// those of earlier reads.
func (c *Core) readHead(maxWait time.Duration) {
	c.floorReads.lastReadID++
	c.tableCallStarted()
	r := &c.reader
	r.readPending, r.readStartedAt, r.readMaxWait = true, c.now, maxWait
	if r.pendingReads == nil {
		r.pendingReads = make(map[uint64]pendingRead)
	}
	after := c.readPosition()
	r.pendingReads[c.floorReads.lastReadID] = pendingRead{startedAt: c.now, maxWait: maxWait, after: after}
	c.emit(ReadHead{ReadID: c.floorReads.lastReadID, MaxWait: maxWait, After: after.position})
}

// requestFloor asks another host for the version floor. If no answer arrives
// within floorTimeout, this host reads the head row itself.
func (c *Core) requestFloor(to netip.AddrPort) {
	f := &c.floorReads
	if c.join.initialReadDone || f.ownNonce != 0 {
		return
	}
	f.ownNonce = c.rng.Uint64() | 1 // ensure that it is not zero
	c.send(to, message.FloorRequest{Nonce: f.ownNonce})
}

func (c *Core) receiveFloorRequest(from netip.AddrPort, m message.FloorRequest) {
	f := &c.floorReads
	if len(f.pendingRequests) < maxFloorRequests {
		f.pendingRequests = append(f.pendingRequests, floorRequest{from: from, nonce: m.Nonce, precedingReadID: f.lastReadID})
	}
}

// runFloorReads reads the head row if a request is pending that no read in
// progress can answer.
func (c *Core) runFloorReads() {
	f := &c.floorReads
	if len(f.pendingRequests) == 0 || c.now.Before(f.nextReadAt) || !c.mayCallTable() || f.pendingRequests[len(f.pendingRequests)-1].precedingReadID < f.lastReadID {
		return
	}
	f.nextReadAt = c.now.Add(floorReadInterval)
	c.readHead(0)
}

// answerFloorRequests answers the requests that arrived before the given read
// began.
func (c *Core) answerFloorRequests(readID uint64, n version.Number) {
	f := &c.floorReads
	var remaining []floorRequest
	for _, r := range f.pendingRequests {
		if r.precedingReadID < readID {
			c.send(r.from, message.Floor{Nonce: r.nonce, Number: n})
		} else {
			remaining = append(remaining, r)
		}
	}
	f.pendingRequests = remaining
}

// receiveFloor handles the answer to this run's own request. Answers to an
// earlier run have a different nonce.
func (c *Core) receiveFloor(m message.Floor) {
	if c.floorReads.ownNonce != 0 && m.Nonce == c.floorReads.ownNonce {
		c.versions.highestKnown = max(c.versions.highestKnown, m.Number)
		c.setFloor(m.Number)
	}
}
