package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/diag"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

func newExplain() *cobra.Command {
	var id string
	var asJSON bool
	c := &cobra.Command{
		Use:   "explain [FILE...]",
		Short: "Shows what happened to a request, from the logs of hosts",
		Long: "Shows the log lines that name a request, and those about its host, upstream and model at that time. " +
			"Without --id it lists the causes of failed requests. Without files it reads standard input.",
		RunE: func(c *cobra.Command, files []string) error {
			lines, err := readLogs(c.InOrStdin(), files)
			if err != nil {
				return err
			}
			out := c.OutOrStdout()
			if id == "" {
				return writeReasons(out, diag.Reasons(lines), asJSON)
			}
			s := diag.Find(lines, id)
			if len(s.Lines) == 0 {
				return codes.New(codes.NotFound, "no log line names the request").WithField("id")
			}
			if asJSON {
				return json.NewEncoder(out).Encode(s)
			}
			return s.Write(out)
		},
	}
	c.Flags().StringVar(&id, "id", "", "request `id`")
	c.Flags().BoolVar(&asJSON, "json", false, "write JSON")
	return c
}

// readLogs reads the files, or standard input if there are none.
func readLogs(in io.Reader, files []string) ([]diag.Line, error) {
	if len(files) == 0 {
		lines, _, err := diag.Read(in)
		return lines, err
	}
	var all []diag.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, codes.New(codes.BadArgument, err.Error()).WithField("file")
		}
		lines, _, err := diag.Read(f)
		_ = f.Close() // opened for reading only
		if err != nil {
			return nil, codes.New(codes.BadArgument, err.Error()).WithField(name)
		}
		all = append(all, lines...)
	}
	return all, nil
}

func writeReasons(out io.Writer, list []diag.Reason, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(list)
	}
	for _, r := range list {
		if _, err := fmt.Fprintf(out, "%6d  %d %s: %s (first: %s)\n", r.Count, r.Code, r.Reason, r.Detail, r.First); err != nil {
			return err
		}
	}
	return nil
}
