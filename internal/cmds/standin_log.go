package cmds

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/stand/logs"
)

func newStandinLog() *cobra.Command {
	var (
		s   serving
		set logs.Settings
	)
	c := &cobra.Command{
		Use:   "log",
		Short: "Runs the log service",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			l := logs.New(set)
			return s.run(c, l.Handler(), l.Close)
		},
	}
	s.flags(c)
	c.Flags().IntVar(&set.KeepRecords, "keep-records", 0, "records kept in each stream; 0 keeps all")
	c.Flags().DurationVar(&set.KeepFor, "keep-for", 24*time.Hour, "age up to which records are kept; 0 keeps all")
	c.Flags().Float64Var(&set.AppendsPerSecond, "appends", 300, "appends a second; 0 means no limit")
	return c
}
