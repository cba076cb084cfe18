package cmds

import (
	"slices"

	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/bench"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

func newBench() *cobra.Command {
	var deployment, trace, out, previous, record, version string
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
			earlier, err := earlierFigures(previous, seed)
			if err != nil {
				return err
			}
			results := bench.Run(deployments, traces, seed)
			if err := bench.WriteTable(c.OutOrStdout(), earlier, results); err != nil {
				return err
			}
			if record != "" {
				if err := bench.NewFigures(seed, version, results).Write(record); err != nil {
					return err
				}
			}
			if out == "" {
				return nil
			}
			return bench.WriteReport(out, seed, earlier, results)
		},
	}
	c.Flags().StringVar(&deployment, "deployment", "", "name of one deployment; default is both")
	c.Flags().StringVar(&trace, "trace", "", "name of one trace; default is all")
	c.Flags().StringVar(&out, "out", "", "directory for a report in HTML; default is none")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of arrivals, delays and choices")
	c.Flags().StringVar(&previous, "previous", "", "file with the figures of an earlier run; default is the previous version's")
	c.Flags().StringVar(&record, "record", "", "file to write the figures of this run to; default is none")
	c.Flags().StringVar(&version, "record-version", "unnamed", "version that --record names as the origin of the figures")
	return c
}

// earlierFigures returns the figures in the file, or without a file those of the previous version for the seed.
func earlierFigures(file string, seed uint64) (bench.Figures, error) {
	if file == "" {
		return bench.PreviousFigures(seed)
	}
	return bench.ReadFigures(file)
}
