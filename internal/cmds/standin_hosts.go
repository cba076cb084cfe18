package cmds

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/stand/hosts"
)

func newStandinHosts() *cobra.Command {
	var (
		s        standinServer
		settings hosts.Settings
	)
	c := &cobra.Command{
		Use:   "hosts",
		Short: "Runs a stand-in of the host list",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			l := hosts.New(settings)
			return s.run(c, l.Handler(), l.Close)
		},
	}
	s.addFlags(c)
	c.Flags().DurationVar(&settings.Lag, "lag", 5*time.Second, "age of the state that the list shows")
	return c
}
