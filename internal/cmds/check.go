package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/conns"
	"github.com/fireflycleat/fireflycleat/internal/node"
	"github.com/fireflycleat/fireflycleat/pkg/audit"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
	"github.com/fireflycleat/fireflycleat/pkg/fleet"
	plat "github.com/fireflycleat/fireflycleat/platform"
)

// storeReadTimeout limits the read of the configuration in force.
const storeReadTimeout = 10 * time.Second

// checkResult is the output of the check command.
type checkResult struct {
	Version  int64           `json:"version"`
	InForce  int64           `json:"inForce,omitempty"` // version of the configuration that was compared
	Findings []audit.Finding `json:"findings"`
	Changes  []audit.Change  `json:"changes"`
}

func newCheck() *cobra.Command {
	var inForce, store string
	var asJSON bool
	c := &cobra.Command{
		Use:   "check FILE",
		Short: "Checks an operator's configuration before it is published",
		Long: "Checks an operator's configuration, a JSON file in the platform's format, as hosts do when they apply it. It reports entries that " +
			"never take effect, values that contradict each other, and what differs from the configuration in force. " +
			"The exit code is 0 without findings, 1 with findings, and 2 if hosts would reject the configuration.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			platform := plat.New(store, conns.New(conns.Settings{DialTimeout: node.DialTimeout, UserTimeout: node.UserTimeout}))
			next, err := readConfig(platform, files[0])
			if err != nil {
				return err
			}
			result := checkResult{Version: next.Version(), Findings: audit.Check(next)}
			current, err := currentConfig(c.Context(), platform, inForce, store)
			if err != nil {
				return err
			}
			if current != nil {
				result.InForce = current.Version()
				result.Findings = append(audit.Supersedes(current, next), result.Findings...)
				result.Changes = audit.Diff(current, next)
			}
			if err := result.write(c.OutOrStdout(), asJSON); err != nil {
				return err
			}
			if n := len(result.Findings); n > 0 {
				return codes.Newf(codes.Findings, "%d findings", n)
			}
			return nil
		},
	}
	c.Flags().StringVar(&inForce, "in-force", "", "`file` with the configuration in force")
	c.Flags().StringVar(&store, "store", "", "`address` of the platform's store, from which the configuration in force is read")
	c.Flags().BoolVar(&asJSON, "json", false, "write JSON")
	c.MarkFlagsMutuallyExclusive("in-force", "store")
	return c
}

func readConfig(p node.Platform, file string) (*fleet.Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, codes.New(codes.BadArgument, err.Error()).WithField("file")
	}
	return p.DecodeConfig(data)
}

// currentConfig returns the configuration in force from a file or the store, or nil if neither is given.
func currentConfig(ctx context.Context, p node.Platform, file, store string) (*fleet.Config, error) {
	switch {
	case file != "":
		return readConfig(p, file)
	case store == "":
		return nil, nil //nolint:nilnil // nothing to compare with
	}
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	record, _, err := p.Config(ctx, node.Cursor{}, 0)
	if err != nil {
		return nil, codes.New(codes.BadArgument, err.Error()).WithField("store")
	}
	if record == nil {
		return nil, codes.New(codes.BadArgument, "has no configuration").WithField("store")
	}
	return p.DecodeConfig(record)
}

func (r checkResult) write(out io.Writer, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(r)
	}
	if _, err := fmt.Fprintf(out, "version %d\n", r.Version); err != nil {
		return err
	}
	for _, f := range r.Findings {
		if _, err := fmt.Fprintf(out, "%s: %s: %s\n", f.Kind, f.Subject, f.Detail); err != nil {
			return err
		}
	}
	for _, c := range r.Changes {
		line := fmt.Sprintf("%s: %s", c.Op, c.Subject)
		if c.Detail != "" {
			line += ": " + c.Detail
		}
		if _, err := fmt.Fprintln(out, line); err != nil {
			return err
		}
	}
	if r.InForce != 0 && len(r.Changes) == 0 {
		_, err := fmt.Fprintf(out, "no difference from version %d\n", r.InForce)
		return err
	}
	return nil
}
