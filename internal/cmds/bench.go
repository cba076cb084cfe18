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
		Short: "Runs the decision packages in virtual time and reports their figures",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			deployments := slices.DeleteFunc(bench.Deployments(), func(d bench.Deployment) bool {
				return deployment != "" && d.Name != deployment
			})
			if len(deployments) == 0 {
				return codes.New(codes.BadArgument, "unknown deployment: "+deployment)
			}
			traces, err := bench.Traces()
			if err != nil {
				return err
			}
			traces = slices.DeleteFunc(traces, func(t *bench.Trace) bool { return trace != "" && t.Name != trace })
			if len(traces) == 0 {
				return codes.New(codes.BadArgument, "unknown trace: "+trace)
			}
			previousFigures, err := readPreviousFigures(previous, seed)
			if err != nil {
				return err
			}
			results := bench.Run(deployments, traces, seed)
			if err := bench.WriteTable(c.OutOrStdout(), previousFigures, results); err != nil {
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
			return bench.WriteReport(out, seed, previousFigures, results)
		},
	}
	c.Flags().StringVar(&deployment, "deployment", "", "name of one deployment (default all)")
	c.Flags().StringVar(&trace, "trace", "", "name of one trace (default all)")
	c.Flags().StringVar(&out, "out", "", "directory to write an HTML report to (default none)")
	c.Flags().Uint64Var(&seed, "seed", 1, "random seed for arrivals, delays and choices")
	c.Flags().StringVar(&previous, "previous", "", "file with the figures of an earlier run to compare with (default those of the previous version)")
	c.Flags().StringVar(&record, "record", "", "file to write the figures of this run to (default none)")
	c.Flags().StringVar(&version, "record-version", "unnamed", "version to store with the figures that --record writes")
	return c
}

// readPreviousFigures reads the figures to compare with from the file. Without a file it returns those of the previous version
// for the seed.
func readPreviousFigures(file string, seed uint64) (bench.Figures, error) {
	if file == "" {
		return bench.PreviousFigures(seed)
	}
	return bench.ReadFigures(file)
}
