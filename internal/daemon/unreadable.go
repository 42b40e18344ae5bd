package daemon

import (
	"errors"
	"fmt"

	"go.uber.org/zap"

	"github.com/peridotlb/peridotlb/internal/version"
)

// maxUnreadableLines bounds the log lines about one version.
const maxUnreadableLines = 20

// skippedVersion is a version that can't be read as a whole.
type skippedVersion struct {
	reason string
	newest version.Number // the newest version that was known then
}

// reportUnreadableEntries reports the entries of an applied version that can't be read.
func (c *components) reportUnreadableEntries(s version.Snapshot) {
	entries := s.Document().UnreadableEntries()
	c.metrics.unreadableEntries.Set(float64(len(entries)))
	for i, e := range entries {
		if i == maxUnreadableLines {
			c.log.Error("More entries of the version can't be read.", zap.Uint64("version", uint64(s.Number())), zap.Int("entries", len(entries)-i))
			return
		}
		c.log.Error("An entry of the version can't be read; its calls are refused.", zap.Uint64("version", uint64(s.Number())), zap.String("entry", e))
	}
}

// reportUnreadableVersion reports a version that can't be read as a whole, and returns
// whether err is about one.
func (c *components) reportUnreadableVersion(err error) bool {
	var unreadable *UnreadableError
	if !errors.As(err, &unreadable) {
		return false
	}
	c.log.Error("Skipped a version that can't be read; the previous one stays applied.", zap.Error(err))
	c.metrics.unreadableVersions.Inc()
	skipped := &skippedVersion{reason: unreadable.Error()}
	if s := c.routing.snapshot.Load(); s != nil {
		skipped.newest = s.Number()
	}
	c.routing.skipped.Store(skipped)
	return true
}

// unreadableEntries returns what operators should know about the applied version and the
// one after it.
func (c *components) unreadableEntries() []string {
	var all []string
	applied := version.Number(0)
	if s := c.routing.snapshot.Load(); s != nil {
		applied = s.Number()
		for _, e := range s.Document().UnreadableEntries() {
			all = append(all, fmt.Sprintf("version %d: %s", applied, e))
		}
	}
	if skipped := c.routing.skipped.Load(); skipped != nil && skipped.newest == applied {
		all = append(all, skipped.reason+"; the version before stays in force")
	}
	return all
}
