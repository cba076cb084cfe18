package cmds

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/setup"
)

func newConfig() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Checks settings files"}
	c.AddCommand(&cobra.Command{
		Use:   "check FILE...",
		Short: "Reports all errors in settings files without starting a daemon",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			var all []setup.Problem
			for _, f := range files {
				_, problems := setup.Read(f)
				all = append(all, problems...)
				if len(problems) == 0 {
					fmt.Fprintf(c.OutOrStdout(), "%s: ok\n", f)
				}
			}
			return setup.AsError(all)
		},
	})
	return c
}
