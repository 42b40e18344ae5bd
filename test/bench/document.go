package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/message"
)

// benchDocument is the document that the benchmark changes. Each section has its
// own team and service, like a document that several teams edit.
type benchDocument struct {
	rng      *rand.Rand
	sections []document.Section
}

// newBenchDocument returns a document of n sections, each at least size bytes long
// in its canonical encoding.
func newBenchDocument(n, size int) (*benchDocument, error) {
	d := &benchDocument{rng: rand.New(rand.NewPCG(1, 2))}
	for i := range n {
		section := document.Section{
			Name: document.SectionName(fmt.Sprintf("section-%d", i)), Team: teamName(i),
			Services: []document.Service{{
				Name: serviceName(i), Slots: 9, Connections: 130, WarmUp: 10 * time.Second,
			}},
		}
		for {
			blob, err := document.EncodeSection(section)
			if err != nil {
				return nil, fmt.Errorf("encode section: %w", err)
			}
			if len(blob) >= size {
				break
			}
			section.Routes = append(section.Routes, d.newRoute(i, len(section.Routes)))
		}
		d.sections = append(d.sections, section)
	}
	return d, nil
}

func teamName(i int) document.TeamName      { return document.TeamName(fmt.Sprintf("team-%d", i)) }
func serviceName(i int) backend.ServiceName { return backend.ServiceName(fmt.Sprintf("service-%d", i)) }

// teamToken returns the operator token of a section's team.
func teamToken(i int) string { return fmt.Sprintf("team-%d-token-0123456789", i) }

// operatorTokens returns the value of the setting operator-tokens for n teams.
func operatorTokens(n int) string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("%s:%s", teamName(i), teamToken(i)))
	}
	return strings.Join(list, ",")
}

// newRoute returns a route with a random name, so that routes do not compress to
// almost nothing.
func (d *benchDocument) newRoute(section, i int) document.Route {
	word := fmt.Sprintf("%08x", d.rng.Uint32())
	return document.Route{
		Name:       document.RouteName(fmt.Sprintf("route-%d-%d-%s", section, i, word)),
		PathPrefix: fmt.Sprintf("/s%d/%s/%d", section, word, i), Methods: []string{"GET"},
		Service: serviceName(section), Timeout: 2 * time.Second, Retries: 2,
	}
}

// changeSlots changes a single number of a section.
func (d *benchDocument) changeSlots(i int) {
	services := []document.Service{d.sections[i].Services[0]}
	services[0].Slots = services[0].Slots%1000 + 1
	d.sections[i].Services = services
}

// replaceRoutes replaces a tenth of the routes of a section.
func (d *benchDocument) replaceRoutes(i int) {
	routes := append([]document.Route(nil), d.sections[i].Routes...)
	for range max(1, len(routes)/10) {
		at := d.rng.IntN(len(routes))
		routes[at] = d.newRoute(i, at)
	}
	d.sections[i].Routes = routes
}

// compressedDeltaSize returns the size of a section that is compressed with its
// previous content as the base.
func compressedDeltaSize(previous, next document.Section) (int, error) {
	base, err := document.EncodeSection(previous)
	if err != nil {
		return 0, fmt.Errorf("encode section: %w", err)
	}
	blob, err := document.EncodeSection(next)
	if err != nil {
		return 0, fmt.Errorf("encode section: %w", err)
	}
	frame, err := message.Compress(blob, base)
	if err != nil {
		return 0, fmt.Errorf("compress section: %w", err)
	}
	return len(frame), nil
}
