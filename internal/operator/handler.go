package operator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/peridotlb/peridotlb/internal/backend"
	"github.com/peridotlb/peridotlb/internal/change"
	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/host"
	"github.com/peridotlb/peridotlb/internal/operator/api"
	"github.com/peridotlb/peridotlb/internal/submission"
	"github.com/peridotlb/peridotlb/internal/version"
)

// handler implements api.Handler.
type handler struct{ Config }

var _ api.Handler = (*handler)(nil)

func (h *handler) Ping(ctx context.Context) (*api.Pong, error) {
	return &api.Pong{
		Release: h.Release, Host: string(h.Host.ID), Zone: string(h.Host.Zone), Region: string(h.Host.Region),
		Team: string(teamFromContext(ctx)),
	}, nil
}

func (h *handler) SubmitDocument(ctx context.Context, req *api.Submission) (api.SubmitDocumentRes, error) {
	ctx, cancel := context.WithTimeout(ctx, h.SubmitTimeout)
	defer cancel()
	team := teamFromContext(ctx)
	s, err := h.submissionFromAPI(ctx, team, req)
	var faults document.Faults
	if errors.As(err, &faults) {
		return refusalToAPI(submission.Refused{Reason: "submission is not valid", Faults: faults}), nil
	}
	if err != nil {
		return nil, err
	}
	log := h.Log.With(zap.String("submission", req.ID), zap.String("team", string(team)))
	switch o := h.Backend.Submit(ctx, s).(type) {
	case submission.Accepted:
		log.Info("Accepted a submission.", zap.Uint64("version", uint64(o.Snapshot.Number())))
		return &api.Accepted{Version: uint64(o.Snapshot.Number())}, nil
	case submission.Refused:
		log.Info("Refused a submission.", zap.String("reason", o.Reason))
		return refusalToAPI(o), nil
	case submission.Unknown:
		log.Warn("The outcome of a submission is unknown.", zap.Error(o.Err))
		return &api.Unknown{Error: h.unknownOutcomeText(o.Err), Hint: "repeat the submission with the same id to learn the outcome"}, nil
	default:
		return nil, fmt.Errorf("unexpected outcome %T", o)
	}
}

// unknownOutcomeText returns the error text for a submission with an unknown
// outcome: what failed and, if the submission would have been refused, why.
func (h *handler) unknownOutcomeText(err error) string {
	text := fmt.Sprintf("the submission was neither accepted nor refused within %v", h.SubmitTimeout)
	var failed *PlatformError
	if errors.As(err, &failed) {
		text = fmt.Sprintf("the platform's %s gave no usable answer within %v", failed.Component, h.SubmitTimeout)
	}
	var refused submission.Refused
	if errors.As(err, &refused) {
		text += "; a refusal could not be recorded: " + refused.Error()
	}
	return text
}

// submissionFromAPI converts a request. The error may be document.Faults.
func (h *handler) submissionFromAPI(ctx context.Context, team document.TeamName, req *api.Submission) (submission.Submission, error) {
	s := submission.Submission{ID: version.SubmissionID(req.ID), Team: team, Base: version.Number(req.Base)}
	text, ok := req.Document.Get()
	if !ok {
		d, err := DocumentFromAPI(req.Changed)
		s.Changed, s.Removed = d.Sections, fromStrings[document.SectionName](req.Removed)
		return s, err
	}
	if len(req.Changed)+len(req.Removed) > 0 {
		return s, apiError{http.StatusBadRequest, "submission has both a document and sections", "send either the whole document, or changed and removed sections"}
	}
	edited, err := document.Parse("document", []byte(text))
	if err != nil {
		return s, err
	}
	base, err := h.version(ctx, s.Base)
	if err != nil {
		return s, err
	}
	diff, err := change.Between(base.Document(), edited)
	s.Changed, s.Removed = diff.Changed, diff.Removed
	return s, err
}

// version returns a version. Version zero is empty.
func (h *handler) version(ctx context.Context, n version.Number) (version.Snapshot, error) {
	if n == 0 {
		return version.Snapshot{}, nil
	}
	s, err := h.Backend.Version(ctx, n)
	if err != nil {
		return s, fmt.Errorf("version %d: %w", n, err)
	}
	return s, nil
}

