package main

import (
	"context"
	"fmt"
	"time"
)

// Services of the shop.
const (
	stockService  = "stock-svc"
	ordersService = "orders-svc"
)

func (d *deployment) since(t time.Time) float64 { return t.Sub(d.record.start).Seconds() }

// startShop starts the hosts of two regions, with two servers of the service for
// stock and two of the one for orders, and returns a host of the first service.
func (d *deployment) startShop(ctx context.Context) (*host, error) {
	err := d.putConfiguration(configuration{
		version: 3, services: []string{stockService, ordersService},
		routes: []route{
			{name: "stock", prefix: "/stock/", kind: "safe", service: stockService, timeout: 1.5, attempts: 2},
			{name: "pay", prefix: "/pay/", kind: "unsafe", service: ordersService, timeout: 1.5, attempts: 2},
		},
	})
	if err != nil {
		return nil, err
	}
	for _, place := range []struct{ zone, region, service string }{
		{"kariakoo", "pwani", stockService},
		{"mbezi", "pwani", stockService},
		{"kariakoo", "pwani", ordersService},
		{"ngarenaro", "kaskazini", ordersService},
	} {
		h, err := d.addHost(place.zone, place.region, place.service)
		if err != nil {
			return nil, err
		}
		if err := h.start(); err != nil {
			return nil, err
		}
	}
	for i, h := range d.hosts {
		if err := h.waitReady(ctx); err != nil {
			return nil, err
		}
		if _, err := h.startServer(fmt.Sprintf("i-%d", i+1), 20*time.Millisecond); err != nil {
			return nil, err
		}
	}
	return d.hosts[0], sleep(ctx, 2*time.Second)
}
