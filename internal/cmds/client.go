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
	operatorEnv      = "FIREFLYCLEAT_OPERATOR"
	tokenEnv         = "FIREFLYCLEAT_TOKEN"
	defaultOperator  = "127.0.0.1:7003"
	operatorTimeout  = 15 * time.Second // A change may wait up to 10 s for the log.
	maxResponseBytes = 64 << 20
	tableOutput      = "table"
	jsonOutput       = "json"
)

// operatorClient calls the operators' API of a daemon. The flags of a command set the address and the output format.
type operatorClient struct {
	address string
	output  string
}

func (o *operatorClient) addFlags(c *cobra.Command) {
	f := c.PersistentFlags()
	// The default is applied in target, so that the help does not show the value of the environment variable.
	f.StringVar(&o.address, "operator", "",
		"`IP:port` of a daemon's operators' API (default "+operatorEnv+", else "+defaultOperator+")")
	f.StringVar(&o.output, "output", tableOutput, "table or json")
}

// target returns the address of the operators' API, and the flag or environment variable that sets it.
func (o *operatorClient) target() (address, source string, err error) {
	address, source = o.address, "--operator"
	if v := os.Getenv(operatorEnv); address == "" && v != "" {
		address, source = v, operatorEnv
	}
	if address == "" {
		address = defaultOperator
	}
	return address, source, checkAddress(source, address)
}

// checkAddress returns a BadArgument error unless the address is an IP number and a port. Host names are rejected, because no part
// of the system resolves them.
func checkAddress(source, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return codes.Newf(codes.BadArgument, "must be an IP number and a port such as 127.0.0.1:7003, not %q", address).WithField(source)
	}
	return nil
}

// unreachableError returns a PeerUnavailable error for a daemon that does not respond. The source is the flag or environment
// variable that holds the address.
func unreachableError(source string, err error) error {
	return codes.New(codes.PeerUnavailable, err.Error()).WithField(source)
}

// call sends a request with the token from the environment and decodes the response. An error response keeps its result code.
func (o *operatorClient) call(ctx context.Context, method, path string, body, into any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	address, source, err := o.target()
	if err != nil {
		return err
	}
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return codes.New(codes.BadArgument, err.Error()).WithField(source)
	}
	if token := os.Getenv(tokenEnv); token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return unreachableError(source, err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return unreachableError(source, err)
	}
	if resp.StatusCode != http.StatusOK {
		return problemError(resp.Status, b)
	}
	if err := json.Unmarshal(b, into); err != nil {
		return codes.New(codes.PeerUnavailable, "cannot decode response: "+err.Error())
	}
	return nil
}

// problemError decodes an error response into a coded error.
func problemError(status string, body []byte) error {
	var p wire.Problem
	if json.Unmarshal(body, &p) != nil || p.Code == 0 {
		return codes.New(codes.PeerUnavailable, status)
	}
	wait := time.Duration(p.RetryAfterSeconds * float64(time.Second))
	return codes.New(codes.Code(p.Code), p.Detail).WithField(p.Field).WithRetryAfter(wait)
}

// print writes the value as JSON, or the rows as a table; the first row is the heading.
func (o *operatorClient) print(w io.Writer, value any, rows [][]any) error {
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
