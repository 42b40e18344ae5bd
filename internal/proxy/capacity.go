package proxy

import (
	"context"
	"errors"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/peridotlb/peridotlb/internal/capacity"
	"github.com/peridotlb/peridotlb/internal/gate"
)

// Bounds of the percentage of a load header. Values beyond them are not read.
const minLoadPercent, maxLoadPercent = 1, 10_000

// serverLoad matches the load header of a backend server: its running and waiting
// calls, its slots and, optionally, how long work takes on its machine in percent.
var serverLoad = regexp.MustCompile(`^[0-9]{1,6},[0-9]{1,6},[0-9]{1,6}(?:,([0-9]{1,5}(?:\.[0-9]{1,3})?))?$`)

// loadPercent returns the fourth figure of the load header of a response, 0 if there
// is none that can be read.
func (d Dialect) loadPercent(h http.Header) float64 {
	name := d.ServerLoad
	if name == "" {
		name = HeaderServerLoad
	}
	values := h.Values(name)
	if len(values) != 1 {
		return 0
	}
	match := serverLoad.FindStringSubmatch(strings.TrimSpace(values[0]))
	if match == nil || match[1] == "" {
		return 0
	}
	percent, err := strconv.ParseFloat(match[1], 64)
	if err != nil || percent < minLoadPercent || percent > maxLoadPercent {
		return 0
	}
	return percent
}

// observeRun records how long the server took for a call. Responses that report an
// error of the server say nothing about its speed. A call that ran into its deadline
// took at least as long.
func (g *gateHandler) observeRun(ctx context.Context, c *call, permit *gate.Permit, result gateResult, took time.Duration) {
	if !g.config.LearnedCapacity {
		return
	}
	r := capacity.Run{Route: c.route, RunTime: took}
	switch {
	case result.reply != nil && result.reply.status < http.StatusInternalServerError:
		r.Percent = g.config.Dialect.loadPercent(result.reply.header)
	case result.failure != nil && !result.failure.notRun && errors.Is(ctx.Err(), context.DeadlineExceeded):
	default:
		return
	}
	permit.ObserveRun(r)
}

// LogLearned returns a function for gate.Config.OnLearned that logs the changes.
func LogLearned(log *zap.Logger) func(gate.LearnedChange) {
	return func(c gate.LearnedChange) {
		log.Info("Changed the number of concurrent calls of a backend server.", zap.String("server", string(c.Server)),
			zap.Int("previous", c.Before), zap.Int("learned", c.Learned), zap.Int("announced", c.Announced))
	}
}
