package cmds

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/stand/logs"
)

func newStandinLog() *cobra.Command {
	var (
		s        standinServer
		settings logs.Settings
	)
	c := &cobra.Command{
		Use:   "log",
		Short: "Runs a stand-in of the log service",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			l := logs.New(settings)
			return s.run(c, l.Handler(), l.Close)
		},
	}
	s.addFlags(c)
	c.Flags().IntVar(&settings.KeepRecords, "keep-records", 0, "number of records kept in each stream; 0 keeps all")
	c.Flags().DurationVar(&settings.KeepFor, "keep-for", 24*time.Hour, "time for which records are kept; 0 keeps all")
	c.Flags().Float64Var(&settings.AppendsPerSecond, "appends", 300, "maximum appends per second; 0 means no limit")
	return c
}
