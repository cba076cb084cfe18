package cmds

import (
	"slices"

	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/bench"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

func newBench() *cobra.Command {
	var deployment, trace, out string
	var seed uint64
	c := &cobra.Command{
		Use:   "bench",
		Short: "Measures the decision packages in virtual time",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			deployments := slices.DeleteFunc(bench.Deployments(), func(d bench.Deployment) bool {
				return deployment != "" && d.Name != deployment
			})
			if len(deployments) == 0 {
				return codes.New(codes.BadArgument, "deployment is unknown: "+deployment)
			}
			traces, err := bench.Traces()
			if err != nil {
				return err
			}
			traces = slices.DeleteFunc(traces, func(t *bench.Trace) bool { return trace != "" && t.Name != trace })
			if len(traces) == 0 {
				return codes.New(codes.BadArgument, "trace is unknown: "+trace)
			}
			results := bench.Run(deployments, traces, seed)
			if err := bench.WriteTable(c.OutOrStdout(), results); err != nil || out == "" {
				return err
			}
			return bench.WriteReport(out, seed, results)
		},
	}
	c.Flags().StringVar(&deployment, "deployment", "", "name of one deployment; default is both")
	c.Flags().StringVar(&trace, "trace", "", "name of one trace; default is all")
	c.Flags().StringVar(&out, "out", "", "directory for a report in HTML; default is none")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of arrivals, delays and choices")
	return c
}
