package connection

import (
	"bytes"
	"net/http"
	"net/netip"
	"strconv"
	"time"
)

// takeIdle returns an idle connection, or nil if there is none.
func (c *Client) takeIdle(addr netip.AddrPort, o Options) *clientConn {
	for {
		cc := c.popIdle(addr)
		if cc == nil {
			return nil
		}
		now := time.Now()
		fresh := o.MaxIdleTime == 0 || now.Add(c.config.IdleTimeout-o.MaxIdleTime).Before(cc.reusableUntil)
		if now.Before(cc.reusableUntil) && fresh && cc.alive() {
			return cc
		}
		_ = cc.raw.Close()
	}
}

func (c *Client) popIdle(addr netip.AddrPort) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	if len(list) == 0 {
		return nil
	}
	cc := list[len(list)-1]
	list[len(list)-1] = nil
	if list = list[:len(list)-1]; len(list) == 0 {
		delete(c.idle, addr)
	} else {
		c.idle[addr] = list
	}
	return cc
}

// putIdle keeps a connection for the next request.
func (c *Client) putIdle(cc *clientConn) {
	c.mu.Lock()
	var surplus *clientConn
	list := append(c.idle[cc.addr], cc)
	if len(list) > max(c.config.MaxIdleConns, 1) {
		surplus, list = list[0], list[1:]
	}
	c.idle[cc.addr] = list
	c.mu.Unlock()
	if surplus != nil {
		_ = surplus.raw.Close()
	}
}

// CloseExpired closes the connections that were idle for too long.
func (c *Client) CloseExpired() {
	now := time.Now()
	c.closeIdle(func(cc *clientConn) bool { return !now.Before(cc.reusableUntil) })
}

// CloseIdle closes all connections that carry no request.
func (c *Client) CloseIdle() {
	c.closeIdle(func(*clientConn) bool { return true })
}

func (c *Client) closeIdle(shouldClose func(*clientConn) bool) {
	var closed []*clientConn
	c.mu.Lock()
	for addr, list := range c.idle {
		var kept []*clientConn
		for _, cc := range list {
			if shouldClose(cc) {
				closed = append(closed, cc)
			} else {
				kept = append(kept, cc)
			}
		}
		if len(kept) == 0 {
			delete(c.idle, addr)
		} else {
			c.idle[addr] = kept
		}
	}
	c.mu.Unlock()
	for _, cc := range closed {
		_ = cc.raw.Close()
	}
}

// setReuseDeadline sets the time until which the connection may be reused.
func (cc *clientConn) setReuseDeadline(idle time.Duration, r *http.Response) {
	if announced, ok := keepAliveTimeout(r.Header); ok {
		idle = min(idle, max(0, announced-keepAliveMargin))
	}
	cc.reusableUntil = time.Now().Add(idle)
}

// keepAliveTimeout returns the timeout of a Keep-Alive header.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for _, list := range h["Keep-Alive"] {
		for item := range bytes.SplitSeq([]byte(list), []byte(",")) {
			value, ok := bytes.CutPrefix(bytes.TrimSpace(item), []byte("timeout="))
			if n, err := strconv.Atoi(string(value)); ok && err == nil && n >= 0 {
				return time.Duration(n) * time.Second, true
			}
		}
	}
	return 0, false
}
