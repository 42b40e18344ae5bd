package daemon

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/fleet"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/link"
	"github.com/peridotlb/peridotlb/internal/platform"
)

// newSigner returns the signer of a host whose keys the CA has issued.
func newSigner(t *testing.T, ca link.KeyPair, id string) *link.Signer {
	t.Helper()
	var files link.CertificateConfig
	for _, flag := range keyFiles(t, ca, id) {
		for prefix, file := range map[string]*string{"--ca-file=": &files.CA, "--certificate-file=": &files.Certificate, "--key-file=": &files.Key} {
			if len(flag) > len(prefix) && flag[:len(prefix)] == prefix {
				*file = flag[len(prefix):]
			}
		}
	}
	identity, err := link.LoadIdentity(files)
	if err != nil {
		t.Fatal(err)
	}
	return identity.Signer
}

// Verifies that records which a party outside the fleet wrote to the table are
// ignored, so that their hosts do not count as alive.
func TestRecordWithForeignSignatureIsSkipped(t *testing.T) {
	ca, table := newCA(t), platform.NewMemory()
	for i, signer := range []*link.Signer{newSigner(t, ca, "own-fleet-1"), newSigner(t, newCA(t), "other-fleet-1")} {
		id := []host.ID{"own-fleet-1", "other-fleet-1"}[i]
		row := host.Row{ID: id, Zone: "pwani-a", Region: "pwani", ControlAddr: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 9+i)), GateAddr: netip.MustParseAddrPort("127.0.0.1:9")}
		value, err := encodeRecord(signer, fleet.HostRecord{Host: row})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := table.Commit(t.Context(), platform.Write{Key: recordKey(row), Value: value}); err != nil {
			t.Fatal(err)
		}
	}
	d := start(t, table, daemonArgs(t, ca, "pwani-a-1", "pwani-a"))
	t.Cleanup(d.stop)
	known := func(id host.ID) (found bool) {
		err := d.loop.withCore(t.Context(), func(c *fleet.Core) {
			for _, h := range c.Hosts() {
				found = found || h.ID == id
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		return found
	}
	eventually(t, maxApplyTime, "the host with keys of the fleet is known", func() bool { return known("own-fleet-1") })
	if known("other-fleet-1") {
		t.Error("got the host with foreign keys among the hosts, want its record skipped")
	}
}

// Verifies that a record is decoded as it was encoded, and that truncated and
// unsigned records are refused.
func TestDecodeRecord(t *testing.T) {
	signer := newSigner(t, newCA(t), "pwani-a-1")
	want := fleet.HostRecord{Host: host.Row{ID: "pwani-a-1", Zone: "pwani-a", Region: "pwani", ControlAddr: netip.MustParseAddrPort("127.0.0.1:9"), GateAddr: netip.MustParseAddrPort("127.0.0.1:10")}}
	value, err := encodeRecord(signer, want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeRecord(signer, value)
	if err != nil || got.Host != want.Host {
		t.Errorf("got %+v (%v), want %+v", got, err, want)
	}
	if _, err := decodeRecord(signer, value[:len(value)-1]); err == nil {
		t.Error("truncated record: got no error")
	}
	unsigned, err := encodeRecord(nil, want)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decodeRecord(signer, unsigned); !errors.Is(err, link.ErrUnsigned) {
		t.Errorf("record without a signature: got error %v, want %v", err, link.ErrUnsigned)
	}
}

// TestOddRecordIsSkipped guards against one odd record of another writer that ends
// the daemons which read it, or keeps them from using the other records.
func TestOddRecordIsSkipped(t *testing.T) {
	ca, table := newCA(t), platform.NewMemory()
	signer := newSigner(t, ca, "pwani-a-2")
	addr := netip.MustParseAddrPort("127.0.0.1:9")
	valid := fleet.HostRecord{
		Host:    host.Row{ID: "pwani-a-2", Zone: "pwani-a", Region: "pwani", ControlAddr: addr, GateAddr: addr},
		Servers: []backend.Server{{ID: "s-2", Service: "stock", Host: "pwani-a-2", Addr: addr, Slots: 9, State: backend.Ready}},
	}
	put := func(key platform.Key, value []byte) {
		t.Helper()
		if _, err := table.Commit(t.Context(), platform.Write{Key: key, Value: value}); err != nil {
			t.Fatal(err)
		}
	}
	odd := map[string]func(*fleet.HostRecord){
		"of-another-host":   func(*fleet.HostRecord) {},
		"no-control-port":   func(r *fleet.HostRecord) { r.Host.ControlAddr = netip.AddrPortFrom(addr.Addr(), 0) },
		"no-gate-address":   func(r *fleet.HostRecord) { r.Host.GateAddr = netip.AddrPort{} },
		"foreign-server":    func(r *fleet.HostRecord) { r.Servers[0].Host = "pwani-a-9" },
		"no-server-address": func(r *fleet.HostRecord) { r.Servers[0].Addr = netip.AddrPort{} },
		"server-id":         func(r *fleet.HostRecord) { r.Servers[0].ID = "s\r\nX-Other: 1" },
		"service":           func(r *fleet.HostRecord) { r.Servers[0].Service = "stock\n" },
		"control-zone":      func(r *fleet.HostRecord) { r.Host.ControlAddr = netip.MustParseAddrPort("[fe80::1%a\nb]:9") },
		"any-gate-address":  func(r *fleet.HostRecord) { r.Host.GateAddr = netip.MustParseAddrPort("0.0.0.0:9") },
		"unknown-state":     func(r *fleet.HostRecord) { r.Servers[0].State = 200 },
	}
	for name, change := range odd {
		r := fleet.HostRecord{Host: valid.Host, Servers: slices.Clone(valid.Servers)}
		if name != "of-another-host" {
			r.Host.ID, r.Servers[0].Host = host.ID(name), host.ID(name)
		}
		change(&r)
		value, err := encodeRecord(signer, r)
		if err != nil {
			t.Fatal(err)
		}
		put(zonePrefix("pwani", "pwani-a")+platform.Key(name), value)
	}
	for name, value := range map[string]string{
		"empty": "", "text": "not a record", "deep": strings.Repeat("\x81", 100_000) + "\x00",
		"long": "\x9b\xff\xff\xff\xff\xff\xff\xff\xff", "large-number": "\xa1\x01\x1b\xff\xff\xff\xff\xff\xff\xff\xff",
	} {
		put(zonePrefix("pwani", "pwani-a")+platform.Key(name), []byte(value))
	}
	value, err := encodeRecord(signer, valid)
	if err != nil {
		t.Fatal(err)
	}
	put(recordKey(valid.Host), value)
	d := start(t, table, daemonArgs(t, ca, "pwani-a-1", "pwani-a"))
	t.Cleanup(d.stop)
	var hosts []host.ID
	eventually(t, maxApplyTime, "the host with the valid record is known", func() bool {
		hosts = nil
		err := d.loop.withCore(t.Context(), func(c *fleet.Core) {
			for _, h := range c.Hosts() {
				hosts = append(hosts, h.ID)
			}
		})
		return err == nil && slices.Contains(hosts, "pwani-a-2")
	})
	if got, want := len(hosts), 2; got != want {
		t.Errorf("got hosts %v, want pwani-a-1 and pwani-a-2", hosts)
	}
}
