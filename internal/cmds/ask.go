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
	apiKeyEnv      = "FIREFLYCLEAT_KEY"
	hostFlag       = "--host"
	addressTimeout = 5 * time.Second
)

// problemClient is the HTTP client of the OpenAI library. It decodes error responses into coded errors.
type problemClient struct{}

func newAsk() *cobra.Command {
	var host, dataCentre string
	var tokens int
	c := &cobra.Command{
		Use:   "ask MODEL TEXT",
		Short: "Sends a prompt to a model and streams the answer",
		Long: "Gets the address to use from a host, connects to it, and streams the answer of the model. " +
			"The API key is read from " + apiKeyEnv + ".",
		Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			address, err := fetchAddress(c.Context(), host, dataCentre)
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
	c.Flags().IntVar(&tokens, "max-tokens", 0, "maximum length of the answer, in tokens")
	return c
}

// fetchAddress requests from a host the address that a caller in the data centre should use.
func fetchAddress(ctx context.Context, host, dataCentre string) (string, error) {
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
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", unreachableError(hostFlag, err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return "", unreachableError(hostFlag, err)
	}
	var a wire.AddressResponse
	if resp.StatusCode != http.StatusOK || json.Unmarshal(b, &a) != nil || len(a.Addresses) == 0 {
		return "", problemError(resp.Status, b)
	}
	return a.Addresses[0], nil
}

func ask(ctx context.Context, w io.Writer, address string, req openai.ChatCompletionRequest) error {
	s := openai.DefaultConfig(os.Getenv(apiKeyEnv))
	s.BaseURL = "http://" + address + "/v1"
	s.HTTPClient = problemClient{}
	stream, err := openai.NewClientWithConfig(s).CreateChatCompletionStream(ctx, req)
	if err != nil {
		return streamError(err)
	}
	defer func() { _ = stream.Close() }()
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			fmt.Fprintln(w)
			return nil
		}
		if err != nil {
			return streamError(err)
		}
		for _, choice := range chunk.Choices {
			fmt.Fprint(w, choice.Delta.Content)
		}
	}
}

// Do sends the request and returns an error response as a coded error; the OpenAI library would keep only its message.
func (problemClient) Do(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, unreachableError("address given by "+hostFlag, err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, codes.New(codes.StreamBroken, err.Error())
	}
	return nil, problemError(resp.Status, b)
}

// streamError returns a coded error unchanged. Any other error interrupted an answer after it had started.
func streamError(err error) error {
	var coded *codes.Error
	if errors.As(err, &coded) {
		return coded
	}
	return codes.New(codes.StreamBroken, err.Error())
}
