package mesh

import (
	"context"
	"errors"
	"fmt"

	"github.com/peridotlb/peridotlb/internal/document"
	"github.com/peridotlb/peridotlb/internal/operator"
	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// TokenByTeam holds the operator tokens of the teams in the example document.
var TokenByTeam = map[document.TeamName]string{
	"order-team": "order-team-token-0001",
	"price-team": "price-team-token-0001",
	"stock-team": "stock-team-token-0001",
}

// TeamTokens returns the value of the setting operator-tokens.
func TeamTokens() string {
	return "order-team:" + TokenByTeam["order-team"] + ",price-team:" + TokenByTeam["price-team"] + ",stock-team:" + TokenByTeam["stock-team"]
}

// ErrRefused is returned when a submission was refused.
var ErrRefused = errors.New("submission refused")

// Submit submits the sections of a team to the host's daemon.
func (h *Host) Submit(ctx context.Context, team document.TeamName, id string, base uint64, d document.Document) (uint64, error) {
	client, err := h.Operator(TokenByTeam[team])
	if err != nil {
		return 0, fmt.Errorf("create operator client: %w", err)
	}
	s := &api.Submission{ID: id, Base: base}
	for _, section := range d.Sections {
		if section.Team == team {
			s.Changed = append(s.Changed, operator.SectionToAPI(section))
		}
	}
	return submit(ctx, client, s)
}

func submit(ctx context.Context, client *api.Client, s *api.Submission) (uint64, error) {
	result, err := client.SubmitDocument(ctx, s)
	if err != nil {
		return 0, fmt.Errorf("submit: %w", err)
	}
	switch r := result.(type) {
	case *api.Accepted:
		return r.Version, nil
	case *api.Refused:
		return 0, fmt.Errorf("%w: %s: %+v", ErrRefused, r.Reason, r.Faults)
	default:
		return 0, fmt.Errorf("outcome of submission %s is unknown: %+v", s.ID, result)
	}
}

// SubmitAll submits the sections of every team in one submission per team, and
// returns the newest version.
func (m *Mesh) SubmitAll(ctx context.Context, d document.Document) (uint64, error) {
	var last uint64
	for i, team := range []document.TeamName{"order-team", "price-team", "stock-team"} {
		v, err := m.Hosts[i%len(m.Hosts)].Submit(ctx, team, fmt.Sprintf("first-%s", team), last, d)
		if err != nil {
			return 0, fmt.Errorf("submit sections of %s: %w", team, err)
		}
		last = max(last, v)
	}
	return last, nil
}

// ReadToken returns a token that allows all read operations.
func ReadToken() string { return TokenByTeam["stock-team"] }
