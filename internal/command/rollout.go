package command

import (
	"fmt"

	"github.com/peridotlb/peridotlb/internal/operator/api"
)

// RolloutHeader returns the header of tables of roll-outs.
func RolloutHeader() []string {
	return []string{"SERVICE", "TARGET", "STATE", "STEP", "SHARE", "AGE", "DURATION", "LEADER", "DETAIL"}
}

// RolloutCells returns the cells of a roll-out. The share of one whose calls are stopped
// is 0.
func RolloutCells(r api.Rollout) []any {
	share := r.Share
	if r.Held {
		share = 0
	}
	return []any{r.Service, r.Target, r.State, r.Step, fmt.Sprintf("%.3f", share), r.Age, r.Duration, r.Leader, r.Detail}
}
