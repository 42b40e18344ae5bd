package daemon

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"

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
		row := host.Row{ID: id, Zone: "pwani-a", Region: "pwani", ControlAddr: netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 9+i))}
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
