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

// sections is the document under change: one team and one service per section,
// as operators of several teams edit it.
type benchDocument struct {
	rng      *rand.Rand
	sections []document.Section
}

// newSections returns n sections whose encodings take at least size bytes.
func newBenchDocument(n, size int) (*benchDocument, error) {
	s := &benchDocument{rng: rand.New(rand.NewPCG(1, 2))}
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
			section.Routes = append(section.Routes, s.newRoute(i, len(section.Routes)))
		}
		s.sections = append(s.sections, section)
	}
	return s, nil
}

func teamName(i int) document.TeamName      { return document.TeamName(fmt.Sprintf("team-%d", i)) }
func serviceName(i int) backend.ServiceName { return backend.ServiceName(fmt.Sprintf("service-%d", i)) }

// token returns the operator token of a section's team.
func teamToken(i int) string { return fmt.Sprintf("team-%d-token-0123456789", i) }

// tokens returns the setting operator-tokens for n teams.
func operatorTokens(n int) string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("%s:%s", teamName(i), teamToken(i)))
	}
	return strings.Join(list, ",")
}

// route returns a route with a random name, so that it does not compress away.
func (s *benchDocument) newRoute(section, i int) document.Route {
	word := fmt.Sprintf("%08x", s.rng.Uint32())
	return document.Route{
		Name:       document.RouteName(fmt.Sprintf("route-%d-%d-%s", section, i, word)),
		PathPrefix: fmt.Sprintf("/s%d/%s/%d", section, word, i), Methods: []string{"GET"},
		Service: serviceName(section), Timeout: 2 * time.Second, Retries: 2,
	}
}

// editValue changes one number of a section.
func (s *benchDocument) changeSlots(i int) {
	services := []document.Service{s.sections[i].Services[0]}
	services[0].Slots = services[0].Slots%1000 + 1
	s.sections[i].Services = services
}

// editRoutes replaces a tenth of the routes of a section.
func (s *benchDocument) replaceRoutes(i int) {
	routes := append([]document.Route(nil), s.sections[i].Routes...)
	for range max(1, len(routes)/10) {
		at := s.rng.IntN(len(routes))
		routes[at] = s.newRoute(i, at)
	}
	s.sections[i].Routes = routes
}

// packed returns the compressed size of a section against its previous content.
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
