package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/peridotlb/peridotlb/internal/fleet"
	"github.com/peridotlb/peridotlb/internal/message"
	"github.com/peridotlb/peridotlb/internal/timeline"
)

// maxResponseBytes bounds a response after decompression.
const maxResponseBytes = 64 << 20

// Timeouts of operator queries between daemons.
const (
	statusTimeout   = time.Second
	timelineTimeout = 3 * time.Second
	// gatherTimeout bounds a query with Gather, whose receiver itself waits up to
	// timelineTimeout for each host of its region.
	gatherTimeout = 2 * timelineTimeout
)

// query is a request from one daemon to another on behalf of an operator. Exactly
// one field is set.
type query struct {
	Status   *struct{}      `json:"status,omitempty"`
	Timeline *timelineQuery `json:"timeline,omitempty"`
}

// queryResponse is the response to a query.
type queryResponse struct {
	Status   *message.Report `json:"status,omitempty"`
	Timeline []timeline.Page `json:"timeline,omitempty"`
}

// timelineQuery requests the events after a stamp that match a filter.
type timelineQuery struct {
	Since  timeline.Stamp  `json:"since"`
	Filter timeline.Filter `json:"filter"`
	// Gather makes the receiver collect the timelines of all hosts of its region, so
	// that one connection crosses the link between regions instead of one per host.
	Gather bool `json:"gather,omitempty"`
}

// answerQuery handles the query of another daemon.
func (d *Daemon) answerQuery(ctx context.Context, _ netip.AddrPort, data []byte) ([]byte, error) {
	var q query
	if err := json.Unmarshal(data, &q); err != nil {
		return nil, fmt.Errorf("decode query: %w", err)
	}
	a, err := d.answerLocally(ctx, q)
	if err != nil {
		return nil, err
	}
	data, err = json.Marshal(a)
	if err != nil {
		return nil, fmt.Errorf("encode response: %w", err)
	}
	return message.Compress(data, nil)
}

func (d *Daemon) answerLocally(ctx context.Context, q query) (queryResponse, error) {
	switch {
	case q.Status != nil:
		var report message.Report
		err := d.loop.withCore(ctx, func(c *fleet.Core) { report = c.SubtreeReport() })
		return queryResponse{Status: &report}, err
	case q.Timeline != nil:
		pages, err := d.answerTimeline(ctx, *q.Timeline)
		return queryResponse{Timeline: pages}, err
	default:
		return queryResponse{}, errors.New("this release does not support the query")
	}
}

// sendQuery sends a query to a daemon. A query to this daemon is answered locally.
func (d *Daemon) sendQuery(ctx context.Context, to netip.AddrPort, q query) (queryResponse, error) {
	if to == d.settings.ControlAddress {
		return d.answerLocally(ctx, q)
	}
	data, err := json.Marshal(q)
	if err != nil {
		return queryResponse{}, fmt.Errorf("encode query: %w", err)
	}
	data, err = d.link.Query(ctx, to, data)
	if err != nil {
		return queryResponse{}, fmt.Errorf("query %s: %w", to, err)
	}
	if data, err = message.Decompress(data, nil, maxResponseBytes); err != nil {
		return queryResponse{}, fmt.Errorf("decompress response of %s: %w", to, err)
	}
	var a queryResponse
	if err := json.Unmarshal(data, &a); err != nil {
		return queryResponse{}, fmt.Errorf("decode response of %s: %w", to, err)
	}
	return a, nil
}
