package daemon

import (
	"context"
	"time"

	"github.com/peridotlb/peridotlb/internal/link"
	"github.com/peridotlb/peridotlb/internal/platform"
	"github.com/peridotlb/peridotlb/internal/settings"
)

// openPlatform opens the platform that the settings select.
func openPlatform(ctx context.Context, c Config) (platform.Service, error) {
	s := c.Settings
	if s.Platform == settings.Memory {
		c.Log.Named("platform").Warn("Using the embedded in-memory platform: versions and claims are lost when this process ends, and no other daemon shares them.")
		memory := platform.NewMemory()
		go memory.RemoveExpiredEvery(ctx, time.Minute)
		return memory, nil
	}
	return platform.New(platform.Config{
		TableEndpoint: s.TableEndpoint.String(), ObjectEndpoint: s.ObjectEndpoint.String(),
		Table: s.TableName, Bucket: s.Bucket,
		AccessKey: s.PlatformAccessKey, SecretKey: s.PlatformSecretKey.Reveal(), SigningRegion: s.PlatformSigningRegion,
		Source: s.ControlAddress.Addr(),
	})
}

func newNAT(rules []settings.NAT) (link.NAT, error) {
	texts := make([]string, 0, len(rules))
	for _, r := range rules {
		texts = append(texts, r.From.String()+"="+r.To.String())
	}
	return link.ParseNAT(texts...)
}
