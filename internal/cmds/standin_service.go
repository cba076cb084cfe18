package cmds

import (
	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/stand/plain"
)

func newStandinService() *cobra.Command {
	var (
		s        standinServer
		settings plain.Settings
	)
	c := &cobra.Command{
		Use:   "service",
		Short: "Runs a stand-in of a plain service",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			p := plain.New(settings)
			return s.run(c, p.Handler(), p.Close)
		},
	}
	s.addFlags(c)
	c.Flags().DurationVar(&settings.Delay, "delay", 0, "duration of a call")
	return c
}
