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
	o := new(operatorClient)
	c := &cobra.Command{Use: "team", Short: "Sets, shows and deletes teams, and generates API keys"}
	o.addFlags(c)
	c.AddCommand(newTeamSet(o), newTeamShow(o), newTeamDelete(o), newTeamKey(o))
	return c
}

func newTeamSet(o *operatorClient) *cobra.Command {
	var change changeFlags
	c := &cobra.Command{
		Use:   "set FILE",
		Short: "Sets the parameters of a team from a TOML file",
		Long: "Sets the parameters of a team from a TOML file. The change is accepted only if the team is still at the offset " +
			"--base; without --base the current offset is used.",
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
			base, err := change.baseOffset(func() (int64, error) { return teamOffset(c, o, t.Name) })
			if err != nil {
				return err
			}
			return change.send(c, o, http.MethodPut, "/v1/teams/"+t.Name, wire.TeamChange{ChangeID: change.id, Base: base, Team: t})
		},
	}
	change.addFlags(c)
	return c
}

func newTeamDelete(o *operatorClient) *cobra.Command {
	var change changeFlags
	c := &cobra.Command{
		Use:   "delete NAME",
		Short: "Deletes a team",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			base, err := change.deletionBase("team "+args[0], func() (int64, error) { return teamOffset(c, o, args[0]) })
			if err != nil {
				return err
			}
			return change.send(c, o, http.MethodDelete, change.deletionPath("/v1/teams/", args[0], base), nil)
		},
	}
	change.addFlags(c)
	return c
}

func newTeamShow(o *operatorClient) *cobra.Command {
	return &cobra.Command{
		Use:   "show [NAME]",
		Short: "Shows teams and the offsets at which they were set",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			list, err := listTeams(c, o)
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

// newTeamKey generates an API key. The configuration holds only the digest, so the key itself is shown once.
func newTeamKey(o *operatorClient) *cobra.Command {
	type apiKey struct {
		Key    string `json:"key"`
		Digest string `json:"digest"`
	}
	return &cobra.Command{
		Use:   "key",
		Short: "Generates an API key and the digest to add to a team's keyDigests",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			key := "ff-" + rand.Text()
			digest := sha256.Sum256([]byte(key))
			k := apiKey{key, hex.EncodeToString(digest[:])}
			return o.print(c.OutOrStdout(), k, [][]any{{"key", k.Key}, {"digest", k.Digest}})
		},
	}
}

func listTeams(c *cobra.Command, o *operatorClient) ([]wire.TeamState, error) {
	var list []wire.TeamState
	err := o.call(c.Context(), http.MethodGet, "/v1/teams", nil, &list)
	return list, err
}

// teamOffset returns the offset at which the team was last set, or 0 if the team does not exist.
func teamOffset(c *cobra.Command, o *operatorClient, name string) (int64, error) {
	list, err := listTeams(c, o)
	for _, t := range list {
		if t.Team.Name == name {
			return t.Offset, nil
		}
	}
	return 0, err
}
