package relay

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"
)

// listenControl serves the control API when an address is configured.
func (r *Relay) listenControl() error {
	if !r.config.Control.IsValid() {
		return nil
	}
	var err error
	if r.controlListener, err = net.Listen("tcp", r.config.Control.String()); err != nil {
		return err
	}
	r.controlServer = &http.Server{
		Handler:           r.Handler(),
		ReadHeaderTimeout: 5 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return r.ctx },
	}
	r.registerCloser(r.controlServer)
	r.goroutines.Go(func() { _ = r.controlServer.Serve(r.controlListener) })
	return nil
}

// ControlAddr returns the address of the control API.
func (r *Relay) ControlAddr() netip.AddrPort {
	if r.controlListener == nil {
		return netip.AddrPort{}
	}
	return r.controlListener.Addr().(*net.TCPAddr).AddrPort()
}

// Handler returns the control API: GET /-/counters, and POST /-/cut, /-/heal,
// /-/delay (one-way=12ms) and /-/loss (percent=1.5), each with the query
// parameters a and b, which name two zones or two regions.
func (r *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/counters", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(r.Counters())
	})
	change := func(name string, f func(a, b string, q *http.Request) error) {
		mux.HandleFunc("POST /-/"+name, func(w http.ResponseWriter, q *http.Request) {
			if err := f(q.FormValue("a"), q.FormValue("b"), q); err != nil {
				http.Error(w, name+": "+err.Error(), http.StatusBadRequest)
				return
			}
			w.WriteHeader(http.StatusNoContent)
		})
	}
	change("cut", func(a, b string, _ *http.Request) error { return r.Cut(a, b) })
	change("heal", func(a, b string, _ *http.Request) error { return r.Heal(a, b) })
	change("delay", func(a, b string, q *http.Request) error {
		d, err := time.ParseDuration(q.FormValue("one-way"))
		if err != nil {
			return err
		}
		return r.SetDelay(a, b, d)
	})
	change("loss", func(a, b string, q *http.Request) error {
		percent, err := strconv.ParseFloat(q.FormValue("percent"), 64)
		if err != nil {
			return err
		}
		return r.SetLoss(a, b, percent)
	})
	return mux
}
