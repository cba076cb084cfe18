package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
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
	f := c.PersistentFlags()
	// The default is read later, since a default value would appear in the help.
	f.StringVar(&o.address, "operator", "",
		"`IP:port` of a daemon's operators' API (default "+operatorVariable+", else "+defaultOperator+")")
	f.StringVar(&o.output, "output", tableOutput, "table or json")
}

// target returns the address of the operators' API, and the flag or variable that it comes from.
func (o *operator) target() (address, source string, err error) {
	address, source = o.address, "--operator"
	if v := os.Getenv(operatorVariable); address == "" && v != "" {
		address, source = v, operatorVariable
	}
	if address == "" {
		address = defaultOperator
	}
	return address, source, checkAddress(source, address)
}

// checkAddress refuses host names, because nothing in the system resolves names.
func checkAddress(source, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return codes.Newf(codes.BadArgument, "must be an IP number and a port such as 127.0.0.1:7003, not %q", address).WithField(source)
	}
	return nil
}

// unreachable names the flag or variable that holds the address of a daemon that does not answer.
func unreachable(source string, err error) error {
	return codes.New(codes.PeerUnavailable, err.Error()).WithField(source)
}

// call sends a request with the token from the environment and decodes the answer. A refusal keeps its result code.
func (o *operator) call(ctx context.Context, method, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	address, source, err := o.target()
	if err != nil {
		return err
	}
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "request")
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return codes.New(codes.BadArgument, err.Error()).WithField(source)
	}
	if token := os.Getenv(tokenVariable); token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return unreachable(source, err)
	}
	defer func() { _ = answer.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return unreachable(source, err)
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