func refusalToAPI(r submission.Refused) *api.Refused {
	out := &api.Refused{Reason: r.Reason, Faults: []api.Fault{}, Conflicts: []api.Conflict{}, Hint: "correct the faults and submit again with a new id"}
	for _, f := range r.Faults {
		fault := api.Fault{Message: f.Message}
		if f.Line > 0 {
			fault.File, fault.Line, fault.Column = optString(f.File), api.NewOptInt(f.Line), api.NewOptInt(f.Column)
		}
		out.Faults = append(out.Faults, fault)
	}
	for _, c := range r.Conflicts {
		out.Conflicts = append(out.Conflicts, api.Conflict{Section: string(c.Section), Base: uint64(c.Base), Head: uint64(c.Head)})
	}
	if len(out.Conflicts) > 0 {
		out.Hint = "apply your change to the current version of the sections and submit again with a new id"
	}
	return out
}

func (h *handler) GetDocument(ctx context.Context) (*api.Document, error) {
	s, err := h.Backend.NewestSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	return documentToAPI(s)
}

func (h *handler) GetVersion(ctx context.Context, params api.GetVersionParams) (*api.Document, error) {
	s, err := h.version(ctx, version.Number(params.Number))
	if err != nil {
		return nil, err
	}
	return documentToAPI(s)
}

func documentToAPI(s version.Snapshot) (*api.Document, error) {
	text, err := document.Format(s.Document())
	if err != nil {
		return nil, fmt.Errorf("version %d: %w", s.Number(), err)
	}
	m := s.Manifest()
	out := &api.Document{Version: uint64(m.Number), Submission: optString(string(m.Submission)), Yaml: string(text), Sections: []api.Section{}}
	if m.Number > 0 {
		out.AcceptedAt = api.NewOptDateTime(time.UnixMilli(m.AcceptedMS).UTC())
	}
	for _, section := range s.Document().Sections {
		out.Sections = append(out.Sections, SectionToAPI(section))
	}
	return out, nil
}

func (h *handler) ListVersions(ctx context.Context, params api.ListVersionsParams) (*api.ListVersionsOK, error) {
	limit := params.Limit.Or(20)
	// One more than requested, to compare the oldest with its predecessor.
	manifests, err := h.Backend.History(ctx, version.Number(params.Before.Or(0)), limit+1)
	if err != nil {
		return nil, err
	}
	out := &api.ListVersionsOK{Versions: []api.Version{}}
	for i, m := range manifests[:min(limit, len(manifests))] {
		var predecessor version.Manifest
		if i+1 < len(manifests) {
			predecessor = manifests[i+1]
		}
		changed, removed := diffManifests(predecessor, m)
		out.Versions = append(out.Versions, api.Version{
			Number: uint64(m.Number), Submission: string(m.Submission), AcceptedAt: time.UnixMilli(m.AcceptedMS).UTC(),
			Changed: toStrings(changed), Removed: toStrings(removed),
		})
	}
	return out, nil
}

// diffManifests returns the sections that were changed or removed from one manifest
// to another.
func diffManifests(from, to version.Manifest) (changed, removed []document.SectionName) {
	digests := map[document.SectionName]version.Digest{}
	for _, ref := range from.Sections {
		digests[ref.Name] = ref.Digest
	}
	for _, ref := range to.Sections {
		if digests[ref.Name] != ref.Digest {
			changed = append(changed, ref.Name)
		}
		delete(digests, ref.Name)
	}
	for name := range digests {
		removed = append(removed, name)
	}
	slices.Sort(removed)
	return changed, removed
}

func (h *handler) ListSections(ctx context.Context) (*api.ListSectionsOK, error) {
	s, err := h.Backend.NewestSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	refs := map[document.SectionName]version.SectionRef{}
	for _, ref := range s.Manifest().Sections {
		refs[ref.Name] = ref
	}
	out := &api.ListSectionsOK{Version: uint64(s.Number()), Sections: []api.SectionSummary{}}
	for _, section := range s.Document().Sections {
		ref := refs[section.Name]
		out.Sections = append(out.Sections, api.SectionSummary{
			Name: string(section.Name), Team: string(section.Team), Digest: ref.Digest.String(), Bytes: int(ref.Size),
			Services: len(section.Services), Routes: len(section.Routes),
		})
	}
	return out, nil
}

