package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	openai "github.com/sashabaranov/go-openai"
	"github.com/spf13/cobra"

	"github.com/fireflycleat/fireflycleat/internal/wire"
	"github.com/fireflycleat/fireflycleat/pkg/codes"
)

const (
	keyVariable    = "FIREFLYCLEAT_KEY"
	hostFlag       = "--host"
	addressTimeout = 5 * time.Second
)

// problems is the HTTP client of the client library.
type problems struct{}

func newAsk() *cobra.Command {
	var host, dataCentre string
	var tokens int
	c := &cobra.Command{
		Use:   "ask MODEL TEXT",
		Short: "Asks a model and streams the answer",
		Long: "Asks a host which address to use, connects there, and streams the answer of the model. " +
			"The API key is read from " + keyVariable + ".",
		Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			address, err := addressFrom(c.Context(), host, dataCentre)
			if err != nil {
				return err
			}
			return ask(c.Context(), c.OutOrStdout(), address, openai.ChatCompletionRequest{
				Model: args[0], MaxTokens: tokens, Stream: true,
				Messages: []openai.ChatCompletionMessage{{Role: openai.ChatMessageRoleUser, Content: args[1]}},
			})
		},
	}
	c.Flags().StringVar(&host, "host", "127.0.0.1:7001", "`IP:port` of any entry host")
	c.Flags().StringVar(&dataCentre, "data-centre", "", "data centre of the caller")
	c.Flags().IntVar(&tokens, "max-tokens", 0, "longest answer, in tokens")
	return c
}

// addressFrom asks a host which address to use.
func addressFrom(ctx context.Context, host, dataCentre string) (string, error) {
	if err := checkAddress(hostFlag, host); err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	u := url.URL{Scheme: "http", Host: host, Path: "/v1/address", RawQuery: url.Values{"dataCentre": {dataCentre}}.Encode()}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return "", codes.New(codes.BadArgument, err.Error()).WithField(hostFlag)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", unreachable(hostFlag, err)
	}
	defer func() { _ = answer.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return "", unreachable(hostFlag, err)
	}
	var a wire.AddressAnswer
	if answer.StatusCode != http.StatusOK || json.Unmarshal(b, &a) != nil || len(a.Addresses) == 0 {
		return "", refusal(answer.Status, b)
	}
	return a.Addresses[0], nil
}

func ask(ctx context.Context, w io.Writer, address string, q openai.ChatCompletionRequest) error {
	s := openai.DefaultConfig(os.Getenv(keyVariable))
	s.BaseURL = "http://" + address + "/v1"
	s.HTTPClient = problems{}
	stream, err := openai.NewClientWithConfig(s).CreateChatCompletionStream(ctx, q)
	if err != nil {
		return clientError(err)
	}
	defer func() { _ = stream.Close() }()
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			fmt.Fprintln(w)
			return nil
		}
		if err != nil {
			return clientError(err)
		}
		for _, choice := range chunk.Choices {
			fmt.Fprint(w, choice.Delta.Content)
		}
	}
}

// Do sends the request and returns a refusal as its coded error, which the client library would reduce to a message.
func (problems) Do(r *http.Request) (*http.Response, error) {
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, unreachable("address given by "+hostFlag, err)
	}
	if answer.StatusCode == http.StatusOK {
		return answer, nil
	}
	defer func() { _ = answer.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return nil, codes.New(codes.StreamBroken, err.Error())
	}
	return nil, refusal(answer.Status, b)
}

// clientError keeps a coded error; anything else ended an answer that had begun.
func clientError(err error) error {
	var coded *codes.Error
	if errors.As(err, &coded) {
		return coded
	}
	return codes.New(codes.StreamBroken, err.Error())
}
