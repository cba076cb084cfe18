package node

import (
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
)

// countTeamRequest counts the end of a request by its team. Teams that the configuration no longer contains are not counted, so that the
// number of metrics is limited.
func (n *Node) countTeamRequest(team string, c codes.Code) {
	if cfg := n.config.Load(); cfg != nil {
		if _, ok := cfg.Teams()[team]; ok {
			n.metrics.TeamRequest(team, c)
		}
	}
}

// forgetTeams drops the metrics of teams that a new configuration no longer contains.
func (n *Node) forgetTeams(before, after *fleet.Config) {
	if before == nil {
		return
	}
	for name := range before.Teams() {
		if _, ok := after.Teams()[name]; !ok {
			n.metrics.ForgetTeam(name)
		}
	}
}
