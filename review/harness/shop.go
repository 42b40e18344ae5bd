package main

import (
	"context"
	"fmt"
	"time"
)

// Services of the shop.
const (
	stockService  = "stockdesk"
	ordersService = "ordermill"
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
	err = d.startHosts(ctx, []place{
		{"regina-a", "regina", stockService},
		{"regina-b", "regina", stockService},
		{"regina-a", "regina", ordersService},
		{"winnipeg-a", "winnipeg", ordersService},
	})
	if err != nil {
		return nil, err
	}
	return d.hosts[0], nil
}

// place is where a host stands, and the service of its server.
type place struct{ zone, region, service string }

// startHosts starts hosts with a server each, and waits until they serve.
func (d *deployment) startHosts(ctx context.Context, places []place) error {
	for _, p := range places {
		h, err := d.addHost(p.zone, p.region, p.service)
		if err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	for i, h := range d.hosts {
		if err := h.waitReady(ctx); err != nil {
			return err
		}
		if _, err := h.startServer(fmt.Sprintf("i-%d", i+1), 20*time.Millisecond); err != nil {
			return err
		}
	}
	return sleep(ctx, 2*time.Second)
}

// startOrders starts four hosts in four zones, each with a server of the service for
// orders.
func (d *deployment) startOrders(ctx context.Context) error {
	err := d.putConfiguration(configuration{
		version: 3, services: []string{ordersService},
		routes: []route{{name: "book", prefix: "/orders/", kind: "unsafe", service: ordersService, timeout: 2, attempts: 3}},
	})
	if err != nil {
		return err
	}
	return d.startHosts(ctx, []place{
		{"regina-a", "regina", ordersService},
		{"regina-b", "regina", ordersService},
		{"winnipeg-a", "winnipeg", ordersService},
		{"winnipeg-b", "winnipeg", ordersService},
	})
}
