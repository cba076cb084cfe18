package cmds

import (
	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/stand/store"
)

func newStandinStore() *cobra.Command {
	var (
		s        standinServer
		settings store.Settings
	)
	c := &cobra.Command{
		Use:   "store",
		Short: "Runs a stand-in of the weight store",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			st := store.New(settings)
			return s.run(c, st.Handler(), st.Close)
		},
	}
	s.addFlags(c)
	c.Flags().Float64Var(&settings.LoadsPerSecond, "loads", 4, "maximum loads started per second; 0 means no limit")
	c.Flags().IntVar(&settings.Slots, "slots", 4, "concurrent loads at full speed")
	c.Flags().IntVar(&settings.AdapterSlots, "adapter-slots", 30, "concurrent adapter loads at full speed")
	return c
}
