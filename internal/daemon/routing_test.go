package daemon

import (
	"fmt"
	"testing"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/version"
)

// Verifies that a gate accepts calls to its servers before its daemon has applied a
// version, and that it uses the slots and connections of the retained version.
func TestGateServicesBeforeAnyVersion(t *testing.T) {
	d := document.Document{Sections: []document.Section{{Name: "s", Team: "t", Services: []document.Service{{Name: "stock", Slots: 9, Connections: 130}}}}}
	s, err := version.New(1, "id", 0, d)
	if err != nil {
		t.Fatal(err)
	}
	own := []backend.Server{{Service: "stock", Slots: 4}, {Service: "orders", Slots: 5}, {Service: "prices"}}
	for want, retained := range map[string]version.Snapshot{
		"stock 4 4,orders 5 5,":   {},
		"stock 9 130,orders 5 5,": s,
	} {
		got := ""
		for _, service := range gateServices(retained, own) {
			got += fmt.Sprintf("%s %d %d,", service.Name, service.Slots, service.Connections)
		}
		if got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}
