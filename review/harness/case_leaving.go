package main

import (
	"context"
	"net/http"
	"time"

	"github.com/peridotlb/peridotlb/test/platform/store"
)

// Times of the case leavingForgotten, from the start of the outage.
const (
	outageTime       = 8 * time.Second  // the longest outage of the store in the site file
	leaveAfter       = time.Second      // when the server says that it leaves
	servesAfterLeave = 16 * time.Second // how long the server continues to serve after its acknowledgement
)

// leavingForgotten checks the rule DRAIN for a server that leaves during an outage of
// the store, and whose daemon is then stopped and started again, as planned.
func leavingForgotten(ctx context.Context, d *deployment, trouble bool) (int, error) {
	leaving, err := d.startShop(ctx)
	if err != nil {
		return 0, err
	}
	requests := newClients(d.record, http.MethodGet, "/stock/beads")
	sendCtx, stopSending := context.WithCancel(ctx)
	defer stopSending()
	requests.send(sendCtx, d.hosts, 100*time.Millisecond)
	if err := sleep(ctx, 3*time.Second); err != nil {
		return 0, err
	}
	if len(leaving.server.allRuns()) == 0 {
		return 0, errNotServed
	}
	start := time.Now()
	calmAt := start // when all machines are in touch again
	if trouble {
		d.setStore("answers every call with 503", store.Faults{Status: http.StatusServiceUnavailable})
		time.AfterFunc(outageTime, func() { d.setStore("answers again", store.Faults{}) })
		calmAt = start.Add(outageTime + contactTime)
	}
	if err := sleep(ctx, leaveAfter); err != nil {
		return 0, err
	}
	ackedAt, err := leaving.server.deregister(ctx)
	if err != nil {
		return 0, err
	}
	time.AfterFunc(servesAfterLeave, func() {
		d.record.write("server %s ends", leaving.server.id)
		leaving.server.crash()
	})
	leaving.stop()
	if err := leaving.start(); err != nil {
		return 0, err
	}
	if at := leaving.startedAt.Add(contactTime); at.After(calmAt) {
		calmAt = at
	}
	if err := sleep(ctx, time.Until(ackedAt.Add(servesAfterLeave-time.Second))); err != nil {
		return 0, err
	}
	stopSending()
	return d.countDrainBreaks(leaving.server, requests.finish(), ackedAt, calmAt), nil
}

// countDrainBreaks counts the requests that have reached a server later than drainTime
// after its leaving was acknowledged, and that clients sent when all machines were in
// touch.
func (d *deployment) countDrainBreaks(s *backendServer, sent map[string]*request, ackedAt, calmAt time.Time) int {
	broken := 0
	for _, r := range s.allRuns() {
		q := sent[r.id]
		if q == nil || q.sentAt.Before(calmAt) || r.at.Before(ackedAt.Add(drainTime)) {
			continue
		}
		broken++
		d.record.write("DRAIN: %s was sent to %s at %.3f s and reached %s at %.3f s, %.1f s after the acknowledgement, with all machines in touch since %.3f s",
			r.id, q.host.name, d.since(q.sentAt), r.server, d.since(r.at), r.at.Sub(ackedAt).Seconds(), d.since(calmAt))
	}
	return broken
}
