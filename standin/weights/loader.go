package weights

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// Loader loads weights from a weight store over HTTP.
type Loader struct {
	url string
}

// NewLoader returns a Loader for the store at address, an IP address and port.
func NewLoader(address string) *Loader {
	return &Loader{url: "http://" + address + "/v1/loads"}
}

// Load returns when the load is complete.
func (l *Loader) Load(ctx context.Context, load Load) error {
	body, err := json.Marshal(load)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, l.url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("load %q: weight store answered status %d", load.Name, resp.StatusCode)
	}
	return nil
}
