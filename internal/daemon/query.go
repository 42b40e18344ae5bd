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

// maxAnswer bounds a decompressed answer in bytes.
const maxResponseBytes = 64 << 20

// Timeouts of operator queries between daemons.
const (
	statusTimeout   = time.Second
	timelineTimeout = 3 * time.Second
	gatherTimeout   = 2 * timelineTimeout
)

// query is what one daemon asks another on behalf of an operator. Exactly one
// field is set.
type query struct {
	Status   *struct{}      `json:"status,omitempty"`
	Timeline *timelineQuery `json:"timeline,omitempty"`
}

// answer is the answer to a query.
type queryResponse struct {
	Status   *message.Report `json:"status,omitempty"`
	Timeline []timeline.Page `json:"timeline,omitempty"`
}

// timelineQuery asks for the events after a stamp that match a filter.
type timelineQuery struct {
	Since  timeline.Stamp  `json:"since"`
	Filter timeline.Filter `json:"filter"`
	// Gather asks the receiver for the rings of all hosts of its region, so that
	// one connection crosses the region link instead of one per host.
	Gather bool `json:"gather,omitempty"`
}

// answerQuery answers another daemon.
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
		return nil, fmt.Errorf("encode answer: %w", err)
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
		return queryResponse{}, errors.New("query asks for nothing that this release knows")
	}
}

// ask sends a query to a daemon; one to this daemon is answered locally.
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
		return queryResponse{}, fmt.Errorf("ask %s: %w", to, err)
	}
	if data, err = message.Decompress(data, nil, maxResponseBytes); err != nil {
		return queryResponse{}, fmt.Errorf("decompress answer of %s: %w", to, err)
	}
	var a queryResponse
	if err := json.Unmarshal(data, &a); err != nil {
		return queryResponse{}, fmt.Errorf("decode answer of %s: %w", to, err)
	}
	return a, nil
}
