package relay

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// translationOffset is added to the second byte of a host's address to get the
// address at which hosts of other zones reach it.
const translationOffset = 100

// Defaults of a Config.
const (
	defaultBandwidth = 30_000_000 // bits per second
	defaultQueue     = 256 << 10  // bytes; 70 ms at 30 Mbit/s
	minQueue         = 64 << 10   // bytes
)

// Duration is a time.Duration that is a string in JSON, for example "12ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It rejects negative durations.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	if v < 0 {
		return fmt.Errorf("duration %s is negative", v)
	}
	*d = Duration(v)
	return nil
}

// Zone is an availability zone. Its hosts have addresses in 127.<number>.0.0/16.
type Zone struct {
	Name   string `json:"name"`
	Number byte   `json:"number"` // 1 to 99
	Region string `json:"region"`
}

// Host is a host with the ports that hosts of other zones can reach.
type Host struct {
	Address netip.Addr `json:"address"`
	UDP     []uint16   `json:"udp,omitempty"`
	TCP     []uint16   `json:"tcp,omitempty"`
}

// Delay sets the one-way delay between two zones or two regions.
type Delay struct {
	A      string   `json:"a"`
	B      string   `json:"b"`
	OneWay Duration `json:"one-way"`
}

// Config describes the simulated network.
type Config struct {
	// Control is the address of the control API. Port 0 chooses a free port, and the
	// zero value disables the API.
	Control     netip.AddrPort `json:"control,omitzero"`
	Zones       []Zone         `json:"zones"`
	Hosts       []Host         `json:"hosts"`
	ZoneDelay   Duration       `json:"zone-delay"`   // one way between zones of the same region
	RegionDelay Duration       `json:"region-delay"` // one way between zones of different regions
	Delays      []Delay        `json:"delays,omitempty"`
	// Bandwidth is the bandwidth between each pair of regions in each direction, in
	// bits per second.
	Bandwidth int64 `json:"bandwidth,omitempty"`
	// Queue is the maximum number of bytes queued for the bandwidth. Beyond it, UDP
	// packets are dropped and TCP data is not read from the sender.
	Queue int64 `json:"queue,omitempty"`
}

// ParseConfig parses a JSON configuration and rejects unknown keys.
func ParseConfig(data []byte) (Config, error) {
	var c Config
	if err := unmarshalStrict(data, &c); err != nil {
		return Config{}, fmt.Errorf("relay configuration: %w", err)
	}
	return c, nil
}

// Translated returns the address at which hosts of other zones reach a host.
func Translated(a netip.Addr) netip.Addr { return addToSecondByte(a, translationOffset) }

// untranslated is the inverse of Translated.
func untranslated(a netip.Addr) netip.Addr { return addToSecondByte(a, 256-translationOffset) }

func addToSecondByte(a netip.Addr, by int) netip.Addr {
	b := a.As4()
	b[1] += byte(by)
	return netip.AddrFrom4(b)
}

// NAT returns the address translation rules for daemons in the zone with the given
// number, in the format of their flag --nat.
func (c Config) NAT(zone byte) []string {
	var rules []string
	for _, z := range c.Zones {
		if z.Number != zone {
			rules = append(rules, fmt.Sprintf("127.%d.0.0/16=127.%d.0.0/16", z.Number, int(z.Number)+translationOffset))
		}
	}
	return rules
}

// validate reports all errors in a configuration.
func (c Config) validate() error {
	var errs []error
	addError := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	numbers, names := map[byte]bool{}, map[string]bool{}
	for _, z := range c.Zones {
		if z.Name == "" || z.Region == "" || z.Number < 1 || z.Number >= translationOffset {
			addError("zone %q needs a name, a region and a number from 1 to %d", z.Name, translationOffset-1)
		}
		if numbers[z.Number] || names[z.Name] {
			addError("zone %q has the same name or number as another zone", z.Name)
		}
		numbers[z.Number], names[z.Name] = true, true
	}
	regions := map[string]bool{}
	for _, z := range c.Zones {
		regions[z.Region] = true
		if names[z.Region] {
			addError("region %q has the same name as a zone", z.Region)
		}
	}
	for _, h := range c.Hosts {
		if !h.Address.Is4() || h.Address.As4()[0] != 127 || !numbers[h.Address.As4()[1]] {
			addError("host %s does not belong to a zone; want an address 127.<zone number>.x.y", h.Address)
		}
	}
	for _, d := range c.Delays {
		if bothZones, bothRegions := names[d.A] && names[d.B], regions[d.A] && regions[d.B]; !bothZones && !bothRegions {
			addError("delay between %q and %q: want two zones or two regions", d.A, d.B)
		}
	}
	if c.Bandwidth < 0 {
		addError("bandwidth %d is negative", c.Bandwidth)
	}
	// The queue must have room for a chunk of a TCP connection and for a datagram.
	if c.Queue != 0 && c.Queue < minQueue {
		addError("queue of %d bytes is too small; want at least %d bytes", c.Queue, minQueue)
	}
	return errors.Join(errs...)
}

func unmarshalStrict(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if d.More() {
		return errors.New("unexpected data after the JSON object")
	}
	return nil
}
