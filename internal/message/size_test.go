package message

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/timeline"
)

// fullFleet returns the rows of the given number of hosts in 7 zones. Each host has
// one backend server of one of 57 services.
func fullFleet(hosts int) RowUpdate {
	var n RowUpdate
	for i := range hosts {
		zone, region := host.AvailabilityZone(fmt.Sprintf("pwani-%c", 'a'+i%7)), host.Region("pwani")
		if i%7 > 3 {
			zone, region = host.AvailabilityZone(fmt.Sprintf("kaskazini-%c", 'a'+i%7)), "kaskazini"
		}
		id := host.ID(fmt.Sprintf("%s-%d", zone, i/7))
		ip := netip.AddrFrom4([4]byte{10, byte(i % 7), byte(i / 7 >> 8), byte(i / 7)})
		stamp := host.Stamp{Incarnation: host.Incarnation(1_790_000_000_000 + uint64(i)*2654435761%86_400_000), Sequence: host.Sequence(i % 40)}
		n.Hosts = append(n.Hosts, host.Row{
			ID: id, Zone: zone, Region: region, ControlAddr: netip.AddrPortFrom(ip, 7000),
			GateAddr: netip.AddrPortFrom(ip, 7001), Stamp: stamp,
		})
		service := backend.ServiceName(fmt.Sprintf("service-%02d", i%57))
		n.Servers = append(n.Servers, backend.Server{
			ID: backend.ServerID(fmt.Sprintf("%s-%s", service, id)), Service: service, Host: id,
			Addr: netip.AddrPortFrom(ip, 8000), Slots: 9, State: backend.Ready, Stamp: stamp,
		})
	}
	return n
}

// BenchmarkSizes reports the encoded size of typical messages.
func BenchmarkSizes(b *testing.B) {
	all := fullFleet(1200)
	head := StateSummary{Known: 900, Held: 900, RowsHash: 1 << 63}
	for name, m := range map[string]Message{
		"join-answer-150":  JoinAnswer{Rows: fullFleet(150), Summary: head},
		"join-answer-600":  JoinAnswer{Rows: fullFleet(600), Summary: head},
		"join-answer-1200": JoinAnswer{Rows: all, Summary: head},
		"news-host":        RowUpdate{Hosts: all.Hosts[:1]},
		"news-server":      RowUpdate{Servers: all.Servers[:1]},
		"sync-zone":        Sync{Rows: RowUpdate{Hosts: all.Hosts[:170], Servers: all.Servers[:170]}},
		"announce":         Announce{Number: 70000},
		"fetch":            Fetch{Number: 70000, Base: 69999},
		"report":           Report{Zone: "pwani-a", Counts: []Count{{Number: 70000, Hosts: 170}}},
		"probe":            Probe{Nonce: 1<<62 + 12345, RowStamp: all.Hosts[0].Stamp, Summary: StateSummary{Known: 70000, Held: 70000, RowsHash: 1 << 60}},
	} {
		data, _ := Codec{}.EncodeStamped(m, timeline.Stamp{WallMS: 1_790_000_000_000, Counter: 3})
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				_, _ = Encode(m)
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}
