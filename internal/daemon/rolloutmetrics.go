package daemon

import (
	"fmt"
	"time"

	"github.com/peridotlb/peridotlb/internal/rollout"
)

// observeRollout sets the metrics of the roll-out of a service.
func (m *daemonMetrics) observeRollout(a rollout.Applied, now time.Time) {
	gauge := func(name string, value float64) {
		m.set.GetOrCreateGauge(fmt.Sprintf("peridotlb_rollout_%s{service=%q}", name, a.Row.Service), nil).Set(value)
	}
	gauge("state", float64(a.Row.State))
	gauge("step", float64(a.Row.Step))
	gauge("share", float64(a.Share(now))/float64(rollout.AllCalls))
}
