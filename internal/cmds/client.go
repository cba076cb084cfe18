package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const (
	operatorVariable = "FIREFLYCLEAT_OPERATOR"
	tokenVariable    = "FIREFLYCLEAT_TOKEN"
	defaultOperator  = "127.0.0.1:7003"
	operatorTimeout  = 15 * time.Second // A change waits up to 10 s for the log.
	maxAnswerBytes   = 64 << 20
	tableOutput      = "table"
	jsonOutput       = "json"
)

// operator holds the flags of commands that talk to a daemon's operators' API.
type operator struct {
	address string
	output  string
}

func (o *operator) flags(c *cobra.Command) {
	address := os.Getenv(operatorVariable)
	if address == "" {
		address = defaultOperator
	}
	f := c.PersistentFlags()
	f.StringVar(&o.address, "operator", address, "`IP:port` of a daemon's operators' API; default from "+operatorVariable)
	f.StringVar(&o.output, "output", tableOutput, "table or json")
}

// call sends a request with the token from the environment and decodes the answer. A refusal keeps its result code.
func (o *operator) call(ctx context.Context, method, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+o.address+path, bytes.NewReader(data))
	if err != nil {
		return codes.New(codes.BadArgument, err.Error()).WithField("--operator")
	}
	if token := os.Getenv(tokenVariable); token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return codes.New(codes.PeerUnavailable, err.Error())
	}
	defer func() { _ = answer.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return codes.New(codes.PeerUnavailable, err.Error())
	}
	if answer.StatusCode != http.StatusOK {
		return refusal(answer.Status, b)
	}
	if err := json.Unmarshal(b, into); err != nil {
		return codes.New(codes.PeerUnavailable, "answer cannot be read: "+err.Error())
	}
	return nil
}

func refusal(status string, body []byte) error {
	var p wire.Problem
	if json.Unmarshal(body, &p) != nil || p.Code == 0 {
		return codes.New(codes.PeerUnavailable, status)
	}
	wait := time.Duration(p.RetryAfterSeconds * float64(time.Second))
	return codes.New(codes.Code(p.Code), p.Detail).WithField(p.Field).WithRetryAfter(wait)
}

// print writes the value as JSON, or as a table of the given rows; the first row is the heading.
func (o *operator) print(w io.Writer, value any, rows [][]any) error {
	switch o.output {
	case jsonOutput:
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(value)
	case tableOutput:
		t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
		for _, row := range rows {
			for i, cell := range row {
				if i > 0 {
					fmt.Fprint(t, "\t")
				}
				fmt.Fprint(t, cell)
			}
			fmt.Fprintln(t)
		}
		return t.Flush()
	}
	return codes.New(codes.BadArgument, "must be table or json").WithField("--output")
}
