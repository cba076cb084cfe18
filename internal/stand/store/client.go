package store

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/fireflycleat/fireflycleat/internal/wire"
)

// Client performs loads on a weight store over HTTP; only the stand-in engines use it.
type Client struct {
	url  string
	http *http.Client
}

// NewClient returns a client of the store at address, which is IP:port.
func NewClient(address string) *Client {
	return &Client{url: "http://" + address + "/v1/loads", http: &http.Client{}}
}

// Load returns when the store has completed the load; only the context limits its time.
func (c *Client) Load(ctx context.Context, l wire.StoreLoadRequest) error {
	b, err := json.Marshal(l)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url, bytes.NewReader(b))
	if err != nil {
		return err
	}
	a, err := c.http.Do(r)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store responded with status %s", a.Status)
	}
	return nil
}