func (h *handler) GetSection(ctx context.Context, params api.GetSectionParams) (*api.GetSectionOK, error) {
	s, err := h.Backend.NewestSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	for _, section := range s.Document().Sections {
		if string(section.Name) != params.Name {
			continue
		}
		text, err := document.Format(document.Document{Sections: []document.Section{section}})
		if err != nil {
			return nil, fmt.Errorf("section %q: %w", section.Name, err)
		}
		return &api.GetSectionOK{Version: uint64(s.Number()), Section: SectionToAPI(section), Yaml: string(text)}, nil
	}
	return nil, apiError{http.StatusNotFound, fmt.Sprintf("version %d has no section %q", s.Number(), params.Name), "list sections with GET /v1/sections"}
}

func (h *handler) GetStatus(ctx context.Context) (*api.Status, error) {
	s, err := h.Backend.Status(ctx)
	if err != nil {
		return nil, err
	}
	out := &api.Status{Head: uint64(s.Head), Unreadable: s.Unreadable, Zones: []api.ZoneStatus{}, Traffic: api.Traffic(s.Traffic)}
	for _, z := range s.Zones {
		zone := api.ZoneStatus{
			Zone: string(z.Name), Region: string(z.Region), Hosts: z.Hosts,
			Applied: []api.AppliedCount{}, Stragglers: toStrings(z.Stragglers), Unreachable: z.Unreachable,
		}
		for n, hosts := range z.Applied {
			zone.Applied = append(zone.Applied, api.AppliedCount{Version: uint64(n), Hosts: hosts})
		}
		slices.SortFunc(zone.Applied, func(a, b api.AppliedCount) int { return cmp.Compare(b.Version, a.Version) })
		out.Zones = append(out.Zones, zone)
	}
	slices.SortFunc(out.Zones, func(a, b api.ZoneStatus) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone))
	})
	return out, nil
}

func (h *handler) ListServers(ctx context.Context, params api.ListServersParams) (*api.ListServersOK, error) {
	servers, err := h.Backend.Servers(ctx)
	if err != nil {
		return nil, err
	}
	service, filtered := params.Service.Get()
	out := &api.ListServersOK{Servers: []api.BackendServer{}}
	for _, s := range servers {
		if filtered && string(s.Service) != service {
			continue
		}
		out.Servers = append(out.Servers, api.BackendServer{
			ID: string(s.ID), Service: string(s.Service), Host: string(s.Host), Zone: string(s.Zone), Region: string(s.Region),
			Address: s.Addr.String(), Slots: int(s.Slots), State: api.ServerState(s.State.String()),
			HostState: api.HostState(s.HostState.String()),
		})
	}
	slices.SortFunc(out.Servers, func(a, b api.BackendServer) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return out, nil
}

func (h *handler) ListRoutes(ctx context.Context) (*api.ListRoutesOK, error) {
	s, err := h.Backend.NewestSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	out := &api.ListRoutesOK{Version: uint64(s.Number()), Routes: []api.RouteEntry{}}
	for _, section := range s.Document().Sections {
		for _, r := range section.Routes {
			out.Routes = append(out.Routes, api.RouteEntry{Section: string(section.Name), Team: string(section.Team), Route: routeToAPI(r)})
		}
	}
	slices.SortFunc(out.Routes, func(a, b api.RouteEntry) int {
		return cmp.Or(cmp.Compare(a.Route.PathPrefix, b.Route.PathPrefix), cmp.Compare(a.Route.Name, b.Route.Name))
	})
	return out, nil
}

func (h *handler) QueryTimeline(ctx context.Context, p api.QueryTimelineParams) (*api.Timeline, error) {
	t, err := h.Backend.Timeline(ctx, Query{
		Kind: p.Kind.Or(""), Version: version.Number(p.Version.Or(0)), Server: backend.ServerID(p.Server.Or("")),
		CallID: p.CallID.Or(""), Zone: host.AvailabilityZone(p.Zone.Or("")), Since: p.Since.Or(time.Time{}),
		Limit: p.Limit.Or(1000),
	})
	if err != nil {
		return nil, err
	}
	out := &api.Timeline{Events: []api.Event{}, Unanswered: toStrings(t.Unanswered), Overflowed: toStrings(t.Overflowed)}
	for _, e := range t.Events {
		event := api.Event{
			Time: e.Time.UTC(), Counter: e.Counter, Kind: e.Kind, Host: string(e.Host), Zone: string(e.Zone), Region: optString(string(e.Region)),
			SubjectHost: optString(string(e.Subject)), Server: optString(string(e.Server)), CallID: optString(e.CallID), Detail: optString(e.Detail),
		}
		if e.Version > 0 {
			event.Version = api.NewOptUint64(uint64(e.Version))
		}
		out.Events = append(out.Events, event)
	}
	return out, nil
}
