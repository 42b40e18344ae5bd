package daemon

import (
	"math"
	"net/http"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/peridotlb/peridotlb/internal/connection"
)

// Parts of the memory of the process. For a host with 184 MB they give a soft limit of
// 120 MB and 67 MB for requests.
const (
	// maxMemoryMargin and softMemoryShare determine what is left beside the soft limit of
	// the Go runtime: the program's own pages, which the runtime does not count, and what
	// it exceeds its limit by. Attacks exceeded it by up to 20 MB.
	maxMemoryMargin = 64e6 // bytes
	softMemoryShare = 0.65
	// baseMemory is what the runtime uses without calls, in bytes.
	baseMemory = 24e6
	// requestsShare is the share of the rest for live memory of requests. What is left
	// is garbage that is not collected yet.
	requestsShare = 0.7
)

const (
	// reservedDescriptors are kept for files, listeners and the store.
	reservedDescriptors = 200
	// minDescriptors is the smallest number of descriptors that leaves some for
	// callers.
	minDescriptors = 256
	// outgoingShare is the divisor of the descriptors that are kept for connections to
	// backend servers and gates, and for the control listeners.
	outgoingShare = 16
)

// softMemoryLimit returns the soft memory limit of the runtime in bytes.
func softMemoryLimit(memoryMB float64) int64 {
	return int64(max(memoryMB*1e6*softMemoryShare, memoryMB*1e6-maxMemoryMargin))
}

// requestsMemory returns the bytes that connections and requests of callers may hold.
func requestsMemory(memoryMB, explicitMB float64) int {
	if explicitMB > 0 {
		return int(explicitMB * 1e6)
	}
	return int((float64(softMemoryLimit(memoryMB)) - baseMemory) * requestsShare)
}

// descriptorLimit returns the number of descriptors that the process may open.
func descriptorLimit(setting int) int {
	limit := math.MaxInt32
	var r syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &r) == nil {
		limit = int(min(r.Cur, math.MaxInt32))
	}
	if setting > 0 {
		limit = min(limit, setting)
	}
	return max(limit, minDescriptors)
}

// callConnections returns the number of connections that the entry and the gate accept.
func callConnections(descriptors int) int {
	return max(descriptors-reservedDescriptors-descriptors/outgoingShare, minDescriptors/outgoingShare)
}

// limitMemory sets the soft memory limit of the runtime and returns the accounting for
// callers' requests. A lower limit that GOMEMLIMIT sets is kept.
func (d *Daemon) limitMemory() *connection.Memory {
	s := d.settings
	if soft := softMemoryLimit(s.MemoryMB); soft < debug.SetMemoryLimit(-1) {
		debug.SetMemoryLimit(soft)
	}
	c := connection.MemoryConfig{Limit: requestsMemory(s.MemoryMB, s.RequestsMemoryMB), Connections: callConnections(d.descriptors)}
	d.log.Info("Limited the memory of callers' requests.", zap.Int("limit-bytes", c.Limit), zap.Int("connections", c.Connections), zap.Int64("soft-limit-bytes", debug.SetMemoryLimit(-1)))
	return connection.NewMemory(c)
}

func addMemoryMetrics(set *metrics.Set, m *connection.Memory) {
	set.NewGauge("peridotlb_request_memory_bytes", func() float64 { return float64(m.Use().Used) })
	set.NewGauge("peridotlb_request_memory_limit_bytes", func() float64 { return float64(m.Use().Limit) })
	set.NewGauge("peridotlb_call_connections", func() float64 { return float64(m.Use().Connections) })
	for _, r := range connection.Refusals() {
		set.NewGauge(`peridotlb_request_memory_refused_total{reason="`+string(r)+`"}`, func() float64 { return float64(m.Refused(r)) })
	}
}

// Limits of the listeners for announcements, readiness, operators and metrics.
const (
	controlHeaderBytes   = 4 << 10
	controlHeaderTimeout = 5 * time.Second
	controlReadTimeout   = 30 * time.Second
	controlIdleTimeout   = 2 * time.Minute
	// controlShare is the divisor of the descriptors that one control listener may use.
	controlShare = 32
	// maxControlConnections bounds the memory of their headers to about 20 MB.
	maxControlConnections = 64
)

func controlConnections(descriptors int) int {
	return max(4, min(descriptors/controlShare, maxControlConnections))
}

func newControlServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, MaxHeaderBytes: controlHeaderBytes, ReadHeaderTimeout: controlHeaderTimeout,
		ReadTimeout: controlReadTimeout, IdleTimeout: controlIdleTimeout,
	}
}
