package cmds

import (
	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/stand/store"
)

func newStandinStore() *cobra.Command {
	var (
		s   serving
		set store.Settings
	)
	c := &cobra.Command{
		Use:   "store",
		Short: "Runs the weight store",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			st := store.New(set)
			return s.run(c, st.Handler(), st.Close)
		},
	}
	s.flags(c)
	c.Flags().Float64Var(&set.LoadsPerSecond, "loads", 4, "loads started a second; 0 means no limit")
	c.Flags().IntVar(&set.Slots, "slots", 4, "loads at once at full speed")
	c.Flags().IntVar(&set.AdapterSlots, "adapter-slots", 30, "adapter loads at once at full speed")
	return c
}
