package cmds

import (
	"net/http"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/wire"
)

func newDecisions() *cobra.Command {
	o := new(operatorClient)
	c := &cobra.Command{
		Use:   "decisions [REQUEST]",
		Short: "Shows why requests were routed or refused at one host",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			path := "/v1/decisions"
			if len(args) == 1 {
				path += "?request=" + url.QueryEscape(args[0])
			}
			var list []wire.Decision
			if err := o.call(c.Context(), http.MethodGet, path, nil, &list); err != nil {
				return err
			}
			rows := [][]any{{"TIME", "REQUEST", "EVENT", "UPSTREAM", "CODE", "REASON"}}
			for _, d := range list {
				rows = append(rows, []any{d.At.Format(time.RFC3339Nano), d.Request, d.Event, d.Upstream, d.Code, d.Reason})
			}
			return o.print(c.OutOrStdout(), list, rows)
		},
	}
	o.addFlags(c)
	return c
}
