package main

import (
	"context"
	"net/http"
	"time"

	"github.com/peridotlb/peridotlb/test/platform/store"
)

// Times of the case lateHeartbeat, from the acknowledgement of the leaving.
const (
	outageAfterLeave  = time.Second
	shortOutageTime   = 5 * time.Second
	lateHeartbeatAt   = 5 * time.Second // arrival of a heartbeat that was sent before the server left
	servesAfterLeave2 = 13 * time.Second
)

// lateHeartbeat checks the rule DRAIN for a server that has left with an
// acknowledgement, while the store is up. Later the store has an outage, in which the
// daemon is stopped and started again, as planned, and a heartbeat arrives late.
func lateHeartbeat(ctx context.Context, d *deployment, trouble bool) (int, error) {
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
	s := leaving.server
	if len(s.allRuns()) == 0 {
		return 0, errNotServed
	}
	late := s.nextHeartbeat()
	d.record.write("server %s sends heartbeat %v, which will arrive late", s.id, late["sequence"])
	ackedAt, err := s.deregister(ctx)
	if err != nil {
		return 0, err
	}
	time.AfterFunc(servesAfterLeave2, func() {
		d.record.write("server %s ends", s.id)
		s.crash()
	})
	time.AfterFunc(lateHeartbeatAt, func() {
		acked := s.tell("Heartbeat", late)
		d.record.write("the late heartbeat of server %s arrives, acknowledged %t", s.id, acked)
	})
	if err := sleep(ctx, outageAfterLeave); err != nil {
		return 0, err
	}
	calmAt := time.Now()
	if trouble {
		d.setStore("answers every call with 503", store.Faults{Status: http.StatusServiceUnavailable})
		time.AfterFunc(shortOutageTime, func() { d.setStore("answers again", store.Faults{}) })
		calmAt = calmAt.Add(shortOutageTime + contactTime)
	}
	leaving.stop()
	if err := leaving.start(); err != nil {
		return 0, err
	}
	if at := leaving.startedAt.Add(contactTime); at.After(calmAt) {
		calmAt = at
	}
	if err := sleep(ctx, time.Until(ackedAt.Add(servesAfterLeave2-500*time.Millisecond))); err != nil {
		return 0, err
	}
	stopSending()
	return d.countDrainBreaks(s, requests.finish(), ackedAt, calmAt), nil
}
