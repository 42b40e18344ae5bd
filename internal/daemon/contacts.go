package daemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"go.uber.org/zap"

	"github.com/peridotlb/peridotlb/internal/fleet"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/platform"
)

// contactsPrefix is the prefix of the rows with the first contacts of a zone:
// "contacts/<region>/<zone>", with addresses separated by spaces.
const contactsPrefix = "contacts/"

// maxZones bounds the zones that are read at once.
const maxZones = 64

func contactsKey(region host.Region, zone host.AvailabilityZone) platform.Key {
	return platform.Key(fmt.Sprintf("%s%s/%s", contactsPrefix, region, zone))
}

// readPeers reads the published contacts of this zone or of all zones.
func (l *loop) readPeers(ctx context.Context, e fleet.ReadPeers) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var rows []platform.Row
	var err error
	if e.AllZones {
		rows, err = l.platform.Scan(ctx, contactsPrefix, "", maxZones)
	} else {
		rows, err = l.platform.Get(ctx, contactsKey(l.settings.Region, l.settings.AvailabilityZone))
	}
	answer := fleet.PeersRead{AllZones: e.AllZones}
	if err != nil {
		answer.Err = fmt.Errorf("read contacts: %w", err)
	}
	for _, r := range rows {
		if c, ok := parseContacts(r); ok {
			answer.Zones = append(answer.Zones, c)
		}
	}
	l.post(ctx, answer)
}

// parseContacts reads a row. An absent row has no value.
func parseContacts(r platform.Row) (fleet.Contacts, bool) {
	region, zone, ok := strings.Cut(strings.TrimPrefix(string(r.Key), contactsPrefix), "/")
	c := fleet.Contacts{Zone: host.AvailabilityZone(zone), Region: host.Region(region)}
	for _, text := range strings.Fields(string(r.Value)) {
		if addr, err := netip.ParseAddrPort(text); err == nil {
			c.Addrs = append(c.Addrs, addr)
		}
	}
	return c, ok && len(c.Addrs) > 0
}

// publishContacts writes the contacts of this zone when they changed. A lost
// race is harmless: the zone root checks again later.
func (l *loop) publishContacts(ctx context.Context, c fleet.Contacts) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := l.writeContacts(ctx, c); err != nil {
		l.log.Warn("Could not publish the contacts of the zone.", zap.Error(err))
	}
}

func (l *loop) writeContacts(ctx context.Context, c fleet.Contacts) error {
	texts := make([]string, 0, len(c.Addrs))
	for _, a := range c.Addrs {
		texts = append(texts, a.String())
	}
	value := []byte(strings.Join(texts, " "))
	key := contactsKey(c.Region, c.Zone)
	rows, err := l.platform.Get(ctx, key)
	if err != nil {
		return fmt.Errorf("read contacts: %w", err)
	}
	if len(rows) != 1 {
		return errors.New("read contacts: no row in the answer")
	}
	if bytes.Equal(rows[0].Value, value) {
		return nil
	}
	if _, err := l.platform.Commit(ctx, platform.Write{Key: key, If: rows[0].Revision, Value: value}); err != nil {
		return fmt.Errorf("write contacts: %w", err)
	}
	return nil
}
