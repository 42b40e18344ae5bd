package operator

import (
	"cmp"
	"context"
	"slices"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/operator/api"
)

func organisationToAPI(o document.Organisation) api.SectionOrganisation {
	out := api.SectionOrganisation{Name: string(o.Name), KeyDigests: []string{}, Priority: priorityToAPI(o)}
	for _, k := range o.KeyDigests {
		out.KeyDigests = append(out.KeyDigests, k.String())
	}
	if o.Limited() {
		out.RatePerSecond = api.NewOptFloat64(float64(o.RatePerSecond))
	}
	if o.Burst > 0 {
		out.Burst = api.NewOptFloat64(o.Burst)
	}
	return out
}

func priorityToAPI(o document.Organisation) api.OptInt {
	if o.Priority == nil {
		return api.OptInt{}
	}
	return api.NewOptInt(int(*o.Priority))
}

// organisationFromAPI converts an organisation. Its error does not quote a digest, which
// may be a key.
func organisationFromAPI(o api.SectionOrganisation) (document.Organisation, error) {
	out := document.Organisation{Name: document.OrganisationName(o.Name), RatePerSecond: document.Rate(o.RatePerSecond.Or(0)), Burst: o.Burst.Or(0)}
	if p, ok := o.Priority.Get(); ok {
		priority := uint8(p)
		out.Priority = &priority
	}
	for _, text := range o.KeyDigests {
		digest, err := document.ParseKeyDigest(text)
		if err != nil {
			return document.Organisation{}, err
		}
		out.KeyDigests = append(out.KeyDigests, digest)
	}
	return out, nil
}

// ListOrganisations lists the organisations of the newest version without the digests of
// their keys.
func (h *handler) ListOrganisations(ctx context.Context) (*api.ListOrganisationsOK, error) {
	s, err := h.Backend.NewestSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	out := &api.ListOrganisationsOK{Version: uint64(s.Number()), Organisations: []api.OrganisationEntry{}}
	for _, section := range s.Document().Sections {
		for _, o := range section.Organisations {
			out.Organisations = append(out.Organisations, api.OrganisationEntry{
				Section: string(section.Name), Team: string(section.Team), Name: string(o.Name), Keys: len(o.KeyDigests),
				Priority: priorityToAPI(o), RatePerSecond: float64(o.RatePerSecond), Burst: o.Burst,
			})
		}
	}
	slices.SortFunc(out.Organisations, func(a, b api.OrganisationEntry) int { return cmp.Compare(a.Name, b.Name) })
	return out, nil
}
