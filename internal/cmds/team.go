package cmds

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/front"
	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

func newTeam() *cobra.Command {
	o := new(operator)
	c := &cobra.Command{Use: "team", Short: "Sets and shows the parameters of teams"}
	o.flags(c)
	c.AddCommand(newTeamSet(o), newTeamShow(o), newTeamDelete(o), newTeamKey(o))
	return c
}

func newTeamSet(o *operator) *cobra.Command {
	var edit change
	c := &cobra.Command{
		Use:   "set FILE",
		Short: "Sets the parameters in a TOML file",
		Long: "Sets the parameters of the team in a TOML file. The change is accepted only if the team is still at the offset " +
			"--base; without --base the present offset is used.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			t, err := readTeam(args[0])
			if err != nil {
				return err
			}
			if err := front.CheckName("name", t.Name); err != nil {
				return err
			}
			if err := t.Check(); err != nil {
				return err
			}
			base, err := edit.baseOr(func() (int64, error) { return teamOffset(c, o, t.Name) })
			if err != nil {
				return err
			}
			return edit.send(c, o, http.MethodPut, "/v1/teams/"+t.Name, wire.TeamChange{ChangeID: edit.id, Base: base, Team: t})
		},
	}
	edit.flags(c)
	return c
}

func newTeamDelete(o *operator) *cobra.Command {
	var edit change
	c := &cobra.Command{
		Use:   "delete NAME",
		Short: "Deletes a team",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			base, err := edit.baseOf("team "+args[0], func() (int64, error) { return teamOffset(c, o, args[0]) })
			if err != nil {
				return err
			}
			return edit.send(c, o, http.MethodDelete, edit.deletion("/v1/teams/", args[0], base), nil)
		},
	}
	edit.flags(c)
	return c
}

func newTeamShow(o *operator) *cobra.Command {
	return &cobra.Command{
		Use:   "show [NAME]",
		Short: "Shows teams and the offsets at which they were set",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			list, err := teams(c, o)
			if err != nil {
				return err
			}
			if len(args) == 1 {
				list = slices.DeleteFunc(list, func(t wire.TeamState) bool { return t.Team.Name != args[0] })
				if len(list) == 0 {
					return codes.New(codes.NotFound, "team "+args[0])
				}
			}
			rows := [][]any{{"NAME", "OFFSET", "MODELS", "SERVICES", "URGENCY", "MAX IN FLIGHT"}}
			for _, t := range list {
				rows = append(rows, []any{
					t.Team.Name, t.Offset, strings.Join(t.Team.Models, ","), strings.Join(t.Team.Services, ","), t.Team.Urgency,
					t.Team.MaxInFlight,
				})
			}
			return o.print(c.OutOrStdout(), list, rows)
		},
	}
}

// newTeamKey makes an API key. Only its digest is part of the configuration, so the key itself is shown once.
func newTeamKey(o *operator) *cobra.Command {
	type made struct {
		Key    string `json:"key"`
		Digest string `json:"digest"`
	}
	return &cobra.Command{
		Use:   "key",
		Short: "Makes an API key and the digest to put into a team's keyDigests",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			key := "ff-" + rand.Text()
			digest := sha256.Sum256([]byte(key))
			m := made{key, hex.EncodeToString(digest[:])}
			return o.print(c.OutOrStdout(), m, [][]any{{"key", m.Key}, {"digest", m.Digest}})
		},
	}
}

func teams(c *cobra.Command, o *operator) ([]wire.TeamState, error) {
	var list []wire.TeamState
	err := o.call(c.Context(), http.MethodGet, "/v1/teams", nil, &list)
	return list, err
}

func teamOffset(c *cobra.Command, o *operator, name string) (int64, error) {
	list, err := teams(c, o)
	for _, t := range list {
		if t.Team.Name == name {
			return t.Offset, nil
		}
	}
	return 0, err
}
