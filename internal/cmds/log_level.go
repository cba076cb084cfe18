package cmds

import (
	"net/http"

	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/wire"
)

func newLogLevel() *cobra.Command {
	o := new(operatorClient)
	c := &cobra.Command{
		Use:       "log-level LEVEL",
		Short:     "Changes the log level of a running host",
		ValidArgs: []string{"debug", "info", "warn", "error"},
		Args:      cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var l wire.LogLevel
			if err := o.call(c.Context(), http.MethodPut, "/v1/logLevel", wire.LogLevel{Level: args[0]}, &l); err != nil {
				return err
			}
			return o.print(c.OutOrStdout(), l, [][]any{{"level", l.Level}})
		},
	}
	o.addFlags(c)
	return c
}
