package cmds

import (
	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/stand/plain"
)

func newStandinService() *cobra.Command {
	var (
		s   serving
		set plain.Settings
	)
	c := &cobra.Command{
		Use:   "service",
		Short: "Runs a plain service",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			p := plain.New(set)
			return s.run(c, p.Handler(), p.Close)
		},
	}
	s.flags(c)
	c.Flags().DurationVar(&set.Delay, "delay", 0, "time that a call takes")
	return c
}
