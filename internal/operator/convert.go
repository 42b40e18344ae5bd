package operator

import (
	"fmt"
	"time"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// SectionToAPI converts a section for the operator API.
func SectionToAPI(s document.Section) api.Section {
	out := api.Section{Name: string(s.Name), Team: string(s.Team), KeysRequired: api.OptBool{Value: s.KeysRequired, Set: s.KeysRequired}}
	for _, v := range s.Services {
		out.Services = append(out.Services, api.SectionService{
			Name: string(v.Name), Slots: int(v.Slots), Connections: int(v.Connections),
			WarmUp: v.WarmUp.String(), SuspendedHosts: toStrings(v.SuspendedHosts),
		})
	}
	for _, r := range s.Routes {
		out.Routes = append(out.Routes, routeToAPI(r))
	}
	for _, o := range s.Organisations {
		out.Organisations = append(out.Organisations, organisationToAPI(o))
	}
	return out
}

func routeToAPI(r document.Route) api.SectionRoute {
	return api.SectionRoute{
		Name: string(r.Name), PathPrefix: r.PathPrefix, Methods: r.Methods, Service: string(r.Service),
		Timeout: r.Timeout.String(), Retries: int(r.Retries), Paid: r.Paid, Public: api.OptBool{Value: r.Public, Set: r.Public},
	}
}

// SectionFromAPI converts a section of the operator API. Its error is of type
// document.Faults. It only checks the syntax of values; the generated decoder has
// checked the ranges of numbers.
func SectionFromAPI(s api.Section) (document.Section, error) {
	var faults document.Faults
	duration := func(what, name, text string) time.Duration {
		d, err := time.ParseDuration(text)
		if err != nil {
			faults = append(faults, document.Fault{Message: fmt.Sprintf("section %q: %s of %q: %q is not a duration with a unit", s.Name, what, name, text)})
		}
		return d
	}
	out := document.Section{Name: document.SectionName(s.Name), Team: document.TeamName(s.Team), KeysRequired: s.KeysRequired.Or(false)}
	for _, v := range s.Services {
		out.Services = append(out.Services, document.Service{
			Name: backend.ServiceName(v.Name), Slots: uint16(v.Slots), Connections: uint16(v.Connections),
			WarmUp: duration("warm-up", v.Name, v.WarmUp), SuspendedHosts: fromStrings[host.ID](v.SuspendedHosts),
		})
	}
	for _, r := range s.Routes {
		out.Routes = append(out.Routes, document.Route{
			Name: document.RouteName(r.Name), PathPrefix: r.PathPrefix, Methods: fromStrings[string](r.Methods),
			Service: backend.ServiceName(r.Service), Timeout: duration("timeout", r.Name, r.Timeout),
			Retries: uint8(r.Retries), Paid: r.Paid, Public: r.Public.Or(false),
		})
	}
	for _, o := range s.Organisations {
		organisation, err := organisationFromAPI(o)
		if err != nil {
			faults = append(faults, document.Fault{Message: fmt.Sprintf("section %q: organisation %q: %v", s.Name, o.Name, err)})
		}
		out.Organisations = append(out.Organisations, organisation)
	}
	if len(faults) > 0 {
		return document.Section{}, faults
	}
	return out, nil
}

// DocumentFromAPI converts the sections of a document.
func DocumentFromAPI(sections []api.Section) (document.Document, error) {
	var d document.Document
	var faults document.Faults
	for _, s := range sections {
		section, err := SectionFromAPI(s)
		if err != nil {
			faults = append(faults, err.(document.Faults)...)
			continue
		}
		d.Sections = append(d.Sections, section)
	}
	if len(faults) > 0 {
		return document.Document{}, faults
	}
	return d, nil
}

// toStrings converts names to strings. It returns an empty list instead of nil, so
// that required lists are encoded as [].
func toStrings[T ~string](items []T) []string {
	out := make([]string, len(items))
	for i, v := range items {
		out[i] = string(v)
	}
	return out
}

// fromStrings converts strings to names. An empty list becomes nil, as in canonical
// documents.
func fromStrings[T ~string](items []string) []T {
	if len(items) == 0 {
		return nil
	}
	out := make([]T, len(items))
	for i, v := range items {
		out[i] = T(v)
	}
	return out
}

func optString(s string) api.OptString { return api.OptString{Value: s, Set: s != ""} }
