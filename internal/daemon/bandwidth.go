package daemon

import (
	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/peridotlb/peridotlb/internal/bandwidth"
)

// newBandwidth returns the accounting of the link of this host with its metrics; nil
// if the link is too fast to need any.
func (d *Daemon) newBandwidth(set *metrics.Set) *bandwidth.Link {
	l := bandwidth.New(bandwidth.Config{Mbps: d.settings.LinkMbps})
	if l == nil {
		return nil
	}
	set.NewGauge(`peridotlb_link_committed_bytes{direction="out"}`, l.Sending.Committed)
	set.NewGauge(`peridotlb_link_committed_bytes{direction="in"}`, l.Receiving.Committed)
	d.log.Named("call").Info("Admits large responses by the rate of the link.", zap.Float64("link-mbps", d.settings.LinkMbps))
	return l
}
